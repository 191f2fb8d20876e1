//! Scenarios with a few faults and a known outcome.

use rstest::rstest;

use super::group_simulator::GroupSimulator;
use crate::{
    clock::SpanMillis,
    control::{
        api::ReplicaRole,
        replica::{ProposalOutcome, ReadOutcome, ReplicaReport, VotingStatus},
    },
};

const SETTLE_MILLIS: SpanMillis = SpanMillis::new(4_000);

fn start(count: usize) -> (GroupSimulator, usize) {
    let mut simulator = GroupSimulator::new(count, 7);
    simulator.run(SETTLE_MILLIS);
    let leader = simulator.leader().expect("a group is formed");
    for _ in 0..5 {
        simulator.propose(leader);
        simulator.settle();
    }
    simulator.run(SpanMillis::new(500));
    assert_eq!(simulator.history.acknowledged.len(), 5);
    (simulator, leader)
}

fn completed_repairs(simulator: &GroupSimulator) -> usize {
    let repair_done = |report: &ReplicaReport| matches!(report, ReplicaReport::RepairDone { .. });
    let reports = simulator.history.reports.iter();
    reports.filter(|(_, report)| repair_done(report)).count()
}

#[rstest]
#[case(1)]
#[case(3)]
#[case(5)]
fn a_group_forms_and_every_replica_applies(#[case] count: usize) {
    let (simulator, _) = start(count);
    for node in 0..count {
        simulator.assert_applied_all_acknowledged(node);
    }
}

#[test]
fn a_partitioned_replica_with_an_empty_disk_forms_no_group() {
    let mut simulator = GroupSimulator::new(3, 3);
    simulator.isolate(0);
    simulator.run(SETTLE_MILLIS);
    assert!(simulator.leader().is_none());
}

#[test]
fn a_partitioned_leader_confirms_no_read_and_commits_nothing() {
    let (mut simulator, old_leader) = start(3);
    simulator.isolate(old_leader);
    let unknown_proposal = simulator.propose(old_leader);
    let read = simulator.read(old_leader);
    simulator.run(SETTLE_MILLIS);
    let new_leader = simulator.leader().expect("the majority elects a leader");
    assert_ne!(new_leader, old_leader);
    simulator.propose(new_leader);
    simulator.settle();
    let read_after = simulator.read(old_leader);
    let refused_proposal = simulator.propose(old_leader);
    simulator.run(SETTLE_MILLIS);
    assert_eq!(
        simulator.history.outcomes[&unknown_proposal],
        ProposalOutcome::OutcomeUnknown
    );
    assert_eq!(
        simulator.history.outcomes[&refused_proposal],
        ProposalOutcome::NoQuorum
    );
    assert_eq!(simulator.history.read_outcomes[&read], ReadOutcome::Refused);
    assert_eq!(
        simulator.history.read_outcomes[&read_after],
        ReadOutcome::Refused
    );
}

#[test]
fn a_partitioned_follower_confirms_no_read() {
    let (mut simulator, leader) = start(3);
    let follower = (leader + 1) % 3;
    let confirmed_read = simulator.read(follower);
    simulator.settle();
    assert!(matches!(
        simulator.history.read_outcomes[&confirmed_read],
        ReadOutcome::Confirmed { .. }
    ));
    simulator.isolate(follower);
    let refused_read = simulator.read(follower);
    simulator.propose(leader);
    simulator.run(SETTLE_MILLIS);
    assert_eq!(
        simulator.history.read_outcomes[&refused_read],
        ReadOutcome::Refused
    );
}

#[test]
fn a_replica_does_not_depose_the_leader_after_a_partition() {
    let (mut simulator, leader) = start(3);
    let term = simulator.view(leader).expect("it runs").term;
    simulator.isolate((leader + 1) % 3);
    simulator.run(SpanMillis::new(20_000));
    simulator.heal();
    simulator.run(SETTLE_MILLIS);
    assert_eq!(simulator.leader(), Some(leader));
    assert_eq!(simulator.view(leader).expect("it runs").term, term);
}

