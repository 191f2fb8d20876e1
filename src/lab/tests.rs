//! Tests of the simulation and of the cost measurements.
//!
//! The same seed must give the same results, a healthy service must lose no request,
//! and the relay rules must rank as expected.

use rstest::rstest;

use super::{
    cost::{CostEffort, CostPart},
    model::{
        AcceptRule, FaultKind, LabModel, ModelMicros, RelayRule, RunReport, RunSetup,
        ServiceProfile,
    },
};

const REQUESTS: u64 = 5_000;
const ACCEPT: AcceptRule = AcceptRule::Threshold {
    load_permille: 2_000,
};
const CLAIMS: RelayRule = RelayRule::LateClaims {
    targets: 3,
    own_domain_first: false,
};

fn setup(relay: RelayRule) -> RunSetup {
    RunSetup::new(ServiceProfile::BargeControl, ACCEPT, relay).with_requests(REQUESTS)
}

fn run(setup: RunSetup) -> RunReport {
    LabModel::new(setup).run()
}

#[test]
fn the_same_seed_gives_the_same_results() {
    let report = run(setup(CLAIMS));
    let again = run(setup(CLAIMS));
    assert_eq!(
        serde_json::to_value(&report).unwrap(),
        serde_json::to_value(&again).unwrap()
    );
}

#[rstest]
#[case(RelayRule::Never)]
#[case(RelayRule::ShorterOfTwo)]
#[case(CLAIMS)]
#[case(RelayRule::Stealing)]
#[case(RelayRule::CentralQueue)]
fn nothing_is_refused_or_lost_at_half_load(#[case] relay: RelayRule) {
    let report = run(setup(relay).with_load(50));
    assert_eq!(report.refused + report.expired + report.unknown, 0);
    assert_eq!(report.broken, 0);
    assert!(report.arrived >= REQUESTS);
}

#[test]
fn late_claims_wait_longer_than_the_central_queue_and_less_than_no_relay() {
    let central = run(setup(RelayRule::CentralQueue)).wait_p99_millis;
    let claims = run(setup(CLAIMS)).wait_p99_millis;
    let never = run(setup(RelayRule::Never)).wait_p99_millis;
    assert!(central < claims, "{central} {claims}");
    assert!(claims < never, "{claims} {never}");
}

#[test]
fn lost_messages_lose_no_request() {
    let report = run(setup(CLAIMS).with_loss(50).with_load(50));
    assert_eq!(report.refused + report.expired + report.unknown, 0);
}

#[test]
fn a_drain_moves_connections_and_a_crash_breaks_them() {
    let at = ModelMicros::from_seconds(1);
    let drained = run(setup(CLAIMS).with_fault(at, FaultKind::Drain { target: 0 }));
    assert_eq!(drained.broken, 0);
    assert!(drained.moved > 0);
    let crashed = run(setup(CLAIMS).with_fault(at, FaultKind::Crash { target: 0 }));
    assert!(crashed.broken > 0);
    assert_eq!(crashed.moved, 0);
}

#[rstest]
#[case(CostPart::Routes)]
#[case(CostPart::Packets)]
#[case(CostPart::Relays)]
#[case(CostPart::Control)]
#[case(CostPart::Agent)]
fn every_cost_part_runs_on_small_sizes(#[case] part: CostPart) {
    let results = part.measure(CostEffort::Short).expect("a figure for each");
    assert!(!results.is_empty());
    assert!(results.iter().all(|result| result.figure.is_finite()));
}
