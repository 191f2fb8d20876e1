use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::KeptOutcome;
use crate::clock::ClockMillis;

/// Tells requests of different content apart that carry the same ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// Takes in what is known of a request before its body is read.
    pub(crate) fn new(method: &str, path: &str, length: Option<u64>) -> Self {
        let mut hash = Xxh3::new();
        hash.update(method.as_bytes());
        hash.update(&[0]);
        hash.update(path.as_bytes());
        hash.update(&[0]);
        hash.update(&length.map_or(u64::MAX, |bytes| bytes).to_be_bytes());
        Self(hash.digest())
    }
}

/// How the one run under a ticket ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RunOutcome {
    /// It ran, and this is the whole answer.
    Finished(KeptOutcome),
    /// It ran, and its answer was too large to keep.
    FinishedUnkept,
    /// It may have run.
    Unknown,
    /// It did not run, and its callers were told so: it never will.
    NotRun,
    /// It did not run, and nobody was told so: a resend may run.
    Withdrawn,
}

/// What the ledger knows of a ticket that was used.
#[derive(Debug, Clone)]
pub(super) enum EntryState {
    /// The one run is on its way; so many callers wait for its outcome.
    Running { attached: u32 },
    /// It ran, and this is the whole answer.
    Finished(Arc<KeptOutcome>),
    /// It ran, and its answer was not kept.
    FinishedUnkept,
    /// It may have run.
    Unknown,
    /// It did not run and never will.
    Refused,
}

/// A ticket that was used.
#[derive(Debug, Clone)]
pub(super) struct LedgerEntry {
    pub(super) serial: u64,
    pub(super) fingerprint: RequestFingerprint,
    pub(super) keep_until: ClockMillis,
    pub(super) state: EntryState,
}

impl LedgerEntry {
    /// Returns the bytes of the outcome that the entry keeps.
    pub(super) fn kept_bytes(&self) -> usize {
        match &self.state {
            EntryState::Finished(outcome) => outcome.bytes(),
            _ => 0,
        }
    }
}
