use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use serde::Serialize;
use slotmap::SlotMap;

use super::{
    DetachVerdict, KeptOutcome, LedgerHandover, RequestFingerprint, RunKey, RunOutcome,
    SealedTicket, TicketError, TicketVerdict,
    ledger_entry::{EntryState, LedgerEntry},
};
use crate::{
    agent::outcome::{FinalAnswer, NotRunCause},
    clock::{ClockMillis, SpanMillis},
    key::{IncarnationId, ServiceNumber, TargetKey},
    secret::KeyRing,
};

/// How long a fresh ticket may be used for its first attempt.
const TICKET_MILLIS: SpanMillis = SpanMillis::new(300_000);
/// How long an outcome is kept at least once it is there.
const KEEP_MILLIS: SpanMillis = SpanMillis::new(120_000);
/// When to come back while the ledger is full.
const FULL_RETRY_MILLIS: SpanMillis = SpanMillis::new(2_000);

/// How much the ledger may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LedgerLimits {
    /// Tickets that ran, run or may have run.
    pub(crate) tickets: usize,
    /// Tickets that were refused before a watermark replaces them.
    pub(crate) refused: usize,
    /// Bytes of kept outcomes.
    pub(crate) bytes: usize,
}

impl LedgerLimits {
    /// The limits of an agent.
    pub(crate) const DEFAULT: Self = Self {
        tickets: 32_768,
        refused: 8_192,
        bytes: 8 * 1_024 * 1_024,
    };
}

/// What the ledger holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) struct LedgerCounts {
    /// Tickets that were used and are remembered.
    pub(crate) tickets: usize,
    /// Those among them that were refused.
    pub(crate) refused: usize,
    /// Bytes of kept outcomes.
    pub(crate) bytes: usize,
    /// Tickets that were minted since the start.
    pub(crate) minted: u64,
    /// Whether no new run is begun any more.
    pub(crate) closed: bool,
}

/// Knows every ticket of one run of an agent, and runs each at most once.
///
/// A minted ticket takes no memory until it is used. A used one is never
/// forgotten before it has expired, so one that is unknown and not expired
/// has not run. Tickets are numbered in the order of minting: refused ones
/// that are too many to remember are covered by a watermark, below which an
/// unknown ticket never runs.
#[derive(Debug)]
pub(crate) struct TicketLedger {
    home: TargetKey,
    service: ServiceNumber,
    incarnation: IncarnationId,
    limits: LedgerLimits,
    entries: SlotMap<RunKey, LedgerEntry>,
    serials: HashMap<u64, RunKey>,
    expiry: BTreeSet<(ClockMillis, RunKey)>,
    refused: usize,
    bytes: usize,
    minted: u64,
    watermark: u64,
    closed: bool,
}

impl TicketLedger {
    /// Creates the empty ledger of a run that has just begun.
    pub(crate) fn new(
        home: TargetKey,
        service: ServiceNumber,
        incarnation: IncarnationId,
        limits: LedgerLimits,
    ) -> Self {
        Self {
            home,
            service,
            incarnation,
            limits,
            entries: SlotMap::with_key(),
            serials: HashMap::new(),
            expiry: BTreeSet::new(),
            refused: 0,
            bytes: 0,
            minted: 0,
            watermark: 0,
            closed: false,
        }
    }

    /// Mints a fresh ticket.
    pub(crate) fn mint(&mut self, keys: &KeyRing, now: ClockMillis) -> String {
        self.minted += 1;
        SealedTicket {
            home: self.home,
            service: self.service,
            incarnation: self.incarnation,
            serial: self.minted,
            expires: now.after(TICKET_MILLIS),
        }
        .seal(keys)
    }

    /// Decides on a request that carries the key `text`.
    pub(crate) fn present(
        &mut self,
        text: &str,
        keys: &KeyRing,
        fingerprint: RequestFingerprint,
        now: ClockMillis,
    ) -> TicketVerdict {
        self.expire(now);
        let ticket = match SealedTicket::open(text, keys) {
            Ok(ticket) => ticket,
            Err(TicketError::NoTicket) => return TicketVerdict::Answer(FinalAnswer::TicketNeeded),
            Err(TicketError::Unsealed) => {
                return TicketVerdict::Answer(FinalAnswer::OutcomeUnknown);
            }
        };
        if ticket.service != self.service {
            // A ticket of another service never ran in this one and never will.
            return TicketVerdict::Answer(FinalAnswer::TicketMismatch);
        }
        if ticket.home != self.home || ticket.incarnation != self.incarnation {
            return TicketVerdict::Relay(ticket);
        }
        match self.serials.get(&ticket.serial) {
            Some(run) => self.present_known(*run, fingerprint),
            None => self.present_fresh(ticket, fingerprint, now),
        }
    }

    /// Records how the one run under a ticket ended.
    pub(crate) fn settle(&mut self, run: RunKey, outcome: RunOutcome, now: ClockMillis) {
        let Some(entry) = self.entries.get(run) else {
            return;
        };
        let EntryState::Running { attached } = entry.state else {
            return;
        };
        let state = match outcome {
            RunOutcome::Finished(answer) => self.keep_answer(answer),
            RunOutcome::FinishedUnkept => EntryState::FinishedUnkept,
            RunOutcome::Unknown => EntryState::Unknown,
            RunOutcome::Withdrawn if attached == 0 => {
                self.forget(run);
                return;
            }
            // Whoever still waits is told that it did not run.
            RunOutcome::NotRun | RunOutcome::Withdrawn => {
                self.refused += 1;
                EntryState::Refused
            }
        };
        self.replace_state(run, state, now);
        self.compact_refused();
    }

