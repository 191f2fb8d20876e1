use std::{
    fmt::Display,
    io::{self, Write},
};

use serde::Serialize;

use super::CliError;

/// For whom a command writes its report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    /// Text for a person.
    Text,
    /// One JSON document for a machine.
    Json,
}

/// A failed command, as a machine reads it.
#[derive(Debug, Serialize)]
struct FailureReport {
    error: String,
}

impl OutputFormat {
    /// Returns the format that the flag `--json` asks for.
    pub(crate) const fn from_flag(json: bool) -> Self {
        if json { Self::Json } else { Self::Text }
    }

    /// Writes a report to standard output.
    pub(crate) fn print<T: Serialize + Display>(self, report: &T) {
        let text = match self {
            Self::Text => report.to_string(),
            Self::Json => serde_json::to_string_pretty(report).unwrap_or_default(),
        };
        // A reader that closed the pipe wants no more.
        let _ = writeln!(io::stdout(), "{}", text.trim_end());
    }

    /// Writes an error: for a machine to standard output, else to standard error.
    pub(crate) fn print_error(self, error: &CliError) {
        match self {
            Self::Text => eprintln!("cyclamen: {error}"),
            Self::Json => {
                let failure = FailureReport {
                    error: error.to_string(),
                };
                let text = serde_json::to_string_pretty(&failure).unwrap_or_default();
                let _ = writeln!(io::stdout(), "{text}");
            }
        }
    }
}
