//! Tests of the graceful drain.

use proptest::prelude::*;

use super::{DrainAction, DrainEvent, DrainGoal, DrainMachine, DrainStage, OpenWork};
use crate::{
    agent::tests::fixed_cases,
    clock::{ClockMillis, SpanMillis},
    route::TargetPhase,
};

const IDLE: OpenWork = OpenWork {
    running: 0,
    waiting: 0,
    streams: 0,
    relayed: 0,
};
const ONE_STREAM: OpenWork = OpenWork { streams: 1, ..IDLE };

fn at(millis: u64) -> ClockMillis {
    ClockMillis::new(millis)
}

fn begin(goal: DrainGoal, deadline: Option<u64>) -> DrainEvent {
    DrainEvent::Begin {
        goal,
        deadline: deadline.map(SpanMillis::new),
    }
}

fn any_event() -> impl Strategy<Value = DrainEvent> {
    prop_oneof![
        any::<bool>().prop_map(|exit| {
            begin(
                if exit {
                    DrainGoal::Exit
                } else {
                    DrainGoal::Stay
                },
                None,
            )
        }),
        Just(DrainEvent::Cancel),
        Just(DrainEvent::AnnouncementCommitted(TargetPhase::Leaving)),
        Just(DrainEvent::AnnouncementCommitted(TargetPhase::Serving)),
        (0u32..3, 0u32..2).prop_map(|(running, streams)| {
            DrainEvent::OpenWorkCounted(OpenWork {
                running,
                streams,
                ..IDLE
            })
        }),
    ]
}

proptest! {
    #![proptest_config(fixed_cases(256))]

    #[test]
    fn no_work_is_cut_and_no_agent_exits_with_open_work(
        events in prop::collection::vec((any_event(), 0u64..4_000), 1..60),
    ) {
        let mut machine = DrainMachine::new();
        let mut now = 0;
        let mut phase = TargetPhase::Serving;
        for (event, pause) in events {
            now += pause;
            let actions = machine.handle(event, at(now));
            prop_assert!(!actions.contains(&DrainAction::CutOpenWork));
            for action in actions {
                match action {
                    DrainAction::SetPhase(next) => phase = next,
                    DrainAction::Exit | DrainAction::HandOverTickets => {
                        let drained = matches!(
                            machine.report().stage,
                            DrainStage::Drained { cut: false, .. }
                        );
                        prop_assert!(drained);
                        if let DrainEvent::OpenWorkCounted(open) = event {
                            prop_assert!(open.is_empty());
                        }
                    }
                    _ => {}
                }
            }
            let serving = machine.report().stage == DrainStage::Serving;
            prop_assert_eq!(serving, phase == TargetPhase::Serving);
        }
    }
}

#[test]
fn an_open_stream_holds_the_drain_without_limit() {
    let mut machine = DrainMachine::new();
    let actions = machine.handle(begin(DrainGoal::Exit, None), at(0));
    assert!(actions.contains(&DrainAction::SetPhase(TargetPhase::Leaving)));
    assert!(actions.contains(&DrainAction::SendGoAway));
    machine.handle(
        DrainEvent::AnnouncementCommitted(TargetPhase::Leaving),
        at(10),
    );
    for hour in 1..48 {
        let now = at(hour * 3_600_000);
        assert!(
            machine
                .handle(DrainEvent::OpenWorkCounted(ONE_STREAM), now)
                .is_empty()
        );
    }
    let actions = machine.handle(DrainEvent::OpenWorkCounted(IDLE), at(200_000_000));
    assert_eq!(actions, [DrainAction::HandOverTickets, DrainAction::Exit]);
}

#[test]
fn an_idle_target_waits_until_balancers_are_informed() {
    let mut machine = DrainMachine::new();
    machine.handle(begin(DrainGoal::Stay, None), at(0));
    machine.handle(
        DrainEvent::AnnouncementCommitted(TargetPhase::Leaving),
        at(500),
    );
    assert!(
        machine
            .handle(DrainEvent::OpenWorkCounted(IDLE), at(2_400))
            .is_empty()
    );
    assert!(
        machine
            .handle(DrainEvent::OpenWorkCounted(IDLE), at(2_500))
            .is_empty()
    );
    let drained = DrainStage::Drained {
        since: at(2_500),
        cut: false,
    };
    assert_eq!(machine.report().stage, drained);
    let actions = machine.handle(begin(DrainGoal::Exit, None), at(3_000));
    assert_eq!(actions, [DrainAction::HandOverTickets, DrainAction::Exit]);
}

#[test]
fn unreachable_control_does_not_block_the_drain() {
    let mut machine = DrainMachine::new();
    machine.handle(begin(DrainGoal::Exit, None), at(0));
    assert!(
        machine
            .handle(DrainEvent::OpenWorkCounted(IDLE), at(9_999))
            .is_empty()
    );
    let actions = machine.handle(DrainEvent::OpenWorkCounted(IDLE), at(10_000));
    assert!(actions.contains(&DrainAction::Exit));
}

#[test]
fn only_the_operators_deadline_cuts_and_a_second_drain_keeps_the_deadline() {
    let mut machine = DrainMachine::new();
    machine.handle(begin(DrainGoal::Stay, Some(5_000)), at(0));
    machine.handle(begin(DrainGoal::Exit, None), at(1_000));
    assert!(
        machine
            .handle(DrainEvent::OpenWorkCounted(ONE_STREAM), at(4_999))
            .is_empty()
    );
    let actions = machine.handle(DrainEvent::OpenWorkCounted(ONE_STREAM), at(5_000));
    assert_eq!(
        actions,
        [
            DrainAction::CutOpenWork,
            DrainAction::HandOverTickets,
            DrainAction::Exit
        ]
    );
}

#[test]
fn a_cancelled_drain_serves_again_and_may_be_repeated() {
    let mut machine = DrainMachine::new();
    machine.handle(begin(DrainGoal::Stay, Some(5_000)), at(0));
    let actions = machine.handle(DrainEvent::Cancel, at(100));
    assert_eq!(
        actions,
        [
            DrainAction::SetPhase(TargetPhase::Serving),
            DrainAction::Announce(TargetPhase::Serving)
        ]
    );
    assert!(
        machine
            .handle(DrainEvent::OpenWorkCounted(ONE_STREAM), at(9_000))
            .is_empty()
    );
    let actions = machine.handle(begin(DrainGoal::Stay, None), at(10_000));
    assert!(actions.contains(&DrainAction::Announce(TargetPhase::Leaving)));
    assert!(
        machine
            .handle(DrainEvent::OpenWorkCounted(ONE_STREAM), at(90_000))
            .is_empty()
    );
}

#[test]
fn stop_now_cuts_open_work_and_exits_at_once() {
    let mut machine = DrainMachine::new();
    machine.handle(begin(DrainGoal::Exit, None), at(0));
    let actions = machine.handle(DrainEvent::StopNow, at(1));
    assert_eq!(actions, [DrainAction::CutOpenWork, DrainAction::Exit]);
}
