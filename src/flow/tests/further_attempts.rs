//! The agents that further attempts of a lookup ask, and in which order.

use std::{collections::HashMap, net::Ipv4Addr};

use super::{
    balancer_verdicts::{START, balancer, known_targets, report, service, targets},
    flow, from_caller,
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{BalancerFlows, FlowReport, FlowVerdict, PacketFlags, ReportAction, ReportKind},
};

const TARGETS: u8 = 37;

fn at(millis: u64) -> ClockMillis {
    START.after(SpanMillis::new(millis))
}

/// Returns a balancer of `count` targets.
fn balancer_of(count: u8) -> BalancerFlows {
    let mut flows = balancer();
    let agents: Vec<u8> = (1..=count).collect();
    flows.set_targets(known_targets(HashMap::from([(
        service(),
        targets(&agents, &agents),
    )])));
    flows
}

/// Sends a packet of a flow; returns the agents that it may reach, in the order in which
/// they were dealt to chains, and the number of its lookup.
fn send(flows: &mut BalancerFlows, port: u16, now: u64) -> (Vec<Ipv4Addr>, u32) {
    let data = from_caller(flow(port), PacketFlags::ACKNOWLEDGE);
    let (to, header) = match flows.handle_packet(&data, &[1], at(now)) {
        FlowVerdict::Forward { to, header } => (to, header),
        other => panic!("not forwarded: {other:?}"),
    };
    let mut chains = vec![(to, header)];
    chains.extend(flows.take_further_chains());
    let mut agents: Vec<(usize, Ipv4Addr)> = Vec::new();
    for (to, header) in &chains {
        let rest = header.candidates().iter().copied();
        agents.extend(std::iter::once(*to).chain(rest).enumerate());
    }
    // A stable sort: those at the same place of their chains stay in the order of chains.
    agents.sort_by_key(|(place, _)| *place);
    let order = agents.into_iter().map(|(_, agent)| agent).collect();
    (order, header.lookup_id)
}

/// An agent of the chain is down: those behind it were never asked.
#[test]
fn a_retransmission_takes_the_chain_from_its_other_end() {
    let mut flows = balancer_of(TARGETS);
    let (first, _) = send(&mut flows, 1, 0);
    let (second, _) = send(&mut flows, 1, 200);
    let reversed: Vec<Ipv4Addr> = first.iter().rev().copied().collect();
    assert_eq!(second[..first.len()], reversed);
    let (third, _) = send(&mut flows, 1, 600);
    assert!(!first.contains(&third[0]), "{third:?}");
    let (fourth, _) = send(&mut flows, 1, 1_400);
    assert_eq!(fourth[..first.len()], first);
}

/// The sweep dropped a lookup while its caller waited 800 ms to send again, so the next
/// packet took the first chain again.
#[test]
fn a_further_attempt_is_known_as_one_after_a_long_wait() {
    let mut flows = balancer_of(TARGETS);
    let (first, _) = send(&mut flows, 1, 0);
    for now in (250..1_600).step_by(250) {
        flows.sweep(at(now));
    }
    let (second, _) = send(&mut flows, 1, 1_600);
    assert_eq!(second[0], first[first.len() - 1]);
}

/// Packets of an upload come before the chain had time to end.
#[test]
fn packets_that_follow_at_once_take_the_same_chain() {
    let mut flows = balancer_of(TARGETS);
    let (first, _) = send(&mut flows, 1, 0);
    assert_eq!(send(&mut flows, 1, 40).0, first);
    assert_eq!(send(&mut flows, 1, 80).0, first);
}

/// With several agents down, one of them blocked the chain from either end.
#[test]
fn agents_that_were_not_heard_of_come_last_in_a_further_attempt() {
    let mut flows = balancer_of(TARGETS);
    let (chain, _) = send(&mut flows, 1, 0);
    let (passed, lookup_id) = send(&mut flows, 2, 10);
    let report = FlowReport {
        lookup_id,
        ..report(2, passed[passed.len() - 1], ReportKind::NotHeld)
    };
    flows.handle_report(&report, at(50));
    let (second, _) = send(&mut flows, 1, 200);
    let heard = |agent: &Ipv4Addr| passed.contains(agent);
    let first_unheard = second.iter().position(|agent| !heard(agent));
    let known = chain.iter().filter(|agent| heard(agent)).count();
    assert!(known > 0 && first_unheard >= Some(known), "{second:?}");
    assert!(!second[first_unheard.expect("an agent")..].iter().any(heard));
    assert!(chain.iter().all(|agent| second.contains(agent)));
}

/// A report on a lookup that nobody waits for any more tells nothing of the flow now.
#[test]
fn a_report_that_comes_long_after_its_lookup_resets_no_flow() {
    let mut flows = balancer_of(5);
    let (chain, lookup_id) = send(&mut flows, 1, 0);
    flows.sweep(at(750));
    let late = FlowReport {
        lookup_id,
        ..report(1, chain[chain.len() - 1], ReportKind::NotHeld)
    };
    assert_eq!(flows.handle_report(&late, at(760)), ReportAction::Nothing);
}
