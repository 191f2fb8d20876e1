//! Openings at a target without free slots: passed on, queued or refused.

use std::net::Ipv4Addr;

use rstest::rstest;

use super::{BALANCER, agent, bounced, flow, from_caller, from_target};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{
        AgentAction, AgentFlows, FlowKey, FlowPacket, HopHeader, PacketFlags, ReportKind,
        TargetLifecycle,
    },
    listener::{RouteUrgency, ServiceTag},
};

const OWN: Ipv4Addr = Ipv4Addr::new(10, 0, 1, 1);
const START: ClockMillis = ClockMillis::new(1_000);
/// Two requests are processed concurrently and one more may queue at the target.
const SLOTS: u32 = 2;
const MAX_IN_FLIGHT: u16 = 3;

fn service() -> ServiceTag {
    ServiceTag::of("barge-control")
}

fn urgency(rank: u8) -> RouteUrgency {
    RouteUrgency {
        rank,
        goal: SpanMillis::new(200),
        timeout: SpanMillis::new(3_000),
    }
}

fn header(rank: u8, candidates: &[u8]) -> HopHeader {
    HopHeader::new(service(), BALANCER)
        .with_urgency(urgency(rank))
        .with_candidates(candidates.iter().copied().map(agent))
}

fn at(millis: u64) -> ClockMillis {
    START.after(SpanMillis::new(millis))
}

fn offer(flows: &mut AgentFlows, port: u16, rank: u8, now: ClockMillis) -> AgentAction {
    let opening = from_caller(flow(port), PacketFlags::OPEN);
    flows
        .handle_frame(header(rank, &[]), &opening, &[1], now)
        .action
}

fn request(flow: FlowKey) -> FlowPacket {
    FlowPacket {
        data_bytes: 100,
        ..from_caller(flow, PacketFlags::ACKNOWLEDGE)
    }
}

fn answer(flow: FlowKey) -> FlowPacket {
    FlowPacket {
        data_bytes: 100,
        ..from_target(flow, PacketFlags::ACKNOWLEDGE)
    }
}

/// Opens a flow and sends a request on it.
fn open_and_request(flows: &mut AgentFlows, port: u16, now: ClockMillis) {
    offer(flows, port, 2, now);
    let accepted = PacketFlags::OPEN.with(PacketFlags::ACKNOWLEDGE);
    flows.handle_target_packet(&from_target(flow(port), accepted), now);
    flows.handle_frame(header(2, &[]), &request(flow(port)), &[1], now);
}

/// Returns an agent whose target is full with the requests of flows 1 to
/// `MAX_IN_FLIGHT`.
fn full_agent() -> AgentFlows {
    let mut flows = AgentFlows::new(OWN, service(), 100, SpanMillis::new(60_000));
    flows.set_slots(Some(SLOTS));
    flows.set_lifecycle(TargetLifecycle::Serving, None, START);
    for port in 1..=MAX_IN_FLIGHT {
        open_and_request(&mut flows, port, START);
    }
    flows
}

/// Dequeues the openings that the target gets now; returns the ports of their
/// callers.
fn admitted(flows: &mut AgentFlows, now: ClockMillis) -> Vec<u16> {
    let mut ports = Vec::new();
    while let Some(dequeued) = flows.dequeue_opening(now) {
        let delivered = matches!(dequeued.step.action, AgentAction::Deliver { .. });
        assert!(delivered, "{dequeued:?}");
        ports.push(dequeued.flow.caller.port());
    }
    ports
}

#[test]
fn a_full_target_passes_an_opening_on() {
    let mut flows = full_agent();
    let opening = from_caller(flow(9), PacketFlags::OPEN);
    let step = flows.handle_frame(header(2, &[4]), &opening, &[1], START);
    assert!(matches!(step.action, AgentAction::PassOn { to, .. } if to == agent(4)));
}

