//! Openings that full targets bounce: which agents are tried, and when the caller is
//! refused.

use std::net::Ipv4Addr;

use super::{BALANCER, agent, bounced, flow, from_caller};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{AgentAction, AgentFlows, HopHeader, PacketFlags, TargetLifecycle},
    listener::ServiceTag,
};

const START: ClockMillis = ClockMillis::new(1_000);

fn service() -> ServiceTag {
    ServiceTag::of("barge-control")
}

/// Sends an opening from agent to agent; the targets in `full` bounce it.
///
/// Returns the agents that were tried and whether the caller was refused.
fn offer(candidates: &[u8], full: &[u8]) -> (Vec<Ipv4Addr>, bool) {
    let opening = from_caller(flow(1), PacketFlags::OPEN);
    let agents = candidates.iter().copied().map(agent);
    let header = HopHeader::new(service(), BALANCER).with_candidates(agents);
    let mut tried = Vec::new();
    let mut hop = header.next_hop();
    while let Some((at, header)) = hop {
        tried.push(at);
        let mut flows = AgentFlows::new(at, service(), 1, SpanMillis::new(60_000));
        flows.set_lifecycle(TargetLifecycle::Serving, None, START);
        let step = flows.handle_frame(header, &opening, &[1], START);
        let AgentAction::Deliver { tag } = step.action else {
            panic!("not delivered: {step:?}");
        };
        if !full.iter().any(|number| agent(*number) == at) {
            return (tried, false);
        }
        let bounce = bounced(flow(1), PacketFlags::OPEN, tag);
        hop = match flows.handle_target_packet(&bounce, START).action {
            AgentAction::PassOn { to, header } => Some((to, header)),
            AgentAction::Reset(_) => return (tried, true),
            other => panic!("neither passed on nor refused: {other:?}"),
        };
    }
    (tried, false)
}

#[test]
fn an_opening_that_full_targets_bounce_goes_to_the_next_candidate() {
    let (tried, refused) = offer(&[1, 2, 3, 4], &[1, 2]);
    assert_eq!(tried, [agent(1), agent(2), agent(3)]);
    assert!(!refused);
}

/// If all targets are full, the caller is refused at once, since its request has run
/// nowhere, and the opening does not circulate among the agents.
#[test]
fn an_opening_that_every_target_bounces_is_refused_after_one_round() {
    let (tried, refused) = offer(&[1, 2, 3, 4], &[1, 2, 3, 4]);
    assert_eq!(tried.len(), 4);
    assert!(refused);
}
