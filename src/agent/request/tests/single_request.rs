//! Properties of one request whatever happens to it.

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
        answer_deadline: AnswerDeadline::Whole,
        kind: RequestKind::Slotted,
        ticketed,
        replayable: true,
    }
}

/// An event of a request; a granted slot gets its key when it happens.
#[derive(Debug, Clone, Copy)]
pub(super) enum Happening {
    Slot,
    Event(RequestEvent),
}

pub(super) fn any_happening() -> impl Strategy<Value = Happening> {
    let refusal = SlotRefusal {
        cause: RefusalCause::QueueFull,
        retry_after: SpanMillis::new(100),
    };
    prop_oneof![
        3 => Just(Happening::Slot),
        1 => Just(Happening::Event(RequestEvent::PeerGranted(peer()))),
        1 => Just(Happening::Event(RequestEvent::SlotRefused(refusal))),
        4 => Just(Happening::Event(RequestEvent::Connected)),
        2 => Just(Happening::Event(RequestEvent::AttemptFailed(AttemptFailure::NotRun))),
        1 => Just(Happening::Event(RequestEvent::AttemptFailed(AttemptFailure::MayHaveRun))),
        1 => Just(Happening::Event(RequestEvent::GrantLost)),
        2 => Just(Happening::Event(RequestEvent::AnswerHead)),
        2 => Just(Happening::Event(RequestEvent::AnswerEnd)),
        1 => Just(Happening::Event(RequestEvent::AnswerBroken)),
        1 => Just(Happening::Event(RequestEvent::CallerLeft(CallerDeparture::Cancelled))),
        1 => Just(Happening::Event(RequestEvent::CallerLeft(CallerDeparture::Lost))),
        1 => Just(Happening::Event(RequestEvent::Deadline)),
        1 => Just(Happening::Event(RequestEvent::Cut)),
    ]
}

/// What was seen of one request.
#[derive(Debug, Default)]
struct Record {
    sends: u32,
    known_not_run: u32,
    held: Vec<SlotKey>,
    ends: u32,
    settled: Vec<SettledRun>,
}

impl Record {
    fn apply(&mut self, actions: &[RequestAction]) {
        for action in actions {
            match action {
                RequestAction::Send(_) => self.sends += 1,
                RequestAction::ReleaseSlot(slot) => {
                    let at = self.held.iter().position(|held| held == slot);
                    self.held
                        .remove(at.expect("only a held slot is given back"));
                }
                RequestAction::EndAnswer | RequestAction::ResetAnswer => self.ends += 1,
                RequestAction::Answer(answer) => {
                    self.ends += 1;
                    let may_have_run = self.sends > self.known_not_run;
                    let not_run = answer.run_state() == RunState::NotRun;
                    assert_eq!(not_run, !may_have_run, "the answer is honest");
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
    fn answers_are_single_and_honest_and_slots_come_back(
        idempotent: bool,
        ticketed: bool,
        happenings in prop::collection::vec(any_happening(), 1..24),
    ) {
        let mut slots: SlotMap<SlotKey, ()> = SlotMap::with_key();
        let mut budget = RetryBudget::new(50);
        let mut machine = RequestMachine::new(profile(idempotent, ticketed));
        let mut record = Record::default();
        for happening in happenings {
            let before = machine.stage();
            let event = match happening {
                Happening::Slot => {
                    let slot = slots.insert(());
                    record.held.push(slot);
                    RequestEvent::SlotGranted(slot)
                }
                Happening::Event(event) => event,
            };
            let sent = matches!(before, RequestStage::Sent(_));
            let at_peer = matches!(before, RequestStage::Sent(RunPlace::Peer(_)));
            let grant_lost = at_peer && event == RequestEvent::GrantLost;
            if grant_lost || (sent && event == RequestEvent::AttemptFailed(AttemptFailure::NotRun)) {
                record.known_not_run += 1;
            }
            let mut actions = machine.handle(event, &mut budget, ClockMillis::ORIGIN);
            if actions.contains(&RequestAction::OpenElsewhere) {
                actions.extend(machine.start_at(RunPlace::Peer(peer())));
            }
            record.apply(&actions);
            prop_assert!(idempotent || record.sends <= record.known_not_run + 1);
            prop_assert!(record.ends <= 1);
            if machine.stage() == RequestStage::Closed {
                prop_assert!(record.held.is_empty(), "a closed request holds no slot");
                prop_assert_eq!(record.settled.len(), usize::from(ticketed));
            }
        }
        if let [SettledRun::NotRun | SettledRun::Withdrawn] = record.settled.as_slice() {
            prop_assert_eq!(record.sends, record.known_not_run);
        }
    }
}

#[test]
fn a_cut_body_resets_the_answer() {
    let mut budget = RetryBudget::new(10);
    let mut machine = RequestMachine::new(profile(true, false));
    machine.start_at(RunPlace::Own);
    for event in [RequestEvent::Connected, RequestEvent::AnswerHead] {
        machine.handle(event, &mut budget, ClockMillis::ORIGIN);
    }
    let actions = machine.handle(RequestEvent::AnswerBroken, &mut budget, ClockMillis::ORIGIN);
    assert_eq!(actions, [RequestAction::ResetAnswer]);
}

#[test]
fn a_lost_caller_leaves_a_ticketed_run_alone_and_a_cancel_ends_it() {
    for (departure, drops) in [
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
        assert_eq!(actions.contains(&RequestAction::DropAttempt), drops);
    }
}

#[test]
fn only_a_deadline_that_was_asked_for_cuts_an_answer_on_its_way() {
    for (answer_deadline, cuts) in [
        (AnswerDeadline::Whole, true),
        (AnswerDeadline::Begun, false),
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
        assert_eq!(actions.contains(&RequestAction::ResetAnswer), cuts);
    }
}
