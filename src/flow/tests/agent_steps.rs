use std::net::Ipv4Addr;

use rstest::rstest;

use super::{BALANCER, agent, bounced, flow, from_caller, from_target};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{
        AgentAction, AgentFlows, AgentReset, FlowReset, HopHeader, PacketFlags, ReportKind,
        ResetCause, TargetLifecycle,
    },
    key::IncarnationId,
    listener::ServiceTag,
};

const OWN: Ipv4Addr = Ipv4Addr::new(10, 0, 1, 1);
const START: ClockMillis = ClockMillis::new(1_000);
/// A time after all packets sent at `START`.
const LATER: ClockMillis = ClockMillis::new(9_000);

fn service() -> ServiceTag {
    ServiceTag::of("barge-control")
}

fn flows() -> AgentFlows {
    let mut flows = AgentFlows::new(OWN, service(), 100, SpanMillis::new(60_000));
    flows.set_lifecycle(TargetLifecycle::Serving, None, START);
    flows
}

fn header(candidates: &[u8]) -> HopHeader {
    HopHeader::new(service(), BALANCER).with_candidates(candidates.iter().copied().map(agent))
}

fn delivered_tag(action: AgentAction) -> u32 {
    match action {
        AgentAction::Deliver { tag } => tag,
        other => panic!("not delivered: {other:?}"),
    }
}

fn next_agent(action: AgentAction) -> Ipv4Addr {
    match action {
        AgentAction::PassOn { to, .. } => to,
        other => panic!("not passed on: {other:?}"),
    }
}

/// Opens a flow and makes the target answer and acknowledge on it.
fn establish(flows: &mut AgentFlows, port: u16) {
    let opening = from_caller(flow(port), PacketFlags::OPEN);
    delivered_tag(
        flows
            .handle_frame(header(&[2]), &opening, &[1], START)
            .action,
    );
    let accepted = PacketFlags::OPEN.with(PacketFlags::ACKNOWLEDGE);
    flows.handle_target_packet(&from_target(flow(port), accepted), START);
    flows.handle_target_packet(&from_target(flow(port), PacketFlags::ACKNOWLEDGE), START);
}

#[test]
fn an_answered_opening_is_reported_once() {
    let mut flows = flows();
    let opening = from_caller(flow(1), PacketFlags::OPEN);
    delivered_tag(
        flows
            .handle_frame(header(&[2]), &opening, &[1], START)
            .action,
    );
    let accepted = from_target(flow(1), PacketFlags::OPEN.with(PacketFlags::ACKNOWLEDGE));
    let step = flows.handle_target_packet(&accepted, START);
    assert_eq!(step.action, AgentAction::Return);
    let (balancer, report) = step.report.expect("a report");
    assert_eq!((balancer, report.kind), (BALANCER, ReportKind::Held));
    assert_eq!(flows.handle_target_packet(&accepted, START).report, None);
}

#[test]
fn an_opening_for_another_service_is_passed_on() {
    let mut flows = flows();
    let other = HopHeader::new(ServiceTag::of("logbook"), BALANCER).with_candidates([agent(2)]);
    let opening = from_caller(flow(1), PacketFlags::OPEN);
    let step = flows.handle_frame(other, &opening, &[1], START);
    assert_eq!(next_agent(step.action), agent(2));
}

#[rstest]
#[case::leaving(TargetLifecycle::Leaving)]
#[case::ended(TargetLifecycle::Ended)]
#[case::lost(TargetLifecycle::Lost)]
fn a_target_that_accepts_no_flows_gets_no_opening(#[case] lifecycle: TargetLifecycle) {
    let mut flows = flows();
    flows.set_lifecycle(lifecycle, None, LATER);
    let opening = from_caller(flow(1), PacketFlags::OPEN);
    let step = flows.handle_frame(header(&[3]), &opening, &[1], START);
    assert_eq!(next_agent(step.action), agent(3));
    let refused = flows.handle_frame(header(&[]), &opening, &[1], START);
    assert!(matches!(refused.action, AgentAction::Reset(_)));
    assert_eq!(
        refused.report.map(|(_, report)| report.kind),
        Some(ReportKind::Refused)
    );
}

#[test]
fn a_leaving_target_keeps_its_flows() {
    let mut flows = flows();
    establish(&mut flows, 1);
    flows.set_lifecycle(TargetLifecycle::Leaving, None, START);
    let data = from_caller(flow(1), PacketFlags::ACKNOWLEDGE);
    delivered_tag(flows.handle_frame(header(&[]), &data, &[1], START).action);
}

