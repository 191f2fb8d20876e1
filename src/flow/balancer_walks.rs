//! How a balancer looks for the owner of a flow that it does not know.

use std::net::Ipv4Addr;

use super::{
    BalancerFlows, FlowReport, HopHeader, ReportStep, flow_walk::FlowWalk,
    hop_frame::MAX_CANDIDATES,
};
use crate::{clock::ClockMillis, listener::ServiceTag};

impl BalancerFlows {
    /// Asks the next agents that may hold a flow; returns the first of them, or
    /// `None` if all were asked.
    pub(super) fn walk_on(
        &mut self,
        mut walk: FlowWalk,
        services: &[ServiceTag],
        likely: Option<Ipv4Addr>,
        now: ClockMillis,
    ) -> Option<(Ipv4Addr, HopHeader)> {
        let flow = walk.reset.flow;
        let mut order: Vec<Ipv4Addr> = likely.into_iter().collect();
        let mut asked_services = services.to_vec();
        if !self.was_current {
            // The flow may have been opened by newer routes than those known.
            asked_services.extend(self.targets.services.keys());
        }
        for service in asked_services {
            if let Some(targets) = self.targets.services.get(&service) {
                order.extend(targets.hold.rank(flow, targets.hold.len()));
            }
        }
        // A silent agent ends the walk, so it is asked last.
        order.sort_by_key(|agent| self.suspects.contains_key(agent));
        let mut next = Vec::new();
        for agent in order {
            if !walk.asked.contains(&agent) && !next.contains(&agent) {
                next.push(agent);
            }
        }
        next.truncate(MAX_CANDIDATES + 1);
        let (to, rest) = next.split_first()?;
        self.last_walk = self.last_walk.wrapping_add(1).max(1);
        let header = HopHeader::new(services[0], self.own)
            .with_walk(self.last_walk)
            .with_candidates(rest.iter().copied());
        walk.number = self.last_walk;
        walk.asked.extend(&next);
        walk.asked_at = now;
        self.walks.insert(flow, walk);
        Some((*to, header))
    }

    /// Asks the agents that remain. Once every target that may hold the flow
    /// has given the packet back, the flow is gone and its caller is told.
    pub(super) fn continue_walk(&mut self, report: &FlowReport, now: ClockMillis) -> ReportStep {
        let flow = report.flow;
        let Some(walk) = self.walks.take(flow, report.agent, report.walk) else {
            return ReportStep::Nothing;
        };
        let Some(choice) = self.table.choose(flow.listener, flow.spread(), now) else {
            return ReportStep::Nothing;
        };
        let (packet, reset) = (walk.packet.clone(), walk.reset);
        match self.walk_on(walk, &choice.holds, None, now) {
            Some((to, header)) => ReportStep::Forward { packet, to, header },
            None if self.can_end_flows() => ReportStep::Reset(reset),
            None => {
                self.parked.park(flow, &packet, now);
                ReportStep::Nothing
            }
        }
    }
}
