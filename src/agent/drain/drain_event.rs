use serde::{Deserialize, Serialize};

use super::OpenWork;
use crate::{clock::SpanMillis, route::TargetPhase};

/// What is to happen once everything is finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum DrainGoal {
    /// The agent stays and reports that it is drained.
    Stay,
    /// The agent withdraws its target and stops.
    Exit,
}

/// What the drain has to react to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DrainEvent {
    /// An operator or a signal asks for the planned stop.
    Begin {
        /// What is to happen at the end.
        goal: DrainGoal,
        /// When to cut what still runs; only an operator gives one.
        deadline: Option<SpanMillis>,
    },
    /// An operator takes the drain back.
    Cancel,
    /// The agent is to stop now, whatever runs.
    #[allow(
        dead_code,
        reason = "a second signal ends the process by itself so far"
    )]
    StopNow,
    /// Control committed the announced phase.
    Announced(TargetPhase),
    /// The open work was counted, or time has passed.
    Counted(OpenWork),
}

/// What the shell is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DrainAction {
    /// Pass new connections on, or take them again, from now on.
    SetPhase(TargetPhase),
    /// Announce the phase to control, and again until it is committed.
    Announce(TargetPhase),
    /// Tell every open connection to bring no new requests.
    SendGoAway,
    /// Hand the tickets over to a peer, so that resends get their answers.
    HandOverTickets,
    /// Cut what still runs: the operator's deadline has passed.
    CutOpenWork,
    /// Withdraw the registration and stop the process.
    Exit,
}
