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
    /// Prints the help text.
    #[options(help = "print this text")]
    pub(crate) help: bool,
    /// Prints the version.
    #[options(no_short, help = "print the version")]
    pub(crate) version: bool,
    /// The operator's settings.
    #[options(meta = "FILE", help = "read the operator's settings from FILE")]
    pub(crate) settings: Option<PathBuf>,
    /// Checks the settings and stops.
    #[options(no_short, help = "check the settings and stop")]
    pub(crate) check_settings: bool,
    /// The command with its own options.
    #[options(command)]
    pub(crate) command: Option<CliCommand>,
}

/// The commands of `cyclamen`.
#[derive(Debug, Options)]
pub(crate) enum CliCommand {
    /// Checks a manifest.
    #[options(help = "check a manifest")]
    Check(CheckOptions),
    /// Hands a manifest over.
    #[options(help = "put a manifest in force")]
    Apply(ApplyOptions),
    /// Prints how control does.
    #[options(help = "print how control does and where the manifest is in force")]
    Status(StatusOptions),
    /// Prints the state of a process.
    #[options(help = "print the whole state of one process")]
    Dump(DumpOptions),
    /// Prints the state of a process of a deployment found from seeds.
    #[options(help = "print the state of an entry VM or agent, or look up a flow")]
    Inspect(InspectOptions),
    /// Leads a target through a planned stop.
    #[options(help = "drain an upstream, cancel that, or look at it")]
    Drain(DrainOptions),
    /// Sends a request to a service.
    #[options(help = "send one HTTP/3 request to a service")]
    Call(CallOptions),
    /// Makes or rotates the deployment secret.
    #[options(help = "make or rotate the deployment secret")]
    Secret(SecretOptions),
    /// Makes a certificate for trials.
    #[options(help = "make a certificate for trials")]
    TlsTestCertificate(CertificateOptions),
    /// Shows a whole site at work.
    #[options(help = "run a whole site on loopback and count what happens")]
    Demo(DemoOptions),
}

impl CliCommand {
    /// Returns for whom the command writes its report.
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
