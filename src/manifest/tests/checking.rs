//! Each fault found by the check names its place in the document.

use rstest::rstest;

use super::valid_manifest;
use crate::{
    clock::SpanMillis,
    manifest::{FaultCause, MAX_RULES, MAX_SERVICES, Manifest, check_manifest},
};

fn fault_places(change: impl FnOnce(&mut Manifest)) -> Vec<String> {
    let mut manifest = valid_manifest();
    change(&mut manifest);
    match check_manifest(&manifest) {
        Ok(()) => Vec::new(),
        Err(faults) => faults.into_iter().map(|fault| fault.place).collect(),
    }
}

#[rstest]
#[case::version(|it: &mut Manifest| it.replaces = 2, "version")]
#[case::duplicate_name(|it: &mut Manifest| it.services[1].name = "barge-control".into(), "services[1].name")]
#[case::empty_name(|it: &mut Manifest| it.services[1].name.clear(), "services[1].name")]
#[case::long_name(|it: &mut Manifest| it.services[1].name = "n".repeat(65), "services[1].name")]
#[case::name_with_space(|it: &mut Manifest| it.services[1].name = "log book".into(), "services[1].name")]
#[case::duplicate_address(|it: &mut Manifest| it.services[1].address = it.services[0].address, "services[1].address")]
#[case::port_zero(|it: &mut Manifest| it.services[1].address.set_port(0), "services[1].address")]
#[case::unspecified_address(|it: &mut Manifest| it.services[1].address.set_ip([0, 0, 0, 0].into()), "services[1].address")]
#[case::no_slots(|it: &mut Manifest| it.services[0].limits.slots = 0, "services[0].limits.slots")]
#[case::too_many_slots(|it: &mut Manifest| it.services[0].limits.slots = 1_001, "services[0].limits.slots")]
#[case::connections(|it: &mut Manifest| it.services[0].limits.connections = 0, "services[0].limits.connections")]
#[case::queue(|it: &mut Manifest| it.services[0].limits.queue = 10_001, "services[0].limits.queue")]
#[case::deadline(|it: &mut Manifest| it.services[0].deadline = SpanMillis::ZERO, "services[0].deadline_millis")]
#[case::rule_deadline(
    |it: &mut Manifest| it.services[0].rules[1].deadline = Some(SpanMillis::new(u64::MAX)),
    "services[0].rules[1].deadline_millis"
)]
#[case::retry_percent(|it: &mut Manifest| it.services[0].retry_percent = 101, "services[0].retry_percent")]
#[case::duplicate_rule_name(|it: &mut Manifest| it.services[0].rules[1].name = "stop".into(), "services[0].rules[1].name")]
#[case::prefix_without_slash(
    |it: &mut Manifest| it.services[0].rules[0].path_prefix = "stop".into(),
    "services[0].rules[0].path_prefix"
)]
#[case::lower_case_method(
    |it: &mut Manifest| it.services[0].rules[0].methods[0] = "post".into(),
    "services[0].rules[0].methods[0]"
)]
#[case::unreachable(|it: &mut Manifest| it.services[0].rules.swap(0, 2), "services[0].rules[1]")]
fn an_invalid_value_is_reported_with_its_place(
    #[case] change: fn(&mut Manifest),
    #[case] place: &str,
) {
    assert!(fault_places(change).iter().any(|found| found == place));
}

#[test]
fn the_sample_is_valid() {
    assert_eq!(check_manifest(&valid_manifest()), Ok(()));
}

#[test]
fn a_rule_for_other_methods_stays_reachable() {
    let places = fault_places(|manifest| {
        manifest.services[0].rules[1].path_prefix = "/stop/all".into();
        manifest.services[0].rules[1].methods = vec!["GET".into()];
    });
    assert!(places.is_empty());
}

#[test]
fn list_lengths_and_reported_faults_are_limited() {
    let places = fault_places(|manifest| {
        let service = manifest.services[1].clone();
        manifest.services.resize(MAX_SERVICES + 1, service);
        let rule = manifest.services[0].rules[0].clone();
        manifest.services[0].rules.resize(MAX_RULES + 1, rule);
    });
    assert_eq!(places[0], "services");
    assert!(places.len() <= 200);
}

#[test]
fn a_fault_states_the_allowed_range() {
    let mut manifest = valid_manifest();
    manifest.services[0].limits.slots = 0;
    let faults = check_manifest(&manifest).expect_err("no slots");
    let cause = FaultCause::OutOfRange {
        value: 0,
        min: 1,
        max: 1_000,
    };
    assert_eq!(faults[0].cause, cause);
    let text = faults[0].to_string();
    assert_eq!(text, "`services[0].limits.slots`: 0; allowed: 1 to 1000");
}

#[test]
fn ports_shared_by_services_are_listed() {
    let manifest = valid_manifest();
    let ports = manifest.shared_ports();
    assert_eq!(ports.get(&443), Some(&vec!["barge-control", "logbook"]));
}