    /// Returns how a run that was waited for has ended; nothing while it runs.
    pub(crate) fn outcome(&self, run: RunKey) -> Option<TicketVerdict> {
        match self.entries.get(run) {
            Some(entry) => settled_verdict(&entry.state),
            None => Some(TicketVerdict::Answer(FinalAnswer::OutcomeUnknown)),
        }
    }

    /// Counts one caller of a run less.
    pub(crate) fn detach(&mut self, run: RunKey) -> DetachVerdict {
        let Some(LedgerEntry {
            state: EntryState::Running { attached },
            ..
        }) = self.entries.get_mut(run)
        else {
            return DetachVerdict::NobodyWaits;
        };
        *attached = attached.saturating_sub(1);
        if *attached == 0 {
            DetachVerdict::NobodyWaits
        } else {
            DetachVerdict::OthersWait
        }
    }

    /// Begins no new run from now on and returns what a peer has to know.
    ///
    /// A run that is still on its way is handed over as unknown.
    pub(crate) fn hand_over(&mut self, now: ClockMillis) -> LedgerHandover {
        self.closed = true;
        self.expire(now);
        LedgerHandover::new(self.home, self.incarnation, now, self.entries.values())
    }

    /// Returns what the ledger holds.
    pub(crate) fn counts(&self) -> LedgerCounts {
        LedgerCounts {
            tickets: self.entries.len(),
            refused: self.refused,
            bytes: self.bytes,
            minted: self.minted,
            closed: self.closed,
        }
    }

    fn present_known(&mut self, run: RunKey, fingerprint: RequestFingerprint) -> TicketVerdict {
        let entry = &mut self.entries[run];
        if entry.fingerprint != fingerprint {
            return TicketVerdict::Answer(FinalAnswer::TicketMismatch);
        }
        if let EntryState::Running { attached } = &mut entry.state {
            *attached += 1;
            return TicketVerdict::Await(run);
        }
        settled_verdict(&entry.state).unwrap_or(TicketVerdict::Await(run))
    }

    fn present_fresh(
        &mut self,
        ticket: SealedTicket,
        fingerprint: RequestFingerprint,
        now: ClockMillis,
    ) -> TicketVerdict {
        if ticket.expires <= now {
            // It may have run and been forgotten since.
            return TicketVerdict::Answer(FinalAnswer::OutcomeUnknown);
        }
        if self.closed || ticket.serial <= self.watermark {
            return TicketVerdict::Answer(FinalAnswer::TicketNeeded);
        }
        if self.entries.len() - self.refused >= self.limits.tickets {
            self.watermark = ticket.serial;
            return TicketVerdict::Answer(FinalAnswer::NotRun {
                cause: NotRunCause::LedgerFull,
                retry_after: FULL_RETRY_MILLIS,
            });
        }
        let keep_until = ticket.expires;
        let run = self.entries.insert(LedgerEntry {
            serial: ticket.serial,
            fingerprint,
            keep_until,
            state: EntryState::Running { attached: 1 },
        });
        self.serials.insert(ticket.serial, run);
        self.expiry.insert((keep_until, run));
        TicketVerdict::Run(run)
    }

    fn keep_answer(&mut self, answer: KeptOutcome) -> EntryState {
        let bytes = answer.bytes();
        if self.bytes + bytes > self.limits.bytes {
            return EntryState::FinishedUnkept;
        }
        self.bytes += bytes;
        EntryState::Finished(Arc::new(answer))
    }

    fn replace_state(&mut self, run: RunKey, state: EntryState, now: ClockMillis) {
        let entry = &mut self.entries[run];
        self.expiry.remove(&(entry.keep_until, run));
        entry.state = state;
        entry.keep_until = entry.keep_until.max(now.after(KEEP_MILLIS));
        self.expiry.insert((entry.keep_until, run));
    }

    /// Lets the watermark cover the refused tickets once they are too many.
    fn compact_refused(&mut self) {
        if self.refused <= self.limits.refused {
            return;
        }
        let refused: Vec<RunKey> = self
            .entries
            .iter()
            .filter(|(_, entry)| matches!(entry.state, EntryState::Refused))
            .map(|(run, _)| run)
            .collect();
        for run in refused {
            let serial = self.entries[run].serial;
            self.watermark = self.watermark.max(serial);
            self.forget(run);
        }
    }

    fn expire(&mut self, now: ClockMillis) {
        let mut running = Vec::new();
        while let Some((end, run)) = self.expiry.first().copied() {
            if end > now {
                break;
            }
            self.expiry.pop_first();
            if matches!(self.entries[run].state, EntryState::Running { .. }) {
                running.push(run);
            } else {
                self.forget(run);
            }
        }
        for run in running {
            let later = now.after(KEEP_MILLIS);
            self.entries[run].keep_until = later;
            self.expiry.insert((later, run));
        }
    }

    fn forget(&mut self, run: RunKey) {
        let Some(entry) = self.entries.remove(run) else {
            return;
        };
        self.expiry.remove(&(entry.keep_until, run));
        self.serials.remove(&entry.serial);
        self.bytes -= entry.kept_bytes();
        if matches!(entry.state, EntryState::Refused) {
            self.refused -= 1;
        }
    }
}

/// Returns the answer of a run that has ended; nothing while it runs.
fn settled_verdict(state: &EntryState) -> Option<TicketVerdict> {
    match state {
        EntryState::Running { .. } => None,
        EntryState::Finished(outcome) => Some(TicketVerdict::Replay(Arc::clone(outcome))),
        EntryState::FinishedUnkept => Some(TicketVerdict::Answer(FinalAnswer::AnswerNotKept)),
        EntryState::Unknown => Some(TicketVerdict::Answer(FinalAnswer::OutcomeUnknown)),
        EntryState::Refused => Some(TicketVerdict::Answer(FinalAnswer::TicketNeeded)),
    }
}
