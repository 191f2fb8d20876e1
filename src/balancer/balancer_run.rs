use super::{BalancerError, BalancerEvent, BalancerNode, BalancerSettings};
use crate::{
    event::log_event,
    program::{StopSignal, start_logs},
};

/// Runs a balancer until it is told to stop, then leaves in order.
///
/// # Errors
///
/// Fails when it can't start.
pub async fn run_balancer(settings: BalancerSettings) -> Result<(), BalancerError> {
    start_logs(settings.log_format);
    let signal = StopSignal::listen().map_err(BalancerError::Signal)?;
    let node = BalancerNode::start(&settings)?;
    signal.stopped().await;
    node.leave().await;
    log_event!(info, BalancerEvent::Stopped);
    Ok(())
}
