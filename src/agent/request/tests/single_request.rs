//! Invariants of one request under any sequence of events.

use std::net::{Ipv4Addr, SocketAddrV4};

use proptest::prelude::*;
use slotmap::SlotMap;

use super::super::{
    AnswerDeadline, CallerDeparture, RequestAction, RequestEvent, RequestKind, RequestMachine,
    RequestProfile, RequestStage, RunPlace, SettledRun,
};
use crate::{
    agent::{
        outcome::RunState,
        retry::{AttemptFailure, RetryBudget},
        slot::{RefusalCause, SlotKey, SlotRefusal},
        tests::fixed_cases,
    },
    clock::{ClockMillis, SpanMillis},
    key::TargetKey,
    manifest::RequestPriority,
};

fn peer() -> TargetKey {
    TargetKey::new(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9))
}

pub(super) fn profile(idempotent: bool, ticketed: bool) -> RequestProfile {
    RequestProfile {
        priority: RequestPriority::Normal,
        deadline: ClockMillis::new(1_000_000),
        idempotent,
        answer_deadline: AnswerDeadline::Complete,
        kind: RequestKind::Slotted,
        ticketed,
        replayable: true,
    }
}

/// A generated event; the key of a granted slot is created when it is applied.
#[derive(Debug, Clone, Copy)]
pub(super) enum TestEvent {
    GrantSlot,
    Event(RequestEvent),
}

pub(super) fn any_test_event() -> impl Strategy<Value = TestEvent> {
    let refusal = SlotRefusal {
        cause: RefusalCause::QueueFull,
        retry_after: SpanMillis::new(100),
    };
    prop_oneof![
        3 => Just(TestEvent::GrantSlot),
        1 => Just(TestEvent::Event(RequestEvent::PeerGranted(peer()))),
        1 => Just(TestEvent::Event(RequestEvent::SlotRefused(refusal))),
        4 => Just(TestEvent::Event(RequestEvent::Connected)),
        2 => Just(TestEvent::Event(RequestEvent::AttemptFailed(AttemptFailure::NotRun))),
        1 => Just(TestEvent::Event(RequestEvent::AttemptFailed(AttemptFailure::MayHaveRun))),
        1 => Just(TestEvent::Event(RequestEvent::GrantLost)),
        2 => Just(TestEvent::Event(RequestEvent::AnswerHead)),
        2 => Just(TestEvent::Event(RequestEvent::AnswerEnd)),
        1 => Just(TestEvent::Event(RequestEvent::AnswerTruncated)),
        1 => Just(TestEvent::Event(RequestEvent::CallerLeft(CallerDeparture::Cancelled))),
        1 => Just(TestEvent::Event(RequestEvent::CallerLeft(CallerDeparture::Lost))),
        1 => Just(TestEvent::Event(RequestEvent::Deadline)),
        1 => Just(TestEvent::Event(RequestEvent::Cut)),
    ]
}

/// What was observed of one request.
#[derive(Debug, Default)]
struct RequestRecord {
    sends: u32,
    sends_not_run: u32,
    held_slots: Vec<SlotKey>,
    answer_ends: u32,
    settled: Vec<SettledRun>,
}

impl RequestRecord {
    fn apply(&mut self, actions: &[RequestAction]) {
        for action in actions {
            match action {
                RequestAction::Send(_) => self.sends += 1,
                RequestAction::ReleaseSlot(slot) => {
                    let at = self.held_slots.iter().position(|held| held == slot);
                    self.held_slots
                        .remove(at.expect("only a held slot is released"));
                }
                RequestAction::EndAnswer | RequestAction::ResetAnswer => self.answer_ends += 1,
                RequestAction::Answer(answer) => {
                    self.answer_ends += 1;
                    let may_have_run = self.sends > self.sends_not_run;
                    let not_run = answer.run_state() == RunState::NotRun;
                    assert_eq!(not_run, !may_have_run, "the answer is truthful");
                }
                RequestAction::SettleTicket(settled) => self.settled.push(*settled),
                _ => {}
            }
        }
    }
}

