use super::{AgentError, AgentEvent, AgentNode, AgentSettings};
use crate::{
    event::log_event,
    program::{StopSignal, start_logs},
};

/// Runs an agent until it is told to stop, then drains it.
///
/// # Errors
///
/// Fails when it can't start.
pub async fn run_agent(settings: AgentSettings) -> Result<(), AgentError> {
    start_logs(settings.log_format);
    let signal = StopSignal::listen().map_err(AgentError::Signal)?;
    let mut node = tokio::select! {
        node = AgentNode::start(&settings) => node?,
        () = signal.stopped() => return Ok(()),
    };
    let exit = async {
        signal.stopped().await;
        node.begin_exit().await;
    };
    exit.await;
    node.finish_exit().await;
    log_event!(info, AgentEvent::Stopped);
    Ok(())
}
