//! Properties that hold for arbitrary command sequences.

use std::collections::BTreeMap;

use proptest::prelude::*;

use super::generator::{SERVICE_NAMES, any_commands, fixed_cases};
use crate::{
    control::{
        api::ApplyReply,
        server::tests::fixture::manifest,
        state::{ControlCommand, ControlOutcome, ControlState, StateTransition},
    },
    key::ServiceNumber,
};

fn execute(state: &mut ControlState, command: &ControlCommand) -> StateTransition {
    state.apply(&command.encode().expect("an encodable command"))
}

proptest! {
    #![proptest_config(fixed_cases(256, 21))]

    #[test]
    fn a_restored_state_is_equal_and_executes_commands_alike(
        commands in any_commands(40),
        snapshot_at in 0_usize..40,
    ) {
        let mut state = ControlState::new();
        let snapshot_at = snapshot_at.min(commands.len());
        for command in &commands[..snapshot_at] {
            execute(&mut state, command);
        }
        let bytes = state.snapshot().expect("an encodable state");
        let mut restored = ControlState::restore(&bytes).expect("a valid snapshot");
        prop_assert_eq!(&restored, &state);
        for command in &commands[snapshot_at..] {
            let transition = execute(&mut state, command);
            prop_assert_eq!(execute(&mut restored, command), transition);
        }
        prop_assert_eq!(restored.snapshot(), state.snapshot());
    }

    #[test]
    fn each_effective_command_advances_the_revision_by_one_and_versions_never_revert(
        commands in any_commands(60),
    ) {
        let mut state = ControlState::new();
        for command in &commands {
            let before = (state.revision(), state.manifest().version());
            let bytes = state.snapshot();
            let transition = execute(&mut state, command);
            let expected = if transition.effective { before.0.next() } else { before.0 };
            prop_assert_eq!(state.revision(), expected);
            prop_assert!(state.manifest().version() >= before.1);
            if !transition.effective {
                prop_assert!(transition.changes.is_empty());
                prop_assert!(state.snapshot() == bytes || is_withdrawal(command));
            }
        }
    }

    #[test]
    fn a_resent_manifest_gets_its_first_receipt(commands in any_commands(60)) {
        let mut state = ControlState::new();
        let mut accepted: Vec<(ControlCommand, ApplyReply)> = Vec::new();
        for command in &commands {
            if let ControlOutcome::Applied(reply) = execute(&mut state, command).outcome
                && !reply.resent
            {
                accepted.push((command.clone(), reply));
            }
            for (command, first) in &accepted {
                let again = execute(&mut state, command);
                let resent = ApplyReply { resent: true, ..first.clone() };
                prop_assert_eq!(again.outcome, ControlOutcome::Applied(resent));
                prop_assert!(!again.effective);
            }
        }
    }

    #[test]
    fn a_version_has_only_one_content(commands in any_commands(60)) {
        let mut state = ControlState::new();
        let mut contents = BTreeMap::new();
        for command in &commands {
            if let ControlOutcome::Applied(reply) = execute(&mut state, command).outcome {
                let known = *contents.entry(reply.version).or_insert(reply.digest);
                prop_assert_eq!(known, reply.digest);
            }
        }
    }

    #[test]
    fn a_service_name_keeps_its_number(commands in any_commands(60)) {
        let mut state = ControlState::new();
        let mut numbers: BTreeMap<&str, ServiceNumber> = BTreeMap::new();
        for command in &commands {
            execute(&mut state, command);
            for name in SERVICE_NAMES {
                if let Some(number) = state.manifest().number(name) {
                    prop_assert_eq!(*numbers.entry(name).or_insert(number), number);
                }
            }
        }
        let mut distinct: Vec<_> = numbers.values().collect();
        distinct.sort();
        distinct.dedup();
        prop_assert_eq!(distinct.len(), numbers.len());
    }

    #[test]
    fn targets_belong_to_services_in_force(commands in any_commands(60)) {
        let mut state = ControlState::new();
        for command in &commands {
            execute(&mut state, command);
            for target in state.registrations().targets() {
                prop_assert!(state.manifest().service(target.service).is_some());
                let mut members = state.registrations().members(target.service);
                prop_assert!(members.any(|member| member == target));
            }
        }
    }

    #[test]
    fn only_one_of_several_manifests_with_equal_versions_is_accepted(
        masks in prop::collection::btree_set(1_usize..16, 2..6),
    ) {
        let mut state = ControlState::new();
        let mut accepted = 0;
        for mask in masks {
            let names: Vec<&str> = (0..4)
                .filter(|index| mask & (1 << index) != 0)
                .map(|index| SERVICE_NAMES[index])
                .collect();
            let command = ControlCommand::Apply(manifest(1, 0, &names).manifest);
            accepted += usize::from(execute(&mut state, &command).effective);
        }
        prop_assert_eq!(accepted, 1);
    }
}

/// Zero stands for the version before the first manifest, so that none may have it.
#[test]
fn a_manifest_of_version_zero_is_refused() {
    let mut state = ControlState::new();
    for version in [0, 1, 0] {
        let command = ControlCommand::Apply(manifest(version, 0, &SERVICE_NAMES[..1]).manifest);
        assert_eq!(execute(&mut state, &command).effective, version > 0);
    }
    assert_eq!(state.manifest().version(), 1);
}

/// Returns whether the command is a withdrawal, which retires its incarnation even if
/// nothing was registered.
fn is_withdrawal(command: &ControlCommand) -> bool {
    matches!(command, ControlCommand::Withdraw(_))
}
