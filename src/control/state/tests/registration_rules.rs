//! Which runs hold an address.

use crate::{
    control::{
        api::{AnnounceRequest, CallRefusal, WithdrawRequest},
        server::tests::fixture::{announcement, manifest},
        state::{ControlCommand, ControlOutcome, ControlState, StateStep},
    },
    key::ServiceNumber,
};

fn execute(state: &mut ControlState, command: &ControlCommand) -> StateStep {
    state.apply(&command.encode().expect("a command has bytes"))
}

fn announce(state: &mut ControlState, request: &AnnounceRequest) -> ControlOutcome {
    execute(state, &ControlCommand::Announce(request.clone())).outcome
}

fn prepared() -> ControlState {
    let mut state = ControlState::new();
    let first = manifest(1, 0, &["barge", "logbook"]).manifest;
    execute(&mut state, &ControlCommand::Apply(first));
    state
}

#[test]
fn a_new_run_replaces_the_old_one_whose_late_announcement_is_refused() {
    let mut state = prepared();
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
    let held = state
        .registrations()
        .target(old.target)
        .expect("registered");
    assert_eq!(held.incarnation, new.incarnation);
}

#[test]
fn a_reused_address_leaves_its_former_service() {
    let mut state = prepared();
    announce(&mut state, &announcement("barge", 1, 1));
    let moved = ControlCommand::Announce(announcement("logbook", 1, 2));
    let step = execute(&mut state, &moved);
    assert_eq!(step.changes[0].left, Some(ServiceNumber::new(1)));
    let members = state.registrations().members(ServiceNumber::new(1));
    assert_eq!(members.count(), 0);
}

#[test]
fn one_run_belongs_to_one_service() {
    let mut state = prepared();
    announce(&mut state, &announcement("barge", 1, 1));
    let refused = announce(&mut state, &announcement("logbook", 1, 1));
    let registered = ServiceNumber::new(1);
    assert_eq!(
        refused,
        ControlOutcome::Refused(CallRefusal::ServiceMismatch { registered })
    );
}

#[test]
fn a_withdrawn_run_stays_away_and_an_expired_one_may_come_back() {
    let mut state = prepared();
    let (gone, silent) = (announcement("barge", 1, 1), announcement("barge", 2, 1));
    announce(&mut state, &gone);
    announce(&mut state, &silent);
    let withdrawal = WithdrawRequest {
        target: gone.target,
        incarnation: gone.incarnation,
    };
    execute(&mut state, &ControlCommand::Withdraw(withdrawal));
    let expiry = ControlCommand::Expire(vec![(silent.target, silent.incarnation)]);
    execute(&mut state, &expiry);
    assert_eq!(state.registrations().targets().len(), 0);
    assert!(matches!(
        announce(&mut state, &gone),
        ControlOutcome::Refused(_)
    ));
    assert!(matches!(
        announce(&mut state, &silent),
        ControlOutcome::Announced { .. }
    ));
}

#[test]
fn an_expiry_or_withdrawal_of_another_run_changes_nothing() {
    let mut state = prepared();
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
