//! Handling of openings at an agent: deliver them to the target, queue them until
//! it has a free slot, pass them on or refuse them.

use super::{AgentAction, AgentFlows, AgentStep, DequeuedOpening, TargetLifecycle};
use crate::{
    clock::ClockMillis,
    flow::{
        AgentReset, FlowKey, FlowPacket, FlowReset, HopHeader, ReportKind, ResetCause,
        pending_openings::PendingOpening,
    },
};

impl AgentFlows {
    /// Delivers, queues, passes on or refuses an opening.
    pub(super) fn handle_opening(
        &mut self,
        header: HopHeader,
        packet: &FlowPacket,
        bytes: &[u8],
        now: ClockMillis,
    ) -> AgentStep {
        let flow = packet.caller_flow();
        let retransmitted = self.tracked.contains_key(&flow) || self.openings.contains(flow);
        if self.evacuated && !retransmitted {
            return self.pass_on(header, packet);
        }
        let accepts = match self.lifecycle {
            TargetLifecycle::Unproved | TargetLifecycle::Serving => {
                retransmitted || !self.health.is_suspect() || header.candidates().is_empty()
            }
            TargetLifecycle::Leaving => self.tracked.contains_key(&flow),
            TargetLifecycle::Ended | TargetLifecycle::Lost => false,
        };
        if !accepts {
            return self.pass_on(header, packet);
        }
        let opening = PendingOpening {
            flow,
            header,
            packet: bytes.to_vec(),
            first_sent_at: now.before(header.age),
            sent_at: now,
        };
        if let Some(tracked) = self.tracked.get_mut(&flow) {
            // The report on the first copy may have come late or not at all.
            tracked.balancer = header.balancer;
            tracked.reported = false;
        }
        if retransmitted || self.admits_opening(&header, now) {
            return AgentStep::without_report(self.deliver_opening(opening, now));
        }
        if self.queue.contains(flow) {
            return self.waiting_step(&opening);
        }
        if !header.candidates().is_empty() {
            return self.pass_on(header, packet);
        }
        let step = self.waiting_step(&opening);
        let capacity = self.queue_capacity(header.urgency.timeout);
        self.evicted.extend(self.queue.push(opening, capacity, now));
        step
    }

    fn waiting_step(&self, opening: &PendingOpening) -> AgentStep {
        AgentStep {
            action: AgentAction::Wait,
            report: Some((
                opening.header.balancer,
                self.report(opening.flow, opening.header.lookup_id, ReportKind::Waiting),
            )),
        }
    }

    fn deliver_opening(&mut self, opening: PendingOpening, now: ClockMillis) -> AgentAction {
        let tag = self.ring.insert(opening.header);
        if !self.tracked.contains_key(&opening.flow) {
            self.load.reserve(opening.flow, now);
            if !self.openings.contains(opening.flow) {
                self.cold_limiter.record(now);
            }
        }
        self.openings.insert(opening);
        AgentAction::Deliver { tag }
    }

    /// Removes the next opening that need not wait any longer from the queue: it
    /// is refused if it can't be served in time, or delivered to a free slot.
    pub(crate) fn dequeue_opening(&mut self, now: ClockMillis) -> Option<DequeuedOpening> {
        let serving = matches!(
            self.lifecycle,
            TargetLifecycle::Unproved | TargetLifecycle::Serving
        );
        let accepts = serving && !self.evacuated;
        let unservable = self
            .evicted
            .pop()
            .or_else(|| self.queue.take_expired(now))
            .or_else(|| if accepts { None } else { self.queue.take_any() });
        if let Some(opening) = unservable {
            return Some(self.refuse_queued(opening, now));
        }
        let next = self.queue.next_header(now)?;
        if !self.can_deliver(&next, now) {
            return None;
        }
        let mut opening = self.queue.take_next(now)?;
        let (packet, flow) = (opening.packet.clone(), opening.flow);
        let waited = now.since(opening.sent_at);
        opening.sent_at = now;
        let step = AgentStep::without_report(self.deliver_opening(opening, now));
        Some(DequeuedOpening {
            flow,
            packet,
            waited,
            step,
        })
    }

    /// Removes the next queued opening to refuse it, since the agent stops. Its
    /// caller opens another flow at once instead of waiting for its own timeout.
    pub(crate) fn refuse_next(&mut self, now: ClockMillis) -> Option<DequeuedOpening> {
        let opening = self.evicted.pop().or_else(|| self.queue.take_any())?;
        Some(self.refuse_queued(opening, now))
    }

    fn refuse_queued(&self, opening: PendingOpening, now: ClockMillis) -> DequeuedOpening {
        let report = self.report(opening.flow, opening.header.lookup_id, ReportKind::Refused);
        let action = if opening.header.may_reset_opening() {
            AgentAction::Reset(AgentReset {
                reset: FlowReset {
                    flow: opening.flow,
                    sequence: 0,
                },
                cause: ResetCause::WaitRefused,
                incarnation: self.incarnation,
                established_since: None,
            })
        } else {
            AgentAction::Drop
        };
        DequeuedOpening {
            flow: opening.flow,
            packet: opening.packet,
            waited: now.since(opening.sent_at),
            step: AgentStep {
                action,
                report: Some((opening.header.balancer, report)),
            },
        }
    }

    /// Returns the openings that the target left unanswered, each with what to do
    /// with it.
    pub(crate) fn expire_openings(
        &mut self,
        now: ClockMillis,
    ) -> Vec<(Vec<u8>, FlowKey, AgentStep)> {
        let mut steps = Vec::new();
        while let Some(opening) = self.openings.take_due(now) {
            self.health.record_unanswered(opening.sent_at);
            self.load.cancel(opening.flow);
            let step = match opening.header.next_hop() {
                Some((to, header)) => AgentStep::without_report(AgentAction::PassOn { to, header }),
                None => AgentStep::without_report(AgentAction::Drop),
            };
            steps.push((opening.packet, opening.flow, step));
        }
        steps
    }

    /// Returns when an opening may next time out or leave the queue.
    pub(crate) fn next_due(&self) -> Option<ClockMillis> {
        let queued = self.queue.next_expiry().map(|expiry| {
            let freed = self.load.next_expiry().into_iter();
            let freed = freed.chain(self.cold_limiter.next_allowed());
            freed.fold(expiry, ClockMillis::min)
        });
        let due = self.openings.next_due().into_iter().chain(queued);
        due.min()
    }
}
