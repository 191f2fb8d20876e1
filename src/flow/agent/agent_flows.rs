use std::{collections::HashMap, net::Ipv4Addr};

use super::{
    AgentAction, AgentStep, TargetLifecycle,
    agent_pace::HeldOpenings,
    cold_limiter::ColdLimiter,
    delivery_ring::DeliveryRing,
    opening_queue::OpeningQueue,
    request_progress::RequestProgress,
    target_health::TargetHealth,
    target_load::{MAX_ANSWER_MILLIS, TargetLoad},
    tracked_flow::TrackedFlow,
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{
        AgentFlowInfo, AgentReset, FlowKey, FlowPacket, FlowReport, FlowReset, HopHeader,
        PacketFlags, ReportKind, ResetCause,
        pending_openings::{PendingOpening, PendingOpenings},
    },
    key::IncarnationId,
    listener::ServiceTag,
};

/// Time after which an opening packet counts as unanswered; a healthy target
/// answers within a few milliseconds.
const ANSWER_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(30);
/// Maximum number of flows that an agent tracks; further flows are not tracked.
const MAX_TRACKED_FLOWS: usize = 16_384;

/// Flow state of one target, kept by the agent next to it.
#[derive(Debug)]
pub(crate) struct AgentFlows {
    pub(super) own_address: Ipv4Addr,
    pub(super) service: ServiceTag,
    pub(super) lifecycle: TargetLifecycle,
    /// Whether the target's failure domain is evacuated.
    pub(super) evacuated: bool,
    pub(super) incarnation: Option<IncarnationId>,
    pub(super) health: TargetHealth,
    pub(super) tracked: HashMap<FlowKey, TrackedFlow>,
    pub(super) openings: PendingOpenings,
    pub(super) load: TargetLoad,
    pub(super) cold_limiter: ColdLimiter,
    pub(super) held: HeldOpenings,
    /// Whether the target has been silent for long.
    pub(super) silent: bool,
    pub(super) queue: OpeningQueue,
    /// Openings evicted from the queue, to be refused.
    pub(super) evicted: Vec<PendingOpening>,
    pub(super) ring: DeliveryRing,
    pub(super) idle_timeout: SpanMillis,
}

impl AgentFlows {
    /// Creates the state of an agent that has just started. Flows that carry no
    /// packet for `idle_timeout` are dropped.
    pub(crate) fn new(
        own_address: Ipv4Addr,
        service: ServiceTag,
        first_tag: u32,
        idle_timeout: SpanMillis,
    ) -> Self {
        Self {
            own_address,
            service,
            lifecycle: TargetLifecycle::Unproved,
            evacuated: false,
            incarnation: None,
            health: TargetHealth::default(),
            tracked: HashMap::new(),
            openings: PendingOpenings::new(ANSWER_TIMEOUT_MILLIS),
            load: TargetLoad::default(),
            cold_limiter: ColdLimiter::default(),
            held: HeldOpenings::default(),
            silent: false,
            queue: OpeningQueue::default(),
            evicted: Vec::new(),
            ring: DeliveryRing::new(first_tag),
            idle_timeout,
        }
    }

    /// Sets the state of the target and its incarnation.
    ///
    /// If the target ended or restarted, returns resets for its established
    /// flows: a caller that waits for an answer sends no packet that could be
    /// answered with one. Flows first seen at or after `cutoff` are kept, since
    /// a restarted target may have accepted them before it announced itself; if
    /// it has not, it bounces their next packet.
    pub(crate) fn set_lifecycle(
        &mut self,
        lifecycle: TargetLifecycle,
        incarnation: Option<IncarnationId>,
        cutoff: ClockMillis,
    ) -> Vec<AgentReset> {
        let restarted = self.incarnation.is_some() && self.incarnation != incarnation;
        let has_ended =
            |lifecycle| matches!(lifecycle, TargetLifecycle::Ended | TargetLifecycle::Lost);
        let ended = has_ended(lifecycle);
        let came_back = has_ended(self.lifecycle) && !ended;
        let held_by = self.incarnation;
        self.lifecycle = lifecycle;
        self.incarnation = incarnation;
        if restarted || ended {
            self.load.clear();
        }
        if restarted || came_back {
            self.load.begin_pace();
        }
        if !restarted && !ended {
            return Vec::new();
        }
        let cause = self.loss_cause();
        let gone = self
            .tracked
            .extract_if(|_, tracked| tracked.first_seen_at < cutoff);
        gone.filter(|(_, tracked)| tracked.established)
            .map(|(flow, tracked)| AgentReset {
                reset: FlowReset {
                    flow,
                    sequence: tracked.acknowledged,
                },
                cause,
                incarnation: held_by,
                established_since: Some(tracked.first_seen_at),
            })
            .collect()
    }

