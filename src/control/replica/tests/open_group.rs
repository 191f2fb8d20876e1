//! Groups that form from seeds, take newcomers and let go of members that are
//! gone, without an operator.

use super::shuffler::Shuffler;
use crate::{
    clock::SpanMillis,
    control::replica::{MemberVote, ProposalOutcome},
};

const SETTLE_MILLIS: SpanMillis = SpanMillis::new(4_000);

fn start(nodes: usize, founders: usize) -> (Shuffler, usize) {
    let mut shuffler = Shuffler::new(nodes, 11).with_founders(founders);
    shuffler.run(SETTLE_MILLIS);
    let leader = shuffler.leader().expect("a group is formed");
    accept(&mut shuffler);
    (shuffler, leader)
}

/// Has the leader accept a change.
fn accept(shuffler: &mut Shuffler) {
    let leader = shuffler.leader().expect("a leader");
    let key = shuffler.propose(leader);
    shuffler.run(SpanMillis::new(500));
    let outcome = shuffler.record.outcomes.get(&key);
    assert!(matches!(outcome, Some(ProposalOutcome::Committed { .. })));
}

fn voters(shuffler: &Shuffler) -> usize {
    let leader = shuffler.leader().expect("a leader");
    let view = shuffler.view(leader).expect("it runs");
    let members = view.members.iter();
    members
        .filter(|member| member.vote == MemberVote::Voter)
        .count()
}

#[test]
fn newcomers_that_know_only_the_seeds_become_voters() {
    let (shuffler, _) = start(6, 3);
    assert_eq!(voters(&shuffler), 6);
    for node in 0..6 {
        shuffler.assert_holds_accepted(node);
    }
}

#[test]
fn a_newcomer_takes_the_place_of_a_member_that_is_gone() {
    let (mut shuffler, leader) = start(3, 3);
    let gone = (leader + 1) % 3;
    shuffler.crash(gone, 0);
    shuffler.grow(1);
    shuffler.crash(gone, 0);
    shuffler.run(SETTLE_MILLIS.times(2));
    assert_eq!(voters(&shuffler), 3);
    // The newcomer counts: another member may be lost now.
    let next = (0..3).find(|node| *node != gone && Some(*node) != shuffler.leader());
    shuffler.crash(next.expect("a follower"), 0);
    shuffler.run(SETTLE_MILLIS);
    accept(&mut shuffler);
    shuffler.assert_holds_accepted(3);
}

#[test]
fn a_silent_member_stays_while_no_more_than_the_least_voters_are_left() {
    let (mut shuffler, leader) = start(3, 3);
    shuffler.isolate((leader + 1) % 3);
    shuffler.run(SETTLE_MILLIS.times(3));
    assert_eq!(voters(&shuffler), 3);
}

#[test]
fn a_member_that_was_removed_while_it_was_cut_off_joins_again() {
    let (mut shuffler, leader) = start(5, 3);
    let cut = (leader + 1) % 5;
    shuffler.isolate(cut);
    shuffler.run(SETTLE_MILLIS.times(2));
    assert_eq!(voters(&shuffler), 4);
    accept(&mut shuffler);
    shuffler.heal();
    shuffler.run(SETTLE_MILLIS.times(2));
    assert_eq!(voters(&shuffler), 5);
    shuffler.assert_holds_accepted(cut);
}

#[test]
fn a_seed_that_lost_its_disk_never_founds_a_second_group() {
    let (mut shuffler, leader) = start(3, 3);
    let lost = (leader + 1) % 3;
    let group = shuffler.view(leader).expect("it runs").group;
    shuffler.lose_disk(lost);
    shuffler.isolate(lost);
    shuffler.restart(lost);
    shuffler.run(SETTLE_MILLIS);
    assert_eq!(shuffler.view(lost).expect("it runs").group, None);
    shuffler.heal();
    shuffler.run(SETTLE_MILLIS);
    assert_eq!(shuffler.view(lost).expect("it runs").group, group);
    assert_eq!(voters(&shuffler), 3);
    shuffler.assert_holds_accepted(lost);
}

#[test]
fn replicas_that_all_lost_power_show_what_was_committed_before_they_elect() {
    let (mut shuffler, _) = start(3, 3);
    shuffler.run(SpanMillis::new(500));
    for node in 0..3 {
        shuffler.crash(node, 0);
        shuffler.restart(node);
        shuffler.tick(node);
    }
    assert_eq!(shuffler.leader(), None);
    for node in 0..3 {
        shuffler.assert_holds_accepted(node);
    }
}
