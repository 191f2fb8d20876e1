use std::sync::Arc;

use super::{
    AgentError, AgentEvent, AgentNode, AgentSettings,
    drain::{DrainEvent, DrainGoal},
};
use crate::{
    admin::{AdminEndpoints, AdminHandlers, DrainCommand},
    event::log_event,
    program::{StopSignal, init_logging},
};

/// Runs an agent until a stop signal, then drains it.
///
/// # Errors
///
/// Fails when the agent can't start.
pub async fn run_agent(settings: AgentSettings) -> Result<(), AgentError> {
    init_logging(settings.log_format);
    let signal = StopSignal::listen().map_err(AgentError::Signal)?;
    let node = tokio::select! {
        node = AgentNode::start(&settings) => node?,
        () = signal.stopped() => return Ok(()),
    };
    let node = Arc::new(node);
    let endpoints = AdminEndpoints {
        admin_listen: settings.admin_listen,
        metrics_listen: settings.metrics_listen,
        secret_file: settings.secret_file,
    };
    let _admin = endpoints.open(admin_handlers(&node)).await?;
    signal.stopped().await;
    node.begin_exit().await;
    node.finish_exit().await;
    log_event!(info, AgentEvent::Stopped);
    Ok(())
}

fn admin_handlers(node: &Arc<AgentNode>) -> AdminHandlers {
    let dump_node = Arc::clone(node);
    let drain_node = Arc::clone(node);
    let handlers = AdminHandlers::new(move || {
        let node = Arc::clone(&dump_node);
        async move { node.dump().await }
    });
    handlers.with_drain(move |command| {
        let node = Arc::clone(&drain_node);
        async move {
            match command {
                DrainCommand::Start(request) => {
                    let event = DrainEvent::Begin {
                        goal: DrainGoal::Stay,
                        deadline: request.deadline,
                    };
                    node.send_drain_event(event).await
                }
                DrainCommand::Cancel => node.send_drain_event(DrainEvent::Cancel).await,
                DrainCommand::Report => node.drain_report().await,
            }
        }
    })
}
