use std::process::ExitCode;

/// The exit status of a program: codes 0 to 3.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// Success.
    Success,
    /// The program failed.
    Failed,
    /// The command line is invalid.
    Usage,
    /// A check found warnings and no faults.
    Warned,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Success => Self::SUCCESS,
            ExitStatus::Failed => Self::from(1),
            ExitStatus::Usage => Self::from(2),
            ExitStatus::Warned => Self::from(3),
        }
    }
}
