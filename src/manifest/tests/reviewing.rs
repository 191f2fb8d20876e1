//! Each part of a valid manifest that has no effect is found once.

use rstest::rstest;

use super::valid_manifest;
use crate::manifest::{Manifest, ManifestFinding, ManifestReview, TrafficRule, check_manifest};

/// Replaces the rules of the first service: two for one method each, then one for `last`.
fn set_rules(manifest: &mut Manifest, last: &[&str]) {
    let rules = &mut manifest.services[0].rules;
    let sample = rules[0].clone();
    let rule = |name: &str, prefix: &str, methods: &[&str]| TrafficRule {
        name: name.to_owned(),
        path_prefix: prefix.to_owned(),
        methods: methods.iter().map(ToString::to_string).collect(),
        ..sample.clone()
    };
    *rules = vec![
        rule("reads", "/plan", &["GET"]),
        rule("writes", "/", &["PUT"]),
        rule("both", "/plan/a", last),
    ];
}

/// Guards against a finding that is missed, or reported for the wrong part.
#[rstest]
#[case::version_equal(2, |_: &mut Manifest| (), ManifestFinding::VersionNotAbove { version: 2, in_force: 2 })]
#[case::replaces_an_older_one(
    2,
    |it: &mut Manifest| it.version = 3,
    ManifestFinding::ReplacesOther { replaces: 1, in_force: 2 }
)]
#[case::shadowed_by_two(
    1,
    |it: &mut Manifest| set_rules(it, &["PUT", "GET"]),
    ManifestFinding::ShadowedRule {
        place: "services[0].rules[2]".into(),
        rule: "both".into(),
        by: vec!["writes".into(), "reads".into()],
    }
)]
fn a_part_without_effect_is_found_once(
    #[case] in_force: u64,
    #[case] change: fn(&mut Manifest),
    #[case] finding: ManifestFinding,
) {
    let mut manifest = valid_manifest();
    change(&mut manifest);
    assert_eq!(check_manifest(&manifest), Ok(()));
    let review = ManifestReview::new(&manifest).with_version_in_force(in_force);
    assert_eq!(review.findings(), [finding]);
}

/// Guards against a warning about a rule that still applies to one of its methods.
#[rstest]
#[case::sample(|_: &mut Manifest| ())]
#[case::one_method_left(|it: &mut Manifest| set_rules(it, &["PUT", "GET", "HEAD"]))]
#[case::any_method(|it: &mut Manifest| set_rules(it, &[]))]
fn a_sound_manifest_has_no_findings(#[case] change: fn(&mut Manifest)) {
    let mut manifest = valid_manifest();
    change(&mut manifest);
    let review = ManifestReview::new(&manifest).with_version_in_force(1);
    assert_eq!(review.findings(), []);
}
