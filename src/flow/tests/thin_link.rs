//! A burst of uploads at an entry VM with a thin link.
//!
//! Callers send a window of 16 packets at once and retransmit after 200 ms, so more
//! uploads than fit fill the link with copies: seen with 40 kB uploads at 13 a second
//! on links of 5 Mbit/s, where half of all requests of every kind were late or lost.

use std::collections::VecDeque;

use super::{flow, from_caller};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{
        FlowKey, FlowPacket, PacketFlags,
        balancer::link_admission::{LinkAdmission, LinkVerdict},
    },
};

const START: ClockMillis = ClockMillis::new(1_000);
const FULL_PACKET_BYTES: u16 = 1_200;
/// A link of 5 Mbit/s.
const THIN_LINK: u64 = 625_000;
/// A link of 12.8 Mbit/s, which takes three windows in 40 ms.
const MEDIUM_LINK: u64 = 1_600_000;
/// A link of 100 Mbit/s.
const WIDE_LINK: u64 = 12_500_000;
/// The time that the thin link takes for one packet.
const PACKET_MILLIS: u64 = 2;
const UPLOAD_PACKETS: u32 = 33;

fn at(millis: u64) -> ClockMillis {
    START.after(SpanMillis::new(millis))
}

fn opening(port: u16) -> FlowPacket {
    from_caller(flow(port), PacketFlags::OPEN)
}

fn data(flow: FlowKey, data_bytes: u16) -> FlowPacket {
    FlowPacket {
        data_bytes,
        ..from_caller(flow, PacketFlags::ACKNOWLEDGE)
    }
}

/// Returns the admission of a link whose only route is known to carry uploads.
fn admission(rate: u64) -> LinkAdmission {
    let mut link = LinkAdmission::new(rate);
    for _ in 0..UPLOAD_PACKETS {
        link.record(&data(flow(9_999), FULL_PACKET_BYTES), START);
    }
    link
}

fn offer(link: &mut LinkAdmission, port: u16, now: ClockMillis) -> LinkVerdict {
    link.offer(&opening(port), &[1], now)
}

#[test]
fn routes_of_small_requests_are_never_held_up() {
    let mut link = LinkAdmission::new(THIN_LINK);
    for port in 0..200 {
        assert_eq!(offer(&mut link, port, START), LinkVerdict::Admit);
        link.record(&data(flow(port), 900), START);
    }
    assert_eq!(link.under_way(), 0);
}

#[test]
fn a_wide_link_carries_a_burst_of_uploads_at_once() {
    let mut link = admission(WIDE_LINK);
    for port in 0..24 {
        assert_eq!(offer(&mut link, port, START), LinkVerdict::Admit);
    }
}

/// Checkout, no fault at all: 26% of each thin link's time was uploads, but two or three
/// of them at once. Packets of all requests were lost at the full link, and 1.9% of the
/// small requests were late by a retransmission.
#[test]
fn uploads_take_turns_on_a_thin_link() {
    let mut link = admission(THIN_LINK);
    assert_eq!(offer(&mut link, 0, START), LinkVerdict::Admit);
    assert_eq!(offer(&mut link, 1, START), LinkVerdict::Wait);
    link.record(&data(flow(0), 300), at(90));
    let ended = link.take_ended(at(90)).expect("an admitted opening");
    assert_eq!((ended.flow, ended.admitted), (flow(1), true));
}

#[test]
fn uploads_beyond_the_link_wait_and_are_refused_before_their_callers_repeat_them() {
    let mut link = admission(MEDIUM_LINK);
    let verdicts: Vec<LinkVerdict> = (0..20).map(|port| offer(&mut link, port, START)).collect();
    let count = |wanted| {
        verdicts
            .iter()
            .filter(|verdict| **verdict == wanted)
            .count()
    };
    assert_eq!(count(LinkVerdict::Admit), 3);
    assert_eq!(count(LinkVerdict::Wait), 8);
    assert_eq!(count(LinkVerdict::Refuse), 9);
    assert_eq!(link.take_ended(at(149)), None);
    let mut refused = 0;
    while let Some(ended) = link.take_ended(at(150)) {
        assert!(!ended.admitted);
        refused += 1;
    }
    assert_eq!(refused, 8);
}

