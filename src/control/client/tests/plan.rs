//! Which replicas are tried, and what a failed call is told.

use std::net::{Ipv4Addr, SocketAddrV4};

use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;

use crate::{
    clock::{ClockMillis, SpanMillis},
    control::{
        api::CallRefusal,
        client::{CallPlan, ControlClientError, LinkFault, PlanStep},
    },
};

const DEADLINE: ClockMillis = ClockMillis::new(6_000);

fn address(host: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 4_000)
}

fn addresses() -> Vec<SocketAddrV4> {
    (1..=3).map(address).collect()
}

/// Records faults at time 0 until the last one, which comes at the deadline.
fn fail(faults: &[LinkFault]) -> ControlClientError {
    let addresses = addresses();
    let mut plan = CallPlan::new(&addresses, 0, DEADLINE);
    let mut random = SmallRng::seed_from_u64(1);
    plan.take_next();
    let (last, earlier) = faults.split_last().expect("one fault at least");
    for fault in earlier {
        plan.record(fault.clone(), ClockMillis::ORIGIN, &mut random);
    }
    match plan.record(last.clone(), DEADLINE, &mut random) {
        PlanStep::Fail(error) => error,
        PlanStep::Retry { .. } => panic!("the deadline is over"),
    }
}

#[test]
fn a_silent_replica_is_left_for_the_next_at_once() {
    let addresses = addresses();
    let mut plan = CallPlan::new(&addresses, 1, DEADLINE);
    assert_eq!(plan.take_next(), address(2));
    let mut random = SmallRng::seed_from_u64(1);
    let step = plan.record(LinkFault::NoAnswer, ClockMillis::ORIGIN, &mut random);
    let (address, pause) = (address(3), SpanMillis::ZERO);
    assert_eq!(step, PlanStep::Retry { address, pause });
}

#[test]
fn a_leader_hint_is_followed_also_to_an_unlisted_replica_but_not_forever() {
    let addresses = addresses();
    let mut plan = CallPlan::new(&addresses, 0, DEADLINE);
    plan.take_next();
    let mut random = SmallRng::seed_from_u64(1);
    let leader = Some(address(9));
    let mut followed = 0;
    for _ in 0..20 {
        let fault = LinkFault::Refused(CallRefusal::NotLeader { leader });
        let step = plan.record(fault, ClockMillis::ORIGIN, &mut random);
        let PlanStep::Retry { address, .. } = step else {
            panic!("there is time left");
        };
        followed += usize::from(Some(address) == leader);
    }
    assert_eq!(followed, 4);
}

#[test]
fn after_each_round_the_pause_grows_up_to_a_bound() {
    let addresses = addresses();
    let mut plan = CallPlan::new(&addresses, 0, ClockMillis::new(u64::MAX));
    let mut random = SmallRng::seed_from_u64(1);
    let mut pauses = Vec::new();
    for _ in 0..60 {
        match plan.record(LinkFault::NoConnection, ClockMillis::ORIGIN, &mut random) {
            PlanStep::Retry { pause, .. } => pauses.push(pause.millis()),
            PlanStep::Fail(error) => panic!("there is time left: {error}"),
        }
    }
    assert_eq!(pauses[..2], [0, 0]);
    assert!((50..=100).contains(&pauses[2]));
    assert!(
        pauses[30..]
            .iter()
            .all(|pause| (1_000..=2_000).contains(pause))
    );
}

#[test]
fn an_overloaded_replica_is_not_asked_before_its_time() {
    let addresses = addresses();
    let mut plan = CallPlan::new(&addresses[..1], 0, ClockMillis::new(u64::MAX));
    let mut random = SmallRng::seed_from_u64(1);
    let fault = LinkFault::Refused(CallRefusal::Overloaded {
        retry_after_millis: 4_000,
    });
    let step = plan.record(fault, ClockMillis::ORIGIN, &mut random);
    assert!(matches!(step, PlanStep::Retry { pause, .. } if pause.millis() >= 2_000));
}

#[rstest]
#[case::never_sent(&[LinkFault::NoConnection, LinkFault::NoConnection], false)]
#[case::silence_at_last(&[LinkFault::NoConnection, LinkFault::NoAnswer], true)]
#[case::silence_at_first(&[LinkFault::NoAnswer, LinkFault::NoConnection], true)]
#[case::silence_then_no_quorum(
    &[LinkFault::NoAnswer, LinkFault::Refused(CallRefusal::NoQuorum)],
    true
)]
#[case::no_quorum(&[LinkFault::Refused(CallRefusal::NoQuorum)], false)]
#[case::the_replica_does_not_know(&[LinkFault::Refused(CallRefusal::OutcomeUnknown)], true)]
#[case::proof_refused(&[LinkFault::ProofRefused], false)]
fn one_lost_answer_leaves_the_outcome_unknown(#[case] faults: &[LinkFault], #[case] unknown: bool) {
    let error = fail(faults);
    let told = matches!(error, ControlClientError::OutcomeUnknown { .. });
    assert_eq!(told, unknown, "{error}");
}

#[test]
fn a_final_refusal_ends_the_call_at_once() {
    let addresses = addresses();
    let mut plan = CallPlan::new(&addresses, 0, DEADLINE);
    let mut random = SmallRng::seed_from_u64(1);
    let refusal = CallRefusal::StaleIncarnation;
    let fault = LinkFault::Refused(refusal.clone());
    let step = plan.record(fault, ClockMillis::ORIGIN, &mut random);
    assert_eq!(step, PlanStep::Fail(ControlClientError::Refused(refusal)));
}
