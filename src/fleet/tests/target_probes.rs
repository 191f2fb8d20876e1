//! What probes of a target say about it: a target that lives keeps its flows.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::Duration,
};

use rstest::rstest;
use tokio::{
    net::{TcpSocket, TcpStream},
    time::timeout,
};

use super::{HEARTBEAT, START, after, notice, probe, tracker};
use crate::{
    clock::{ClockMillis, SpanMillis},
    fleet::{
        TargetState,
        target_probe::{ProbeOutcome, TargetProbe},
        target_tracker::{ProbeVerdict, TargetTracker},
    },
    flow::TargetLifecycle,
};

const EMFILE: i32 = 24;
const EADDRINUSE: i32 = 98;
const EADDRNOTAVAIL: i32 = 99;
const ECONNRESET: i32 = 104;
const ENOBUFS: i32 = 105;
const ETIMEDOUT: i32 = 110;
const ECONNREFUSED: i32 = 111;

fn local(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(address) => panic!("not an IPv4 address: {address}"),
    }
}

/// Issue 36: a probe that timed out, since the target's queue of connections was full,
/// ended all flows of the target.
#[tokio::test]
async fn a_target_whose_queue_of_connections_is_full_keeps_its_flows() {
    let socket = TcpSocket::new_v4().expect("a socket");
    let any_port = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    socket.bind(any_port.into()).expect("a free port");
    let listener = socket.listen(1).expect("a listening socket");
    let target = local(listener.local_addr().expect("its address"));
    let mut connections = Vec::new();
    while let Ok(connection) = timeout(Duration::from_millis(200), TcpStream::connect(target)).await
    {
        connections.push(connection.expect("a connection in the queue"));
        assert!(connections.len() < 64, "the queue never fills");
    }
    let mut tracker = tracker();
    let probe = TargetProbe::run(target, after(4)).await;
    assert_eq!(probe.outcome, ProbeOutcome::Unknown);
    assert_eq!(tracker.apply_probe(probe, None), ProbeVerdict::Empty);
    assert_eq!(tracker.lifecycle(), TargetLifecycle::Serving);
    // New flows avoid it all the same.
    assert!(tracker.is_silent(None, after(4)));
}

#[tokio::test]
async fn a_target_that_has_crashed_is_found_at_once() {
    let listener = tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a free port");
    let target = local(listener.local_addr().expect("its address"));
    assert_eq!(
        TargetProbe::run(target, after(4)).await.outcome,
        ProbeOutcome::Present
    );
    drop(listener);
    let mut tracker = tracker();
    let probe = TargetProbe::run(target, after(4)).await;
    assert_eq!(
        tracker.apply_probe(probe, Some(START)),
        ProbeVerdict::Applied
    );
    assert_eq!(tracker.lifecycle(), TargetLifecycle::Lost);
}

/// Issue 36: any failure of a probe, also a local one, ended all flows of the target.
#[rstest]
#[case::no_descriptors(EMFILE, ProbeOutcome::Unknown)]
#[case::no_buffers(ENOBUFS, ProbeOutcome::Unknown)]
#[case::address_in_use(EADDRINUSE, ProbeOutcome::Unknown)]
#[case::no_free_port(EADDRNOTAVAIL, ProbeOutcome::Unknown)]
#[case::timed_out(ETIMEDOUT, ProbeOutcome::Unknown)]
#[case::reset_by_a_full_queue(ECONNRESET, ProbeOutcome::Unknown)]
#[case::refused(ECONNREFUSED, ProbeOutcome::Refused)]
fn only_a_refused_connection_shows_that_nothing_listens(
    #[case] code: i32,
    #[case] outcome: ProbeOutcome,
) {
    let result: io::Result<()> = Err(io::Error::from_raw_os_error(code));
    assert_eq!(ProbeOutcome::of(&result), outcome);
}

/// An agent that restarts beside a busy target announced it as ended, and answered
/// lookups of its flows as if nobody held them.
#[test]
fn an_agent_that_has_just_started_takes_nothing_from_an_empty_probe() {
    let mut tracker = TargetTracker::new(HEARTBEAT, START);
    tracker.apply_probe(probe(ProbeOutcome::Unknown, START), None);
    assert_eq!(tracker.lifecycle(), TargetLifecycle::Unproved);
    // A lost target does not come back by one either.
    tracker.apply_probe(probe(ProbeOutcome::Refused, after(1)), None);
    tracker.apply_probe(probe(ProbeOutcome::Unknown, after(2)), None);
    assert_eq!(tracker.lifecycle(), TargetLifecycle::Lost);
}

/// A connection refused just before the target started, delivered late, ended the flows
/// of the new incarnation.
#[rstest]
#[case::after_a_packet(false)]
#[case::after_an_announcement(true)]
fn a_late_refusal_does_not_end_the_next_incarnation(#[case] announced: bool) {
    let mut tracker = tracker();
    let refused = probe(ProbeOutcome::Refused, after(4));
    let heard_at = after(4).after(SpanMillis::new(50));
    let packet_heard_at = if announced {
        tracker.apply_notice(notice("i-2", 70, 1, TargetState::Ready), heard_at);
        None
    } else {
        Some(heard_at)
    };
    let verdict = tracker.apply_probe(refused, packet_heard_at);
    assert_eq!(verdict, ProbeVerdict::Outdated);
    assert_eq!(tracker.lifecycle(), TargetLifecycle::Serving);
}

/// Of two probes under way, the one that was sent first may end last.
#[rstest]
#[case::refused_first(ProbeOutcome::Refused, ProbeOutcome::Present, TargetLifecycle::Serving)]
#[case::present_first(ProbeOutcome::Present, ProbeOutcome::Refused, TargetLifecycle::Lost)]
fn an_overtaken_probe_changes_nothing(
    #[case] earlier: ProbeOutcome,
    #[case] later: ProbeOutcome,
    #[case] lifecycle: TargetLifecycle,
) {
    let mut tracker = tracker();
    tracker.apply_probe(probe(later, after(5)), None);
    let overtaken: ClockMillis = after(4);
    let verdict = tracker.apply_probe(probe(earlier, overtaken), None);
    assert_eq!(verdict, ProbeVerdict::Outdated);
    assert_eq!(tracker.lifecycle(), lifecycle);
}
