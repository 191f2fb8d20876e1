//! Properties of arbitrary sequences of commands.

use std::collections::BTreeMap;

use proptest::prelude::*;

use super::generator::{NAMES, any_commands, fixed_cases};
use crate::{
    control::{
        api::ApplyReceipt,
        server::tests::fixture::manifest,
        state::{ControlCommand, ControlOutcome, ControlState, StateStep},
    },
    key::ServiceNumber,
};

fn execute(state: &mut ControlState, command: &ControlCommand) -> StateStep {
    state.apply(&command.encode().expect("a command has bytes"))
}

proptest! {
    #![proptest_config(fixed_cases(256, 21))]

    #[test]
    fn a_restored_state_is_equal_and_goes_on_alike(
        commands in any_commands(40),
        cut in 0_usize..40,
    ) {
        let mut state = ControlState::new();
        let cut = cut.min(commands.len());
        for command in &commands[..cut] {
            execute(&mut state, command);
        }
        let bytes = state.snapshot().expect("a state has bytes");
        let mut restored = ControlState::restore(&bytes).expect("its own bytes");
        prop_assert_eq!(&restored, &state);
        for command in &commands[cut..] {
            let step = execute(&mut state, command);
            prop_assert_eq!(execute(&mut restored, command), step);
        }
        prop_assert_eq!(restored.snapshot(), state.snapshot());
    }

    #[test]
    fn the_revision_grows_by_one_with_each_effect_and_versions_never_revert(
        commands in any_commands(60),
    ) {
        let mut state = ControlState::new();
        for command in &commands {
            let before = (state.revision(), state.manifest().version());
            let bytes = state.snapshot();
            let step = execute(&mut state, command);
            let expected = if step.effective { before.0.next() } else { before.0 };
            prop_assert_eq!(state.revision(), expected);
            prop_assert!(state.manifest().version() >= before.1);
            if !step.effective {
                prop_assert!(step.changes.is_empty());
                prop_assert!(state.snapshot() == bytes || is_withdrawal(command));
            }
        }
    }

    #[test]
    fn a_resent_manifest_gets_its_first_answer(commands in any_commands(60)) {
        let mut state = ControlState::new();
        let mut accepted: Vec<(ControlCommand, ApplyReceipt)> = Vec::new();
        for command in &commands {
            if let ControlOutcome::Applied(receipt) = execute(&mut state, command).outcome
                && !receipt.resent
            {
                accepted.push((command.clone(), receipt));
            }
            for (command, first) in &accepted {
                let again = execute(&mut state, command);
                let resent = ApplyReceipt { resent: true, ..first.clone() };
                prop_assert_eq!(again.outcome, ControlOutcome::Applied(resent));
                prop_assert!(!again.effective);
            }
        }
    }

    #[test]
    fn one_version_has_one_content(commands in any_commands(60)) {
        let mut state = ControlState::new();
        let mut contents = BTreeMap::new();
        for command in &commands {
            if let ControlOutcome::Applied(receipt) = execute(&mut state, command).outcome {
                let known = *contents.entry(receipt.version).or_insert(receipt.digest);
                prop_assert_eq!(known, receipt.digest);
            }
        }
    }

    #[test]
    fn a_name_keeps_its_number(commands in any_commands(60)) {
        let mut state = ControlState::new();
        let mut numbers: BTreeMap<&str, ServiceNumber> = BTreeMap::new();
        for command in &commands {
            execute(&mut state, command);
            for name in NAMES {
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
    fn of_operators_with_equal_versions_exactly_one_wins(
        masks in prop::collection::btree_set(1_usize..16, 2..6),
    ) {
        let mut state = ControlState::new();
        let mut won = 0;
        for mask in masks {
            let names: Vec<&str> = (0..4)
                .filter(|index| mask & (1 << index) != 0)
                .map(|index| NAMES[index])
                .collect();
            let command = ControlCommand::Apply(manifest(1, 0, &names).manifest);
            won += usize::from(execute(&mut state, &command).effective);
        }
        prop_assert_eq!(won, 1);
    }
}

/// A withdrawal retires its run also when nothing was registered.
fn is_withdrawal(command: &ControlCommand) -> bool {
    matches!(command, ControlCommand::Withdraw(_))
}
