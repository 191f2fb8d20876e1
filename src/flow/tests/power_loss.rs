//! A loss of power takes agents and targets with all flows: callers of flows that are
//! idle at that moment learn of it from a replica that kept the flows on disk, not from
//! the reset of their next request.

use std::net::Ipv4Addr;

use rstest::rstest;

use super::{BALANCER, agent, bounced, flow, from_caller, from_target};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{
        AgentFlows, FlowJournal, FlowReset, HopHeader, LongFlow, LongFlowList, PacketFlags,
        TargetLifecycle,
    },
    key::IncarnationId,
    listener::ServiceTag,
};

const START: ClockMillis = ClockMillis::new(1_000);
const BEFORE: IncarnationId = IncarnationId::new(3);
const AFTER: IncarnationId = IncarnationId::new(4);

fn at(millis: u64) -> ClockMillis {
    START.after(SpanMillis::new(millis))
}

fn list(agent: Ipv4Addr, incarnation: IncarnationId, ports: &[u16]) -> LongFlowList {
    let long_flow = |port: &u16| LongFlow {
        flow: flow(*port),
        acknowledged: u32::from(*port) * 10,
    };
    LongFlowList {
        agent,
        incarnation,
        flows: ports.iter().map(long_flow).collect(),
    }
}

fn ports(resets: &[FlowReset]) -> Vec<u16> {
    resets
        .iter()
        .map(|reset| reset.flow.caller.port())
        .collect()
}

/// Returns a journal that a restarted replica has read from its disk.
fn restored(lists: Vec<LongFlowList>) -> FlowJournal {
    let mut journal = FlowJournal::default();
    journal.restore(lists, START);
    journal
}

#[test]
fn flows_of_an_earlier_incarnation_are_reset_once_the_target_runs_again() {
    let mut journal = restored(vec![list(agent(1), BEFORE, &[1, 2])]);
    let resets = journal.take_dead(agent(1), Some(AFTER));
    assert_eq!(ports(&resets), [1, 2]);
    // Callers ignore a reset that is far from what they have acknowledged.
    assert_eq!(resets[1].sequence, 20);
    assert_eq!(journal.take_dead(agent(1), Some(AFTER)), []);
}

/// After a kill of all processes the targets still run and hold their flows; their
/// agents do not know the incarnation until the target announces itself.
#[rstest]
#[case::not_announced_yet(None)]
#[case::same_incarnation(Some(BEFORE))]
fn flows_of_a_target_that_may_still_run_are_kept(#[case] incarnation: Option<IncarnationId>) {
    let mut journal = restored(vec![list(agent(1), BEFORE, &[1])]);
    assert_eq!(journal.take_dead(agent(1), incarnation), []);
    assert_eq!(journal.len(), 1);
}

#[test]
fn another_agent_ends_no_flows_of_this_one() {
    let mut journal = restored(vec![list(agent(1), BEFORE, &[1])]);
    assert_eq!(journal.take_dead(agent(2), Some(AFTER)), []);
}

#[test]
fn what_an_agent_tells_replaces_what_the_disk_held_of_it() {
    let mut journal = FlowJournal::default();
    journal.record(list(agent(1), AFTER, &[5]), Some(AFTER), START);
    journal.restore(vec![list(agent(1), BEFORE, &[1])], START);
    assert_eq!(journal.take_dead(agent(1), Some(AFTER)), []);
    assert_eq!(journal.lists(), [list(agent(1), AFTER, &[5])]);
}

/// The announcement of the later incarnation was lost, its flows are told, and then an
/// announcement of the earlier one arrives late.
#[test]
fn a_late_announcement_ends_no_flows_of_a_later_incarnation() {
    let mut journal = FlowJournal::default();
    journal.record(list(agent(1), BEFORE, &[1]), Some(BEFORE), START);
    journal.record(list(agent(1), AFTER, &[2]), Some(BEFORE), at(500));
    assert_eq!(journal.take_dead(agent(1), Some(BEFORE)), []);
    assert_eq!(ports(&journal.take_dead(agent(1), Some(AFTER))), [1]);
    journal.record(list(agent(1), AFTER, &[2]), Some(AFTER), at(1_000));
    assert_eq!(journal.take_dead(agent(1), Some(AFTER)), []);
}

