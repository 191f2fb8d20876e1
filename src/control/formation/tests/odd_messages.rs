//! Messages that fit their type and can't be true.

use super::formation_simulator::replica_id;
use crate::{
    clock::ClockMillis,
    control::{
        formation::{
            FormationAction, FormationBody, FormationMessage, FormationSeed, FormationSettings,
            GroupProposal, SeedMemory, StorageKind, ballot_number::BallotNumber,
        },
        replica::{DiskId, GroupId, MemberId, ReplicaId},
    },
};

const START: ClockMillis = ClockMillis::new(1_000);

fn member(vm: usize) -> MemberId {
    MemberId {
        replica: replica_id(vm),
        disk: DiskId::new(vm as u128 + 100),
    }
}

fn seed() -> FormationSeed {
    let settings = FormationSettings {
        own: replica_id(0),
        seeds: (0..3).map(replica_id).collect(),
        tolerated_losses: 1,
    };
    FormationSeed::new(settings, SeedMemory::FirstStart, 7, START)
}

/// Returns a message of another seed of the same deployment.
fn message_of(from: ReplicaId, body: FormationBody) -> FormationMessage {
    let mut other = FormationSeed::new(
        FormationSettings {
            own: replica_id(1),
            seeds: (0..3).map(replica_id).collect(),
            tolerated_losses: 1,
        },
        SeedMemory::Lost,
        8,
        START,
    );
    let actions = other.tick(START);
    let electorate = actions.iter().find_map(|action| match action {
        FormationAction::Send { message, .. } => Some(message.electorate),
        _ => None,
    });
    FormationMessage {
        from,
        electorate: electorate.expect("it asks the other seeds"),
        body,
    }
}

fn ballot(round: u64, proposer: usize) -> BallotNumber {
    BallotNumber {
        round,
        proposer: replica_id(proposer),
        run: 1,
    }
}

fn promises(seed: &mut FormationSeed, from: ReplicaId, ballot: BallotNumber) -> bool {
    let message = message_of(from, FormationBody::Prepare { ballot });
    let actions = seed.receive(message, START);
    actions.iter().any(|action| {
        matches!(action, FormationAction::Send { message, .. }
            if matches!(message.body, FormationBody::Promise { .. }))
    })
}

/// Guards against one absurd ballot after which no other ballot is promised any more.
#[test]
fn an_absurd_round_does_not_hold_off_later_ballots() {
    let mut seed = seed();
    assert!(!promises(&mut seed, replica_id(1), ballot(u64::MAX, 1)));
    assert!(promises(&mut seed, replica_id(1), ballot(1, 1)));
    assert!(promises(&mut seed, replica_id(2), ballot(2, 2)));
}

#[test]
fn only_a_seed_may_ask_for_promises_and_only_for_itself() {
    let mut seed = seed();
    assert!(!promises(&mut seed, replica_id(5), ballot(1, 5)));
    assert!(!promises(&mut seed, replica_id(1), ballot(1, 2)));
    let mut foreign = message_of(
        replica_id(1),
        FormationBody::Prepare {
            ballot: ballot(1, 1),
        },
    );
    foreign.electorate ^= 1;
    let actions = seed.receive(foreign, START);
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, FormationAction::Send { .. }))
    );
}

/// Guards against a group that could never elect a leader.
#[test]
fn a_group_without_founders_or_with_repeated_ones_is_refused() {
    let proposal = |founders: Vec<MemberId>| GroupProposal {
        group: GroupId::new(1),
        founders,
    };
    assert!(!proposal(Vec::new()).is_valid());
    assert!(!proposal(vec![member(1), member(1)]).is_valid());
    assert!(!proposal((0..40).map(member).collect()).is_valid());
    assert!(proposal(vec![member(1), member(2)]).is_valid());
    let mut seed = seed();
    let formed = message_of(
        replica_id(1),
        FormationBody::Formed {
            proposal: proposal(Vec::new()),
        },
    );
    let actions = seed.receive(formed, START);
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, FormationAction::Formed(_)))
    );
}

#[test]
fn a_registration_for_another_replica_is_ignored() {
    let mut seed = seed();
    for vm in 3..6 {
        let body = FormationBody::Register {
            member: member(vm),
            storage: StorageKind::Disk,
        };
        seed.receive(message_of(replica_id(1), body), START);
    }
    // With three founders it would propose at once.
    seed.tick(START);
    let actions = seed.tick(START);
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, FormationAction::Send { .. }))
    );
}
