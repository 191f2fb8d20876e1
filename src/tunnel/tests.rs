//! Tests of tunnel frames and path health.

use std::net::{Ipv4Addr, SocketAddrV4};

use proptest::prelude::*;

use super::{FrameError, FrameHeader, FrameKind, PathTable};
use crate::{
    clock::ClockMillis,
    key::{ServiceNumber, TargetKey},
    route::TargetChain,
    secret::{DeploymentSecret, KeyRing},
};

fn key_ring() -> KeyRing {
    KeyRing::new(&DeploymentSecret::random(1)).expect("a valid secret")
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
fn a_frame_of_another_deployment_is_rejected_as_forged() {
    let frame = sample_frame(&key_ring());
    assert_eq!(
        FrameHeader::read(&frame, &key_ring()),
        Err(FrameError::Forged)
    );
}

proptest! {
    #[test]
    fn any_modified_byte_is_rejected(offset in 0usize..34, flipped_bits in 1u8..) {
        let keys = key_ring();
        let mut frame = sample_frame(&keys);
        frame[offset] ^= flipped_bits;
        prop_assert!(FrameHeader::read(&frame, &keys).is_err());
    }

    #[test]
    fn arbitrary_bytes_are_rejected_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..80)) {
        prop_assert!(FrameHeader::read(&bytes, &key_ring()).is_err());
    }
}

/// Sends a frame every 50 ms, echoed if `answers(port)`, and returns the last port used.
fn send_frames(
    table: &mut PathTable,
    from: u64,
    until: u64,
    answers: impl Fn(usize) -> bool,
) -> usize {
    let mut port = 0;
    for at in (from..until).step_by(50) {
        let choice = table.choose(address(1), ClockMillis::new(at));
        port = choice.port;
        if let Some(number) = choice.echo
            && answers(port)
        {
            table.record_echo(address(1), number);
        }
    }
    port
}

#[test]
fn a_path_that_answers_is_kept() {
    let mut table = PathTable::new(2);
    assert_eq!(send_frames(&mut table, 0, 60_000, |_| true), 0);
}

#[test]
fn a_silent_path_is_replaced_within_1500_milliseconds() {
    let mut table = PathTable::new(2);
    send_frames(&mut table, 0, 5_000, |_| true);
    assert_eq!(send_frames(&mut table, 5_000, 6_500, |port| port == 1), 1);
    assert_eq!(send_frames(&mut table, 6_500, 60_000, |port| port == 1), 1);
    assert!(!table.is_suspect(address(1)));
}

#[test]
fn a_peer_that_is_silent_on_all_paths_is_suspect_until_it_answers_a_probe() {
    let mut table = PathTable::new(2);
    send_frames(&mut table, 0, 3_000, |_| false);
    assert!(table.is_suspect(address(1)));
    let probes = table.due_probes(ClockMillis::new(4_000));
    let [(peer, choice)] = probes.as_slice() else {
        panic!("one probe was due, not {probes:?}");
    };
    table.record_echo(*peer, choice.echo.expect("a probe asks for an echo"));
    assert!(!table.is_suspect(address(1)));
}

#[test]
fn a_late_echo_of_an_abandoned_path_does_not_clear_suspicion() {
    let mut table = PathTable::new(2);
    let late_echo = table.choose(address(1), ClockMillis::ORIGIN).echo;
    send_frames(&mut table, 50, 3_000, |_| false);
    assert!(table.is_suspect(address(1)));
    table.record_echo(address(1), late_echo.expect("the first frame probes"));
    assert!(table.is_suspect(address(1)));
}

#[test]
fn idle_paths_are_removed() {
    let mut table = PathTable::new(2);
    send_frames(&mut table, 0, 100, |_| true);
    table.remove_idle(ClockMillis::new(40_000));
    assert_eq!(table.len(), 0);
}

#[test]
fn an_unanswered_first_packet_makes_its_path_unconfirmed() {
    let mut table = PathTable::new(2);
    table.choose(address(1), ClockMillis::ORIGIN);
    assert!(!table.is_unconfirmed(address(1), ClockMillis::new(200)));
    // Callers retransmit a first packet after a second.
    assert!(table.is_unconfirmed(address(1), ClockMillis::new(1_000)));
}

#[test]
fn a_dead_peer_becomes_suspect_by_probes_alone() {
    let mut table = PathTable::new(2);
    table.choose(address(1), ClockMillis::ORIGIN);
    for at in (500..=4_000).step_by(500) {
        table.due_probes(ClockMillis::new(at));
    }
    assert!(table.is_suspect(address(1)));
}
