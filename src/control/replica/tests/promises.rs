//! What holds under any order of messages, losses, cuts and restarts.

use proptest::prelude::*;

use super::{fixed_cases, shuffler::Shuffler};
use crate::{
    clock::SpanMillis,
    control::replica::{PeerMessage, ReplicaReport, limits::ELECTION_MAX_MILLIS},
};

/// One thing that happens.
#[derive(Debug, Clone, Copy)]
enum Step {
    Deliver(usize),
    Duplicate(usize),
    LoseMessage(usize),
    PassTime(u64),
    Tick(usize),
    Sync(usize),
    Propose(usize),
    Read(usize),
    HandOver(usize),
    Crash(usize, usize),
    Restart(usize),
    LoseDisk(usize),
    Cut(usize, usize),
    Isolate(usize),
    Heal,
    /// Everyone's patience with the leader ends at once.
    Expire,
    Run(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    let node = 0..5_usize;
    prop_oneof![
        30 => (0..64_usize).prop_map(Step::Deliver),
        3 => (0..64_usize).prop_map(Step::Duplicate),
        3 => (0..64_usize).prop_map(Step::LoseMessage),
        6 => (1..400_u64).prop_map(Step::PassTime),
        8 => node.clone().prop_map(Step::Tick),
        10 => node.clone().prop_map(Step::Sync),
        8 => node.clone().prop_map(Step::Propose),
        5 => node.clone().prop_map(Step::Read),
        1 => node.clone().prop_map(Step::HandOver),
        2 => (node.clone(), 0..4_usize).prop_map(|(node, kept)| Step::Crash(node, kept)),
        3 => node.clone().prop_map(Step::Restart),
        1 => node.clone().prop_map(Step::LoseDisk),
        2 => (node.clone(), node.clone()).prop_map(|(from, to)| Step::Cut(from, to)),
        1 => node.prop_map(Step::Isolate),
        2 => Just(Step::Heal),
        2 => Just(Step::Expire),
        3 => (25..1_500_u64).prop_map(Step::Run),
    ]
}

fn take_step(shuffler: &mut Shuffler, step: Step, lost: &mut Option<usize>) {
    let count = shuffler.nodes.len();
    match step {
        Step::Deliver(pick) => shuffler.deliver(pick, false),
        Step::Duplicate(pick) => shuffler.deliver(pick, true),
        Step::LoseMessage(pick) => shuffler.lose_message(pick),
        Step::PassTime(millis) => shuffler.pass_time(SpanMillis::new(millis)),
        Step::Tick(node) => shuffler.tick(node % count),
        Step::Sync(node) => shuffler.sync(node % count),
        Step::Propose(node) => {
            shuffler.propose(node % count);
        }
        Step::Read(node) => {
            shuffler.read(node % count);
        }
        Step::HandOver(node) => shuffler.step_aside(node % count),
        Step::Crash(node, kept) => shuffler.crash(node % count, kept),
        Step::Restart(node) => shuffler.restart(node % count),
        Step::LoseDisk(node) => {
            // A second disk is lost only after the repair of the first.
            if lost.is_none() {
                shuffler.lose_disk(node % count);
                shuffler.record.reports.clear();
                *lost = Some(node % count);
            }
        }
        Step::Cut(from, to) => shuffler.cut(from % count, to % count),
        Step::Isolate(node) => shuffler.isolate(node % count),
        Step::Heal => shuffler.heal(),
        Step::Expire => {
            shuffler.pass_time(ELECTION_MAX_MILLIS);
            for node in 0..count {
                shuffler.tick(node);
            }
        }
        Step::Run(millis) => shuffler.run(SpanMillis::new(millis)),
    }
    let repaired = shuffler
        .record
        .reports
        .iter()
        .any(|(_, report)| matches!(report, ReplicaReport::RepairDone { .. }));
    if repaired {
        *lost = None;
    }
}

fn start(count: usize, seed: u64) -> Shuffler {
    let mut shuffler = Shuffler::new(count, seed);
    shuffler.run(SpanMillis::new(4_000));
    assert!(shuffler.leader().is_some(), "no group is formed");
    shuffler
}

/// Lets everything recover and checks that nothing accepted is gone.
fn finish(mut shuffler: Shuffler) {
    shuffler.heal();
    for node in 0..shuffler.nodes.len() {
        shuffler.restart(node);
    }
    shuffler.run(SpanMillis::new(15_000));
    let leader = shuffler.leader().expect("a majority answers");
    shuffler.propose(leader);
    shuffler.run(SpanMillis::new(1_000));
    assert!(!shuffler.record.accepted.is_empty(), "nothing is accepted");
    for node in 0..shuffler.nodes.len() {
        shuffler.assert_holds_accepted(node);
    }
}

proptest! {
    #![proptest_config(fixed_cases(96))]

    #[test]
    fn nothing_accepted_is_lost_with_three(
        seed: u64,
        steps in prop::collection::vec(any_step(), 50..500),
    ) {
        let mut shuffler = start(3, seed);
        let mut lost = None;
        for step in steps {
            take_step(&mut shuffler, step, &mut lost);
        }
        finish(shuffler);
    }

    #[test]
    fn nothing_accepted_is_lost_with_five(
        seed: u64,
        steps in prop::collection::vec(any_step(), 50..400),
    ) {
        let mut shuffler = start(5, seed);
        let mut lost = None;
        for step in steps {
            take_step(&mut shuffler, step, &mut lost);
        }
        finish(shuffler);
    }

    #[test]
    fn arbitrary_bytes_never_break_the_decoder(
        bytes in prop::collection::vec(any::<u8>(), 0..512),
    ) {
        let _ = postcard::from_bytes::<PeerMessage>(&bytes);
    }
}
