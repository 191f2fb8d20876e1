//! Copies of openings at a balancer whose link is full: packets and reports wait in
//! its queues, so callers send openings again that were answered long ago.

use std::net::Ipv4Addr;

use super::{
    balancer_verdicts::{START, balancer, report, send_data, send_opening},
    flow, from_caller,
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{BalancerFlows, FlowPacket, FlowVerdict, PacketFlags, ReportKind},
};

/// The delay of reports at a balancer whose link is full.
const SLOW_MILLIS: u64 = 120;

fn at(millis: u64) -> ClockMillis {
    START.after(SpanMillis::new(millis))
}

/// Sends the copy of an opening that the caller first sent 200 ms ago.
fn send_copy(flows: &mut BalancerFlows, port: u16, now: ClockMillis) -> Ipv4Addr {
    let copy = FlowPacket {
        age: SpanMillis::new(200),
        ..from_caller(flow(port), PacketFlags::OPEN)
    };
    match flows.handle_packet(&copy, &[1], now) {
        FlowVerdict::Forward { to, .. } => to,
        other => panic!("not forwarded: {other:?}"),
    }
}

/// Seen on a day of upload bursts: the agent reports a flow once, so its copy counted
/// as unreported, went to other agents, and one of these refused it later.
#[test]
fn a_copy_of_a_held_flow_goes_to_its_owner_and_nowhere_else() {
    let mut flows = balancer();
    let (_, candidates) = send_opening(&mut flows, 1, START);
    let owner = candidates[1];
    flows.handle_report(&report(1, owner, ReportKind::Held), at(10));
    assert_eq!(send_copy(&mut flows, 1, at(200)), owner);
    assert_eq!(flows.expire_openings(at(900)), []);
    assert_eq!(flows.suspects(), 0);
}

#[test]
fn the_refusal_of_a_copy_keeps_the_owner() {
    let mut flows = balancer();
    let (owner, candidates) = send_opening(&mut flows, 1, START);
    flows.handle_report(&report(1, owner, ReportKind::Held), at(10));
    for kind in [ReportKind::Refused, ReportKind::Gone, ReportKind::Held] {
        flows.handle_report(&report(1, candidates[0], kind), at(1_000));
        assert_eq!(send_data(&mut flows, 1), (owner, Vec::new()), "{kind:?}");
    }
}

#[test]
fn a_new_flow_on_a_port_used_again_may_have_another_owner() {
    let mut flows = balancer();
    let (owner, candidates) = send_opening(&mut flows, 1, START);
    flows.handle_report(&report(1, owner, ReportKind::Held), at(10));
    send_opening(&mut flows, 1, at(5_000));
    let next = candidates[0];
    flows.handle_report(&report(1, next, ReportKind::Held), at(5_010));
    assert_eq!(send_data(&mut flows, 1).0, next);
}

/// While all reports are slow, that of one agent still counts as missing once reports
/// on later openings have come.
#[test]
fn a_silent_agent_is_noticed_while_reports_are_slow() {
    let mut flows = balancer();
    for port in 1..200 {
        let sent_at = at(u64::from(port) * 10);
        let (to, _) = send_opening(&mut flows, port, sent_at);
        let reported_at = sent_at.after(SpanMillis::new(SLOW_MILLIS));
        flows.handle_report(&report(port, to, ReportKind::Held), reported_at);
    }
    let (silent, _) = send_opening(&mut flows, 200, at(5_000));
    let (other, _) = send_opening(&mut flows, 201, at(5_080));
    assert_eq!(flows.expire_openings(at(5_190)), []);
    flows.handle_report(&report(201, other, ReportKind::Held), at(5_200));
    let resent = flows.expire_openings(at(5_200));
    assert_eq!(resent.len(), 1);
    assert_ne!(resent[0].2, silent);
}

/// With a fixed timeout a balancer whose link is full suspects all agents and sends
/// every opening to several of them.
#[test]
fn slow_reports_of_all_agents_lead_to_a_longer_wait() {
    let mut flows = balancer();
    let mut pending: Vec<(u64, u16, Ipv4Addr)> = Vec::new();
    let mut resent_late = 0;
    for tick in 0..400_u64 {
        let now = tick * 5;
        let port = u16::try_from(tick).expect("few ticks") + 1;
        let (to, _) = send_opening(&mut flows, port, at(now));
        pending.push((now + SLOW_MILLIS, port, to));
        while pending.first().is_some_and(|(due, ..)| *due <= now) {
            let (_, port, agent) = pending.remove(0);
            flows.handle_report(&report(port, agent, ReportKind::Held), at(now));
        }
        let resent = flows.expire_openings(at(now)).len();
        if now >= 1_000 {
            resent_late += resent;
        }
    }
    assert_eq!(resent_late, 0);
    assert_eq!(flows.suspects(), 0);
}
