//! Rules for registering an incarnation at an address.

use crate::{
    control::{
        api::{AnnounceRequest, CallRefusal, WithdrawRequest},
        server::tests::fixture::{announcement, manifest},
        state::{ControlCommand, ControlOutcome, ControlState, StateTransition},
    },
    key::ServiceNumber,
};

fn execute(state: &mut ControlState, command: &ControlCommand) -> StateTransition {
    state.apply(&command.encode().expect("an encodable command"))
}

fn announce(state: &mut ControlState, request: &AnnounceRequest) -> ControlOutcome {
    execute(state, &ControlCommand::Announce(request.clone())).outcome
}

fn state_with_services() -> ControlState {
    let mut state = ControlState::new();
    let first = manifest(1, 0, &["barge", "logbook"]).manifest;
    execute(&mut state, &ControlCommand::Apply(first));
    state
}

#[test]
fn a_new_incarnation_replaces_the_old_one_whose_late_announcement_is_refused() {
    let mut state = state_with_services();
    let (old, new) = (announcement("barge", 1, 1), announcement("barge", 1, 2));
    announce(&mut state, &old);
    assert!(matches!(
        announce(&mut state, &new),
        ControlOutcome::Announced { .. }
    ));
    assert_eq!(
        announce(&mut state, &old),
        ControlOutcome::Refused(CallRefusal::StaleIncarnation)
    );
    let registered = state
        .registrations()
        .target(old.target)
        .expect("registered");
    assert_eq!(registered.incarnation, new.incarnation);
}

#[test]
fn a_reused_address_moves_to_the_new_service() {
    let mut state = state_with_services();
    announce(&mut state, &announcement("barge", 1, 1));
    let moved = ControlCommand::Announce(announcement("logbook", 1, 2));
    let transition = execute(&mut state, &moved);
    assert_eq!(
        transition.changes[0].previous_service,
        Some(ServiceNumber::new(1))
    );
    let members = state.registrations().members(ServiceNumber::new(1));
    assert_eq!(members.count(), 0);
}

#[test]
fn an_incarnation_belongs_to_one_service() {
    let mut state = state_with_services();
    announce(&mut state, &announcement("barge", 1, 1));
    let refused = announce(&mut state, &announcement("logbook", 1, 1));
    let registered = ServiceNumber::new(1);
    assert_eq!(
        refused,
        ControlOutcome::Refused(CallRefusal::ServiceMismatch { registered })
    );
}

#[test]
fn an_expired_incarnation_may_register_again_but_a_withdrawn_one_may_not() {
    let mut state = state_with_services();
    let (withdrawn, expired) = (announcement("barge", 1, 1), announcement("barge", 2, 1));
    announce(&mut state, &withdrawn);
    announce(&mut state, &expired);
    let withdrawal = WithdrawRequest {
        target: withdrawn.target,
        incarnation: withdrawn.incarnation,
    };
    execute(&mut state, &ControlCommand::Withdraw(withdrawal));
    let expiry = ControlCommand::Expire(vec![(expired.target, expired.incarnation)]);
    execute(&mut state, &expiry);
    assert_eq!(state.registrations().targets().len(), 0);
    assert!(matches!(
        announce(&mut state, &withdrawn),
        ControlOutcome::Refused(_)
    ));
    assert!(matches!(
        announce(&mut state, &expired),
        ControlOutcome::Announced { .. }
    ));
}

#[test]
fn an_expiry_or_withdrawal_of_another_incarnation_changes_nothing() {
    let mut state = state_with_services();
    let request = announcement("barge", 1, 2);
    announce(&mut state, &request);
    let old = announcement("barge", 1, 1);
    let expiry = ControlCommand::Expire(vec![(old.target, old.incarnation)]);
    assert!(!execute(&mut state, &expiry).effective);
    let withdrawal = ControlCommand::Withdraw(WithdrawRequest {
        target: old.target,
        incarnation: old.incarnation,
    });
    assert!(!execute(&mut state, &withdrawal).effective);
    assert!(state.registrations().target(request.target).is_some());
}
