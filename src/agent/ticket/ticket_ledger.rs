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

/// How long a minted ticket is valid for its first use.
const TICKET_TTL_MILLIS: SpanMillis = SpanMillis::new(300_000);
/// How long an outcome is kept at least.
const MIN_KEEP_MILLIS: SpanMillis = SpanMillis::new(120_000);
/// `retry_after` while the ledger is full.
const FULL_RETRY_MILLIS: SpanMillis = SpanMillis::new(2_000);

/// The capacity of a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LedgerLimits {
    /// Used tickets that were not refused.
    pub(crate) tickets: usize,
    /// Refused tickets, before the watermark replaces their entries.
    pub(crate) refused: usize,
    /// Bytes of kept outcomes.
    pub(crate) bytes: usize,
}

impl LedgerLimits {
    /// The limits in production.
    pub(crate) const DEFAULT: Self = Self {
        tickets: 32_768,
        refused: 8_192,
        bytes: 8 * 1_024 * 1_024,
    };
}

/// The size and state of a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) struct LedgerCounts {
    /// Used tickets with an entry.
    pub(crate) tickets: usize,
    /// Refused tickets among them.
    pub(crate) refused: usize,
    /// Bytes of kept outcomes.
    pub(crate) bytes: usize,
    /// Tickets minted since the start.
    pub(crate) minted: u64,
    /// Whether the ledger was handed over and starts no new run.
    pub(crate) closed: bool,
}

/// Tracks the tickets of one incarnation of an agent and lets each run at most once.
///
/// A minted ticket uses no memory until it is used. The entry of a used ticket
/// is kept until the ticket has expired, so a ticket without an entry that has
/// not expired did not run. Serial numbers follow the order of minting: when
/// there are too many refused tickets, a watermark replaces their entries, and a
/// ticket without an entry at or below the watermark never runs.
#[derive(Debug)]
pub(crate) struct TicketLedger {
    home: TargetKey,
    service: ServiceNumber,
    incarnation: IncarnationId,
    limits: LedgerLimits,
    entries: SlotMap<RunKey, LedgerEntry>,
    runs_by_serial: HashMap<u64, RunKey>,
    expiry: BTreeSet<(ClockMillis, RunKey)>,
    refused: usize,
    bytes: usize,
    minted: u64,
    watermark: u64,
    closed: bool,
}

