//! Generates arbitrary command sequences over few names, addresses and incarnations.

use proptest::prelude::*;

use crate::{
    control::{
        api::WithdrawRequest,
        server::tests::fixture::{announcement, manifest},
        state::ControlCommand,
    },
    route::TargetPhase,
};

/// The service names in generated commands.
pub(crate) const SERVICE_NAMES: [&str; 4] = ["barge", "logbook", "tavole", "raccolta"];

/// Returns a configuration that generates the same cases in every run.
pub(crate) fn fixed_cases(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: proptest::test_runner::RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Generates any command; manifests mostly replace a version that may be in force.
pub(crate) fn any_command() -> impl Strategy<Value = ControlCommand> {
    let apply = (1_u64..4, 0_u64..12, 0_usize..16).prop_map(|(step, replaces, mask)| {
        let names: Vec<&str> = SERVICE_NAMES
            .iter()
            .enumerate()
            .filter(|(index, _)| mask & (1 << index) != 0)
            .map(|(_, name)| *name)
            .collect();
        ControlCommand::Apply(manifest(replaces + step, replaces, &names).manifest)
    });
    let announce =
        (0_usize..4, 1_u8..5, 1_u64..5, 1_u16..3).prop_map(|(name, host, incarnation, weight)| {
            let mut request = announcement(SERVICE_NAMES[name], host, incarnation);
            request.weight = weight;
            if weight == 2 {
                request.phase = TargetPhase::Leaving;
            }
            ControlCommand::Announce(request)
        });
    let withdraw = (1_u8..5, 1_u64..5).prop_map(|(host, incarnation)| {
        let request = announcement(SERVICE_NAMES[0], host, incarnation);
        ControlCommand::Withdraw(WithdrawRequest {
            target: request.target,
            incarnation: request.incarnation,
        })
    });
    let expire = prop::collection::vec((1_u8..5, 1_u64..5), 1..4).prop_map(|pairs| {
        let pairs = pairs.into_iter().map(|(host, incarnation)| {
            let request = announcement(SERVICE_NAMES[0], host, incarnation);
            (request.target, request.incarnation)
        });
        ControlCommand::Expire(pairs.collect())
    });
    prop_oneof![4 => apply, 8 => announce, 1 => withdraw, 2 => expire]
}

/// Generates a first manifest with every service name, followed by any commands.
pub(crate) fn any_commands(max_commands: usize) -> impl Strategy<Value = Vec<ControlCommand>> {
    prop::collection::vec(any_command(), 1..max_commands).prop_map(|mut commands| {
        commands.insert(
            0,
            ControlCommand::Apply(manifest(1, 0, &SERVICE_NAMES).manifest),
        );
        commands
    })
}
