use std::io::{self, IsTerminal};

use serde::{Deserialize, Serialize};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// The variable that sets which log lines are written.
const FILTER_VARIABLE: &str = "CYCLAMEN_LOG";
/// What is written when the variable is not set.
const DEFAULT_FILTER: &str = "info,quinn=warn,h3=warn,hyper=warn,jsonrpsee=warn";
/// What an operator's command writes when the variable is not set.
const QUIET_FILTER: &str = "error,h3=off,quinn=off,jsonrpsee=off";

/// The lines that wait for a slow reader of standard output; about 256 KB.
const MAX_WAITING_LINES: usize = 1_024;

/// How log lines are written to standard error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One line of text an event.
    #[default]
    Text,
    /// One JSON object an event.
    Json,
}

/// Starts the logs of this process; a second call changes nothing.
pub fn start_logs(format: LogFormat) {
    start_filtered(format, DEFAULT_FILTER);
}

/// Keeps the logs on standard output going; what waits is written when it is
/// dropped.
#[derive(Debug)]
pub struct OutputLogs {
    _worker: WorkerGuard,
}

/// Starts logs on standard output; a second call changes nothing.
///
/// Lines are written by a thread of their own. When the reader of the output is
/// too slow, lines are left out; the process never waits for it.
#[must_use]
pub fn start_output_logs(format: LogFormat) -> OutputLogs {
    let filter =
        EnvFilter::try_from_env(FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let (writer, worker) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_WAITING_LINES)
        .thread_name("log-writer")
        .finish(io::stdout());
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(false)
        .with_target(false)
        .with_writer(writer);
    // A process that has logs already keeps them.
    let _ = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    OutputLogs { _worker: worker }
}

/// Starts the logs of an operator's command, which reports by its output.
pub(crate) fn start_quiet_logs() {
    start_filtered(LogFormat::Text, QUIET_FILTER);
}

fn start_filtered(format: LogFormat, default_filter: &str) {
    let filter =
        EnvFilter::try_from_env(FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new(default_filter));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(io::stderr().is_terminal())
        .with_writer(io::stderr);
    // A process that has logs already keeps them.
    let _ = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}
