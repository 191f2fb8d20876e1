use std::sync::Arc;

use super::{BalancerError, BalancerEvent, BalancerNode, BalancerSettings};
use crate::{
    admin::{AdminEndpoints, AdminHandlers},
    event::log_event,
    program::{StopSignal, init_logging},
};

/// Runs a balancer until the process receives a stop signal, then shuts it down
/// gracefully.
///
/// # Errors
///
/// Fails when the balancer, its signal handlers or its admin servers can't start.
pub async fn run_balancer(settings: BalancerSettings) -> Result<(), BalancerError> {
    init_logging(settings.log_format);
    let signal = StopSignal::listen().map_err(BalancerError::Signal)?;
    let node = Arc::new(BalancerNode::start(&settings)?);
    let endpoints = AdminEndpoints {
        admin_listen: settings.admin_listen,
        metrics_listen: settings.metrics_listen,
        secret_file: settings.secret_file,
    };
    let _admin = endpoints.open(admin_handlers(&node)).await?;
    signal.stopped().await;
    node.leave().await;
    log_event!(info, BalancerEvent::Stopped);
    Ok(())
}

fn admin_handlers(node: &Arc<BalancerNode>) -> AdminHandlers {
    let node = Arc::clone(node);
    AdminHandlers::new(move || {
        let node = Arc::clone(&node);
        async move { node.dump() }
    })
}
