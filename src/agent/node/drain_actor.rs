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

/// The code of a connection that is closed without a fault (RFC 9114).
const NO_ERROR: VarInt = VarInt::from_u32(0x100);

/// The parts of the agent that a planned stop acts on.
#[derive(Debug, Clone)]
pub(crate) struct DrainDuty {
    /// Where new connections arrive.
    pub(crate) socket: Arc<TunnelSocket>,
    /// Where open connections end.
    pub(crate) endpoint: Endpoint,
    /// Where requests are decided on.
    pub(crate) coordinator: Arc<RequestCoordinator>,
    /// The phase that the lease keeper announces.
    pub(crate) phase: watch::Sender<TargetPhase>,
    /// Counts the announcements of leaving to open connections.
    pub(crate) go_away: watch::Sender<u32>,
    /// Becomes true when the process is to stop.
    pub(crate) exit: watch::Sender<bool>,
}

/// Leads the agent through its planned stop, one order at a time.
#[derive(Debug, Actor)]
pub(crate) struct DrainActor {
    machine: DrainMachine,
    duty: DrainDuty,
}

/// An order or an observation for the planned stop.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DrainOrder(pub(crate) DrainEvent);

/// Asks how far the planned stop has come.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DrainQuery;

impl DrainActor {
    /// Creates the actor of an agent that serves.
    pub(crate) fn new(duty: DrainDuty) -> Self {
        Self {
            machine: DrainMachine::new(),
            duty,
        }
    }

    async fn perform(&self, action: DrainAction) {
        match action {
            DrainAction::SetPhase(phase) => self.duty.socket.set_phase(agent_phase(phase)),
            DrainAction::Announce(phase) => {
                self.duty.phase.send_replace(phase);
            }
            DrainAction::SendGoAway => {
                log_event!(info, AgentEvent::DrainBegun);
                self.duty.go_away.send_modify(|count| *count += 1);
            }
            DrainAction::HandOverTickets => {
                log_event!(info, AgentEvent::Drained);
                hand_over_tickets(&self.duty.coordinator).await;
            }
            DrainAction::CutOpenWork => {
                log_event!(warn, AgentEvent::WorkCut);
                self.duty.coordinator.cut();
                self.duty
                    .endpoint
                    .close(NO_ERROR, b"stopped on the operator's word");
            }
            DrainAction::Exit => {
                self.duty.exit.send_replace(true);
            }
        }
    }
}

impl Message<DrainOrder> for DrainActor {
    type Reply = DrainReport;

    async fn handle(
        &mut self,
        order: DrainOrder,
        _context: &mut Context<Self, Self::Reply>,
    ) -> DrainReport {
        let now = self.duty.socket.clock().now();
        for action in self.machine.handle(order.0, now) {
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