    /// Returns why the flows of a target that has ended or restarted are reset.
    const fn loss_cause(&self) -> ResetCause {
        match self.lifecycle {
            TargetLifecycle::Ended => ResetCause::TargetEnded,
            TargetLifecycle::Lost => ResetCause::TargetLost,
            TargetLifecycle::Unproved | TargetLifecycle::Serving | TargetLifecycle::Leaving => {
                ResetCause::TargetRestarted
            }
        }
    }

    /// Sets whether the target's failure domain is evacuated: no new flow is then
    /// delivered to it, whatever else holds.
    pub(crate) fn set_evacuated(&mut self, evacuated: bool) {
        self.evacuated = evacuated;
    }

    /// Returns whether the target is suspected of not answering.
    pub(crate) fn is_suspect(&self) -> bool {
        self.health.is_suspect()
    }

    /// Returns the state of a flow for inspection.
    pub(crate) fn find(&self, flow: FlowKey, now: ClockMillis) -> Option<AgentFlowInfo> {
        self.tracked.get(&flow).map(|tracked| AgentFlowInfo {
            balancer: tracked.balancer,
            reported: tracked.reported,
            established: tracked.established,
            idle: now.since(tracked.last_packet_at),
        })
    }

    /// Returns the time since the target last sent anything, `None` if it never did.
    pub(crate) fn silence(&self, now: ClockMillis) -> Option<SpanMillis> {
        self.health.silence(now)
    }

    /// Returns when the target last sent anything.
    pub(crate) fn heard_at(&self) -> Option<ClockMillis> {
        self.health.heard_at()
    }

    /// Sets how many requests the target processes concurrently, if it announced that.
    pub(crate) fn set_slots(&mut self, slots: Option<u32>) {
        self.load.set_slots(slots);
    }

    /// Returns the number of requests in flight at the target.
    pub(crate) fn in_flight(&self) -> usize {
        self.load.in_flight()
    }

    /// Returns the number of openings queued for a free slot.
    pub(crate) fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of tracked flows.
    pub(crate) fn tracked_flows(&self) -> usize {
        self.tracked.len()
    }

    /// Records an announcement of the target; returns whether it was suspected.
    pub(crate) fn record_announcement(&mut self, now: ClockMillis) -> bool {
        self.record_activity(now)
    }

    /// Handles a packet from a caller.
    pub(crate) fn handle_frame(
        &mut self,
        header: HopHeader,
        packet: &FlowPacket,
        bytes: &[u8],
        now: ClockMillis,
    ) -> AgentStep {
        if packet.is_opening() {
            if header.service != self.service {
                // The address belonged to another service before.
                return self.pass_on(header, packet);
            }
            return self.handle_opening(header, packet, bytes, now);
        }
        // Other packets are delivered whatever their service: the flow may have
        // been opened under a former service of its route, and the target
        // bounces packets of flows that it does not hold.
        let flow = packet.caller_flow();
        if matches!(
            self.lifecycle,
            TargetLifecycle::Ended | TargetLifecycle::Lost
        ) {
            return match self.tracked.remove(&flow) {
                Some(tracked) if tracked.established => {
                    self.end_flow(header, packet, &tracked, self.loss_cause())
                }
                _ => self.pass_on(header, packet),
            };
        }
        self.track(flow, header.balancer, now);
        if let Some(tracked) = self.tracked.get_mut(&flow) {
            tracked.acknowledged = packet.acknowledged;
            if header.lookup_id != 0 {
                // The balancer does not know, or has forgotten, who holds the flow.
                tracked.reported = false;
            }
            let change = tracked.request.record_data(packet);
            self.load
                .apply_change(flow, change, tracked.answer_timeout, now);
        }
        if packet.flags.has(PacketFlags::RESET) {
            self.load.record_given_up(flow, now);
        }
        let tag = self.ring.insert(header);
        AgentStep::without_report(AgentAction::Deliver { tag })
    }

    /// Handles a packet that the target sent or bounced.
    pub(crate) fn handle_target_packet(
        &mut self,
        packet: &FlowPacket,
        now: ClockMillis,
    ) -> AgentStep {
        self.record_activity(now);
        if packet.flags.has(PacketFlags::BOUNCED) {
            return self.handle_bounce(packet);
        }
        let flow = packet.target_flow();
        if packet.flags.has(PacketFlags::RESET) {
            self.tracked.remove(&flow);
            // The caller has the target's reset, so no other target gets the opening.
            let opening = self.openings.remove(flow).is_some();
            self.load.record_reset(flow, opening, now);
            return AgentStep::without_report(AgentAction::Return);
        }
        let is_answer = packet.data_bytes > 0 || packet.flags.has(PacketFlags::FINISH);
        if is_answer {
            self.load.finish(flow, now);
        }
        if let Some(PendingOpening { header, .. }) = self.openings.remove(flow) {
            self.track(flow, header.balancer, now);
            if let Some(tracked) = self.tracked.get_mut(&flow) {
                tracked.answer_timeout = header.urgency.timeout.min(MAX_ANSWER_MILLIS);
            }
        }
        let mut report = None;
        if let Some(tracked) = self.tracked.get_mut(&flow) {
            tracked.last_packet_at = now;
            tracked.established |= !packet.flags.has(PacketFlags::OPEN);
            let change = tracked.request.record_acknowledged(packet.acknowledged);
            if !is_answer {
                self.load
                    .apply_change(flow, change, tracked.answer_timeout, now);
            }
            if !tracked.reported {
                tracked.reported = true;
                report = Some((tracked.balancer, self.report(flow, 0, ReportKind::Held)));
            }
        }
        AgentStep {
            action: AgentAction::Return,
            report,
        }
    }

