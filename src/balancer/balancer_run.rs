use super::{BalancerError, BalancerEvent, BalancerNode, BalancerSettings};
use crate::event::log_event;

/// Runs a balancer until it is told to stop.
///
/// # Errors
///
/// Fails when it can't start.
pub async fn run_balancer(settings: BalancerSettings) -> Result<(), BalancerError> {
    let _node = BalancerNode::start(&settings)?;
    let _ = tokio::signal::ctrl_c().await;
    log_event!(info, BalancerEvent::Stopped);
    Ok(())
}
