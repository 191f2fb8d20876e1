//! Flows that no target holds, in a service of hundreds of targets: after a power
//! outage every caller sends on such a flow, and its reset has to come before the
//! caller retransmits.

use std::{collections::HashMap, net::Ipv4Addr};

use super::{
    balancer_verdicts::{START, balancer, known_targets, service, targets},
    flow, from_caller,
};
use crate::{
    clock::SpanMillis,
    flow::{
        BalancerFlows, FlowReport, FlowVerdict, HopHeader, PacketFlags, ReportAction, ReportKind,
    },
};

/// The number of targets.
const TARGETS: u8 = 200;
/// The time that one agent takes to pass a packet on that its target bounced, with
/// the way to the next agent.
const HOP_MILLIS: u64 = 4;
/// The time after which a caller retransmits.
const RETRANSMISSION_MILLIS: u64 = 200;

fn balancer_of_many_targets() -> BalancerFlows {
    let mut flows = balancer();
    let agents: Vec<u8> = (0..TARGETS).collect();
    flows.set_targets(known_targets(HashMap::from([(
        service(),
        targets(&agents, &agents),
    )])));
    flows
}

fn not_held(from: Ipv4Addr, lookup_id: u32) -> FlowReport {
    FlowReport {
        flow: flow(1),
        agent: from,
        incarnation: None,
        lookup_id,
        kind: ReportKind::NotHeld,
    }
}

/// A packet on its way along a chain of agents.
struct LookupChain {
    agents: Vec<Ipv4Addr>,
    lookup_id: u32,
    /// When its last agent reports, in hops since the lookup began.
    ends_at: usize,
}

impl LookupChain {
    fn new(to: Ipv4Addr, header: &HopHeader, started_at: usize) -> Self {
        let agents: Vec<Ipv4Addr> = std::iter::once(to)
            .chain(header.candidates().iter().copied())
            .collect();
        Self {
            ends_at: started_at + agents.len(),
            agents,
            lookup_id: header.lookup_id,
        }
    }

    fn report(&self) -> FlowReport {
        not_held(*self.agents.last().expect("an agent"), self.lookup_id)
    }
}

fn start_lookup(flows: &mut BalancerFlows) -> LookupChain {
    let data = from_caller(flow(1), PacketFlags::ACKNOWLEDGE);
    match flows.handle_packet(&data, &[1], START) {
        FlowVerdict::Forward { to, header } => LookupChain::new(to, &header, 0),
        other => panic!("not forwarded: {other:?}"),
    }
}

/// Plays a lookup whose chains report in the order of their length; returns all
/// agents that were asked, and after how many hops the flow was reset.
fn run_lookup(flows: &mut BalancerFlows) -> (Vec<Ipv4Addr>, usize) {
    let mut chains = vec![start_lookup(flows)];
    let mut asked = Vec::new();
    loop {
        chains.sort_by_key(|chain| std::cmp::Reverse(chain.ends_at));
        let chain = chains.pop().expect("a chain until the reset");
        asked.extend(&chain.agents);
        match flows.handle_report(&chain.report(), START) {
            ReportAction::Nothing => {}
            ReportAction::Forward { hops, .. } => {
                let started = hops
                    .iter()
                    .map(|(to, header)| LookupChain::new(*to, header, chain.ends_at));
                chains.extend(started);
            }
            ReportAction::Reset(_) => {
                assert!(chains.is_empty(), "reset before every agent was asked");
                return (asked, chain.ends_at);
            }
        }
    }
}

#[test]
fn a_flow_that_none_of_hundreds_of_targets_holds_is_reset_before_a_retransmission() {
    let (mut asked, hops) = run_lookup(&mut balancer_of_many_targets());
    asked.sort_unstable();
    asked.dedup();
    assert_eq!(asked.len(), usize::from(TARGETS));
    let elapsed = hops as u64 * HOP_MILLIS;
    assert!(elapsed < RETRANSMISSION_MILLIS, "{elapsed} ms, {hops} hops");
}

#[test]
fn a_flow_is_not_reset_while_one_chain_has_not_reported() {
    let mut flows = balancer_of_many_targets();
    let first = start_lookup(&mut flows);
    let ReportAction::Forward { hops, .. } = flows.handle_report(&first.report(), START) else {
        panic!("the lookup ended after its first round");
    };
    assert!(hops.len() > 1);
    let chains: Vec<LookupChain> = hops
        .iter()
        .map(|(to, header)| LookupChain::new(*to, header, 0))
        .collect();
    let (silent, others) = chains.split_first().expect("several chains");
    for chain in others {
        let action = flows.handle_report(&chain.report(), START);
        assert_eq!(action, ReportAction::Nothing);
        // A report that arrives twice counts once.
        let action = flows.handle_report(&chain.report(), START);
        assert_eq!(action, ReportAction::Nothing);
    }
    let action = flows.handle_report(&silent.report(), START);
    assert!(matches!(action, ReportAction::Reset(_)));
}

/// The owner may be in any chain; its report ends the lookup.
#[test]
fn a_flow_that_is_held_far_down_the_ranking_is_found() {
    let mut flows = balancer_of_many_targets();
    let first = start_lookup(&mut flows);
    let ReportAction::Forward { hops, .. } = flows.handle_report(&first.report(), START) else {
        panic!("the lookup ended after its first round");
    };
    let chains: Vec<LookupChain> = hops
        .iter()
        .map(|(to, header)| LookupChain::new(*to, header, 0))
        .collect();
    let holder = chains.last().expect("a chain").agents[0];
    let held = FlowReport {
        kind: ReportKind::Held,
        ..not_held(holder, 0)
    };
    flows.handle_report(&held, START);
    for chain in &chains {
        let action = flows.handle_report(&chain.report(), START);
        assert_eq!(action, ReportAction::Nothing);
    }
    let data = from_caller(flow(1), PacketFlags::ACKNOWLEDGE);
    let verdict = flows.handle_packet(&data, &[1], START.after(SpanMillis::new(10)));
    assert!(matches!(verdict, FlowVerdict::Forward { to, .. } if to == holder));
}
