//! Single faults whose outcome is known.

use rstest::rstest;

use super::shuffler::Shuffler;
use crate::{
    clock::SpanMillis,
    control::{
        api::ReplicaRole,
        replica::{MemberVote, ProposalOutcome, ReadOutcome, ReplicaReport},
    },
};

const SETTLE_MILLIS: SpanMillis = SpanMillis::new(4_000);

fn start(count: usize) -> (Shuffler, usize) {
    let mut shuffler = Shuffler::new(count, 7);
    shuffler.run(SETTLE_MILLIS);
    let leader = shuffler.leader().expect("a group is formed");
    for _ in 0..5 {
        shuffler.propose(leader);
        shuffler.settle();
    }
    shuffler.run(SpanMillis::new(500));
    assert_eq!(shuffler.record.accepted.len(), 5);
    (shuffler, leader)
}

fn repairs(shuffler: &Shuffler) -> usize {
    let done = |report: &ReplicaReport| matches!(report, ReplicaReport::RepairDone { .. });
    let reports = shuffler.record.reports.iter();
    reports.filter(|(_, report)| done(report)).count()
}

#[rstest]
#[case(1)]
#[case(3)]
#[case(5)]
fn a_group_forms_and_every_replica_applies(#[case] count: usize) {
    let (shuffler, _) = start(count);
    for node in 0..count {
        shuffler.assert_holds_accepted(node);
    }
}

#[test]
fn one_empty_disk_alone_forms_no_group() {
    let mut shuffler = Shuffler::new(3, 3);
    shuffler.isolate(0);
    shuffler.run(SETTLE_MILLIS);
    assert!(shuffler.leader().is_none());
}

#[test]
fn a_leader_that_is_cut_off_confirms_no_read_and_accepts_nothing() {
    let (mut shuffler, old) = start(3);
    shuffler.isolate(old);
    let unknown = shuffler.propose(old);
    let read = shuffler.read(old);
    shuffler.run(SETTLE_MILLIS);
    let new = shuffler.leader().expect("the majority goes on");
    assert_ne!(new, old);
    shuffler.propose(new);
    shuffler.settle();
    let late_read = shuffler.read(old);
    let refused = shuffler.propose(old);
    shuffler.run(SETTLE_MILLIS);
    assert_eq!(
        shuffler.record.outcomes[&unknown],
        ProposalOutcome::OutcomeUnknown
    );
    assert_eq!(
        shuffler.record.outcomes[&refused],
        ProposalOutcome::NoQuorum
    );
    assert_eq!(shuffler.record.read_outcomes[&read], ReadOutcome::Refused);
    assert_eq!(
        shuffler.record.read_outcomes[&late_read],
        ReadOutcome::Refused
    );
}

#[test]
fn a_follower_that_is_cut_off_confirms_no_read() {
    let (mut shuffler, leader) = start(3);
    let follower = (leader + 1) % 3;
    let current = shuffler.read(follower);
    shuffler.settle();
    assert!(matches!(
        shuffler.record.read_outcomes[&current],
        ReadOutcome::Confirmed { .. }
    ));
    shuffler.isolate(follower);
    let stale = shuffler.read(follower);
    shuffler.propose(leader);
    shuffler.run(SETTLE_MILLIS);
    assert_eq!(shuffler.record.read_outcomes[&stale], ReadOutcome::Refused);
}

#[test]
fn a_replica_that_returns_from_a_cut_does_not_depose_the_leader() {
    let (mut shuffler, leader) = start(3);
    let term = shuffler.view(leader).expect("it runs").term;
    shuffler.isolate((leader + 1) % 3);
    shuffler.run(SpanMillis::new(20_000));
    shuffler.heal();
    shuffler.run(SETTLE_MILLIS);
    assert_eq!(shuffler.leader(), Some(leader));
    assert_eq!(shuffler.view(leader).expect("it runs").term, term);
}

#[test]
fn a_second_disk_may_be_lost_right_after_a_repair_is_reported() {
    let (mut shuffler, leader) = start(3);
    let first = (leader + 1) % 3;
    shuffler.crash(first, 0);
    for _ in 0..20 {
        shuffler.propose(leader);
        shuffler.settle();
    }
    shuffler.lose_disk(first);
    shuffler.restart(first);
    while repairs(&shuffler) == 0 {
        shuffler.run(SpanMillis::new(25));
    }
    shuffler.lose_disk(leader);
    shuffler.run(SETTLE_MILLIS);
    let next = shuffler.leader().expect("two of three answer");
    shuffler.assert_holds_accepted(next);
    shuffler.restart(leader);
    shuffler.run(SpanMillis::new(8_000));
    assert_eq!(repairs(&shuffler), 2);
    for node in 0..3 {
        shuffler.assert_holds_accepted(node);
    }
}

