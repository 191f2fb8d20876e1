use serde::{Deserialize, Serialize};

use super::{
    KeptOutcome, RequestFingerprint,
    ledger_entry::{EntryState, LedgerEntry},
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    key::{IncarnationId, TargetKey},
};

/// How a run ended, as handed over to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum HandoverState {
    /// It ran; this is the complete answer.
    Finished(KeptOutcome),
    /// It ran, but its answer was not kept.
    FinishedUnkept,
    /// It may have run.
    Unknown,
    /// It did not run and never will.
    Refused,
}

/// A used ticket, as handed over to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HandoverTicket {
    /// The ticket's serial number, from 1 in order of minting.
    pub(crate) serial: u64,
    /// The fingerprint of the request that used it.
    pub(crate) fingerprint: RequestFingerprint,
    /// How long to keep it.
    #[serde(rename = "keep")]
    pub(crate) keep_for: SpanMillis,
    /// How the run ended.
    pub(crate) state: HandoverState,
}

/// The ledger of a leaving agent, as handed over to a peer.
///
/// The leaving agent starts no further run, so a ticket that is not listed and
/// had not expired did not run and never will.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LedgerHandover {
    /// The leaving target.
    pub(crate) home: TargetKey,
    /// The agent's incarnation that ends.
    pub(crate) incarnation: IncarnationId,
    /// The time of the handover, by the clock of that incarnation.
    #[serde(rename = "clock")]
    pub(crate) handed_over_at: ClockMillis,
    /// The used tickets.
    pub(crate) tickets: Vec<HandoverTicket>,
}

impl LedgerHandover {
    pub(super) fn new<'a>(
        home: TargetKey,
        incarnation: IncarnationId,
        now: ClockMillis,
        entries: impl Iterator<Item = &'a LedgerEntry>,
    ) -> Self {
        let tickets = entries
            .map(|entry| HandoverTicket {
                serial: entry.serial,
                fingerprint: entry.fingerprint,
                keep_for: entry.keep_until.since(now),
                state: handover_state(&entry.state),
            })
            .collect();
        Self {
            home,
            incarnation,
            handed_over_at: now,
            tickets,
        }
    }
}

fn handover_state(state: &EntryState) -> HandoverState {
    match state {
        EntryState::Finished(outcome) => HandoverState::Finished(KeptOutcome::clone(outcome)),
        EntryState::FinishedUnkept => HandoverState::FinishedUnkept,
        EntryState::Running { .. } | EntryState::Unknown => HandoverState::Unknown,
        EntryState::Refused => HandoverState::Refused,
    }
}
