use miette::Diagnostic;
use thiserror::Error;

use super::{AgentEvent, AgentSettings};
use crate::event::log_event;

/// Why `cyclamen-agent` stopped.
#[derive(Debug, Error, Diagnostic)]
pub enum AgentError {}

/// Runs the agent until it is told to stop.
///
/// # Errors
///
/// Fails when it can't start.
pub async fn run_agent(_settings: AgentSettings) -> Result<(), AgentError> {
    log_event!(info, AgentEvent::Started);
    std::future::ready(Ok(())).await
}
