use std::process::ExitCode;

/// What a program's exit code tells a pipeline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The work is done.
    Done,
    /// The work failed.
    Failed,
    /// The command line can't be understood.
    Usage,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Done => Self::SUCCESS,
            ExitStatus::Failed => Self::from(1),
            ExitStatus::Usage => Self::from(2),
        }
    }
}
