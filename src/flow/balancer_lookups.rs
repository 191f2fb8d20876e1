//! Owner lookup: a balancer asks agent after agent for a flow whose owner it does
//! not know.

use std::net::Ipv4Addr;

use super::{
    BalancerFlows, FlowReport, HopHeader, ReportAction, hop_frame::MAX_CANDIDATES,
    owner_lookup::OwnerLookup,
};
use crate::{clock::ClockMillis, listener::ServiceTag};

impl BalancerFlows {
    /// Starts the next round of a lookup with agents not asked yet. Returns the
    /// first of them and the header that lists the others, or `None` if all were
    /// asked.
    pub(super) fn send_lookup(
        &mut self,
        mut lookup: OwnerLookup,
        services: &[ServiceTag],
        assumed_owner: Option<Ipv4Addr>,
        now: ClockMillis,
    ) -> Option<(Ipv4Addr, HopHeader)> {
        let flow = lookup.reset.flow;
        let mut order: Vec<Ipv4Addr> = assumed_owner.into_iter().collect();
        let mut searched_services = services.to_vec();
        if !self.was_ever_current {
            // The flow may have been opened under newer routes than the known ones.
            searched_services.extend(self.targets.services.keys());
        }
        for service in searched_services {
            if let Some(targets) = self.targets.services.get(&service) {
                order.extend(
                    targets
                        .possible_owners
                        .rank(flow, targets.possible_owners.len()),
                );
            }
        }
        // An agent that does not answer ends the lookup, so suspects come last.
        order.sort_by_key(|agent| self.suspects.contains_key(agent));
        let mut next = Vec::new();
        for agent in order {
            if !lookup.asked_agents.contains(&agent) && !next.contains(&agent) {
                next.push(agent);
            }
        }
        next.truncate(MAX_CANDIDATES + 1);
        let (to, rest) = next.split_first()?;
        self.last_lookup_id = self.last_lookup_id.wrapping_add(1).max(1);
        let header = HopHeader::new(services[0], self.own_address)
            .with_lookup_id(self.last_lookup_id)
            .with_candidates(rest.iter().copied());
        lookup.lookup_id = self.last_lookup_id;
        lookup.asked_agents.extend(&next);
        lookup.sent_at = now;
        self.lookups.insert(flow, lookup);
        Some((*to, header))
    }

    /// Starts the next round after the last agent of a round reported that it does
    /// not hold the flow. Once no target that may hold the flow has it, the flow is
    /// reset, or its packet parked while a target may be missing.
    pub(super) fn continue_lookup(
        &mut self,
        report: &FlowReport,
        now: ClockMillis,
    ) -> ReportAction {
        let flow = report.flow;
        let Some(lookup) = self.lookups.take(flow, report.agent, report.lookup_id) else {
            return ReportAction::Nothing;
        };
        let Some(choice) = self.table.choose(flow.listener, flow.stable_hash(), now) else {
            return ReportAction::Nothing;
        };
        let (packet, reset) = (lookup.packet.clone(), lookup.reset);
        match self.send_lookup(lookup, &choice.owner_services, None, now) {
            Some((to, header)) => ReportAction::Forward { packet, to, header },
            None if self.can_reset_flows() => ReportAction::Reset(reset),
            None => {
                self.parked.park(flow, &packet, now);
                ReportAction::Nothing
            }
        }
    }
}
