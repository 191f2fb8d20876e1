//! The choice of replicas after failures, and the error of a failed call.

use std::net::{Ipv4Addr, SocketAddrV4};

use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;

use crate::{
    clock::{ClockMillis, SpanMillis},
    control::{
        api::CallRefusal,
        client::{ControlClientError, FailoverPlan, FailoverStep, ReplicaCallError},
    },
};

const DEADLINE: ClockMillis = ClockMillis::new(6_000);

fn address(host: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 4_000)
}

fn addresses() -> Vec<SocketAddrV4> {
    (1..=3).map(address).collect()
}

/// Records all errors at time 0 but the last, which is recorded at the deadline.
fn call_error(errors: &[ReplicaCallError]) -> ControlClientError {
    let addresses = addresses();
    let mut plan = FailoverPlan::new(&addresses, 0, DEADLINE);
    let mut random = SmallRng::seed_from_u64(1);
    plan.next_address();
    let (last, earlier) = errors.split_last().expect("at least one error");
    for error in earlier {
        plan.record_error(error.clone(), ClockMillis::ORIGIN, &mut random);
    }
    match plan.record_error(last.clone(), DEADLINE, &mut random) {
        FailoverStep::Fail(error) => error,
        FailoverStep::Retry { .. } => panic!("the deadline has passed"),
    }
}

#[test]
fn a_call_without_answer_goes_to_the_next_replica_at_once() {
    let addresses = addresses();
    let mut plan = FailoverPlan::new(&addresses, 1, DEADLINE);
    assert_eq!(plan.next_address(), address(2));
    let mut random = SmallRng::seed_from_u64(1);
    let step = plan.record_error(ReplicaCallError::NoAnswer, ClockMillis::ORIGIN, &mut random);
    let (address, pause) = (address(3), SpanMillis::ZERO);
    assert_eq!(step, FailoverStep::Retry { address, pause });
}

#[test]
fn leader_hints_are_followed_even_to_an_unlisted_replica_but_only_four_times() {
    let addresses = addresses();
    let mut plan = FailoverPlan::new(&addresses, 0, DEADLINE);
    plan.next_address();
    let mut random = SmallRng::seed_from_u64(1);
    let leader = Some(address(9));
    let mut redirects = 0;
    for _ in 0..20 {
        let error = ReplicaCallError::Refused(CallRefusal::NotLeader { leader });
        let step = plan.record_error(error, ClockMillis::ORIGIN, &mut random);
        let FailoverStep::Retry { address, .. } = step else {
            panic!("there is time left");
        };
        redirects += usize::from(Some(address) == leader);
    }
    assert_eq!(redirects, 4);
}

#[test]
fn the_backoff_grows_with_each_round_up_to_a_limit() {
    let addresses = addresses();
    let mut plan = FailoverPlan::new(&addresses, 0, ClockMillis::new(u64::MAX));
    let mut random = SmallRng::seed_from_u64(1);
    let mut pauses = Vec::new();
    for _ in 0..60 {
        match plan.record_error(
            ReplicaCallError::NoConnection,
            ClockMillis::ORIGIN,
            &mut random,
        ) {
            FailoverStep::Retry { pause, .. } => pauses.push(pause.millis()),
            FailoverStep::Fail(error) => panic!("there is time left: {error}"),
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
fn an_overloaded_replica_is_not_retried_early() {
    let addresses = addresses();
    let mut plan = FailoverPlan::new(&addresses[..1], 0, ClockMillis::new(u64::MAX));
    let mut random = SmallRng::seed_from_u64(1);
    let error = ReplicaCallError::Refused(CallRefusal::Overloaded {
        retry_after_millis: 4_000,
    });
    let step = plan.record_error(error, ClockMillis::ORIGIN, &mut random);
    assert!(matches!(step, FailoverStep::Retry { pause, .. } if pause.millis() >= 2_000));
}

#[rstest]
#[case::never_sent(&[ReplicaCallError::NoConnection, ReplicaCallError::NoConnection], false)]
#[case::timeout_last(&[ReplicaCallError::NoConnection, ReplicaCallError::NoAnswer], true)]
#[case::timeout_first(&[ReplicaCallError::NoAnswer, ReplicaCallError::NoConnection], true)]
#[case::timeout_then_no_quorum(
    &[ReplicaCallError::NoAnswer, ReplicaCallError::Refused(CallRefusal::NoQuorum)],
    true
)]
#[case::no_quorum(&[ReplicaCallError::Refused(CallRefusal::NoQuorum)], false)]
#[case::replica_reports_unknown_outcome(&[ReplicaCallError::Refused(CallRefusal::OutcomeUnknown)], true)]
#[case::proof_refused(&[ReplicaCallError::ProofRefused], false)]
fn one_lost_reply_leaves_the_outcome_unknown(
    #[case] errors: &[ReplicaCallError],
    #[case] unknown: bool,
) {
    let error = call_error(errors);
    let reported = matches!(error, ControlClientError::OutcomeUnknown { .. });
    assert_eq!(reported, unknown, "{error}");
}

#[test]
fn a_permanent_refusal_ends_the_call_at_once() {
    let addresses = addresses();
    let mut plan = FailoverPlan::new(&addresses, 0, DEADLINE);
    let mut random = SmallRng::seed_from_u64(1);
    let refusal = CallRefusal::StaleIncarnation;
    let error = ReplicaCallError::Refused(refusal.clone());
    let step = plan.record_error(error, ClockMillis::ORIGIN, &mut random);
    assert_eq!(
        step,
        FailoverStep::Fail(ControlClientError::Refused(refusal))
    );
}
