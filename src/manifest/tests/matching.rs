//! The first matching rule applies; defaults cover what it leaves out.

use rstest::rstest;

use super::valid_manifest;
use crate::manifest::{RequestPriority, is_idempotent};

#[rstest]
#[case("POST", "/stop", "stop")]
#[case("POST", "/stop/pen-4", "stop")]
#[case("GET", "/stop", "rest")]
#[case("POST", "/plan", "put-plan")]
fn the_first_matching_rule_applies(#[case] method: &str, #[case] path: &str, #[case] name: &str) {
    let manifest = valid_manifest();
    let rule = manifest.services[0].rule_for(method, path);
    assert_eq!(rule.map(|rule| rule.name.as_str()), Some(name));
}

#[test]
fn a_service_without_rules_has_defaults() {
    let manifest = valid_manifest();
    let service = &manifest.services[1];
    assert_eq!(service.rule_for("POST", "/"), None);
    let policy = service.policy_for("POST", "/");
    assert_eq!(policy.priority, RequestPriority::Normal);
    assert_eq!(policy.deadline, service.deadline);
    assert!(!policy.idempotent);
    assert!(!policy.stream);
}

#[rstest]
#[case("POST", "/plan", true)]
#[case("POST", "/stop", false)]
#[case("PUT", "/stop", true)]
fn a_rule_overrides_the_default_of_the_method(
    #[case] method: &str,
    #[case] path: &str,
    #[case] idempotent: bool,
) {
    let manifest = valid_manifest();
    let policy = manifest.services[0].policy_for(method, path);
    assert_eq!(policy.idempotent, idempotent);
}

#[rstest]
#[case("GET", true)]
#[case("HEAD", true)]
#[case("PUT", true)]
#[case("DELETE", true)]
#[case("POST", false)]
#[case("PATCH", false)]
#[case("CONNECT", false)]
#[case("get", false)]
fn idempotent_methods_follow_rfc_9110(#[case] method: &str, #[case] idempotent: bool) {
    assert_eq!(is_idempotent(method), idempotent);
}
