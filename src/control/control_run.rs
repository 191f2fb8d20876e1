use miette::Diagnostic;
use thiserror::Error;

use super::{ControlEvent, ControlSettings};
use crate::event::log_event;

/// Why `cyclamen-control` stopped.
#[derive(Debug, Error, Diagnostic)]
pub enum ControlError {}

/// Runs the control until it is told to stop.
///
/// # Errors
///
/// Fails when it can't start.
pub async fn run_control(_settings: ControlSettings) -> Result<(), ControlError> {
    log_event!(info, ControlEvent::Started);
    std::future::ready(Ok(())).await
}