proptest! {
    #![proptest_config(fixed_cases(1_000))]

    #[test]
    fn each_request_gets_at_most_one_truthful_answer_and_releases_its_slot(
        idempotent: bool,
        ticketed: bool,
        test_events in prop::collection::vec(any_test_event(), 1..24),
    ) {
        let mut slots: SlotMap<SlotKey, ()> = SlotMap::with_key();
        let mut budget = RetryBudget::new(50);
        let mut machine = RequestMachine::new(profile(idempotent, ticketed));
        let mut record = RequestRecord::default();
        for test_event in test_events {
            let before = machine.stage();
            let event = match test_event {
                TestEvent::GrantSlot => {
                    let slot = slots.insert(());
                    record.held_slots.push(slot);
                    RequestEvent::SlotGranted(slot)
                }
                TestEvent::Event(event) => event,
            };
            let sent = matches!(before, RequestStage::Sent(_));
            let at_peer = matches!(before, RequestStage::Sent(RunPlace::Peer(_)));
            let grant_lost = at_peer && event == RequestEvent::GrantLost;
            if grant_lost || (sent && event == RequestEvent::AttemptFailed(AttemptFailure::NotRun)) {
                record.sends_not_run += 1;
            }
            let mut actions = machine.handle(event, &mut budget, ClockMillis::ORIGIN);
            if actions.contains(&RequestAction::RetryElsewhere) {
                actions.extend(machine.start_at(RunPlace::Peer(peer())));
            }
            record.apply(&actions);
            prop_assert!(idempotent || record.sends <= record.sends_not_run + 1);
            prop_assert!(record.answer_ends <= 1);
            if machine.stage() == RequestStage::Closed {
                prop_assert!(record.held_slots.is_empty(), "a closed request holds no slot");
                prop_assert_eq!(record.settled.len(), usize::from(ticketed));
            }
        }
        if let [SettledRun::NotRun | SettledRun::Withdrawn] = record.settled.as_slice() {
            prop_assert_eq!(record.sends, record.sends_not_run);
        }
    }
}

#[test]
fn a_broken_answer_body_resets_the_answer() {
    let mut budget = RetryBudget::new(10);
    let mut machine = RequestMachine::new(profile(true, false));
    machine.start_at(RunPlace::Own);
    for event in [RequestEvent::Connected, RequestEvent::AnswerHead] {
        machine.handle(event, &mut budget, ClockMillis::ORIGIN);
    }
    let actions = machine.handle(
        RequestEvent::AnswerTruncated,
        &mut budget,
        ClockMillis::ORIGIN,
    );
    assert_eq!(actions, [RequestAction::ResetAnswer]);
}

#[test]
fn a_lost_caller_does_not_stop_a_ticketed_run_but_a_cancellation_does() {
    for (departure, cancels_attempt) in [
        (CallerDeparture::Lost, false),
        (CallerDeparture::OthersWait, false),
        (CallerDeparture::Cancelled, true),
    ] {
        let mut budget = RetryBudget::new(10);
        let mut machine = RequestMachine::new(profile(false, true));
        machine.start_at(RunPlace::Own);
        machine.handle(RequestEvent::Connected, &mut budget, ClockMillis::ORIGIN);
        let event = RequestEvent::CallerLeft(departure);
        let actions = machine.handle(event, &mut budget, ClockMillis::ORIGIN);
        assert_eq!(
            actions.contains(&RequestAction::CancelAttempt),
            cancels_attempt
        );
    }
}

#[test]
fn only_an_explicit_deadline_resets_an_answer_in_progress() {
    for (answer_deadline, resets_answer) in [
        (AnswerDeadline::Complete, true),
        (AnswerDeadline::Started, false),
    ] {
        let mut budget = RetryBudget::new(10);
        let mut machine = RequestMachine::new(RequestProfile {
            answer_deadline,
            ..profile(true, false)
        });
        machine.start_at(RunPlace::Own);
        for event in [RequestEvent::Connected, RequestEvent::AnswerHead] {
            machine.handle(event, &mut budget, ClockMillis::ORIGIN);
        }
        let actions = machine.handle(RequestEvent::Deadline, &mut budget, ClockMillis::ORIGIN);
        assert_eq!(actions.contains(&RequestAction::ResetAnswer), resets_answer);
    }
}
