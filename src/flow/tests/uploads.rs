//! A burst of uploads: requests that take many round trips to arrive.

use std::net::Ipv4Addr;

use super::{BALANCER, flow, from_caller, from_target};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{AgentAction, AgentFlows, FlowKey, FlowPacket, HopHeader, PacketFlags, TargetLifecycle},
    listener::ServiceTag,
};

const OWN: Ipv4Addr = Ipv4Addr::new(10, 0, 1, 1);
const START: ClockMillis = ClockMillis::new(1_000);
const SLOTS: u32 = 3;
const FULL_PACKET_BYTES: u16 = 1_200;

fn header() -> HopHeader {
    HopHeader::new(ServiceTag::of("logbook"), BALANCER)
}

fn agent_flows() -> AgentFlows {
    let mut flows = AgentFlows::new(OWN, ServiceTag::of("logbook"), 100, SpanMillis::new(60_000));
    flows.set_slots(Some(SLOTS));
    flows.set_lifecycle(TargetLifecycle::Serving, None, START);
    flows
}

fn open(flows: &mut AgentFlows, port: u16, now: ClockMillis) -> AgentAction {
    let opening = from_caller(flow(port), PacketFlags::OPEN);
    let step = flows.handle_frame(header(), &opening, &[1], now);
    if matches!(step.action, AgentAction::Deliver { .. }) {
        let accepted = PacketFlags::OPEN.with(PacketFlags::ACKNOWLEDGE);
        flows.handle_target_packet(&from_target(flow(port), accepted), now);
    }
    step.action
}

/// Returns the packet with number `index` of an upload.
fn data(flow: FlowKey, index: u32, data_bytes: u16) -> FlowPacket {
    FlowPacket {
        sequence: 1 + index * u32::from(FULL_PACKET_BYTES),
        data_bytes,
        ..from_caller(flow, PacketFlags::ACKNOWLEDGE)
    }
}

fn send(flows: &mut AgentFlows, packet: &FlowPacket, now: ClockMillis) {
    let step = flows.handle_frame(header(), packet, &[1], now);
    assert!(matches!(step.action, AgentAction::Deliver { .. }));
}

fn acknowledge(flows: &mut AgentFlows, port: u16, acknowledged: u32, now: ClockMillis) {
    let packet = FlowPacket {
        acknowledged,
        ..from_target(flow(port), PacketFlags::ACKNOWLEDGE)
    };
    flows.handle_target_packet(&packet, now);
}

/// Without this an upload held a slot while it arrived, and openings were refused
/// at targets that idled.
#[test]
fn uploads_that_arrive_slowly_leave_the_slots_free() {
    let mut flows = agent_flows();
    for port in 1..=40 {
        let now = START.after(SpanMillis::new(u64::from(port)));
        assert!(matches!(
            open(&mut flows, port, now),
            AgentAction::Deliver { .. }
        ));
        send(&mut flows, &data(flow(port), 0, FULL_PACKET_BYTES), now);
    }
    assert_eq!(flows.in_flight(), 0);
    assert_eq!(flows.waiting(), 0);
}

#[test]
fn an_upload_is_in_flight_from_its_last_packet_to_its_answer() {
    let mut flows = agent_flows();
    open(&mut flows, 1, START);
    send(&mut flows, &data(flow(1), 0, FULL_PACKET_BYTES), START);
    send(&mut flows, &data(flow(1), 1, FULL_PACKET_BYTES), START);
    assert_eq!(flows.in_flight(), 0);
    send(&mut flows, &data(flow(1), 2, 300), START);
    assert_eq!(flows.in_flight(), 1);
    let answer = FlowPacket {
        data_bytes: 100,
        ..from_target(flow(1), PacketFlags::ACKNOWLEDGE)
    };
    flows.handle_target_packet(&answer, START);
    assert_eq!(flows.in_flight(), 0);
}

/// A thin link drops packets of a burst, which arrive out of order afterwards.
#[test]
fn an_upload_with_a_lost_packet_is_in_flight_once_that_has_arrived() {
    let mut flows = agent_flows();
    open(&mut flows, 1, START);
    send(&mut flows, &data(flow(1), 0, FULL_PACKET_BYTES), START);
    send(&mut flows, &data(flow(1), 2, FULL_PACKET_BYTES), START);
    send(&mut flows, &data(flow(1), 3, 300), START);
    assert_eq!(flows.in_flight(), 0);
    send(&mut flows, &data(flow(1), 1, FULL_PACKET_BYTES), START);
    assert_eq!(
        flows.in_flight(),
        0,
        "only the target knows that all arrived"
    );
    acknowledge(&mut flows, 1, 1 + 3 * 1_200 + 300, START);
    assert_eq!(flows.in_flight(), 1);
}

#[test]
fn the_number_of_requests_being_received_is_limited() {
    let mut flows = agent_flows();
    for port in 1..=64 {
        open(&mut flows, port, START);
        send(&mut flows, &data(flow(port), 0, FULL_PACKET_BYTES), START);
    }
    assert_eq!(open(&mut flows, 65, START), AgentAction::Wait);
}
