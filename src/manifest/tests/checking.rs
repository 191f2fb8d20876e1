//! Every rule of the check names the place where it is broken.

use rstest::rstest;

use super::good_manifest;
use crate::{
    clock::SpanMillis,
    manifest::{FaultCause, MOST_RULES, MOST_SERVICES, Manifest, check_manifest},
};

fn places_after(change: impl FnOnce(&mut Manifest)) -> Vec<String> {
    let mut manifest = good_manifest();
    change(&mut manifest);
    match check_manifest(&manifest) {
        Ok(()) => Vec::new(),
        Err(faults) => faults.into_iter().map(|fault| fault.place).collect(),
    }
}

#[rstest]
#[case::version(|it: &mut Manifest| it.replaces = 2, "version")]
#[case::equal_names(|it: &mut Manifest| it.services[1].name = "barge-control".into(), "services[1].name")]
#[case::empty_name(|it: &mut Manifest| it.services[1].name.clear(), "services[1].name")]
#[case::long_name(|it: &mut Manifest| it.services[1].name = "n".repeat(65), "services[1].name")]
#[case::odd_name(|it: &mut Manifest| it.services[1].name = "log book".into(), "services[1].name")]
#[case::clash(|it: &mut Manifest| it.services[1].address = it.services[0].address, "services[1].address")]
#[case::port_zero(|it: &mut Manifest| it.services[1].address.set_port(0), "services[1].address")]
#[case::wildcard(|it: &mut Manifest| it.services[1].address.set_ip([0, 0, 0, 0].into()), "services[1].address")]
#[case::no_slots(|it: &mut Manifest| it.services[0].limits.slots = 0, "services[0].limits.slots")]
#[case::many_slots(|it: &mut Manifest| it.services[0].limits.slots = 1_001, "services[0].limits.slots")]
#[case::connections(|it: &mut Manifest| it.services[0].limits.connections = 0, "services[0].limits.connections")]
#[case::queue(|it: &mut Manifest| it.services[0].limits.queue = 10_001, "services[0].limits.queue")]
#[case::deadline(|it: &mut Manifest| it.services[0].deadline = SpanMillis::ZERO, "services[0].deadline_millis")]
#[case::rule_deadline(
    |it: &mut Manifest| it.services[0].rules[1].deadline = Some(SpanMillis::new(u64::MAX)),
    "services[0].rules[1].deadline_millis"
)]
#[case::retries(|it: &mut Manifest| it.services[0].retry_percent = 101, "services[0].retry_percent")]
#[case::equal_rules(|it: &mut Manifest| it.services[0].rules[1].name = "stop".into(), "services[0].rules[1].name")]
#[case::prefix(
    |it: &mut Manifest| it.services[0].rules[0].path_prefix = "stop".into(),
    "services[0].rules[0].path_prefix"
)]
#[case::method(
    |it: &mut Manifest| it.services[0].rules[0].methods[0] = "post".into(),
    "services[0].rules[0].methods[0]"
)]
#[case::unreachable(|it: &mut Manifest| it.services[0].rules.swap(0, 2), "services[0].rules[1]")]
fn a_broken_rule_is_named_with_its_place(#[case] change: fn(&mut Manifest), #[case] place: &str) {
    assert!(places_after(change).iter().any(|found| found == place));
}

#[test]
fn the_sample_keeps_every_rule() {
    assert_eq!(check_manifest(&good_manifest()), Ok(()));
}

#[test]
fn a_rule_for_other_methods_stays_reachable() {
    let places = places_after(|manifest| {
        manifest.services[0].rules[1].path_prefix = "/stop/all".into();
        manifest.services[0].rules[1].methods = vec!["GET".into()];
    });
    assert!(places.is_empty());
}

#[test]
fn sizes_are_bounded() {
    let places = places_after(|manifest| {
        let service = manifest.services[1].clone();
        manifest.services.resize(MOST_SERVICES + 1, service);
        let rule = manifest.services[0].rules[0].clone();
        manifest.services[0].rules.resize(MOST_RULES + 1, rule);
    });
    assert_eq!(places[0], "services");
    assert!(places.len() <= 200);
}

#[test]
fn a_fault_says_what_is_allowed() {
    let mut manifest = good_manifest();
    manifest.services[0].limits.slots = 0;
    let faults = check_manifest(&manifest).expect_err("no slots");
    let cause = FaultCause::OutOfRange {
        value: 0,
        least: 1,
        most: 1_000,
    };
    assert_eq!(faults[0].cause, cause);
    let text = faults[0].to_string();
    assert_eq!(text, "`services[0].limits.slots`: 0; allowed: 1 to 1000");
}

#[test]
fn shared_ports_are_found() {
    let manifest = good_manifest();
    let ports = manifest.shared_ports();
    assert_eq!(ports.get(&443), Some(&vec!["barge-control", "logbook"]));
}