#[test]
fn the_end_of_an_upload_admits_the_opening_that_has_waited_longest() {
    let mut link = admission(MEDIUM_LINK);
    for port in 0..5 {
        offer(&mut link, port, START);
    }
    link.record(&data(flow(1), 300), at(50));
    let ended = link.take_ended(at(50)).expect("an admitted opening");
    assert_eq!((ended.flow, ended.admitted), (flow(3), true));
    assert_eq!(ended.waited, SpanMillis::new(50));
    assert_eq!(link.take_ended(at(50)), None);
}

/// Two of a caller's three tries may meet the same VM.
#[test]
fn a_caller_that_was_refused_before_waits_longer() {
    let mut link = admission(MEDIUM_LINK);
    for port in 0..4 {
        offer(&mut link, port, START);
    }
    assert!(
        link.take_ended(at(150))
            .is_some_and(|ended| !ended.admitted)
    );
    for port in 0..3 {
        link.record(&data(flow(port), FULL_PACKET_BYTES), at(160));
    }
    assert_eq!(offer(&mut link, 5, at(160)), LinkVerdict::Wait);
    assert_eq!(link.take_ended(at(400)), None);
    link.record(&data(flow(0), 300), at(410));
    assert!(link.take_ended(at(410)).is_some_and(|ended| ended.admitted));
}

#[test]
fn an_upload_whose_caller_fell_silent_makes_room() {
    let mut link = admission(MEDIUM_LINK);
    for port in 0..3 {
        offer(&mut link, port, START);
    }
    assert_eq!(offer(&mut link, 4, at(399)), LinkVerdict::Wait);
    assert_eq!(link.next_due(), Some(at(400)));
    assert!(link.take_ended(at(400)).is_some_and(|ended| ended.admitted));
}

/// Plays uploads at a rate that the link can carry in 90% of its time; each sends a
/// window and waits for the link. Returns the longest time that a packet queued.
fn longest_queue(mut link: Option<LinkAdmission>) -> u64 {
    let mut queue: VecDeque<(FlowKey, u32)> = VecDeque::new();
    let mut longest = 0;
    let mut next_port = 0;
    let start = |queue: &mut VecDeque<(FlowKey, u32)>, key: FlowKey| {
        queue.extend((0..16).map(|index| (key, index)));
    };
    // Bursts of ten callers at once, every 730 ms.
    for now in 0..6_000_u64 {
        if now % 730 == 0 {
            for _ in 0..10 {
                next_port += 1;
                let admitted = link
                    .as_mut()
                    .is_none_or(|link| offer(link, next_port, at(now)) == LinkVerdict::Admit);
                if admitted {
                    start(&mut queue, flow(next_port));
                }
            }
        }
        longest = longest.max(queue.len() as u64 * PACKET_MILLIS);
        if now % PACKET_MILLIS == 0
            && let Some((key, index)) = queue.pop_front()
        {
            let is_last = index + 1 == UPLOAD_PACKETS;
            if index + 16 < UPLOAD_PACKETS {
                queue.push_back((key, index + 16));
            }
            if let Some(link) = &mut link {
                let bytes = if is_last { 300 } else { FULL_PACKET_BYTES };
                link.record(&data(key, bytes), at(now));
            }
        }
        while let Some(ended) = link.as_mut().and_then(|link| link.take_ended(at(now))) {
            if ended.admitted {
                start(&mut queue, ended.flow);
            }
        }
    }
    longest
}

#[test]
fn packets_queue_for_less_than_the_retransmission_time() {
    let without = longest_queue(None);
    assert!(
        without > 200,
        "the load is too small to show it: {without} ms"
    );
    let with = longest_queue(Some(admission(THIN_LINK)));
    assert!(with <= 40, "{with} ms");
}
