//! Tests of tunnel frames and path health.

use std::net::{Ipv4Addr, SocketAddrV4};

use proptest::prelude::*;

use super::{FrameError, FrameHeader, FrameKind, PathBook};
use crate::{
    clock::ClockMillis,
    key::{ServiceNumber, TargetKey},
    route::TargetChain,
    secret::{DeploymentSecret, KeyRing},
};

fn ring() -> KeyRing {
    KeyRing::new(&DeploymentSecret::random(1)).expect("a good secret")
}

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), port)
}

fn sample_frame(keys: &KeyRing) -> Vec<u8> {
    let mut chain = TargetChain::new();
    chain.push(TargetKey::new(address(7)));
    let header = FrameHeader::new(FrameKind::Forward, ServiceNumber::new(3), address(9))
        .with_chain(chain)
        .with_echo(Some(5))
        .with_ecn(2);
    let mut frame = Vec::new();
    header.write(b"datagram", keys, &mut frame);
    let (read, payload) = FrameHeader::read(&frame, keys).expect("own frame");
    assert_eq!((read, payload), (header, b"datagram".as_slice()));
    frame
}

#[test]
fn a_frame_of_another_deployment_is_forged() {
    let frame = sample_frame(&ring());
    assert_eq!(FrameHeader::read(&frame, &ring()), Err(FrameError::Forged));
}

proptest! {
    #[test]
    fn any_changed_byte_is_noticed(place in 0usize..34, flip in 1u8..) {
        let keys = ring();
        let mut frame = sample_frame(&keys);
        frame[place] ^= flip;
        prop_assert!(FrameHeader::read(&frame, &keys).is_err());
    }

    #[test]
    fn reading_any_bytes_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..80)) {
        prop_assert!(FrameHeader::read(&bytes, &ring()).is_err());
    }
}

/// Sends a frame each 50 ms, answered by `answers(port)`, and returns the port.
fn drive(book: &mut PathBook, from: u64, until: u64, answers: impl Fn(usize) -> bool) -> usize {
    let mut port = 0;
    for at in (from..until).step_by(50) {
        let choice = book.choose(address(1), ClockMillis::new(at));
        port = choice.port;
        if let Some(number) = choice.echo
            && answers(port)
        {
            book.take_echo(address(1), number);
        }
    }
    port
}

#[test]
fn a_path_that_answers_is_kept() {
    let mut book = PathBook::new(2);
    assert_eq!(drive(&mut book, 0, 60_000, |_| true), 0);
}

#[test]
fn a_silent_path_is_left_within_a_second_and_a_half() {
    let mut book = PathBook::new(2);
    drive(&mut book, 0, 5_000, |_| true);
    assert_eq!(drive(&mut book, 5_000, 6_500, |port| port == 1), 1);
    assert_eq!(drive(&mut book, 6_500, 60_000, |port| port == 1), 1);
    assert!(!book.is_suspect(address(1)));
}

#[test]
fn a_peer_that_is_silent_on_all_paths_is_suspect_until_it_answers_a_probe() {
    let mut book = PathBook::new(2);
    drive(&mut book, 0, 3_000, |_| false);
    assert!(book.is_suspect(address(1)));
    let probes = book.due_probes(ClockMillis::new(4_000));
    let [(peer, choice)] = probes.as_slice() else {
        panic!("one probe was due, not {probes:?}");
    };
    book.take_echo(*peer, choice.echo.expect("a probe asks for an echo"));
    assert!(!book.is_suspect(address(1)));
}

#[test]
fn a_late_echo_of_a_left_path_does_not_clear_the_new_one() {
    let mut book = PathBook::new(2);
    let late = book.choose(address(1), ClockMillis::ORIGIN).echo;
    drive(&mut book, 50, 3_000, |_| false);
    assert!(book.is_suspect(address(1)));
    book.take_echo(address(1), late.expect("the first frame probes"));
    assert!(book.is_suspect(address(1)));
}

#[test]
fn idle_paths_are_forgotten() {
    let mut book = PathBook::new(2);
    drive(&mut book, 0, 100, |_| true);
    book.forget_idle(ClockMillis::new(40_000));
    assert_eq!(book.len(), 0);
}

#[test]
fn one_lost_first_packet_sends_the_next_elsewhere() {
    let mut book = PathBook::new(2);
    book.choose(address(1), ClockMillis::ORIGIN);
    assert!(!book.is_doubtful(address(1), ClockMillis::new(200)));
    // Callers repeat a first packet after a second.
    assert!(book.is_doubtful(address(1), ClockMillis::new(1_000)));
}

#[test]
fn a_dead_peer_is_found_by_probes_alone() {
    let mut book = PathBook::new(2);
    book.choose(address(1), ClockMillis::ORIGIN);
    for at in (500..=4_000).step_by(500) {
        book.due_probes(ClockMillis::new(at));
    }
    assert!(book.is_suspect(address(1)));
}