impl TicketLedger {
    /// Creates the empty ledger of a new incarnation.
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
            runs_by_serial: HashMap::new(),
            expiry: BTreeSet::new(),
            refused: 0,
            bytes: 0,
            minted: 0,
            watermark: 0,
            closed: false,
        }
    }

    /// Mints a new ticket.
    pub(crate) fn mint(&mut self, keys: &KeyRing, now: ClockMillis) -> String {
        self.minted += 1;
        SealedTicket {
            home: self.home,
            service: self.service,
            incarnation: self.incarnation,
            serial: self.minted,
            expires: now.after(TICKET_TTL_MILLIS),
        }
        .seal(keys)
    }

    /// Decides on a request with the idempotency key `text`.
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
            Err(TicketError::Malformed) => return TicketVerdict::Answer(FinalAnswer::TicketNeeded),
            Err(TicketError::InvalidSeal) => {
                return TicketVerdict::Answer(FinalAnswer::OutcomeUnknown);
            }
        };
        if ticket.service != self.service {
            // A ticket of another service never ran on this one and never will.
            return TicketVerdict::Answer(FinalAnswer::TicketMismatch);
        }
        if ticket.home != self.home || ticket.incarnation != self.incarnation {
            return TicketVerdict::Relay(ticket);
        }
        match self.runs_by_serial.get(&ticket.serial) {
            Some(run) => self.present_known(*run, fingerprint),
            None => self.present_unknown(ticket, fingerprint, now),
        }
    }

    /// Records how the run under a ticket ended.
    pub(crate) fn settle(&mut self, run: RunKey, outcome: RunOutcome, now: ClockMillis) {
        let Some(entry) = self.entries.get(run) else {
            return;
        };
        let EntryState::Running { attached } = entry.state else {
            return;
        };
        let state = match outcome {
            RunOutcome::Finished(answer) => self.store_answer(answer),
            RunOutcome::FinishedUnkept => EntryState::FinishedUnkept,
            RunOutcome::Unknown => EntryState::Unknown,
            RunOutcome::Withdrawn if attached == 0 => {
                self.remove_entry(run);
                return;
            }
            // Callers that still wait get the answer that it did not run.
            RunOutcome::NotRun | RunOutcome::Withdrawn => {
                self.refused += 1;
                EntryState::Refused
            }
        };
        self.replace_state(run, state, now);
        self.compact_refused();
    }

    /// Returns the result of a run; `None` while it is in progress.
    pub(crate) fn outcome(&self, run: RunKey) -> Option<TicketVerdict> {
        match self.entries.get(run) {
            Some(entry) => settled_verdict(&entry.state),
            None => Some(TicketVerdict::Answer(FinalAnswer::OutcomeUnknown)),
        }
    }

    /// Detaches one caller from a run.
    pub(crate) fn detach(&mut self, run: RunKey) -> DetachVerdict {
        let Some(LedgerEntry {
            state: EntryState::Running { attached },
            ..
        }) = self.entries.get_mut(run)
        else {
            return DetachVerdict::NoCallerWaits;
        };
        *attached = attached.saturating_sub(1);
        if *attached == 0 {
            DetachVerdict::NoCallerWaits
        } else {
            DetachVerdict::OthersWait
        }
    }

    /// Closes the ledger to new runs and returns its content for a peer.
    ///
    /// A run in progress is handed over as unknown.
    pub(crate) fn hand_over(&mut self, now: ClockMillis) -> LedgerHandover {
        self.closed = true;
        self.expire(now);
        LedgerHandover::new(self.home, self.incarnation, now, self.entries.values())
    }

    /// Returns the size and state of the ledger.
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

    fn present_unknown(
        &mut self,
        ticket: SealedTicket,
        fingerprint: RequestFingerprint,
        now: ClockMillis,
    ) -> TicketVerdict {
        if ticket.expires <= now {
            // It may have run, and its entry has been removed since.
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
        self.runs_by_serial.insert(ticket.serial, run);
        self.expiry.insert((keep_until, run));
        TicketVerdict::Run(run)
    }

    fn store_answer(&mut self, answer: KeptOutcome) -> EntryState {
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
        entry.keep_until = entry.keep_until.max(now.after(MIN_KEEP_MILLIS));
        self.expiry.insert((entry.keep_until, run));
    }

    /// Replaces the entries of refused tickets by the watermark once there are too many.
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
            self.remove_entry(run);
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
                self.remove_entry(run);
            }
        }
        for run in running {
            let later = now.after(MIN_KEEP_MILLIS);
            self.entries[run].keep_until = later;
            self.expiry.insert((later, run));
        }
    }

    fn remove_entry(&mut self, run: RunKey) {
        let Some(entry) = self.entries.remove(run) else {
            return;
        };
        self.expiry.remove(&(entry.keep_until, run));
        self.runs_by_serial.remove(&entry.serial);
        self.bytes -= entry.kept_bytes();
        if matches!(entry.state, EntryState::Refused) {
            self.refused -= 1;
        }
    }
}

/// Returns the verdict for a run that has ended; `None` while it is in progress.
fn settled_verdict(state: &EntryState) -> Option<TicketVerdict> {
    match state {
        EntryState::Running { .. } => None,
        EntryState::Finished(outcome) => Some(TicketVerdict::Replay(Arc::clone(outcome))),
        EntryState::FinishedUnkept => Some(TicketVerdict::Answer(FinalAnswer::AnswerNotKept)),
        EntryState::Unknown => Some(TicketVerdict::Answer(FinalAnswer::OutcomeUnknown)),
        EntryState::Refused => Some(TicketVerdict::Answer(FinalAnswer::TicketNeeded)),
    }
}
