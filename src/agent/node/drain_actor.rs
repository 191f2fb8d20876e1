use std::sync::Arc;

use kameo::prelude::*;
use quinn::{Endpoint, VarInt};
use tokio::sync::watch;

use crate::{
    agent::{
        AgentEvent,
        admission::AgentPhase,
        drain::{DrainAction, DrainEvent, DrainMachine, DrainReport},
        endpoint::TunnelSocket,
        relay::{RequestCoordinator, hand_over_tickets},
    },
    event::log_event,
    route::TargetPhase,
};

/// `H3_NO_ERROR` (RFC 9114).
const NO_ERROR: VarInt = VarInt::from_u32(0x100);

/// Handles to the parts of the agent that a drain acts on.
#[derive(Debug, Clone)]
pub(crate) struct DrainHandles {
    /// The tunnel socket, whose gate admits new connections.
    pub(crate) socket: Arc<TunnelSocket>,
    /// The QUIC endpoint of the open connections.
    pub(crate) endpoint: Endpoint,
    /// The coordinator of the open requests and tickets.
    pub(crate) coordinator: Arc<RequestCoordinator>,
    /// The phase that the lease renewer announces.
    pub(crate) phase: watch::Sender<TargetPhase>,
    /// Incremented to make every open connection send a GOAWAY.
    pub(crate) go_away: watch::Sender<u32>,
    /// Becomes true when the process must stop.
    pub(crate) exit: watch::Sender<bool>,
}

/// Runs the agent's drain: feeds its state machine one event at a time and
/// performs the actions.
#[derive(Debug, Actor)]
pub(crate) struct DrainActor {
    machine: DrainMachine,
    handles: DrainHandles,
}

/// An event for the drain; the reply is its progress.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DrainInput(pub(crate) DrainEvent);

/// Asks for the progress of the drain.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DrainQuery;

impl DrainActor {
    /// Creates the actor of a serving agent.
    pub(crate) fn new(handles: DrainHandles) -> Self {
        Self {
            machine: DrainMachine::new(),
            handles,
        }
    }

    async fn perform(&self, action: DrainAction) {
        match action {
            DrainAction::SetPhase(phase) => self.handles.socket.set_phase(agent_phase(phase)),
            DrainAction::Announce(phase) => {
                self.handles.phase.send_replace(phase);
            }
            DrainAction::SendGoAway => {
                log_event!(info, AgentEvent::DrainBegun);
                self.handles.go_away.send_modify(|count| *count += 1);
            }
            DrainAction::HandOverTickets => {
                log_event!(info, AgentEvent::Drained);
                hand_over_tickets(&self.handles.coordinator).await;
            }
            DrainAction::CutOpenWork => {
                log_event!(warn, AgentEvent::WorkCut);
                self.handles.coordinator.cut();
                self.handles
                    .endpoint
                    .close(NO_ERROR, b"stopped on the operator's word");
            }
            DrainAction::Exit => {
                self.handles.exit.send_replace(true);
            }
        }
    }
}

impl Message<DrainInput> for DrainActor {
    type Reply = DrainReport;

    async fn handle(
        &mut self,
        input: DrainInput,
        _context: &mut Context<Self, Self::Reply>,
    ) -> DrainReport {
        let now = self.handles.socket.clock().now();
        for action in self.machine.handle(input.0, now) {
            self.perform(action).await;
        }
        self.machine.report()
    }
}

impl Message<DrainQuery> for DrainActor {
    type Reply = DrainReport;

    async fn handle(
        &mut self,
        _query: DrainQuery,
        _context: &mut Context<Self, Self::Reply>,
    ) -> DrainReport {
        self.machine.report()
    }
}

impl kameo::Reply for DrainReport {
    type Ok = Self;
    type Error = kameo::error::Infallible;
    type Value = Self;

    fn to_result(self) -> Result<Self, kameo::error::Infallible> {
        Ok(self)
    }

    fn into_any_err(self) -> Option<Box<dyn kameo::reply::ReplyError>> {
        None
    }

    fn into_value(self) -> Self {
        self
    }
}

/// Returns the phase of the admission gate for an announced phase.
fn agent_phase(phase: TargetPhase) -> AgentPhase {
    match phase {
        TargetPhase::Warming | TargetPhase::Serving => AgentPhase::Serving,
        TargetPhase::Leaving => AgentPhase::Leaving,
    }
}
