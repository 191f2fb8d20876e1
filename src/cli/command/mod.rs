//! The subcommands, one file each: options, execution and report.

mod apply_command;
mod call_command;
mod certificate_command;
mod check_command;
mod demo_command;
mod drain_command;
mod dump_command;
mod inspect_command;
mod secret_command;
mod status_command;

pub(crate) use apply_command::ApplyOptions;
pub(crate) use call_command::CallOptions;
pub(crate) use certificate_command::CertificateOptions;
pub(crate) use check_command::CheckOptions;
pub(crate) use demo_command::DemoOptions;
pub(crate) use drain_command::DrainOptions;
pub(crate) use dump_command::DumpOptions;
pub(crate) use inspect_command::InspectOptions;
pub(crate) use secret_command::SecretOptions;
pub(crate) use status_command::StatusOptions;
