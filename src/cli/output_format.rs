use std::{
    fmt::Display,
    io::{self, Write},
};

use serde::Serialize;

use super::CliError;

/// The output format of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    /// Human-readable text.
    Text,
    /// One JSON document, for scripts.
    Json,
}

/// The JSON document of a failed command.
#[derive(Debug, Serialize)]
struct ErrorReport {
    error: String,
}

impl OutputFormat {
    /// Returns the format that the flag `--json` selects.
    pub(crate) const fn from_flag(json: bool) -> Self {
        if json { Self::Json } else { Self::Text }
    }

    /// Writes a report to standard output.
    pub(crate) fn print<T: Serialize + Display>(self, report: &T) {
        let text = match self {
            Self::Text => report.to_string(),
            Self::Json => serde_json::to_string_pretty(report).unwrap_or_default(),
        };
        // The reader may have closed the pipe.
        let _ = writeln!(io::stdout(), "{}", text.trim_end());
    }

    /// Writes an error: JSON to standard output, text to standard error.
    pub(crate) fn print_error(self, error: &CliError) {
        match self {
            Self::Text => eprintln!("cyclamen: {error}"),
            Self::Json => {
                let report = ErrorReport {
                    error: error.to_string(),
                };
                let text = serde_json::to_string_pretty(&report).unwrap_or_default();
                let _ = writeln!(io::stdout(), "{text}");
            }
        }
    }
}
