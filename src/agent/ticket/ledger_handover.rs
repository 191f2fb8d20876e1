use serde::{Deserialize, Serialize};

use super::{
    KeptOutcome, RequestFingerprint,
    ledger_entry::{EntryState, LedgerEntry},
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    key::{IncarnationId, TargetKey},
};

/// How a run ended, as it is told to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum HandedState {
    /// It ran, and this is the whole answer.
    Finished(KeptOutcome),
    /// It ran, and its answer was not kept.
    FinishedUnkept,
    /// It may have run.
    Unknown,
    /// It did not run and never will.
    Refused,
}

/// A used ticket, as it is told to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HandedTicket {
    /// The ticket's place in the order of minting.
    pub(crate) serial: u64,
    /// The content that it was used for.
    pub(crate) fingerprint: RequestFingerprint,
    /// How long it is to be kept.
    pub(crate) keep: SpanMillis,
    /// How the run ended.
    pub(crate) state: HandedState,
}

/// Everything that a leaving agent knows of its tickets.
///
/// The leaving agent begins no run any more, so a ticket that is not listed
/// did not run and never will, as long as it has not expired.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LedgerHandover {
    /// The target that leaves.
    pub(crate) home: TargetKey,
    /// The run that ends.
    pub(crate) incarnation: IncarnationId,
    /// The clock of that run when it handed over.
    pub(crate) clock: ClockMillis,
    /// Its used tickets.
    pub(crate) tickets: Vec<HandedTicket>,
}

impl LedgerHandover {
    pub(super) fn new<'a>(
        home: TargetKey,
        incarnation: IncarnationId,
        now: ClockMillis,
        entries: impl Iterator<Item = &'a LedgerEntry>,
    ) -> Self {
        let tickets = entries
            .map(|entry| HandedTicket {
                serial: entry.serial,
                fingerprint: entry.fingerprint,
                keep: entry.keep_until.since(now),
                state: handed_state(&entry.state),
            })
            .collect();
        Self {
            home,
            incarnation,
            clock: now,
            tickets,
        }
    }
}

fn handed_state(state: &EntryState) -> HandedState {
    match state {
        EntryState::Finished(outcome) => HandedState::Finished(KeptOutcome::clone(outcome)),
        EntryState::FinishedUnkept => HandedState::FinishedUnkept,
        EntryState::Running { .. } | EntryState::Unknown => HandedState::Unknown,
        EntryState::Refused => HandedState::Refused,
    }
}