#[test]
fn losing_a_second_disk_right_after_a_reported_repair_loses_no_change() {
    let (mut simulator, leader) = start(3);
    let first_lost = (leader + 1) % 3;
    simulator.crash(first_lost, 0);
    for _ in 0..20 {
        simulator.propose(leader);
        simulator.settle();
    }
    simulator.lose_disk(first_lost);
    simulator.restart(first_lost);
    while completed_repairs(&simulator) == 0 {
        simulator.run(SpanMillis::new(25));
    }
    simulator.lose_disk(leader);
    simulator.run(SETTLE_MILLIS);
    let next_leader = simulator.leader().expect("two of three answer");
    simulator.assert_applied_all_acknowledged(next_leader);
    simulator.restart(leader);
    simulator.run(SpanMillis::new(8_000));
    assert_eq!(completed_repairs(&simulator), 2);
    for node in 0..3 {
        simulator.assert_applied_all_acknowledged(node);
    }
}

#[test]
fn losing_a_second_disk_during_a_repair_stops_the_group_and_loses_no_change() {
    let (mut simulator, leader) = start(3);
    let (first_lost, second_lost) = ((leader + 1) % 3, (leader + 2) % 3);
    simulator.lose_disk(first_lost);
    simulator.restart(first_lost);
    simulator.block_link(leader, first_lost);
    simulator.run(SpanMillis::new(1_000));
    simulator.lose_disk(second_lost);
    simulator.heal();
    simulator.run(SETTLE_MILLIS);
    let refused_proposal = simulator.propose(leader);
    let read = simulator.read(leader);
    assert_eq!(
        simulator.history.outcomes[&refused_proposal],
        ProposalOutcome::NoQuorum
    );
    assert_eq!(simulator.history.read_outcomes[&read], ReadOutcome::Refused);
    assert_eq!(completed_repairs(&simulator), 0);
    let quorum_lost = |report: &ReplicaReport| matches!(report, ReplicaReport::QuorumLost { .. });
    assert!(
        simulator
            .history
            .reports
            .iter()
            .any(|(_, report)| quorum_lost(report))
    );
    simulator.assert_applied_all_acknowledged(leader);
}

#[test]
fn a_learner_is_not_promoted_while_it_lacks_entries() {
    let (mut simulator, leader) = start(3);
    let (lost, crashed) = ((leader + 1) % 3, (leader + 2) % 3);
    simulator.lose_disk(lost);
    simulator.restart(lost);
    simulator.crash(crashed, 0);
    let key = simulator.propose(leader);
    simulator.run(SpanMillis::new(20_000));
    let outcome = simulator.history.outcomes.get(&key);
    assert!(!matches!(outcome, Some(ProposalOutcome::Committed { .. })));
    assert_eq!(completed_repairs(&simulator), 0);
    simulator.restart(crashed);
    simulator.run(SpanMillis::new(8_000));
    assert_eq!(completed_repairs(&simulator), 1);
    let view = simulator.view(simulator.leader().expect("all answer"));
    let members = view.expect("it runs").members;
    assert_eq!(members.len(), 3);
    assert!(
        members
            .iter()
            .all(|member| member.voting_status == VotingStatus::Voter)
    );
}

#[test]
fn a_follower_that_lags_far_receives_a_snapshot() {
    let (mut simulator, leader) = start(3);
    let lagging = (leader + 1) % 3;
    simulator.crash(lagging, 0);
    for _ in 0..100 {
        simulator.propose(leader);
        simulator.settle();
    }
    simulator.restart(lagging);
    simulator.run(SETTLE_MILLIS);
    assert_eq!(simulator.history.acknowledged.len(), 105);
    simulator.assert_applied_all_acknowledged(lagging);
    let view = simulator.view(lagging).expect("it runs");
    assert_eq!(view.role, ReplicaRole::Follower);
    assert!(view.snapshot_index.number() > 50);
}

#[test]
fn a_group_of_one_grows_to_three() {
    let (mut simulator, _) = start(1);
    simulator.add_replicas(2);
    simulator.run(SpanMillis::new(8_000));
    assert_eq!(completed_repairs(&simulator), 2);
    simulator.crash(0, 0);
    simulator.run(SETTLE_MILLIS);
    let leader = simulator.leader().expect("two of three answer");
    simulator.assert_applied_all_acknowledged(leader);
}

