use miette::Diagnostic;
use thiserror::Error;

use super::{BalancerEvent, BalancerSettings};
use crate::event::log_event;

/// Why `cyclamen-balancer` stopped.
#[derive(Debug, Error, Diagnostic)]
pub enum BalancerError {}

/// Runs the balancer until it is told to stop.
///
/// # Errors
///
/// Fails when it can't start.
pub async fn run_balancer(_settings: BalancerSettings) -> Result<(), BalancerError> {
    log_event!(info, BalancerEvent::Started);
    std::future::ready(Ok(())).await
}