#[test]
fn the_last_candidate_queues_an_opening_until_a_slot_is_free() {
    let mut flows = full_agent();
    let opening = from_caller(flow(9), PacketFlags::OPEN);
    let step = flows.handle_frame(header(2, &[]), &opening, &[1], START);
    assert_eq!(step.action, AgentAction::Wait);
    let report = step.report.map(|(to, report)| (to, report.kind));
    assert_eq!(report, Some((BALANCER, ReportKind::Waiting)));
    assert_eq!(admitted(&mut flows, at(10)), [0; 0]);
    flows.handle_target_packet(&answer(flow(1)), at(10));
    assert_eq!(admitted(&mut flows, at(10)), [9]);
    assert_eq!(flows.waiting(), 0);
}

/// The wait for the answer starts when the target gets the opening, not when the
/// opening was queued.
#[test]
fn an_opening_that_was_queued_has_the_full_time_for_its_answer() {
    let mut flows = full_agent();
    offer(&mut flows, 9, 2, START);
    flows.handle_target_packet(&answer(flow(1)), at(100));
    assert_eq!(admitted(&mut flows, at(100)), [9]);
    assert_eq!(flows.expire_openings(at(129)), []);
    assert_eq!(flows.in_flight(), usize::from(MAX_IN_FLIGHT));
    assert!(!flows.is_suspect());
    let accepted = PacketFlags::OPEN.with(PacketFlags::ACKNOWLEDGE);
    let step = flows.handle_target_packet(&from_target(flow(9), accepted), at(129));
    let kind = step.report.map(|(_, report)| report.kind);
    assert_eq!(kind, Some(ReportKind::Held));
}

#[test]
fn a_retransmission_of_a_queued_opening_is_not_queued_again() {
    let mut flows = full_agent();
    assert_eq!(offer(&mut flows, 9, 2, START), AgentAction::Wait);
    assert_eq!(offer(&mut flows, 9, 2, at(200)), AgentAction::Wait);
    assert_eq!(flows.waiting(), 1);
}

#[test]
fn openings_are_ordered_by_rank_then_newest_first_with_late_ones_last() {
    let mut flows = full_agent();
    offer(&mut flows, 9, 1, at(0));
    offer(&mut flows, 10, 2, at(150));
    offer(&mut flows, 11, 2, at(160));
    offer(&mut flows, 12, 1, at(155));
    for port in 1..=MAX_IN_FLIGHT {
        flows.handle_target_packet(&answer(flow(port)), at(170));
    }
    // Flow 9 has waited for more than half of its goal, so it goes last.
    assert_eq!(admitted(&mut flows, at(170)), [12, 11, 10]);
    flows.handle_target_packet(&answer(flow(12)), at(200));
    assert_eq!(admitted(&mut flows, at(200)), [9]);
}

/// After a power outage, callers retransmit openings that they first sent before it.
#[test]
fn a_retransmitted_opening_has_the_age_of_the_first_one() {
    let mut flows = full_agent();
    let retransmission = from_caller(flow(9), PacketFlags::OPEN);
    let aged = header(1, &[]).with_age(SpanMillis::new(600));
    flows.handle_frame(aged, &retransmission, &[1], at(20));
    offer(&mut flows, 10, 2, at(0));
    flows.handle_target_packet(&answer(flow(1)), at(20));
    assert_eq!(admitted(&mut flows, at(20)), [10]);
}

/// A target that takes 1,800 ms per request can start five more within the timeout
/// of three seconds.
#[test]
fn an_opening_whose_turn_would_come_after_its_timeout_is_refused_at_once() {
    let mut flows = full_agent();
    flows.handle_target_packet(&answer(flow(1)), at(1_800));
    open_and_request(&mut flows, 8, at(1_800));
    for port in 10..15 {
        offer(&mut flows, port, 2, at(u64::from(1_800 + port)));
    }
    assert_eq!(flows.dequeue_opening(at(1_820)), None);
    offer(&mut flows, 15, 2, at(1_820));
    let dequeued = flows.dequeue_opening(at(1_820)).expect("a refusal");
    assert_eq!(dequeued.flow, flow(10), "the opening that would go last");
    assert!(matches!(dequeued.step.action, AgentAction::Reset(_)));
    assert_eq!(flows.dequeue_opening(at(1_820)), None);
    assert_eq!(flows.waiting(), 5);
}