    /// Handles a caller's packet that the target bounced.
    fn handle_bounce(&mut self, packet: &FlowPacket) -> AgentStep {
        let Some(header) = self.ring.take(packet.tag) else {
            return AgentStep::without_report(AgentAction::Drop);
        };
        let flow = packet.caller_flow();
        self.load.cancel(flow);
        if packet.is_opening() {
            self.openings.remove(flow);
            return self.pass_on(header, packet);
        }
        match self.tracked.remove(&flow) {
            // The target held the flow before, so it has restarted.
            Some(tracked) if tracked.established => {
                self.end_flow(header, packet, &tracked, ResetCause::FlowBounced)
            }
            _ => self.pass_on(header, packet),
        }
    }

    /// Drops idle flows.
    pub(crate) fn sweep(&mut self, now: ClockMillis) {
        let idle_timeout = self.idle_timeout;
        self.tracked
            .retain(|_, tracked| now.since(tracked.last_packet_at) < idle_timeout);
    }

    fn track(&mut self, flow: FlowKey, balancer: Ipv4Addr, now: ClockMillis) {
        if self.tracked.len() >= MAX_TRACKED_FLOWS {
            self.sweep(now);
        }
        if self.tracked.len() >= MAX_TRACKED_FLOWS {
            return;
        }
        let tracked = self.tracked.entry(flow).or_insert(TrackedFlow {
            balancer,
            reported: false,
            established: false,
            acknowledged: 0,
            request: RequestProgress::default(),
            answer_timeout: MAX_ANSWER_MILLIS,
            first_seen_at: now,
            last_packet_at: now,
            told: None,
        });
        tracked.last_packet_at = now;
        if tracked.balancer != balancer {
            tracked.balancer = balancer;
            tracked.reported = false;
        }
    }

    /// Passes a packet on to the next candidate. Without one, an opening is
    /// refused, which is safe since no request has run yet, unless an agent before
    /// may hold its flow; other packets are dropped and reported as not held.
    pub(super) fn pass_on(&self, header: HopHeader, packet: &FlowPacket) -> AgentStep {
        match header.next_hop() {
            Some((to, header)) => AgentStep::without_report(AgentAction::PassOn { to, header }),
            None if packet.is_opening() && header.may_reset_opening() => {
                let reset = AgentReset {
                    reset: FlowReset::answering(packet),
                    cause: ResetCause::OpeningRefused,
                    incarnation: self.incarnation,
                    established_since: None,
                };
                self.reset_flow(header, reset, ReportKind::Refused)
            }
            None => {
                let kind = if packet.is_opening() {
                    ReportKind::Refused
                } else {
                    ReportKind::NotHeld
                };
                let report = self.report(packet.caller_flow(), header.lookup_id, kind);
                AgentStep {
                    action: AgentAction::Drop,
                    report: Some((header.balancer, report)),
                }
            }
        }
    }

    /// Resets an established flow that the target no longer holds.
    fn end_flow(
        &self,
        header: HopHeader,
        packet: &FlowPacket,
        tracked: &TrackedFlow,
        cause: ResetCause,
    ) -> AgentStep {
        let reset = AgentReset {
            reset: FlowReset::answering(packet),
            cause,
            incarnation: self.incarnation,
            established_since: Some(tracked.first_seen_at),
        };
        self.reset_flow(header, reset, ReportKind::Gone)
    }

    /// Resets the caller's flow and reports `kind` to the balancer.
    fn reset_flow(&self, header: HopHeader, reset: AgentReset, kind: ReportKind) -> AgentStep {
        let report = self.report(reset.reset.flow, header.lookup_id, kind);
        AgentStep {
            action: AgentAction::Reset(reset),
            report: Some((header.balancer, report)),
        }
    }

    pub(super) fn report(&self, flow: FlowKey, lookup_id: u32, kind: ReportKind) -> FlowReport {
        FlowReport {
            flow,
            agent: self.own_address,
            incarnation: self.incarnation,
            lookup_id,
            kind,
        }
    }
}