#[test]
fn an_agent_that_just_started_passes_on_what_its_target_bounces() {
    let mut flows = AgentFlows::new(OWN, service(), 100, SpanMillis::new(60_000));
    let data = from_caller(flow(1), PacketFlags::ACKNOWLEDGE);
    let tag = delivered_tag(
        flows
            .handle_frame(header(&[4, 5]), &data, &[1], START)
            .action,
    );
    let step = flows.handle_target_packet(&bounced(flow(1), PacketFlags::ACKNOWLEDGE, tag), START);
    assert_eq!(next_agent(step.action), agent(4));
}

#[test]
fn a_bounced_packet_without_a_next_candidate_is_reported_and_not_reset() {
    let mut flows = flows();
    let data = from_caller(flow(1), PacketFlags::ACKNOWLEDGE);
    let tag = delivered_tag(flows.handle_frame(header(&[]), &data, &[1], START).action);
    let step = flows.handle_target_packet(&bounced(flow(1), PacketFlags::ACKNOWLEDGE, tag), START);
    assert_eq!(step.action, AgentAction::Drop);
    assert_eq!(
        step.report.map(|(_, report)| report.kind),
        Some(ReportKind::NotHeld)
    );
}

#[test]
fn a_flow_that_its_restarted_target_bounces_is_reset() {
    let mut flows = flows();
    establish(&mut flows, 1);
    let data = from_caller(flow(1), PacketFlags::ACKNOWLEDGE);
    let tag = delivered_tag(flows.handle_frame(header(&[2]), &data, &[1], START).action);
    let step = flows.handle_target_packet(&bounced(flow(1), PacketFlags::ACKNOWLEDGE, tag), START);
    let AgentAction::Reset(reset) = step.action else {
        panic!("not reset: {:?}", step.action);
    };
    // A reset must carry the sequence number that the caller acknowledged last.
    assert_eq!((reset.reset.flow, reset.reset.sequence), (flow(1), 7));
    assert_eq!(reset.cause, ResetCause::FlowBounced);
    assert_eq!(reset.established_since, Some(START));
    assert_eq!(
        step.report.map(|(_, report)| report.kind),
        Some(ReportKind::Gone)
    );
}

#[test]
fn a_bounced_packet_of_an_earlier_run_is_dropped() {
    let mut flows = flows();
    let step = flows.handle_target_packet(&bounced(flow(1), PacketFlags::ACKNOWLEDGE, 77), START);
    assert_eq!(step.action, AgentAction::Drop);
}

#[test]
fn an_unanswered_opening_goes_to_the_next_candidate_within_50_ms() {
    let mut flows = flows();
    let opening = from_caller(flow(1), PacketFlags::OPEN);
    delivered_tag(
        flows
            .handle_frame(header(&[2]), &opening, &[9], START)
            .action,
    );
    let due = flows.next_due().expect("a pending opening");
    assert!(due.since(START) <= SpanMillis::new(50));
    let steps = flows.expire_openings(due);
    assert_eq!(steps.len(), 1);
    assert_eq!(steps[0].0, [9]);
    assert_eq!(next_agent(steps[0].2.action), agent(2));
    // The target is a suspect now, so the next opening does not wait for it.
    assert!(flows.is_suspect());
    let next = from_caller(flow(2), PacketFlags::OPEN);
    let step = flows.handle_frame(header(&[2]), &next, &[1], due);
    assert_eq!(next_agent(step.action), agent(2));
    // Any packet from the target ends the suspicion.
    flows.handle_target_packet(&from_target(flow(3), PacketFlags::ACKNOWLEDGE), due);
    assert!(!flows.is_suspect());
}

#[test]
fn a_target_that_lost_one_opening_but_answers_others_is_not_suspected() {
    let mut flows = flows();
    let opening = from_caller(flow(1), PacketFlags::OPEN);
    delivered_tag(
        flows
            .handle_frame(header(&[2]), &opening, &[9], START)
            .action,
    );
    let later = START.after(SpanMillis::new(5));
    flows.handle_target_packet(&from_target(flow(3), PacketFlags::ACKNOWLEDGE), later);
    let due = flows.next_due().expect("a pending opening");
    assert_eq!(flows.expire_openings(due).len(), 1);
    assert!(!flows.is_suspect());
}