#[test]
fn a_disk_lost_during_a_repair_stops_the_group_and_loses_nothing() {
    let (mut shuffler, leader) = start(3);
    let (first, second) = ((leader + 1) % 3, (leader + 2) % 3);
    shuffler.lose_disk(first);
    shuffler.restart(first);
    shuffler.cut(leader, first);
    shuffler.run(SpanMillis::new(1_000));
    shuffler.lose_disk(second);
    shuffler.heal();
    shuffler.run(SETTLE_MILLIS);
    let refused = shuffler.propose(leader);
    let read = shuffler.read(leader);
    assert_eq!(
        shuffler.record.outcomes[&refused],
        ProposalOutcome::NoQuorum
    );
    assert_eq!(shuffler.record.read_outcomes[&read], ReadOutcome::Refused);
    assert_eq!(repairs(&shuffler), 0);
    let lost = |report: &ReplicaReport| matches!(report, ReplicaReport::QuorumLost { .. });
    assert!(
        shuffler
            .record
            .reports
            .iter()
            .any(|(_, report)| lost(report))
    );
    shuffler.assert_holds_accepted(leader);
}

#[test]
fn an_empty_disk_does_not_count_while_it_lacks_entries() {
    let (mut shuffler, leader) = start(3);
    let (first, second) = ((leader + 1) % 3, (leader + 2) % 3);
    shuffler.lose_disk(first);
    shuffler.restart(first);
    shuffler.crash(second, 0);
    let key = shuffler.propose(leader);
    shuffler.run(SpanMillis::new(20_000));
    let outcome = shuffler.record.outcomes.get(&key);
    assert!(!matches!(outcome, Some(ProposalOutcome::Committed { .. })));
    assert_eq!(repairs(&shuffler), 0);
    shuffler.restart(second);
    shuffler.run(SpanMillis::new(8_000));
    assert_eq!(repairs(&shuffler), 1);
    let view = shuffler.view(shuffler.leader().expect("all answer"));
    let members = view.expect("it runs").members;
    assert_eq!(members.len(), 3);
    assert!(
        members
            .iter()
            .all(|member| member.vote == MemberVote::Voter)
    );
}

#[test]
fn a_member_that_lags_far_gets_a_snapshot() {
    let (mut shuffler, leader) = start(3);
    let lagging = (leader + 1) % 3;
    shuffler.crash(lagging, 0);
    for _ in 0..100 {
        shuffler.propose(leader);
        shuffler.settle();
    }
    shuffler.restart(lagging);
    shuffler.run(SETTLE_MILLIS);
    assert_eq!(shuffler.record.accepted.len(), 105);
    shuffler.assert_holds_accepted(lagging);
    let view = shuffler.view(lagging).expect("it runs");
    assert_eq!(view.role, ReplicaRole::Follower);
    assert!(view.snapshot.number() > 50);
}

#[test]
fn a_group_of_one_grows_to_three() {
    let (mut shuffler, _) = start(1);
    shuffler.grow(2);
    shuffler.run(SpanMillis::new(8_000));
    assert_eq!(repairs(&shuffler), 2);
    shuffler.crash(0, 0);
    shuffler.run(SETTLE_MILLIS);
    let leader = shuffler.leader().expect("two of three answer");
    shuffler.assert_holds_accepted(leader);
}

#[test]
fn a_leader_that_steps_aside_is_followed_at_once() {
    let (mut shuffler, old) = start(3);
    let before = shuffler.now;
    shuffler.step_aside(old);
    shuffler.settle();
    assert_eq!(shuffler.now, before);
    let new = shuffler.leader().expect("one is urged to lead");
    assert_ne!(new, old);
    let key = shuffler.propose(new);
    shuffler.settle();
    let outcome = shuffler.record.outcomes[&key];
    assert!(matches!(outcome, ProposalOutcome::Committed { .. }));
}

#[test]
fn a_leader_stays_when_no_other_holds_everything() {
    let (mut shuffler, leader) = start(3);
    for other in [(leader + 1) % 3, (leader + 2) % 3] {
        shuffler.cut(leader, other);
    }
    shuffler.propose(leader);
    shuffler.heal();
    shuffler.step_aside(leader);
    shuffler.settle();
    assert_eq!(shuffler.leader(), Some(leader));
}

#[test]
fn a_learner_whose_admission_was_reverted_asks_again() {
    let (mut shuffler, old) = start(5);
    let learner = (old + 1) % 5;
    shuffler.lose_disk(learner);
    for other in (0..5).filter(|other| *other != old && *other != learner) {
        shuffler.cut(old, other);
        shuffler.cut(other, old);
    }
    shuffler.restart(learner);
    shuffler.run(SETTLE_MILLIS);
    let admitted = |report: &ReplicaReport| matches!(report, ReplicaReport::LearnerAdded { .. });
    let reports = &shuffler.record.reports;
    assert!(
        reports
            .iter()
            .any(|(node, report)| *node == old && admitted(report))
    );
    shuffler.heal();
    shuffler.run(SpanMillis::new(8_000));
    assert_eq!(repairs(&shuffler), 1);
    shuffler.assert_holds_accepted(learner);
}