#[test]
fn a_leadership_transfer_needs_no_election_timeout() {
    let (mut simulator, old_leader) = start(3);
    let before = simulator.now;
    simulator.transfer_leadership(old_leader);
    simulator.settle();
    assert_eq!(simulator.now, before);
    let new_leader = simulator.leader().expect("leadership was transferred");
    assert_ne!(new_leader, old_leader);
    let key = simulator.propose(new_leader);
    simulator.settle();
    let outcome = simulator.history.outcomes[&key];
    assert!(matches!(outcome, ProposalOutcome::Committed { .. }));
}

#[test]
fn leadership_is_not_transferred_to_a_replica_that_lacks_entries() {
    let (mut simulator, leader) = start(3);
    for other in [(leader + 1) % 3, (leader + 2) % 3] {
        simulator.block_link(leader, other);
    }
    simulator.propose(leader);
    simulator.heal();
    simulator.transfer_leadership(leader);
    simulator.settle();
    assert_eq!(simulator.leader(), Some(leader));
}

#[test]
fn a_learner_whose_admission_was_rolled_back_joins_again() {
    let (mut simulator, old_leader) = start(5);
    let learner = (old_leader + 1) % 5;
    simulator.lose_disk(learner);
    for other in (0..5).filter(|other| *other != old_leader && *other != learner) {
        simulator.block_link(old_leader, other);
        simulator.block_link(other, old_leader);
    }
    simulator.restart(learner);
    simulator.run(SETTLE_MILLIS);
    let learner_added =
        |report: &ReplicaReport| matches!(report, ReplicaReport::LearnerAdded { .. });
    let reports = &simulator.history.reports;
    assert!(
        reports
            .iter()
            .any(|(node, report)| *node == old_leader && learner_added(report))
    );
    simulator.heal();
    simulator.run(SpanMillis::new(8_000));
    assert_eq!(completed_repairs(&simulator), 1);
    simulator.assert_applied_all_acknowledged(learner);
}

/// Crashes the leader, lets every sync take `sync_time` from then on, and checks that
/// another replica leads after a minute.
fn replace_leader_on_slow_disks(sync_time: SpanMillis) {
    for seed in 0..20 {
        let mut simulator = GroupSimulator::new(3, seed);
        simulator.run(SETTLE_MILLIS);
        let leader = simulator.leader().expect("a group is formed");
        simulator.crash(leader, 0);
        simulator.run_with_slow_disks(SpanMillis::new(60_000), sync_time);
        assert!(
            simulator.leader().is_some_and(|node| node != leader),
            "no leader after 60 s with syncs of {sync_time}, seed {seed}"
        );
    }
}

/// Other work on the VMs may make every sync take as long as an election timeout.
#[rstest]
#[case(0)]
#[case(100)]
#[case(200)]
#[case(400)]
#[case(1_000)]
#[case(2_000)]
fn a_leader_is_replaced_while_all_disks_are_slow(#[case] sync_millis: u64) {
    replace_leader_on_slow_disks(SpanMillis::new(sync_millis));
}

#[test]
fn a_leader_is_replaced_while_every_sync_takes_four_seconds() {
    replace_leader_on_slow_disks(SpanMillis::new(4_000));
}

/// Guards against a leader that is elected but loses its majority while followers sync.
#[test]
fn a_new_leader_commits_a_change_while_every_sync_takes_four_seconds() {
    let sync_time = SpanMillis::new(4_000);
    for seed in 0..20 {
        let mut simulator = GroupSimulator::new(3, seed);
        simulator.run(SETTLE_MILLIS);
        let old_leader = simulator.leader().expect("a group is formed");
        simulator.crash(old_leader, 0);
        simulator.run_with_slow_disks(SpanMillis::new(60_000), sync_time);
        let leader = simulator.leader().expect("a leader is elected");
        let term = simulator.view(leader).expect("it runs").term;
        let key = simulator.propose(leader);
        simulator.run_with_slow_disks(SpanMillis::new(20_000), sync_time);
        let outcome = simulator.history.outcomes.get(&key);
        assert!(
            matches!(outcome, Some(ProposalOutcome::Committed { .. })),
            "{outcome:?}, seed {seed}"
        );
        assert_eq!(simulator.view(leader).expect("it runs").term, term);
    }
}
