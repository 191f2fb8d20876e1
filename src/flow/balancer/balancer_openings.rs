//! Openings at a balancer: which agent gets one, and what becomes of it.

use std::net::Ipv4Addr;

use super::{
    BalancerFlows, FlowVerdict, RefusalCause, ReportAction, report_timer::MIN_TIMEOUT_MILLIS,
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{
        FlowKey, FlowPacket, FlowReport, HopHeader, ReportKind, pending_openings::PendingOpening,
    },
    listener::RouteChoice,
};

/// How long new flows avoid an agent that did not report an opening.
const SUSPICION_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// Number of candidates of an opening besides the first one.
const OPENING_CANDIDATES: usize = 5;

impl BalancerFlows {
    /// Sends an opening to the first candidate, or its copy to the owner of the flow.
    pub(super) fn open_flow(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        choice: &RouteChoice,
        now: ClockMillis,
    ) -> FlowVerdict {
        let flow = packet.caller_flow();
        let ranked = self
            .targets
            .services
            .get(&choice.new_flow_service)
            .map_or_else(Vec::new, |targets| {
                targets.accepting.rank(flow, OPENING_CANDIDATES + 1)
            });
        self.suspects.retain(|_, until| *until > now);
        let is_copy = packet.age > SpanMillis::ZERO;
        if is_copy && let Some(owner) = self.live_owner(flow, now) {
            // The flow is open already, unless the answer was lost on its way to the
            // caller; either way its owner answers again.
            let header = HopHeader::new(choice.new_flow_service, self.own_address)
                .with_urgency(choice.urgency)
                .with_age(packet.age);
            return FlowVerdict::Forward { to: owner, header };
        }
        if self.gone_owner(flow).is_some() {
            // The caller uses the address and port of an earlier flow again.
            self.owners.remove(flow);
        }
        // A retransmitted opening goes to the agent of the first one, unless that
        // agent is a suspect.
        let previous = self
            .owners
            .get(flow, now)
            .map(|owner| owner.agent)
            .filter(|agent| ranked.contains(agent));
        if !is_copy {
            // What is known of an earlier flow says nothing of the new one.
            self.owners.remove(flow);
            self.lookups.remove(flow);
        }
        let (trusted, suspected): (Vec<Ipv4Addr>, Vec<Ipv4Addr>) = previous
            .into_iter()
            .chain(
                ranked
                    .iter()
                    .copied()
                    .filter(|agent| Some(*agent) != previous),
            )
            .partition(|agent| !self.suspects.contains_key(agent));
        let mut order = trusted.into_iter().chain(suspected);
        let Some(to) = order.next() else {
            return self.refuse(packet, bytes, RefusalCause::NoTarget, now);
        };
        let header = HopHeader::new(choice.new_flow_service, self.own_address)
            .with_urgency(choice.urgency)
            .with_age(packet.age)
            .with_candidates(order);
        self.owners.assume(flow, to, now);
        let opening = PendingOpening {
            flow,
            header,
            packet: bytes.to_vec(),
            first_sent_at: now.before(packet.age),
            sent_at: now,
        };
        if self.openings.insert(opening) {
            self.opening_agents.insert(flow, to);
        }
        FlowVerdict::Forward { to, header }
    }

    /// Handles an agent's report on a flow; returns what to send in response.
    pub(crate) fn handle_report(&mut self, report: &FlowReport, now: ClockMillis) -> ReportAction {
        self.suspects.remove(&report.agent);
        self.note_heard(report, now);
        self.unreported_openings = 0;
        let delay = self.openings.age(report.flow, now);
        self.report_timer
            .record_report(report.flow, report.agent, delay, now);
        self.openings.set_timeout(self.report_timer.timeout());
        if let Some(delay) = delay {
            self.openings
                .note_answered(now.before(delay), MIN_TIMEOUT_MILLIS);
        }
        self.openings.remove(report.flow);
        self.opening_agents.remove(&report.flow);
        let live_owner = self.live_owner(report.flow, now);
        let is_of_opening = report.lookup_id == 0 || report.kind == ReportKind::Refused;
        if live_owner.is_some_and(|owner| owner != report.agent) && is_of_opening {
            // Copies of an opening may reach several targets. The caller keeps to the
            // first one that answered; what the others report changes nothing.
            return ReportAction::Nothing;
        }
        match report.kind {
            ReportKind::Held => {
                self.lookups.remove(report.flow);
                self.parked.remove(report.flow);
                self.owners
                    .confirm(report.flow, report.agent, report.incarnation, now);
                ReportAction::Nothing
            }
            ReportKind::Waiting => {
                // Retransmissions of the opening go to the agent that queued it.
                self.owners.assume(report.flow, report.agent, now);
                ReportAction::Nothing
            }
            ReportKind::NotHeld => {
                self.owners.invalidate(report.flow, report.agent);
                self.continue_lookup(report, now)
            }
            ReportKind::Refused | ReportKind::Gone => {
                self.lookups.remove(report.flow);
                self.owners.remove(report.flow);
                ReportAction::Nothing
            }
        }
    }

    /// Suspects the agents that left openings unreported. Returns those openings
    /// that have a next candidate, each with that agent and the header for it.
    pub(crate) fn expire_openings(
        &mut self,
        now: ClockMillis,
    ) -> Vec<(FlowKey, Vec<u8>, Ipv4Addr, HopHeader)> {
        let mut resent = Vec::new();
        while let Some(mut opening) = self.openings.take_due(now) {
            self.unreported_openings = self.unreported_openings.saturating_add(1);
            if let Some(silent) = self.opening_agents.remove(&opening.flow) {
                self.suspects.insert(silent, now.after(SUSPICION_MILLIS));
                self.report_timer
                    .record_timeout(opening.flow, silent, opening.sent_at);
            }
            let Some((to, header)) = opening.header.next_hop() else {
                continue;
            };
            // The silent agent may hold the flow by now, so no other one may reset it.
            self.last_lookup_id = self.last_lookup_id.wrapping_add(1).max(1);
            let header = header.with_lookup_id(self.last_lookup_id);
            self.owners.assume(opening.flow, to, now);
            resent.push((opening.flow, opening.packet.clone(), to, header));
            opening.header = header;
            opening.sent_at = now;
            let flow = opening.flow;
            if self.openings.insert(opening) {
                self.opening_agents.insert(flow, to);
            }
        }
        resent
    }
}
