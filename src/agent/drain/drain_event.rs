use serde::{Deserialize, Serialize};

use super::OpenWork;
use crate::{clock::SpanMillis, route::TargetPhase};

/// What the agent does once it is drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum DrainGoal {
    /// It keeps running and reports that it is drained.
    Stay,
    /// It withdraws its target and exits.
    Exit,
}

/// An event of the drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DrainEvent {
    /// An operator or a signal starts the drain.
    Begin {
        /// What to do once drained.
        goal: DrainGoal,
        /// How long until open work is cut; only an operator sets one.
        deadline: Option<SpanMillis>,
    },
    /// An operator cancels the drain.
    Cancel,
    /// The agent must exit now, with open work cut.
    #[allow(
        dead_code,
        reason = "a second signal currently ends the process directly"
    )]
    StopNow,
    /// Control committed the announced phase.
    AnnouncementCommitted(TargetPhase),
    /// The open work at this time; sent again as time passes.
    OpenWorkCounted(OpenWork),
}

/// An action that the I/O layer carries out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DrainAction {
    /// Change the phase: pass new connections on, or accept them again.
    SetPhase(TargetPhase),
    /// Announce the phase to control until it is committed.
    Announce(TargetPhase),
    /// Send GOAWAY on every open connection, so that it brings no new requests.
    SendGoAway,
    /// Hand the tickets over to peers, so that resent requests get their answers.
    HandOverTickets,
    /// Cut the open work: the operator's deadline has passed, or the agent stops now.
    CutOpenWork,
    /// Withdraw the registration and exit the process.
    Exit,
}
