//! What an agent does with openings: hands them to its target, keeps them until
//! it has a free slot, passes them on or refuses them.

use super::{
    AgentAction, AgentFlows, AgentStep, AgentTarget, FlowKey, FlowPacket, FlowReset, HopHeader,
    ReportKind, WaitEnd, opening_watch::WatchedOpening,
};
use crate::clock::ClockMillis;

impl AgentFlows {
    /// Takes an opening: hands it over, keeps it, or passes it on.
    pub(super) fn take_opening(
        &mut self,
        header: HopHeader,
        packet: &FlowPacket,
        bytes: &[u8],
        now: ClockMillis,
    ) -> AgentStep {
        let flow = packet.caller_flow();
        let copy = self.held.contains_key(&flow) || self.openings.holds(flow);
        let takes = match self.target {
            AgentTarget::Unproved | AgentTarget::Serving => {
                copy || !self.health.is_suspect() || header.candidates().is_empty()
            }
            AgentTarget::Leaving => self.held.contains_key(&flow),
            AgentTarget::Ended | AgentTarget::Lost => false,
        };
        if !takes {
            return self.pass_on(header, packet);
        }
        let opening = WatchedOpening {
            flow,
            header,
            packet: bytes.to_vec(),
            asked_at: now.before(header.age),
            sent_at: now,
        };
        if copy || self.load.has_room(now) {
            return AgentStep::quiet(self.deliver_opening(opening, now));
        }
        if self.queue.holds(flow) {
            return self.wait(&opening);
        }
        if !header.candidates().is_empty() {
            return self.pass_on(header, packet);
        }
        let step = self.wait(&opening);
        let servable = self.load.begins_within(header.urgency.timeout);
        self.displaced
            .extend(self.queue.push(opening, servable, now));
        step
    }

    fn wait(&self, opening: &WatchedOpening) -> AgentStep {
        AgentStep {
            action: AgentAction::Wait,
            report: Some((
                opening.header.balancer,
                self.report(opening.flow, opening.header.walk, ReportKind::Waiting),
            )),
        }
    }

    fn deliver_opening(&mut self, opening: WatchedOpening, now: ClockMillis) -> AgentAction {
        let tag = self.ring.remember(opening.header);
        if !self.held.contains_key(&opening.flow) {
            self.load.reserve(opening.flow, now);
        }
        self.openings.watch(opening);
        AgentAction::Deliver { tag }
    }

    /// Returns the next opening whose wait is over: the target has a free slot, or
    /// it can't be served any more.
    pub(crate) fn next_waiting(&mut self, now: ClockMillis) -> Option<WaitEnd> {
        let takes = matches!(self.target, AgentTarget::Unproved | AgentTarget::Serving);
        let hopeless = self
            .displaced
            .pop()
            .or_else(|| self.queue.take_lapsed(now))
            .or_else(|| if takes { None } else { self.queue.take_any() });
        if let Some(opening) = hopeless {
            return Some(self.refuse_waiting(opening, now));
        }
        if self.queue.len() == 0 || !self.load.has_room(now) {
            return None;
        }
        let opening = self.queue.take_next(now)?;
        let (packet, flow) = (opening.packet.clone(), opening.flow);
        let waited = now.since(opening.sent_at);
        let step = AgentStep::quiet(self.deliver_opening(opening, now));
        Some(WaitEnd {
            flow,
            packet,
            waited,
            step,
        })
    }

    fn refuse_waiting(&self, opening: WatchedOpening, now: ClockMillis) -> WaitEnd {
        let report = self.report(opening.flow, opening.header.walk, ReportKind::Refused);
        WaitEnd {
            flow: opening.flow,
            packet: opening.packet,
            waited: now.since(opening.sent_at),
            step: AgentStep {
                action: AgentAction::Reset(FlowReset {
                    flow: opening.flow,
                    sequence: 0,
                }),
                report: Some((opening.header.balancer, report)),
            },
        }
    }

    /// Returns the openings that the target left unanswered and what becomes
    /// of each.
    pub(crate) fn expire_openings(
        &mut self,
        now: ClockMillis,
    ) -> Vec<(Vec<u8>, FlowKey, AgentStep)> {
        let mut steps = Vec::new();
        while let Some(opening) = self.openings.take_due(now) {
            self.health.miss(opening.sent_at);
            self.load.cancel(opening.flow);
            let step = match opening.header.next_hop() {
                Some((to, header)) => AgentStep::quiet(AgentAction::PassOn { to, header }),
                None => AgentStep::quiet(AgentAction::Drop),
            };
            steps.push((opening.packet, opening.flow, step));
        }
        steps
    }

    /// Returns when an opening may next be overdue, or wait no longer.
    pub(crate) fn next_due(&self) -> Option<ClockMillis> {
        let waiting = self.queue.next_lapse().map(|lapse| {
            let freed = self.load.next_lapse();
            freed.map_or(lapse, |freed| freed.min(lapse))
        });
        let due = self.openings.next_due().into_iter().chain(waiting);
        due.min()
    }
}
