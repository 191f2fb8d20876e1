use std::io::{self, IsTerminal};

use serde::{Deserialize, Serialize};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// The environment variable with the log filter.
const FILTER_VARIABLE: &str = "CYCLAMEN_LOG";
/// The filter when the variable is not set or can't be parsed.
const DEFAULT_FILTER: &str = "info,quinn=warn,h3=warn,hyper=warn,jsonrpsee=warn";
/// The default filter of operator commands.
const QUIET_FILTER: &str = "error,h3=off,quinn=off,jsonrpsee=off";

/// The most lines buffered for a slow reader of standard output; about 256 KB.
const MAX_BUFFERED_LINES: usize = 1_024;

/// The format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One line of text per event.
    #[default]
    Text,
    /// One JSON object per event.
    Json,
}

/// Starts logging to standard error; a second call has no effect.
pub fn init_logging(format: LogFormat) {
    start_stderr_logs(format, DEFAULT_FILTER);
}

/// Keeps the writer thread of the logs running; buffered lines are flushed when
/// it is dropped.
#[derive(Debug)]
pub struct LogGuard {
    _worker: WorkerGuard,
}

/// Starts logging to standard output; a second call has no effect.
///
/// A separate thread writes the lines. When the reader of the output is too
/// slow, lines are dropped; the process never blocks on it.
#[must_use]
pub fn init_stdout_logging(format: LogFormat) -> LogGuard {
    let filter =
        EnvFilter::try_from_env(FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let (writer, worker) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .thread_name("log-writer")
        .finish(io::stdout());
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(false)
        .with_target(false)
        .with_writer(writer);
    // Fails when a subscriber is already set; that one is kept.
    let _ = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    LogGuard { _worker: worker }
}

/// Starts logging for operator commands: by default errors only, since a command
/// reports through its output.
pub(crate) fn init_quiet_logging() {
    start_stderr_logs(LogFormat::Text, QUIET_FILTER);
}

fn start_stderr_logs(format: LogFormat, default_filter: &str) {
    let filter =
        EnvFilter::try_from_env(FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new(default_filter));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(io::stderr().is_terminal())
        .with_writer(io::stderr);
    // Fails when a subscriber is already set; that one is kept.
    let _ = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}
