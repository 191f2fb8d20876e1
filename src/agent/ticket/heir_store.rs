use std::{collections::HashMap, sync::Arc};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    HandedState, HandedTicket, KeptOutcome, LedgerHandover, RequestFingerprint, SealedTicket,
    TicketVerdict,
};
use crate::{
    agent::outcome::FinalAnswer,
    clock::{ClockMillis, SpanMillis},
    key::{IncarnationId, TargetKey},
};

/// Peers that get a copy of a leaving agent's tickets.
const HEIRS: usize = 2;
/// Ledgers of peers that are held at most.
const MOST_LEDGERS: usize = 16;
/// How long a ledger is held at least, so that unused tickets are answered.
const KEEP_MILLIS: SpanMillis = SpanMillis::new(300_000);

/// A used ticket of an agent that has left.
#[derive(Debug)]
struct HeldTicket {
    fingerprint: RequestFingerprint,
    state: HeldState,
}

/// How the run under it ended.
#[derive(Debug)]
enum HeldState {
    Finished(Arc<KeptOutcome>),
    FinishedUnkept,
    Unknown,
    Refused,
}

/// The tickets of an agent that has left.
#[derive(Debug)]
struct HeldLedger {
    home: TargetKey,
    handed_at: ClockMillis,
    keep_until: ClockMillis,
    tickets: HashMap<u64, HeldTicket>,
}

/// Answers for the tickets of peers that have left in order.
#[derive(Debug, Default)]
pub(crate) struct HeirStore {
    ledgers: HashMap<IncarnationId, HeldLedger>,
}

impl HeirStore {
    /// Takes over the tickets of a peer; the one that expires first makes room.
    pub(crate) fn take_over(&mut self, handover: LedgerHandover, now: ClockMillis) {
        self.expire(now);
        if self.ledgers.len() >= MOST_LEDGERS {
            self.drop_first();
        }
        let longest = handover.tickets.iter().map(|ticket| ticket.keep).max();
        let keep = longest.unwrap_or_default().max(KEEP_MILLIS);
        let ledger = HeldLedger {
            home: handover.home,
            handed_at: handover.clock,
            keep_until: now.after(keep),
            tickets: handover.tickets.into_iter().map(hold_ticket).collect(),
        };
        self.ledgers.insert(handover.incarnation, ledger);
    }

    /// Answers for a ticket of a peer that has left; nothing if it is unknown.
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

    /// Returns how many ledgers are held.
    pub(crate) fn len(&self) -> usize {
        self.ledgers.len()
    }

    fn expire(&mut self, now: ClockMillis) {
        self.ledgers.retain(|_, ledger| ledger.keep_until > now);
    }

    fn drop_first(&mut self) {
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

impl HeldLedger {
    fn answer(&self, ticket: SealedTicket, fingerprint: RequestFingerprint) -> TicketVerdict {
        let Some(held) = self.tickets.get(&ticket.serial) else {
            return TicketVerdict::Answer(self.answer_unused(ticket));
        };
        if held.fingerprint != fingerprint {
            return TicketVerdict::Answer(FinalAnswer::TicketMismatch);
        }
        match &held.state {
            HeldState::Finished(outcome) => TicketVerdict::Replay(Arc::clone(outcome)),
            HeldState::FinishedUnkept => TicketVerdict::Answer(FinalAnswer::AnswerNotKept),
            HeldState::Unknown => TicketVerdict::Answer(FinalAnswer::OutcomeUnknown),
            HeldState::Refused => TicketVerdict::Answer(FinalAnswer::TicketNeeded),
        }
    }

    /// Answers for a ticket that was not used when its agent left.
    ///
    /// One that had expired by then may have run and been forgotten before.
    fn answer_unused(&self, ticket: SealedTicket) -> FinalAnswer {
        if ticket.expires <= self.handed_at {
            FinalAnswer::OutcomeUnknown
        } else {
            FinalAnswer::TicketNeeded
        }
    }
}

/// Returns the peers that answer for an agent that has left, best first.
///
/// Every agent names the same ones as long as it knows the same peers.
pub(crate) fn choose_heirs(
    incarnation: IncarnationId,
    peers: impl Iterator<Item = TargetKey>,
) -> Vec<TargetKey> {
    let mut scored: Vec<(u64, TargetKey)> =
        peers.map(|peer| (score(incarnation, peer), peer)).collect();
    scored.sort_unstable();
    scored
        .into_iter()
        .take(HEIRS)
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

fn hold_ticket(ticket: HandedTicket) -> (u64, HeldTicket) {
    let state = match ticket.state {
        HandedState::Finished(outcome) => HeldState::Finished(Arc::new(outcome)),
        HandedState::FinishedUnkept => HeldState::FinishedUnkept,
        HandedState::Unknown => HeldState::Unknown,
        HandedState::Refused => HeldState::Refused,
    };
    let fingerprint = ticket.fingerprint;
    (ticket.serial, HeldTicket { fingerprint, state })
}
