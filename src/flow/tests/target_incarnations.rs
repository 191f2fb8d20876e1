//! Flows whose target ended, restarted or fell silent, as a balancer sees them.

use std::collections::HashMap;

use super::{
    agent,
    balancer_verdicts::{
        INCARNATION, START, balancer, known_targets, report, run_lookup, send_data, send_opening,
        service, targets,
    },
    flow, from_caller,
};
use crate::{
    flow::{
        BalancerFlows, FlowVerdict, PacketFlags, RefusalCause, ReportAction, ReportKind,
        TargetIncarnation,
    },
    key::IncarnationId,
};

/// Returns a balancer to which agent 2 reported flow 1 as held, and which knows
/// this incarnation of the agent's target.
fn balancer_with_incarnation(incarnation: TargetIncarnation) -> BalancerFlows {
    let mut flows = balancer();
    flows.handle_report(&report(1, agent(2), ReportKind::Held), START);
    let mut targets = known_targets(HashMap::from([(
        service(),
        targets(&[1, 2, 3], &[1, 2, 3]),
    )]));
    targets.incarnations.insert(agent(2), incarnation);
    flows.set_targets(targets);
    flows
}

#[test]
fn a_flow_whose_target_ended_is_reset_without_a_lookup() {
    let mut flows = balancer_with_incarnation(TargetIncarnation {
        id: Some(INCARNATION),
        ended: true,
        silent: false,
    });
    let data = from_caller(flow(1), PacketFlags::ACKNOWLEDGE);
    let verdict = flows.handle_packet(&data, &[1], START);
    assert!(matches!(
        verdict,
        FlowVerdict::Reset(_, RefusalCause::TargetGone(_))
    ));
}

/// The report on the new flow may be lost; its packets must not be taken for those
/// of the earlier flow.
#[test]
fn a_flow_on_an_address_and_port_used_again_is_not_reset_for_the_earlier_one() {
    let mut flows = balancer_with_incarnation(TargetIncarnation {
        id: Some(INCARNATION),
        ended: true,
        silent: false,
    });
    send_opening(&mut flows, 1, START);
    let data = from_caller(flow(1), PacketFlags::ACKNOWLEDGE);
    let verdict = flows.handle_packet(&data, &[1], START);
    assert!(matches!(verdict, FlowVerdict::Forward { .. }));
}

/// Soak seed 1006: the agent may have reported the flow before it learned of the
/// newer incarnation that accepted it.
#[test]
fn a_lookup_starts_at_the_restarted_target_of_the_flow() {
    let mut flows = balancer_with_incarnation(TargetIncarnation {
        id: Some(IncarnationId::new(4)),
        ended: false,
        silent: false,
    });
    let (asked, others) = send_data(&mut flows, 1);
    assert_eq!(asked, agent(2));
    assert_eq!(others.len(), 2);
    // If no target holds the flow, it is reset.
    assert!(matches!(run_lookup(&mut flows).1, ReportAction::Reset(_)));
}

#[test]
fn a_flow_of_a_silent_target_is_not_reset() {
    let mut flows = balancer();
    flows.handle_report(&report(1, agent(2), ReportKind::Held), START);
    let mut targets = known_targets(HashMap::from([(service(), targets(&[1], &[1, 2]))]));
    let same = TargetIncarnation {
        id: Some(INCARNATION),
        ended: false,
        silent: false,
    };
    targets.incarnations.insert(agent(2), same);
    flows.set_targets(targets);
    assert_eq!(send_data(&mut flows, 1).0, agent(2));
}
