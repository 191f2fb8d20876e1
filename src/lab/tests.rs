//! Tests of the model: the same seed gives the same figures, nothing is lost
//! in a sound system, and the rules keep their order.

use rstest::rstest;

use super::{
    cost::{CostEffort, CostPart},
    model::{
        AcceptRule, FaultKind, LabModel, ModelMicros, RelayRule, RunReport, RunSetup, SystemProfile,
    },
};

const REQUESTS: u64 = 5_000;
const ACCEPT: AcceptRule = AcceptRule::Threshold {
    load_permille: 2_000,
};
const CLAIMS: RelayRule = RelayRule::LateClaims {
    targets: 3,
    near: false,
};

fn setup(relay: RelayRule) -> RunSetup {
    RunSetup::new(SystemProfile::BargeControl, ACCEPT, relay).with_requests(REQUESTS)
}

fn run(setup: RunSetup) -> RunReport {
    LabModel::new(setup).run()
}

#[test]
fn the_same_seed_gives_the_same_figures() {
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
fn late_claims_lie_between_the_bound_and_no_relay() {
    let bound = run(setup(RelayRule::CentralQueue)).wait_p99_millis;
    let claims = run(setup(CLAIMS)).wait_p99_millis;
    let alone = run(setup(RelayRule::Never)).wait_p99_millis;
    assert!(bound < claims, "{bound} {claims}");
    assert!(claims < alone, "{claims} {alone}");
}

#[test]
fn lost_messages_lose_no_request() {
    let report = run(setup(CLAIMS).with_loss(50).with_load(50));
    assert_eq!(report.refused + report.expired + report.unknown, 0);
}

#[test]
fn a_drain_breaks_no_connection_and_a_crash_breaks_those_of_its_target() {
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
fn every_cost_is_measured_on_small_sizes(#[case] part: CostPart) {
    let lines = part.measure(CostEffort::Short).expect("a figure for each");
    assert!(!lines.is_empty());
    assert!(lines.iter().all(|line| line.figure.is_finite()));
}