#[test]
fn a_flow_that_its_agent_no_longer_tells_of_is_dropped() {
    let mut journal = FlowJournal::default();
    journal.record(list(agent(1), BEFORE, &[1, 2]), Some(BEFORE), START);
    journal.record(list(agent(1), BEFORE, &[2]), Some(BEFORE), at(15_000));
    journal.sweep(at(21_000));
    assert_eq!(journal.lists(), [list(agent(1), BEFORE, &[2])]);
}

#[test]
fn a_flood_of_flows_uses_bounded_memory() {
    let mut journal = FlowJournal::default();
    for number in 0..200 {
        let ports: Vec<u16> = (0..500).collect();
        let mut list = list(agent(number), BEFORE, &ports);
        for flow in &mut list.flows {
            flow.flow.caller.set_ip(Ipv4Addr::new(100, 64, 1, number));
        }
        journal.record(list, Some(BEFORE), START);
    }
    assert!(journal.len() <= 65_536);
}

/// Returns an agent whose target announced itself as `BEFORE`.
fn serving_agent() -> AgentFlows {
    let idle = SpanMillis::new(60_000);
    let mut flows = AgentFlows::new(agent(1), ServiceTag::of("barge-control"), 1, idle);
    flows.set_lifecycle(TargetLifecycle::Serving, Some(BEFORE), START);
    flows
}

/// Lets the caller of a flow send a packet, which the target answers.
fn exchange(flows: &mut AgentFlows, port: u16, acknowledged: u32, now: ClockMillis) {
    let header = HopHeader::new(ServiceTag::of("barge-control"), BALANCER);
    let mut packet = from_caller(flow(port), PacketFlags::ACKNOWLEDGE);
    packet.acknowledged = acknowledged;
    flows.handle_frame(header, &packet, &[1], now);
    let answer = from_target(flow(port), PacketFlags::ACKNOWLEDGE);
    flows.handle_target_packet(&answer, now);
}

fn told(flows: &mut AgentFlows, now: ClockMillis) -> Vec<(u16, u32)> {
    let list = flows.take_changed_long_flows(now);
    let flows = list.map_or_else(Vec::new, |list| list.flows);
    flows
        .iter()
        .map(|told| (told.flow.caller.port(), told.acknowledged))
        .collect()
}

/// A younger flow may be on an incarnation that the agent has not heard of, and would
/// be reset although its target runs.
#[test]
fn an_agent_tells_only_of_flows_that_are_older_than_a_late_announcement() {
    let mut flows = serving_agent();
    exchange(&mut flows, 1, 7, START);
    exchange(&mut flows, 1, 8, at(2_900));
    assert_eq!(told(&mut flows, at(5_000)), []);
    exchange(&mut flows, 1, 9, at(3_000));
    assert_eq!(told(&mut flows, at(3_000)), [(1, 9)]);
}

#[test]
fn an_agent_tells_again_of_a_flow_that_advances_or_goes_on() {
    let mut flows = serving_agent();
    exchange(&mut flows, 1, 0, START);
    exchange(&mut flows, 1, 100, at(3_000));
    assert_eq!(told(&mut flows, at(3_000)), [(1, 100)]);
    exchange(&mut flows, 1, 20_000, at(4_000));
    assert_eq!(told(&mut flows, at(4_000)), []);
    exchange(&mut flows, 1, 40_000, at(5_000));
    assert_eq!(told(&mut flows, at(5_000)), [(1, 40_000)]);
    assert_eq!(told(&mut flows, at(12_000)), []);
    assert_eq!(told(&mut flows, at(13_000)), [(1, 40_000)]);
    // The flow may have been closed by now.
    assert_eq!(told(&mut flows, at(25_000)), []);
}

#[test]
fn an_agent_tells_of_no_flow_that_its_target_bounced() {
    let mut flows = serving_agent();
    let header = HopHeader::new(ServiceTag::of("barge-control"), BALANCER);
    for millis in [0, 3_500] {
        let packet = from_caller(flow(1), PacketFlags::ACKNOWLEDGE);
        let step = flows.handle_frame(header, &packet, &[1], at(millis));
        let crate::flow::AgentAction::Deliver { tag } = step.action else {
            panic!("not delivered: {step:?}");
        };
        let packet = bounced(flow(1), PacketFlags::ACKNOWLEDGE, tag);
        flows.handle_target_packet(&packet, at(millis));
    }
    assert_eq!(told(&mut flows, at(4_000)), []);
}
