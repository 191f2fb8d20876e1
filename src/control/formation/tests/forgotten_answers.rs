//! Answers that a seed gave before it forgot them.

use super::formation_simulator::replica_id;
use crate::control::{
    formation::{
        AcceptorState, FormationBody, GroupProposal,
        ballot_number::BallotNumber,
        ballot_quorum::{BallotQuorum, SeedView},
        seed_acceptor::SeedAcceptor,
    },
    replica::{DiskId, GroupId, MemberId, ReplicaId},
};

const SEEDS: usize = 3;

fn state(incarnation: u64) -> AcceptorState {
    AcceptorState::new((0..SEEDS).map(replica_id).collect(), incarnation)
}

fn ballot(round: u64, proposer: usize) -> BallotNumber {
    BallotNumber {
        round,
        proposer: replica_id(proposer),
        run: 1,
    }
}

fn proposal(group: u128) -> GroupProposal {
    GroupProposal {
        group: GroupId::new(group),
        founders: vec![MemberId {
            replica: replica_id(0),
            disk: DiskId::new(group),
        }],
    }
}

/// Returns the view of an acceptor that promises the ballot, and what it has accepted.
fn promise(
    acceptor: &mut SeedAcceptor,
    ballot: BallotNumber,
) -> (SeedView, Option<(BallotNumber, GroupProposal)>) {
    match acceptor.prepare(ballot).body {
        Some(FormationBody::Promise { view, accepted, .. }) => (view, accepted),
        other => panic!("no promise: {other:?}"),
    }
}

fn accept(acceptor: &mut SeedAcceptor, ballot: BallotNumber, proposal: &GroupProposal) -> SeedView {
    match acceptor.accept(ballot, proposal).body {
        Some(FormationBody::Accepted { view, .. }) => view,
        other => panic!("not accepted: {other:?}"),
    }
}

/// Returns a seed that has forgotten and recovered with the help of the others.
fn recovered(
    seed: usize,
    incarnation: u64,
    others: [(usize, &mut SeedAcceptor); 2],
) -> SeedAcceptor {
    let mut acceptor = SeedAcceptor::without_memory(state(incarnation));
    assert!(
        acceptor.prepare(ballot(9, 0)).body.is_none(),
        "it may have promised"
    );
    for (other, helper) in others {
        match helper.help_recovery(replica_id(seed), incarnation).body {
            Some(FormationBody::RecoveryState { incarnation, memo }) => {
                acceptor.recover(replica_id(other), incarnation, memo);
            }
            body => panic!("no help: {body:?}"),
        }
    }
    assert!(!acceptor.has_forgotten());
    acceptor
}

fn quorum<T>(replies: Vec<(ReplicaId, SeedView, T)>) -> BallotQuorum<T> {
    let mut quorum = BallotQuorum::new(SEEDS);
    for (seed, view, reply) in replies {
        quorum.insert(seed, view, reply);
    }
    quorum
}

/// Guards against a second group by a promise that its seed no longer keeps: another
/// proposal was accepted under a lower ballot meanwhile.
#[test]
fn a_forgotten_promise_does_not_count() {
    let [mut first, mut second, mut third] =
        [1, 2, 3].map(|number| SeedAcceptor::new(state(number)));
    let high = ballot(2, 0);
    let low = ballot(1, 2);
    let (forgotten_view, forgotten) = promise(&mut second, high);
    let mut second = recovered(1, 22, [(0, &mut first), (2, &mut third)]);
    // The second and third seed agree on a proposal.
    promise(&mut second, low);
    promise(&mut third, low);
    let agreed = proposal(7);
    let accepted = quorum(vec![
        (replica_id(1), accept(&mut second, low, &agreed), ()),
        (replica_id(2), accept(&mut third, low, &agreed), ()),
    ]);
    assert!(accepted.decided().is_some());
    // The first seed has heard nothing of it.
    let (view, accepted) = promise(&mut first, high);
    let mut promises = quorum(vec![
        (replica_id(1), forgotten_view, forgotten),
        (replica_id(0), view, accepted),
    ]);
    assert!(
        promises.decided().is_none(),
        "a second group could be agreed on"
    );
    // With a promise that counts, the proposer learns of the agreement.
    let (view, accepted) = promise(&mut second, high);
    promises.insert(replica_id(1), view, accepted);
    let decided = promises.decided().expect("two promises");
    assert!(
        decided
            .into_iter()
            .flatten()
            .any(|(_, proposal)| *proposal == agreed)
    );
}

/// Guards against a group that is lost because a seed forgets that it accepted it.
#[test]
fn a_seed_recovers_what_was_agreed_on() {
    let [mut first, mut second, mut third] =
        [1, 2, 3].map(|number| SeedAcceptor::new(state(number)));
    let agreed = proposal(7);
    for acceptor in [&mut first, &mut second] {
        promise(acceptor, ballot(1, 0));
        accept(acceptor, ballot(1, 0), &agreed);
    }
    drop(first);
    let mut first = recovered(0, 11, [(1, &mut second), (2, &mut third)]);
    let (first_view, first_accepted) = promise(&mut first, ballot(2, 2));
    let (third_view, third_accepted) = promise(&mut third, ballot(2, 2));
    let promises = quorum(vec![
        (replica_id(0), first_view, first_accepted),
        (replica_id(2), third_view, third_accepted),
    ]);
    let decided = promises.decided().expect("two promises");
    assert!(
        decided
            .into_iter()
            .flatten()
            .any(|(_, proposal)| *proposal == agreed)
    );
}

/// Guards against two seeds that have both forgotten and take each other's emptiness for
/// memory.
#[test]
fn a_seed_that_has_forgotten_helps_nobody() {
    let mut first = SeedAcceptor::without_memory(state(11));
    assert!(first.help_recovery(replica_id(1), 22).body.is_none());
}
