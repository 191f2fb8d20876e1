use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::KeptOutcome;
use crate::clock::ClockMillis;

/// A hash of a request, to detect different requests with the same ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// Hashes what is known before the body is read; `length` is the `Content-Length`.
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

/// How the run under a ticket ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RunOutcome {
    /// It ran; this is the complete answer.
    Finished(KeptOutcome),
    /// It ran, but its answer was too large to keep.
    FinishedUnkept,
    /// It may have run.
    Unknown,
    /// It did not run, and its callers received that answer: it never will.
    NotRun,
    /// It did not run, and no caller received an answer: a resent request may run.
    Withdrawn,
}

/// The state of a used ticket.
#[derive(Debug, Clone)]
pub(super) enum EntryState {
    /// The run is in progress; `attached` callers wait for its outcome.
    Running { attached: u32 },
    /// It ran; this is the complete answer.
    Finished(Arc<KeptOutcome>),
    /// It ran, but its answer was not kept.
    FinishedUnkept,
    /// It may have run.
    Unknown,
    /// It did not run and never will.
    Refused,
}

/// The ledger's record of a used ticket.
#[derive(Debug, Clone)]
pub(super) struct LedgerEntry {
    pub(super) serial: u64,
    pub(super) fingerprint: RequestFingerprint,
    pub(super) keep_until: ClockMillis,
    pub(super) state: EntryState,
}

impl LedgerEntry {
    /// Returns the size in bytes of the entry's outcome.
    pub(super) fn kept_bytes(&self) -> usize {
        match &self.state {
            EntryState::Finished(outcome) => outcome.bytes(),
            _ => 0,
        }
    }
}