#[test]
fn an_opening_that_waited_too_long_is_refused() {
    let mut flows = full_agent();
    offer(&mut flows, 9, 2, START);
    assert_eq!(flows.dequeue_opening(at(900)), None);
    assert!(flows.next_due().is_some_and(|due| due <= at(1_000)));
    let dequeued = flows.dequeue_opening(at(1_000)).expect("a refusal");
    assert_eq!((dequeued.flow, dequeued.waited.millis()), (flow(9), 1_000));
    assert!(matches!(dequeued.step.action, AgentAction::Reset(_)));
    let kind = dequeued.step.report.map(|(_, report)| report.kind);
    assert_eq!(kind, Some(ReportKind::Refused));
}

#[rstest]
#[case::leaving(TargetLifecycle::Leaving)]
#[case::ended(TargetLifecycle::Ended)]
#[case::lost(TargetLifecycle::Lost)]
fn queued_openings_are_refused_once_the_target_accepts_no_flows(
    #[case] lifecycle: TargetLifecycle,
) {
    let mut flows = full_agent();
    offer(&mut flows, 9, 2, START);
    flows.set_lifecycle(lifecycle, None, START);
    flows.handle_target_packet(&answer(flow(1)), at(10));
    let dequeued = flows.dequeue_opening(at(10)).expect("a refusal");
    assert!(matches!(dequeued.step.action, AgentAction::Reset(_)));
    assert_eq!(flows.dequeue_opening(at(10)), None);
}

/// A planned stop of the agent: what it has queued is refused, not forgotten.
#[test]
fn an_agent_that_stops_refuses_every_queued_opening() {
    let mut flows = full_agent();
    for port in 10..13 {
        offer(&mut flows, port, 2, START);
    }
    let mut refused = Vec::new();
    while let Some(dequeued) = flows.refuse_next(at(5)) {
        assert!(matches!(dequeued.step.action, AgentAction::Reset(_)));
        let kind = dequeued.step.report.map(|(_, report)| report.kind);
        assert_eq!(kind, Some(ReportKind::Refused));
        refused.push(dequeued.flow.caller.port());
    }
    refused.sort_unstable();
    assert_eq!(refused, [10, 11, 12]);
    assert_eq!(flows.waiting(), 0);
}

#[test]
fn a_retransmitted_request_is_not_counted_again() {
    let mut flows = full_agent();
    flows.handle_target_packet(&answer(flow(1)), at(10));
    flows.handle_frame(header(2, &[]), &request(flow(1)), &[1], at(20));
    assert_eq!(flows.in_flight(), usize::from(MAX_IN_FLIGHT) - 1);
}

#[test]
fn a_reservation_without_a_request_expires() {
    let mut flows = full_agent();
    flows.handle_target_packet(&answer(flow(1)), START);
    assert!(matches!(
        offer(&mut flows, 8, 2, START),
        AgentAction::Deliver { .. }
    ));
    let accepted = PacketFlags::OPEN.with(PacketFlags::ACKNOWLEDGE);
    flows.handle_target_packet(&from_target(flow(8), accepted), START);
    offer(&mut flows, 9, 2, START);
    assert_eq!(admitted(&mut flows, at(29)), [0; 0]);
    assert_eq!(admitted(&mut flows, at(30)), [9]);
}

#[test]
fn a_bounced_request_is_not_in_flight() {
    let mut flows = full_agent();
    let packet = request(flow(7));
    let step = flows.handle_frame(header(2, &[]), &packet, &[1], START);
    let AgentAction::Deliver { tag } = step.action else {
        panic!("not delivered: {step:?}");
    };
    assert_eq!(flows.in_flight(), usize::from(MAX_IN_FLIGHT) + 1);
    flows.handle_target_packet(&bounced(flow(7), PacketFlags::ACKNOWLEDGE, tag), START);
    assert_eq!(flows.in_flight(), usize::from(MAX_IN_FLIGHT));
}

#[test]
fn a_target_without_announced_slots_is_never_full() {
    let mut flows = full_agent();
    flows.set_slots(None);
    assert!(matches!(
        offer(&mut flows, 9, 2, START),
        AgentAction::Deliver { .. }
    ));
}
