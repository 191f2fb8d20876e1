use std::{collections::HashMap, sync::Arc};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    HandoverState, HandoverTicket, KeptOutcome, LedgerHandover, RequestFingerprint, SealedTicket,
    TicketVerdict,
};
use crate::{
    agent::outcome::FinalAnswer,
    clock::{ClockMillis, SpanMillis},
    key::{IncarnationId, TargetKey},
};

/// The number of peers that receive a leaving agent's ledger.
const SUCCESSOR_COUNT: usize = 2;
/// The maximum number of stored ledgers.
const MAX_LEDGERS: usize = 16;
/// How long a ledger is stored at least: until its unused tickets have expired.
const MIN_KEEP_MILLIS: SpanMillis = SpanMillis::new(300_000);

/// A used ticket of an agent that has left.
#[derive(Debug)]
struct StoredTicket {
    fingerprint: RequestFingerprint,
    state: StoredState,
}

/// How the run under a stored ticket ended.
#[derive(Debug)]
enum StoredState {
    Finished(Arc<KeptOutcome>),
    FinishedUnkept,
    Unknown,
    Refused,
}

/// The ledger of an agent that has left.
#[derive(Debug)]
struct StoredLedger {
    home: TargetKey,
    handed_over_at: ClockMillis,
    keep_until: ClockMillis,
    tickets: HashMap<u64, StoredTicket>,
}

/// Ledgers handed over by leaving peers, to answer requests with their tickets.
#[derive(Debug, Default)]
pub(crate) struct HandoverStore {
    ledgers: HashMap<IncarnationId, StoredLedger>,
}

impl HandoverStore {
    /// Stores a peer's ledger; evicts the one that expires first when full.
    pub(crate) fn insert(&mut self, handover: LedgerHandover, now: ClockMillis) {
        self.expire(now);
        if self.ledgers.len() >= MAX_LEDGERS {
            self.evict_first_expiring();
        }
        let longest = handover.tickets.iter().map(|ticket| ticket.keep_for).max();
        let keep_for = longest.unwrap_or_default().max(MIN_KEEP_MILLIS);
        let ledger = StoredLedger {
            home: handover.home,
            handed_over_at: handover.handed_over_at,
            keep_until: now.after(keep_for),
            tickets: handover.tickets.into_iter().map(store_ticket).collect(),
        };
        self.ledgers.insert(handover.incarnation, ledger);
    }

    /// Decides on a ticket of a peer that has left; `None` if its ledger is not stored.
    pub(crate) fn present(
        &mut self,
        ticket: SealedTicket,
        fingerprint: RequestFingerprint,
        now: ClockMillis,
    ) -> Option<TicketVerdict> {
        self.expire(now);
        let ledger = self.ledgers.get(&ticket.incarnation)?;
        if ledger.home != ticket.home {
            return None;
        }
        Some(ledger.answer(ticket, fingerprint))
    }

    /// Returns the number of stored ledgers.
    pub(crate) fn len(&self) -> usize {
        self.ledgers.len()
    }

    fn expire(&mut self, now: ClockMillis) {
        self.ledgers.retain(|_, ledger| ledger.keep_until > now);
    }

    fn evict_first_expiring(&mut self) {
        let first = self
            .ledgers
            .iter()
            .min_by_key(|(incarnation, ledger)| (ledger.keep_until, **incarnation))
            .map(|(incarnation, _)| *incarnation);
        if let Some(incarnation) = first {
            self.ledgers.remove(&incarnation);
        }
    }
}

impl StoredLedger {
    fn answer(&self, ticket: SealedTicket, fingerprint: RequestFingerprint) -> TicketVerdict {
        let Some(stored) = self.tickets.get(&ticket.serial) else {
            return TicketVerdict::Answer(self.answer_unlisted(ticket));
        };
        if stored.fingerprint != fingerprint {
            return TicketVerdict::Answer(FinalAnswer::TicketMismatch);
        }
        match &stored.state {
            StoredState::Finished(outcome) => TicketVerdict::Replay(Arc::clone(outcome)),
            StoredState::FinishedUnkept => TicketVerdict::Answer(FinalAnswer::AnswerNotKept),
            StoredState::Unknown => TicketVerdict::Answer(FinalAnswer::OutcomeUnknown),
            StoredState::Refused => TicketVerdict::Answer(FinalAnswer::TicketNeeded),
        }
    }

    /// Returns the answer for a ticket that the ledger does not list.
    ///
    /// A ticket that had expired by then may have run and been removed before.
    fn answer_unlisted(&self, ticket: SealedTicket) -> FinalAnswer {
        if ticket.expires <= self.handed_over_at {
            FinalAnswer::OutcomeUnknown
        } else {
            FinalAnswer::TicketNeeded
        }
    }
}

/// Chooses the peers that answer for an agent that has left, by rendezvous hashing.
///
/// Agents that know the same peers choose the same ones in the same order.
pub(crate) fn choose_successors(
    incarnation: IncarnationId,
    peers: impl Iterator<Item = TargetKey>,
) -> Vec<TargetKey> {
    let mut scored: Vec<(u64, TargetKey)> =
        peers.map(|peer| (score(incarnation, peer), peer)).collect();
    scored.sort_unstable();
    scored
        .into_iter()
        .take(SUCCESSOR_COUNT)
        .map(|(_, peer)| peer)
        .collect()
}

fn score(incarnation: IncarnationId, peer: TargetKey) -> u64 {
    let address = peer.address();
    let mut bytes = [0; 6];
    bytes[..4].copy_from_slice(&address.ip().octets());
    bytes[4..].copy_from_slice(&address.port().to_be_bytes());
    xxh3_64_with_seed(&bytes, incarnation.number())
}

fn store_ticket(ticket: HandoverTicket) -> (u64, StoredTicket) {
    let state = match ticket.state {
        HandoverState::Finished(outcome) => StoredState::Finished(Arc::new(outcome)),
        HandoverState::FinishedUnkept => StoredState::FinishedUnkept,
        HandoverState::Unknown => StoredState::Unknown,
        HandoverState::Refused => StoredState::Refused,
    };
    let fingerprint = ticket.fingerprint;
    (ticket.serial, StoredTicket { fingerprint, state })
}
