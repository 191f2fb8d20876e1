//! Tests of the choice of a balancer for answers.

use std::net::{Ipv4Addr, SocketAddrV4};

use crate::{agent::endpoint::AnswerPaths, clock::ClockMillis};

fn balancer(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 5_000)
}

fn caller(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 1), port)
}

/// Sends an answer each 50 ms while `live` balancers echo; returns the last choice.
fn run_answers(
    paths: &mut AnswerPaths,
    from: u64,
    until: u64,
    live: &[u8],
) -> Option<SocketAddrV4> {
    let mut last = None;
    for at in (from..until).step_by(50) {
        let now = ClockMillis::new(at);
        for index in live {
            paths.record_frame(balancer(*index), now);
        }
        let mut probes = paths.due_probes(now);
        let choice = paths.choose(caller(1), now)?;
        probes.extend(choice.echo.map(|number| (choice.balancer, number)));
        for (peer, number) in probes {
            if live.iter().any(|index| balancer(*index) == peer) {
                paths.record_echo(peer, number);
            }
        }
        last = Some(choice.balancer);
    }
    last
}

#[test]
fn answers_to_one_caller_keep_to_one_balancer() {
    let mut paths = AnswerPaths::new();
    let first = run_answers(&mut paths, 0, 100, &[1, 2, 3]);
    assert_eq!(run_answers(&mut paths, 100, 20_000, &[1, 2, 3]), first);
}

#[test]
fn a_dead_balancer_is_avoided_within_a_second_and_not_used_again() {
    let mut paths = AnswerPaths::new();
    let dead = run_answers(&mut paths, 0, 2_000, &[1, 2, 3]).expect("a balancer");
    let live: Vec<u8> = (1..=3).filter(|index| balancer(*index) != dead).collect();
    run_answers(&mut paths, 2_000, 3_000, &live);
    for at in (3_000..20_000).step_by(500) {
        assert_ne!(run_answers(&mut paths, at, at + 500, &live), Some(dead));
    }
}

#[test]
fn a_balancer_that_comes_back_is_used_again() {
    let mut paths = AnswerPaths::new();
    let first = run_answers(&mut paths, 0, 2_000, &[1, 2]).expect("a balancer");
    let other = if first == balancer(1) { 2 } else { 1 };
    run_answers(&mut paths, 2_000, 5_000, &[other]);
    assert_eq!(run_answers(&mut paths, 5_000, 9_000, &[1, 2]), Some(first));
}

#[test]
fn the_set_is_bounded_and_evicts_idle_balancers() {
    let mut paths = AnswerPaths::new();
    for index in 0..100 {
        paths.record_frame(balancer(index), ClockMillis::ORIGIN);
    }
    assert_eq!(paths.list(ClockMillis::ORIGIN).len(), 16);
    let later = ClockMillis::new(40_000);
    paths.record_frame(balancer(200), later);
    let choice = paths.choose(caller(1), later).expect("a balancer");
    assert_eq!(choice.balancer, balancer(200));
}

#[test]
fn one_unanswered_packet_is_enough_to_detect_a_dead_balancer() {
    let mut paths = AnswerPaths::new();
    let dead = run_answers(&mut paths, 0, 2_000, &[1, 2]).expect("a balancer");
    // One handshake packet is sent; the caller retransmits nothing for a second.
    paths.choose(caller(1), ClockMillis::new(2_300));
    for at in (2_400..3_300).step_by(100) {
        paths.due_probes(ClockMillis::new(at));
    }
    let next = paths.choose(caller(1), ClockMillis::new(3_300));
    assert_ne!(next.expect("a balancer").balancer, dead);
}

#[test]
fn a_path_is_probed_after_an_answer_sent_between_probes() {
    let mut paths = AnswerPaths::new();
    let dead = run_answers(&mut paths, 0, 2_000, &[1, 2]).expect("a balancer");
    let probe = paths.choose(caller(1), ClockMillis::new(2_300));
    let number = probe
        .and_then(|choice| choice.echo)
        .expect("a probe is due");
    paths.record_echo(dead, number);
    // The balancer dies here; the next answer comes too early to carry a probe.
    let answer = paths
        .choose(caller(1), ClockMillis::new(2_310))
        .expect("a balancer");
    assert_eq!((answer.balancer, answer.echo), (dead, None));
    for at in (2_400..3_300).step_by(250) {
        paths.due_probes(ClockMillis::new(at));
    }
    let next = paths.choose(caller(1), ClockMillis::new(3_310));
    assert_ne!(next.expect("a balancer").balancer, dead);
}
