//! One file a command: its options, what it does, what it reports.

mod call_command;
mod certificate_command;
mod check_command;
mod secret_command;

pub(crate) use call_command::CallOptions;
pub(crate) use certificate_command::CertificateOptions;
pub(crate) use check_command::CheckOptions;
pub(crate) use secret_command::SecretOptions;
