//! First starts that the settings allow: each must form one group.

use rand::Rng;
use rstest::rstest;

use super::{
    formation_simulator::FormationSimulator,
    site_shape::{SiteShape, VmKind},
};
use crate::clock::SpanMillis;

use VmKind::{Agent, Disk, Diskless};

/// Time from the last start until the group must work: callers of the control API count
/// on an acknowledgement within 5 s.
const FORMED_WITHIN_MILLIS: SpanMillis = SpanMillis::new(5_000);
/// Time within which all VMs start.
const START_MILLIS: u64 = 300;
const SEEDS: u64 = 40;

fn site(seeds: &[VmKind], others: &[VmKind], tolerated_losses: usize) -> SiteShape {
    SiteShape {
        seeds: seeds.to_vec(),
        others: others.iter().copied().chain([Agent, Agent]).collect(),
        tolerated_losses,
    }
}

/// Starts every VM and kills one seed within the first second, if `killed` names one; it
/// comes back without `bootstrap`. Returns the simulator and whether a group works.
fn start_site(shape: SiteShape, killed: Option<usize>, seed: u64) -> (FormationSimulator, bool) {
    let mut simulator = FormationSimulator::new(shape, seed);
    let starts: Vec<u64> = (0..simulator.vms())
        .map(|_| simulator.rng.random_range(0..START_MILLIS))
        .collect();
    let killed_at = simulator.rng.random_range(0..1_000);
    let back_at = killed_at + simulator.rng.random_range(10..1_500);
    let complete_at = killed.map_or(START_MILLIS, |_| back_at.max(START_MILLIS));
    let end = complete_at + FORMED_WITHIN_MILLIS.millis();
    let mut passed = 0;
    let mut was_killed = false;
    while passed < end {
        for (vm, start) in starts.iter().enumerate() {
            let is_victim = killed == Some(vm) && passed >= killed_at;
            if passed >= *start && !is_victim {
                simulator.start(vm, true);
            }
        }
        if let Some(victim) = killed {
            if passed >= killed_at && !was_killed {
                simulator.kill(victim);
                was_killed = true;
            }
            if passed >= back_at {
                simulator.start(victim, false);
            }
        }
        simulator.step();
        passed += 10;
        assert!(
            simulator.existing_groups().len() <= 1,
            "two groups, seed {seed}"
        );
        if passed > complete_at && simulator.working_group().is_some() {
            return (simulator, true);
        }
    }
    (simulator, false)
}

/// Guards against a first start that waits for ever for a report of a seed that runs no
/// replica, or of one that was killed meanwhile.
#[rstest]
#[case::three_with_disks(site(&[Disk, Disk, Disk], &[Diskless], 1))]
#[case::one_of_three_without(site(&[Disk, Disk, Diskless], &[Disk, Diskless], 1))]
#[case::two_of_three_without(site(&[Diskless, Disk, Diskless], &[Disk, Disk], 1))]
#[case::all_three_without(site(&[Diskless, Diskless, Diskless], &[Disk, Disk, Disk], 1))]
#[case::no_disk_anywhere(site(&[Diskless, Diskless, Diskless], &[Diskless], 0))]
#[case::two_zones(site(&[Disk, Disk, Diskless], &[], 0))]
#[case::one_of_two_without(site(&[Disk, Diskless], &[], 0))]
#[case::first_of_two_without(site(&[Diskless, Disk], &[], 0))]
#[case::two_without(site(&[Diskless, Diskless], &[], 0))]
#[case::two_with_disks(site(&[Disk, Disk], &[], 0))]
#[case::only_one_with_disk(site(&[Disk], &[], 0))]
#[case::only_one_without(site(&[Diskless], &[], 0))]
#[case::only_one_without_beside_disks(site(&[Diskless], &[Disk, Disk, Disk], 1))]
fn every_first_start_forms_a_group(#[case] shape: SiteShape) {
    let victims = (0..shape.seeds.len()).map(Some);
    for killed in victims.chain([None]) {
        for seed in 0..SEEDS {
            let (_, formed) = start_site(shape.clone(), killed, seed);
            assert!(
                formed,
                "no group: {shape:?}, killed {killed:?}, seed {seed}"
            );
        }
    }
}

/// Guards against a group that can't lose what it may: it founds with all three disks
/// although they are not seeds.
#[test]
fn the_disks_of_other_vms_found_the_group() {
    let shape = site(&[Diskless, Diskless, Diskless], &[Disk, Disk, Disk], 1);
    for seed in 0..SEEDS {
        let (simulator, formed) = start_site(shape.clone(), None, seed);
        assert!(formed, "no group, seed {seed}");
        let proposal = simulator.agreed.values().next().expect("a group");
        assert_eq!(proposal.founders.len(), 3, "seed {seed}");
    }
}

/// Guards against waiting for a seed that is lost at the first start: the tolerated
/// losses may happen then, too.
#[rstest]
#[case::with_disk(site(&[Disk, Disk, Disk], &[], 1))]
#[case::without_disk(site(&[Disk, Disk, Diskless], &[Disk], 1))]
fn a_seed_that_never_starts_does_not_prevent_a_group(#[case] shape: SiteShape) {
    for seed in 0..SEEDS {
        let mut simulator = FormationSimulator::new(shape.clone(), seed);
        for vm in (0..simulator.vms()).filter(|vm| *vm != 2) {
            simulator.start(vm, true);
        }
        simulator.run(FORMED_WITHIN_MILLIS);
        assert!(simulator.working_group().is_some(), "seed {seed}");
        // It starts at last, and knows nothing of the group.
        simulator.start(2, true);
        simulator.run(FORMED_WITHIN_MILLIS);
        assert!(simulator.working_group().is_some(), "seed {seed}");
        assert_eq!(simulator.agreed.len(), 1, "seed {seed}");
    }
}

/// Guards against a second group by the only seed, if it forgets late in the life of a
/// deployment and a replica that starts then registers with it.
#[test]
fn a_replica_that_starts_later_does_not_make_the_only_seed_forget_the_group() {
    for seed in 0..SEEDS {
        let mut simulator = FormationSimulator::new(site(&[Diskless], &[Disk], 0), seed);
        simulator.start(0, false);
        simulator.start(1, false);
        simulator.run(FORMED_WITHIN_MILLIS.saturating_mul(4));
        assert!(simulator.agreed.is_empty(), "seed {seed}");
    }
}

/// Guards against a group that two forgetful seeds form by themselves, and against operators
/// who have no way on: with `bootstrap` the seeds start anew.
#[test]
fn a_majority_of_seeds_that_has_forgotten_waits_for_the_operator() {
    let shape = site(&[Diskless, Diskless, Diskless], &[Disk, Disk, Disk], 1);
    for seed in 0..SEEDS {
        let mut simulator = FormationSimulator::new(shape.clone(), seed);
        // No replica runs yet, so that the group can't form before the seeds forget.
        for vm in 0..3 {
            simulator.start(vm, true);
        }
        simulator.run(SpanMillis::new(300));
        for vm in [0, 2] {
            simulator.kill(vm);
            simulator.start(vm, false);
        }
        for vm in 3..simulator.vms() {
            simulator.start(vm, true);
        }
        simulator.run(FORMED_WITHIN_MILLIS.saturating_mul(4));
        assert!(simulator.agreed.is_empty(), "seed {seed}");
        for vm in [0, 2] {
            simulator.kill(vm);
            simulator.start(vm, true);
        }
        simulator.run(FORMED_WITHIN_MILLIS);
        assert!(simulator.working_group().is_some(), "seed {seed}");
    }
}