#[rstest]
#[case::crashed(TargetLifecycle::Lost, None, ResetCause::TargetLost)]
#[case::ended(TargetLifecycle::Ended, None, ResetCause::TargetEnded)]
#[case::restarted(
    TargetLifecycle::Serving,
    Some(IncarnationId::new(2)),
    ResetCause::TargetRestarted
)]
fn established_flows_of_a_lost_target_are_reset_without_waiting_for_a_packet(
    #[case] lifecycle: TargetLifecycle,
    #[case] incarnation: Option<IncarnationId>,
    #[case] cause: ResetCause,
) {
    let mut flows = flows();
    flows.set_lifecycle(TargetLifecycle::Serving, Some(IncarnationId::new(1)), START);
    establish(&mut flows, 1);
    let data = from_caller(flow(1), PacketFlags::ACKNOWLEDGE);
    flows.handle_frame(header(&[]), &data, &[1], START);
    // Flow 2 was only looked up here and may be held elsewhere.
    flows.handle_frame(
        header(&[2]),
        &from_caller(flow(2), PacketFlags::ACKNOWLEDGE),
        &[1],
        START,
    );
    let resets = flows.set_lifecycle(lifecycle, incarnation, LATER);
    assert_eq!(
        resets,
        [AgentReset {
            reset: FlowReset {
                flow: flow(1),
                sequence: 7
            },
            cause,
            incarnation: Some(IncarnationId::new(1)),
            established_since: Some(START),
        }]
    );
    assert!(
        flows
            .set_lifecycle(lifecycle, incarnation, LATER)
            .is_empty()
    );
}

#[test]
fn an_announcement_of_the_same_incarnation_resets_nothing() {
    let incarnation = Some(IncarnationId::new(1));
    let mut flows = flows();
    establish(&mut flows, 1);
    assert!(
        flows
            .set_lifecycle(TargetLifecycle::Serving, incarnation, LATER)
            .is_empty()
    );
    assert!(
        flows
            .set_lifecycle(TargetLifecycle::Leaving, incarnation, LATER)
            .is_empty()
    );
}

/// Soak seed 1006: a restarted target accepted a flow while its first announcement
/// was still in transit, and the announcement reset that flow.
#[test]
fn a_flow_that_the_new_incarnation_may_hold_is_not_reset() {
    let mut flows = flows();
    flows.set_lifecycle(TargetLifecycle::Serving, Some(IncarnationId::new(1)), START);
    establish(&mut flows, 1);
    let restarted = Some(IncarnationId::new(2));
    assert!(
        flows
            .set_lifecycle(TargetLifecycle::Serving, restarted, START)
            .is_empty()
    );
    // If the target does not hold the flow, it bounces the next packet.
    let data = from_caller(flow(1), PacketFlags::ACKNOWLEDGE);
    let tag = delivered_tag(flows.handle_frame(header(&[]), &data, &[1], START).action);
    let step = flows.handle_target_packet(&bounced(flow(1), PacketFlags::ACKNOWLEDGE, tag), START);
    assert!(matches!(step.action, AgentAction::Reset(_)));
}

/// A balancer that forgot the owner of a flow would otherwise look it up for each of
/// its packets.
#[test]
fn a_held_flow_is_reported_again_to_a_balancer_that_looks_it_up() {
    let mut flows = flows();
    establish(&mut flows, 1);
    let data = from_caller(flow(1), PacketFlags::ACKNOWLEDGE);
    let lookup = header(&[2]).with_lookup_id(7);
    delivered_tag(flows.handle_frame(lookup, &data, &[1], START).action);
    let acknowledgement = from_target(flow(1), PacketFlags::ACKNOWLEDGE);
    let step = flows.handle_target_packet(&acknowledgement, START);
    let kind = step.report.map(|(_, report)| report.kind);
    assert_eq!(kind, Some(ReportKind::Held));
    assert_eq!(
        flows.handle_target_packet(&acknowledgement, START).report,
        None
    );
}

#[test]
fn a_copy_of_an_opening_is_reported_again() {
    let mut flows = flows();
    let opening = from_caller(flow(1), PacketFlags::OPEN);
    let accepted = from_target(flow(1), PacketFlags::OPEN.with(PacketFlags::ACKNOWLEDGE));
    for _ in 0..2 {
        let step = flows.handle_frame(header(&[2]), &opening, &[1], START);
        delivered_tag(step.action);
        let report = flows.handle_target_packet(&accepted, START).report;
        let kind = report.map(|(_, report)| report.kind);
        assert_eq!(kind, Some(ReportKind::Held));
    }
}

/// The caller's attempt ends with the reset, so that another target would hold a flow
/// that nobody uses.
#[test]
fn an_opening_that_the_target_resets_goes_to_no_other_agent() {
    let mut flows = flows();
    let opening = from_caller(flow(1), PacketFlags::OPEN);
    let step = flows.handle_frame(header(&[2]), &opening, &[1], START);
    delivered_tag(step.action);
    flows.handle_target_packet(&from_target(flow(1), PacketFlags::RESET), START);
    assert_eq!(flows.expire_openings(LATER), []);
}
