//! Openings while failure domains are evacuated, at balancers and at agents.

use std::{collections::HashMap, net::Ipv4Addr};

use rstest::rstest;

use super::{
    BALANCER, agent,
    balancer_verdicts::{balancer, known_targets, targets},
    flow, from_caller, from_target,
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{
        AgentAction, AgentFlows, FlowVerdict, HopHeader, KnownTargets, PacketFlags, RefusalCause,
        ReportKind, TargetLifecycle,
    },
    listener::ServiceTag,
};

const OWN: Ipv4Addr = Ipv4Addr::new(10, 0, 1, 1);
const START: ClockMillis = ClockMillis::new(1_000);

fn service() -> ServiceTag {
    ServiceTag::of("barge-control")
}

fn agent_flows() -> AgentFlows {
    let mut flows = AgentFlows::new(OWN, service(), 100, SpanMillis::new(60_000));
    flows.set_slots(Some(2));
    flows.set_lifecycle(TargetLifecycle::Serving, None, START);
    flows
}

fn offer(flows: &mut AgentFlows, port: u16, candidates: &[u8]) -> AgentAction {
    let opening = from_caller(flow(port), PacketFlags::OPEN);
    let header =
        HopHeader::new(service(), BALANCER).with_candidates(candidates.iter().map(|n| agent(*n)));
    flows.handle_frame(header, &opening, &[1], START).action
}

/// Balancers that are behind still send openings: none of them may reach the target.
#[rstest]
#[case::serving(TargetLifecycle::Serving)]
#[case::just_started(TargetLifecycle::Unproved)]
fn an_evacuated_agent_passes_openings_on(#[case] lifecycle: TargetLifecycle) {
    let mut flows = agent_flows();
    flows.set_lifecycle(lifecycle, None, START);
    flows.set_evacuated(true);
    let action = offer(&mut flows, 1, &[2, 3]);
    assert!(matches!(action, AgentAction::PassOn { to, .. } if to == agent(2)));
    flows.set_evacuated(false);
    let action = offer(&mut flows, 2, &[2, 3]);
    assert!(matches!(action, AgentAction::Deliver { .. }));
}

/// If every domain is evacuated the caller is told at once, so that it does not wait
/// for its own timeout.
#[test]
fn an_evacuated_agent_without_further_candidates_refuses_the_opening() {
    let mut flows = agent_flows();
    flows.set_evacuated(true);
    let opening = from_caller(flow(1), PacketFlags::OPEN);
    let step = flows.handle_frame(HopHeader::new(service(), BALANCER), &opening, &[1], START);
    assert!(matches!(step.action, AgentAction::Reset(_)));
    let (_, report) = step.report.expect("a report");
    assert_eq!(report.kind, ReportKind::Refused);
    assert_eq!(flows.tracked_flows(), 0);
}

#[test]
fn open_flows_and_repeated_openings_of_them_stay_at_an_evacuated_agent() {
    let mut flows = agent_flows();
    offer(&mut flows, 1, &[2]);
    let accepted = PacketFlags::OPEN.with(PacketFlags::ACKNOWLEDGE);
    flows.handle_target_packet(&from_target(flow(1), accepted), START);
    offer(&mut flows, 2, &[2]);
    flows.set_evacuated(true);
    for port in [1, 2] {
        let action = offer(&mut flows, port, &[2]);
        assert!(matches!(action, AgentAction::Deliver { .. }), "flow {port}");
    }
    let request = from_caller(flow(1), PacketFlags::ACKNOWLEDGE);
    let header = HopHeader::new(service(), BALANCER);
    let action = flows.handle_frame(header, &request, &[1], START).action;
    assert!(matches!(action, AgentAction::Deliver { .. }));
}

