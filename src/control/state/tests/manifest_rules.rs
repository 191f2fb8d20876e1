//! Rules for accepting a manifest.

use rstest::rstest;

use crate::{
    control::{
        api::CallRefusal,
        server::tests::fixture::{announcement, manifest},
        state::{ControlCommand, ControlOutcome, ControlState},
    },
    key::ServiceNumber,
    route::RouteChange,
};

fn execute(state: &mut ControlState, command: &ControlCommand) -> ControlOutcome {
    let bytes = command.encode().expect("an encodable command");
    state.apply(&bytes).outcome
}

fn apply(state: &mut ControlState, version: u64, replaces: u64, names: &[&str]) -> ControlOutcome {
    let request = manifest(version, replaces, names);
    execute(state, &ControlCommand::Apply(request.manifest))
}

#[rstest]
#[case::same_version_other_content(5, 0)]
#[case::wrong_replaces(7, 4)]
#[case::older_version(4, 5)]
fn a_version_conflict_reports_the_version_in_force(#[case] version: u64, #[case] replaces: u64) {
    let mut state = ControlState::new();
    let ControlOutcome::Applied(winner) = apply(&mut state, 5, 0, &["barge"]) else {
        panic!("the first manifest is accepted");
    };
    let refused = apply(&mut state, version, replaces, &["logbook"]);
    let conflict = CallRefusal::VersionConflict {
        offered: version,
        replaces,
        in_force: 5,
        digest: Some(winner.digest),
    };
    assert_eq!(refused, ControlOutcome::Refused(conflict));
}

#[test]
fn a_resent_older_version_gets_its_first_receipt_and_changes_nothing() {
    let mut state = ControlState::new();
    apply(&mut state, 1, 0, &["barge"]);
    apply(&mut state, 2, 1, &["barge", "logbook"]);
    let ControlOutcome::Applied(reply) = apply(&mut state, 1, 0, &["barge"]) else {
        panic!("a resend succeeds");
    };
    assert!(reply.resent);
    assert_eq!((reply.revision.count(), state.manifest().version()), (1, 2));
}

#[test]
fn removing_a_service_removes_its_targets_and_keeps_its_number() {
    let mut state = ControlState::new();
    apply(&mut state, 1, 0, &["barge", "logbook"]);
    let announce = ControlCommand::Announce(announcement("logbook", 1, 1));
    execute(&mut state, &announce);
    let removal = ControlCommand::Apply(manifest(2, 1, &["barge"]).manifest);
    let transition = state.apply(&removal.encode().expect("an encodable command"));
    let changes: Vec<&RouteChange> = transition
        .changes
        .iter()
        .map(|change| &change.change)
        .collect();
    let number = ServiceNumber::new(2);
    assert!(matches!(
        changes[..],
        [RouteChange::TargetRemoved(_), RouteChange::ServiceRemoved(removed)] if *removed == number
    ));
    let refused = execute(&mut state, &announce);
    let name = "logbook".to_owned();
    assert_eq!(
        refused,
        ControlOutcome::Refused(CallRefusal::UnknownService { name })
    );
    apply(&mut state, 3, 2, &["tavole", "logbook"]);
    assert_eq!(state.manifest().number("logbook"), Some(number));
    assert_eq!(
        state.manifest().number("tavole"),
        Some(ServiceNumber::new(3))
    );
}

#[test]
fn undecodable_bytes_change_nothing() {
    let mut state = ControlState::new();
    let transition = state.apply(&[255, 255, 255]);
    assert_eq!(transition.outcome, ControlOutcome::Undecodable);
    assert_eq!(state, ControlState::new());
}
