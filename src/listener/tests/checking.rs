//! Each part of a manifest that has no effect or contradicts another is found once.

use rstest::rstest;

use super::{address, manifest, route};
use crate::{
    clock::SpanMillis,
    listener::{
        ListenerCheck, ListenerFinding, ListenerManifest, ListenerNames, ServiceShare,
        ServiceStatement, ServiceTag,
    },
};

type Sample = (ListenerManifest, ListenerNames);

fn stated(name: &str) -> ServiceStatement {
    ServiceStatement {
        name: name.to_owned(),
        cold_seconds: 4.0,
        cold_per_second: 12.0,
    }
}

fn share(service: &str, weight: u32) -> ServiceShare {
    ServiceShare {
        service: ServiceTag::of(service),
        weight,
    }
}

fn sample() -> Sample {
    let mut split = route(1, "huvo");
    split.shares = vec![share("huvo", 90), share("wuno", 9), share("niva", 1)];
    let manifest = manifest(7, vec![split, route(2, "wuno")]);
    assert_eq!(manifest.routes[0].address, address(1));
    let names = ListenerNames {
        routes: vec!["r-a".to_owned(), "r-b".to_owned()],
        services: ["huvo", "wuno", "niva"].map(stated).to_vec(),
    };
    (manifest, names)
}

/// Guards against a finding that is missed, or reported for the wrong part.
#[rstest]
#[case::zero_share(
    |(it, _): &mut Sample| it.routes[0].shares[1].weight = 0,
    ListenerFinding::ZeroShare { route: "r-a".into(), service: "wuno".into() }
)]
#[case::sole_weight(
    |(it, _): &mut Sample| it.routes[0].shares = vec![share("huvo", 1), share("wuno", 0), share("niva", 0)],
    ListenerFinding::SoleWeight { route: "r-a".into(), service: "huvo".into(), services: 3 }
)]
#[case::unused_service(
    |(_, names): &mut Sample| names.services.push(stated("solo")),
    ListenerFinding::UnusedService { service: "solo".into() }
)]
#[case::timeout_below_goal(
    |(it, _): &mut Sample| it.routes[1].urgency.timeout = SpanMillis::new(499),
    ListenerFinding::TimeoutBelowGoal {
        route: "r-b".into(), timeout: SpanMillis::new(499), goal: SpanMillis::new(500),
    }
)]
#[case::idle_below_timeout(
    |(it, _): &mut Sample| it.routes[1].urgency.timeout = SpanMillis::new(15_001),
    ListenerFinding::IdleBelowTimeout {
        route: "r-b".into(), idle: SpanMillis::new(15_000), timeout: SpanMillis::new(15_001),
    }
)]
#[case::cold_time_without_rate(
    |(_, names): &mut Sample| names.services[0].cold_per_second = 0.0,
    ListenerFinding::ColdTimeWithoutRate { service: "huvo".into(), seconds: 4.0 }
)]
#[case::cold_rate_without_time(
    |(_, names): &mut Sample| names.services[0].cold_seconds = 0.0,
    ListenerFinding::ColdRateWithoutTime { service: "huvo".into(), per_second: 12.0 }
)]
#[case::version_equal(
    |(it, _): &mut Sample| it.version = 6,
    ListenerFinding::VersionNotAbove { version: 6, in_force: 6 }
)]
fn a_contradiction_is_found_once(
    #[case] change: fn(&mut Sample),
    #[case] finding: ListenerFinding,
) {
    let mut sample = sample();
    change(&mut sample);
    let check = ListenerCheck::new(&sample.0, &sample.1).with_version_in_force(6);
    assert_eq!(check.findings(), [finding]);
}

/// Guards against warnings at limits that are equal, and about what is stated nowhere.
#[test]
fn a_sound_manifest_has_no_findings() {
    let (mut manifest, mut names) = sample();
    names.services[1].cold_seconds = 0.0;
    names.services[1].cold_per_second = 0.0;
    manifest.routes[0].urgency.timeout = manifest.routes[0].urgency.goal;
    manifest.routes[1].urgency.timeout = manifest.idle;
    let check = ListenerCheck::new(&manifest, &names).with_version_in_force(6);
    assert_eq!(check.findings(), []);
}