/// Openings that wait have reached no target yet; delivered later they would be new
/// flows of an evacuated target, and a copy passed on could open the flow twice.
#[test]
fn openings_that_wait_are_refused_when_the_domain_is_evacuated() {
    let mut flows = agent_flows();
    for port in 1..=3 {
        offer(&mut flows, port, &[]);
    }
    assert_eq!(offer(&mut flows, 4, &[]), AgentAction::Wait);
    flows.set_evacuated(true);
    let refused = flows.dequeue_opening(START).expect("the waiting opening");
    assert_eq!(refused.flow, flow(4));
    assert!(matches!(refused.step.action, AgentAction::Reset(_)));
    assert_eq!(flows.dequeue_opening(START), None);
    assert_eq!(flows.waiting(), 0);
}

/// With all domains evacuated a balancer resets openings at once, and stays in
/// rotation: no other balancer could serve them.
#[test]
fn openings_are_reset_at_once_while_all_domains_are_evacuated() {
    let mut balancer = balancer();
    let mut services = HashMap::from([(service(), targets(&[], &[1, 2]))]);
    let evacuated = KnownTargets {
        any_evacuated: true,
        ..known_targets(services.clone())
    };
    balancer.set_targets(evacuated);
    balancer.set_current(true);
    assert!(balancer.is_ready());
    let opening = from_caller(flow(1), PacketFlags::OPEN);
    let verdict = balancer.handle_packet(&opening, &[1], START);
    assert!(matches!(
        verdict,
        FlowVerdict::Reset(_, RefusalCause::NoTarget)
    ));
    services.insert(service(), targets(&[1, 2], &[1, 2]));
    balancer.set_targets(known_targets(services));
    let verdict = balancer.handle_packet(&opening, &[1], START);
    assert!(matches!(verdict, FlowVerdict::Forward { .. }));
}

/// A balancer whose reports are late sends an opening on to the next agent though the
/// first one holds the flow. The evacuated last candidate must not reset it: the flow may
/// be open.
#[test]
fn an_opening_sent_on_since_its_report_is_late_is_not_reset_by_the_last_candidate() {
    let mut balancer = balancer();
    let services = HashMap::from([(service(), targets(&[1, 2], &[1, 2]))]);
    balancer.set_targets(known_targets(services));
    let opening = from_caller(flow(1), PacketFlags::OPEN);
    let FlowVerdict::Forward { header, .. } = balancer.handle_packet(&opening, &[1], START) else {
        panic!("the opening is forwarded");
    };
    let mut owner = agent_flows();
    let action = owner.handle_frame(header, &opening, &[1], START).action;
    assert!(matches!(action, AgentAction::Deliver { .. }));
    let accepted = PacketFlags::OPEN.with(PacketFlags::ACKNOWLEDGE);
    owner.handle_target_packet(&from_target(flow(1), accepted), START);

    let due = balancer.next_due().expect("an unreported opening");
    let resent = balancer.expire_openings(due);
    let (_, _, _, header) = resent[0];
    let mut last = agent_flows();
    last.set_evacuated(true);
    let action = last.handle_frame(header, &opening, &[1], due).action;
    assert!(!matches!(action, AgentAction::Reset(_)), "{action}");
}

/// The same for an opening that a full target had queued.
#[test]
fn an_opening_sent_on_since_its_report_is_late_is_not_reset_after_a_wait() {
    let header = HopHeader::new(service(), BALANCER).with_lookup_id(3);
    let mut flows = agent_flows();
    flows.set_slots(Some(1));
    for port in 10..12 {
        let opening = from_caller(flow(port), PacketFlags::OPEN);
        flows.handle_frame(HopHeader::new(service(), BALANCER), &opening, &[1], START);
    }
    let opening = from_caller(flow(1), PacketFlags::OPEN);
    let step = flows.handle_frame(header, &opening, &[1], START);
    assert_eq!(step.action, AgentAction::Wait);
    let refused = flows.refuse_next(START).expect("a queued opening");
    assert_eq!(refused.step.action, AgentAction::Drop);
    let kind = refused.step.report.map(|(_, report)| report.kind);
    assert_eq!(kind, Some(ReportKind::Refused));
}
