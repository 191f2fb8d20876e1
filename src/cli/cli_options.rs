use std::path::PathBuf;

use gumdrop::Options;

use super::{
    OutputFormat,
    command::{
        ApplyOptions, CallOptions, CertificateOptions, CheckOptions, DemoOptions, DrainOptions,
        DumpOptions, InspectOptions, SecretOptions, StatusOptions,
    },
};

/// The command line of `cyclamen`.
#[derive(Debug, Options)]
pub(crate) struct CliOptions {
    #[options(help = "print this text")]
    pub(crate) help: bool,
    #[options(no_short, help = "print the version")]
    pub(crate) version: bool,
    /// The operator's settings file.
    #[options(meta = "FILE", help = "read the operator's settings from FILE")]
    pub(crate) settings: Option<PathBuf>,
    /// Validates the settings file and exits.
    #[options(no_short, help = "check the settings and exit")]
    pub(crate) check_settings: bool,
    /// The subcommand with its own options.
    #[options(command)]
    pub(crate) command: Option<CliCommand>,
}

/// The commands of `cyclamen`.
#[derive(Debug, Options)]
pub(crate) enum CliCommand {
    /// Validates a manifest offline.
    #[options(help = "validate a manifest file")]
    Check(CheckOptions),
    /// Submits a manifest to control.
    #[options(help = "put a manifest in force")]
    Apply(ApplyOptions),
    /// Prints the state of the control group and the rollout of the manifest.
    #[options(help = "print the state of control and where the manifest is in force")]
    Status(StatusOptions),
    /// Prints the state of a process from its admin address.
    #[options(help = "print the full state of one process")]
    Dump(DumpOptions),
    /// Prints the state of an entry VM or agent from its inspection address.
    #[options(help = "print the state of an entry VM or agent, or look up a flow")]
    Inspect(InspectOptions),
    /// Drains the target of an agent.
    #[options(help = "drain an upstream, or cancel or query its drain")]
    Drain(DrainOptions),
    /// Sends a request to a service.
    #[options(help = "send one HTTP/3 request to a service")]
    Call(CallOptions),
    /// Generates or rotates the deployment secret.
    #[options(help = "generate or rotate the deployment secret")]
    Secret(SecretOptions),
    /// Generates a test certificate.
    #[options(help = "generate a certificate for testing")]
    TlsTestCertificate(CertificateOptions),
    /// Runs a complete site on loopback under load.
    #[options(help = "run a complete site on loopback and report the results")]
    Demo(DemoOptions),
}

impl CliCommand {
    /// Returns the output format that the command's options select.
    pub(crate) const fn output(&self) -> OutputFormat {
        let json = match self {
            Self::Check(options) => options.json,
            Self::Apply(options) => options.json,
            Self::Status(options) => options.json,
            Self::Dump(options) => options.json,
            Self::Inspect(options) => options.json,
            Self::Drain(options) => options.json,
            Self::Call(options) => options.json,
            Self::Secret(options) => options.json,
            Self::TlsTestCertificate(options) => options.json,
            Self::Demo(options) => options.json,
        };
        OutputFormat::from_flag(json)
    }
}
