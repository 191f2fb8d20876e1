//! Tests of tickets, the ticket ledger and its handover.

use std::{
    fmt::Write,
    net::{Ipv4Addr, SocketAddrV4},
};

use proptest::prelude::*;
use rstest::rstest;

use super::{
    DetachVerdict, HandoverStore, KeptOutcome, LedgerLimits, RequestFingerprint, RunKey,
    RunOutcome, SealedTicket, TicketError, TicketLedger, TicketVerdict, choose_successors,
};
use crate::{
    agent::{
        outcome::{FinalAnswer, NotRunCause},
        tests::fixed_cases,
    },
    clock::ClockMillis,
    key::{IncarnationId, ServiceNumber, TargetKey},
    secret::{DeploymentSecret, KeyRing, SecretEpoch},
};

const NOW: ClockMillis = ClockMillis::ORIGIN;

fn key_ring(byte: u8) -> KeyRing {
    let secret = DeploymentSecret {
        active: 1,
        epochs: vec![SecretEpoch {
            epoch: 1,
            secret: vec![byte; 32],
        }],
    };
    KeyRing::new(&secret).expect("a valid secret")
}

fn target(port: u16) -> TargetKey {
    TargetKey::new(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}

fn ledger(limits: LedgerLimits) -> TicketLedger {
    let incarnation = IncarnationId::new(7);
    TicketLedger::new(target(1), ServiceNumber::new(3), incarnation, limits)
}

fn fingerprint() -> RequestFingerprint {
    RequestFingerprint::new("POST", "/feed/start", Some(12))
}

fn answer(length: usize) -> KeptOutcome {
    KeptOutcome {
        status: 200,
        headers: Vec::new(),
        body: vec![b'x'; length],
    }
}

fn begin(ledger: &mut TicketLedger, ticket: &str, now: ClockMillis) -> RunKey {
    match ledger.present(ticket, &key_ring(1), fingerprint(), now) {
        TicketVerdict::Run(run) => run,
        other => panic!("an unused ticket runs: {other:?}"),
    }
}

fn present(ledger: &mut TicketLedger, ticket: &str, now: ClockMillis) -> TicketVerdict {
    ledger.present(ticket, &key_ring(1), fingerprint(), now)
}

#[test]
fn a_resent_request_waits_for_the_run_and_gets_its_answer() {
    let mut ledger = ledger(LedgerLimits::DEFAULT);
    let ticket = ledger.mint(&key_ring(1), NOW);
    let run = begin(&mut ledger, &ticket, NOW);
    assert_eq!(
        present(&mut ledger, &ticket, NOW),
        TicketVerdict::Await(run)
    );
    assert_eq!(ledger.outcome(run), None);
    ledger.settle(run, RunOutcome::Finished(answer(3)), NOW);
    let replay = TicketVerdict::Replay(answer(3).into());
    assert_eq!(ledger.outcome(run), Some(replay.clone()));
    assert_eq!(present(&mut ledger, &ticket, NOW), replay);
}

#[rstest]
#[case(RunOutcome::Unknown, FinalAnswer::OutcomeUnknown)]
#[case(RunOutcome::FinishedUnkept, FinalAnswer::AnswerNotKept)]
#[case(RunOutcome::NotRun, FinalAnswer::TicketNeeded)]
fn a_settled_ticket_never_runs_again(#[case] outcome: RunOutcome, #[case] expected: FinalAnswer) {
    let mut ledger = ledger(LedgerLimits::DEFAULT);
    let ticket = ledger.mint(&key_ring(1), NOW);
    let run = begin(&mut ledger, &ticket, NOW);
    ledger.settle(run, outcome, NOW);
    ledger.settle(run, RunOutcome::Finished(answer(1)), NOW);
    let verdict = present(&mut ledger, &ticket, NOW);
    assert_eq!(verdict, TicketVerdict::Answer(expected));
}

#[test]
fn a_withdrawn_ticket_may_run_later_unless_another_caller_waited() {
    let mut ledger = ledger(LedgerLimits::DEFAULT);
    let ticket = ledger.mint(&key_ring(1), NOW);
    let run = begin(&mut ledger, &ticket, NOW);
    assert_eq!(ledger.detach(run), DetachVerdict::NoCallerWaits);
    ledger.settle(run, RunOutcome::Withdrawn, NOW);
    let run = begin(&mut ledger, &ticket, NOW);
    present(&mut ledger, &ticket, NOW);
    assert_eq!(ledger.detach(run), DetachVerdict::OthersWait);
    ledger.settle(run, RunOutcome::Withdrawn, NOW);
    let needed = TicketVerdict::Answer(FinalAnswer::TicketNeeded);
    assert_eq!(ledger.outcome(run), Some(needed.clone()));
    assert_eq!(present(&mut ledger, &ticket, NOW), needed);
}

#[test]
fn an_expired_ticket_never_runs_and_never_counts_as_not_run() {
    let mut ledger = ledger(LedgerLimits::DEFAULT);
    let used = ledger.mint(&key_ring(1), NOW);
    let run = begin(&mut ledger, &used, NOW);
    ledger.settle(run, RunOutcome::Finished(answer(1)), NOW);
    let fresh = ledger.mint(&key_ring(1), NOW);
    let late = ClockMillis::new(300_000);
    let unknown = TicketVerdict::Answer(FinalAnswer::OutcomeUnknown);
    assert_eq!(present(&mut ledger, &used, late), unknown);
    assert_eq!(present(&mut ledger, &fresh, late), unknown);
    assert_eq!(ledger.counts().bytes, 0);
}

#[test]
fn a_run_that_outlasts_its_ticket_is_not_forgotten() {
    let mut ledger = ledger(LedgerLimits::DEFAULT);
    let ticket = ledger.mint(&key_ring(1), NOW);
    let run = begin(&mut ledger, &ticket, NOW);
    let late = ClockMillis::new(10_000_000);
    assert_eq!(
        present(&mut ledger, &ticket, late),
        TicketVerdict::Await(run)
    );
    ledger.settle(run, RunOutcome::Finished(answer(1)), late);
    let verdict = present(&mut ledger, &ticket, late);
    assert!(matches!(verdict, TicketVerdict::Replay(_)));
}

#[test]
fn a_full_ledger_refuses_for_good_and_keeps_its_entries() {
    let limits = LedgerLimits {
        tickets: 2,
        refused: 2,
        bytes: 100,
    };
    let mut ledger = ledger(limits);
    let tickets: Vec<String> = (0..4).map(|_| ledger.mint(&key_ring(1), NOW)).collect();
    let run = begin(&mut ledger, &tickets[0], NOW);
    ledger.settle(run, RunOutcome::Finished(answer(10)), NOW);
    let run = begin(&mut ledger, &tickets[1], NOW);
    ledger.settle(run, RunOutcome::Finished(answer(90)), NOW);
    let verdict = present(&mut ledger, &tickets[3], NOW);
    let TicketVerdict::Answer(FinalAnswer::NotRun { cause, .. }) = verdict else {
        panic!("the ledger is full: {verdict:?}");
    };
    assert_eq!(cause, NotRunCause::LedgerFull);
    let first = present(&mut ledger, &tickets[0], NOW);
    assert!(matches!(first, TicketVerdict::Replay(_)));
    let second = present(&mut ledger, &tickets[1], NOW);
    assert_eq!(second, TicketVerdict::Answer(FinalAnswer::AnswerNotKept));
    // Once there is room again, tickets up to the refused one stay refused.
    let later = ClockMillis::new(200_000);
    let fresh = ledger.mint(&key_ring(1), later);
    let much_later = ClockMillis::new(300_000);
    for old in &tickets[2..] {
        let verdict = present(&mut ledger, old, ClockMillis::new(299_999));
        assert_eq!(verdict, TicketVerdict::Answer(FinalAnswer::TicketNeeded));
    }
    begin(&mut ledger, &fresh, much_later);
}

#[test]
fn refused_tickets_use_bounded_memory_and_stay_refused() {
    let limits = LedgerLimits {
        tickets: 10,
        refused: 100,
        bytes: 1_000,
    };
    let mut ledger = ledger(limits);
    let tickets: Vec<String> = (0..1_000).map(|_| ledger.mint(&key_ring(1), NOW)).collect();
    for ticket in &tickets {
        let run = begin(&mut ledger, ticket, NOW);
        ledger.settle(run, RunOutcome::NotRun, NOW);
        assert!(ledger.counts().tickets <= 101);
    }
    for ticket in &tickets {
        let verdict = present(&mut ledger, ticket, NOW);
        assert_eq!(verdict, TicketVerdict::Answer(FinalAnswer::TicketNeeded));
    }
}

#[test]
fn other_content_under_the_same_ticket_is_refused() {
    let mut ledger = ledger(LedgerLimits::DEFAULT);
    let ticket = ledger.mint(&key_ring(1), NOW);
    begin(&mut ledger, &ticket, NOW);
    let other = RequestFingerprint::new("POST", "/feed/stop", Some(12));
    let verdict = ledger.present(&ticket, &key_ring(1), other, NOW);
    assert_eq!(verdict, TicketVerdict::Answer(FinalAnswer::TicketMismatch));
}

#[test]
fn malformed_keys_are_distinguished_from_tickets_with_an_invalid_seal() {
    let mut ledger = ledger(LedgerLimits::DEFAULT);
    let ticket = ledger.mint(&key_ring(1), NOW);
    assert_eq!(
        SealedTicket::open("order-17", &key_ring(1)),
        Err(TicketError::Malformed)
    );
    assert_eq!(
        SealedTicket::open(&ticket, &key_ring(2)),
        Err(TicketError::InvalidSeal)
    );
    let mut forged = ticket.clone();
    forged.replace_range(60..61, if &ticket[60..61] == "0" { "1" } else { "0" });
    assert_eq!(
        SealedTicket::open(&forged, &key_ring(1)),
        Err(TicketError::InvalidSeal)
    );
}

#[test]
fn another_run_of_the_agent_relays_the_ticket() {
    let ticket = ledger(LedgerLimits::DEFAULT).mint(&key_ring(1), NOW);
    let next = IncarnationId::new(8);
    let service = ServiceNumber::new(3);
    let mut ledger = TicketLedger::new(target(1), service, next, LedgerLimits::DEFAULT);
    assert!(matches!(
        present(&mut ledger, &ticket, NOW),
        TicketVerdict::Relay(_)
    ));
}

#[test]
fn a_successor_answers_for_the_agent_that_left() {
    let mut ledger = ledger(LedgerLimits::DEFAULT);
    let tickets: Vec<String> = (0..3).map(|_| ledger.mint(&key_ring(1), NOW)).collect();
    let run = begin(&mut ledger, &tickets[0], NOW);
    ledger.settle(run, RunOutcome::Finished(answer(5)), NOW);
    begin(&mut ledger, &tickets[1], NOW);
    let handover = ledger.hand_over(NOW);
    let closed = present(&mut ledger, &tickets[2], NOW);
    assert_eq!(closed, TicketVerdict::Answer(FinalAnswer::TicketNeeded));

    let mut store = HandoverStore::default();
    let before = SealedTicket::open(&tickets[0], &key_ring(1)).expect("sealed");
    assert_eq!(store.present(before, fingerprint(), NOW), None);
    store.insert(handover, ClockMillis::new(50));
    let expected = [
        TicketVerdict::Replay(answer(5).into()),
        TicketVerdict::Answer(FinalAnswer::OutcomeUnknown),
        TicketVerdict::Answer(FinalAnswer::TicketNeeded),
    ];
    for (text, verdict) in tickets.iter().zip(expected) {
        let ticket = SealedTicket::open(text, &key_ring(1)).expect("sealed");
        assert_eq!(store.present(ticket, fingerprint(), NOW), Some(verdict));
    }
}

#[test]
fn agents_agree_on_the_successors() {
    let incarnation = IncarnationId::new(99);
    let forward = choose_successors(incarnation, (1..8).map(target));
    let backward = choose_successors(incarnation, (1..8).rev().map(target));
    assert_eq!(forward, backward);
    assert_eq!(forward.len(), 2);
}

proptest! {
    #![proptest_config(fixed_cases(512))]

    #[test]
    fn arbitrary_keys_never_panic_and_are_never_accepted(text in ".{0,120}") {
        prop_assert!(SealedTicket::open(&text, &key_ring(1)).is_err());
    }

    #[test]
    fn arbitrary_digits_are_never_accepted(bytes in prop::collection::vec(any::<u8>(), 49)) {
        let digits = bytes.iter().fold(String::new(), |mut text, byte| {
            write!(text, "{byte:02x}").expect("writing to a string succeeds");
            text
        });
        let opened = SealedTicket::open(&format!("cyt1-{digits}"), &key_ring(1));
        prop_assert_eq!(opened, Err(TicketError::InvalidSeal));
    }
}
