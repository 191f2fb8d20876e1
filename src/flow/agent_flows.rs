use std::{collections::HashMap, net::Ipv4Addr};

use super::{
    AgentAction, AgentStep, AgentTarget, FlowKey, FlowPacket, FlowReport, FlowReset, HeldFinding,
    HopHeader, PacketSigns, ReportKind,
    held_flow::HeldFlow,
    opening_queue::OpeningQueue,
    opening_watch::{OpeningWatch, WatchedOpening},
    pass_ring::PassRing,
    target_health::TargetHealth,
    target_load::TargetLoad,
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    key::IncarnationId,
    listener::ServiceTag,
};

/// How long a target may take to answer an opening packet; a healthy one
/// answers within a few milliseconds.
const ANSWER_MILLIS: SpanMillis = SpanMillis::new(30);
/// The most flows that an agent remembers.
const MAX_HELD: usize = 16_384;

/// The flows of one target as its agent sees them.
#[derive(Debug)]
pub(crate) struct AgentFlows {
    pub(super) own: Ipv4Addr,
    pub(super) service: ServiceTag,
    pub(super) target: AgentTarget,
    pub(super) incarnation: Option<IncarnationId>,
    pub(super) health: TargetHealth,
    pub(super) held: HashMap<FlowKey, HeldFlow>,
    pub(super) openings: OpeningWatch,
    pub(super) load: TargetLoad,
    pub(super) queue: OpeningQueue,
    /// Openings that had to make room in the queue.
    pub(super) displaced: Vec<WatchedOpening>,
    pub(super) ring: PassRing,
    pub(super) idle: SpanMillis,
}

impl AgentFlows {
    /// Creates the state of an agent that has just started; flows without a
    /// packet for `idle` are forgotten.
    pub(crate) fn new(
        own: Ipv4Addr,
        service: ServiceTag,
        first_tag: u32,
        idle: SpanMillis,
    ) -> Self {
        Self {
            own,
            service,
            target: AgentTarget::Unproved,
            incarnation: None,
            health: TargetHealth::default(),
            held: HashMap::new(),
            openings: OpeningWatch::new(ANSWER_MILLIS),
            load: TargetLoad::default(),
            queue: OpeningQueue::default(),
            displaced: Vec::new(),
            ring: PassRing::new(first_tag),
            idle,
        }
    }

    /// Sets whether the target takes new flows, and which start of it that is.
    ///
    /// Returns the callers whose flows are gone by that: those that wait for an
    /// answer send nothing that could be answered. Flows first seen after
    /// `gone_before` may be on a target that has started again already and was
    /// not heard of; the target bounces their next packet if they are not.
    pub(crate) fn set_target(
        &mut self,
        target: AgentTarget,
        incarnation: Option<IncarnationId>,
        gone_before: ClockMillis,
    ) -> Vec<FlowReset> {
        let restarted = self.incarnation.is_some() && self.incarnation != incarnation;
        let ended = matches!(target, AgentTarget::Ended | AgentTarget::Lost);
        self.target = target;
        self.incarnation = incarnation;
        if !restarted && !ended {
            return Vec::new();
        }
        self.load.clear();
        let gone = self.held.extract_if(|_, held| held.seen_at < gone_before);
        gone.filter(|(_, held)| held.established)
            .map(|(flow, held)| FlowReset {
                flow,
                sequence: held.acknowledged,
            })
            .collect()
    }

    /// Returns whether the target is suspected to be unable to answer.
    pub(crate) fn is_suspect(&self) -> bool {
        self.health.is_suspect()
    }

    /// Returns what is known of a flow.
    pub(crate) fn find(&self, flow: FlowKey, now: ClockMillis) -> Option<HeldFinding> {
        self.held.get(&flow).map(|held| HeldFinding {
            balancer: held.balancer,
            reported: held.reported,
            established: held.established,
            idle: now.since(held.used_at),
        })
    }

    /// Returns how long the target has sent no packet, `None` if it never did.
    pub(crate) fn silence(&self, now: ClockMillis) -> Option<SpanMillis> {
        self.health.silence(now)
    }

    /// Sets how many requests the target works on at a time, if it says so.
    pub(crate) fn set_slots(&mut self, slots: Option<u32>) {
        self.load.set_slots(slots);
    }

    /// Returns the number of requests that the target works on.
    pub(crate) fn busy(&self) -> usize {
        self.load.busy()
    }

    /// Returns the number of openings that wait for a free slot.
    pub(crate) fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of remembered flows.
    pub(crate) fn held(&self) -> usize {
        self.held.len()
    }

    /// Notes that the target has announced itself; returns whether it had been
    /// suspected.
    pub(crate) fn hear_target(&mut self, now: ClockMillis) -> bool {
        self.health.hear(now)
    }

    /// Takes a packet of a caller.
    pub(crate) fn take_frame(
        &mut self,
        header: HopHeader,
        packet: &FlowPacket,
        bytes: &[u8],
        now: ClockMillis,
    ) -> AgentStep {
        if packet.opens() {
            if header.service != self.service {
                // The address was another service's before.
                return self.pass_on(header, packet);
            }
            return self.take_opening(header, packet, bytes, now);
        }
        // A target gives back what it does not hold, so an open flow is looked
        // for at former services of its route, too.
        let flow = packet.caller_flow();
        if matches!(self.target, AgentTarget::Ended | AgentTarget::Lost) {
            return match self.held.remove(&flow) {
                Some(held) if held.established => self.end_flow(header, packet, ReportKind::Gone),
                _ => self.pass_on(header, packet),
            };
        }
        self.remember(flow, header.balancer, now);
        if let Some(held) = self.held.get_mut(&flow) {
            held.acknowledged = packet.acknowledged;
            if held.takes_new_bytes(packet) {
                self.load.begin(flow, now);
            }
        }
        let tag = self.ring.remember(header);
        AgentStep::quiet(AgentAction::Deliver { tag })
    }

    /// Takes a packet that the target has sent or given back.
    pub(crate) fn take_answer(&mut self, packet: &FlowPacket, now: ClockMillis) -> AgentStep {
        self.health.hear(now);
        if packet.signs.has(PacketSigns::BOUNCED) {
            return self.take_bounce(packet);
        }
        let flow = packet.target_flow();
        if packet.signs.has(PacketSigns::RESET) {
            self.held.remove(&flow);
            self.load.cancel(flow);
            return AgentStep::quiet(AgentAction::Return);
        }
        if packet.data_bytes > 0 || packet.signs.has(PacketSigns::FINISH) {
            self.load.finish(flow, now);
        }
        let opening = self.openings.take(flow);
        let balancer = opening.map(|opening| opening.header.balancer);
        if let Some(balancer) = balancer {
            self.remember(flow, balancer, now);
        }
        let mut report = None;
        if let Some(held) = self.held.get_mut(&flow) {
            held.used_at = now;
            held.established |= !packet.signs.has(PacketSigns::OPEN);
            if !held.reported {
                held.reported = true;
                report = Some((held.balancer, self.report(flow, 0, ReportKind::Held)));
            }
        }
        AgentStep {
            action: AgentAction::Return,
            report,
        }
    }

    /// Takes a packet back that the target does not want.
    fn take_bounce(&mut self, packet: &FlowPacket) -> AgentStep {
        let Some(header) = self.ring.take(packet.tag) else {
            return AgentStep::quiet(AgentAction::Drop);
        };
        let flow = packet.caller_flow();
        self.load.cancel(flow);
        if packet.opens() {
            self.openings.take(flow);
            return self.pass_on(header, packet);
        }
        match self.held.remove(&flow) {
            // The target held the flow and does no longer: it has restarted.
            Some(held) if held.established => self.end_flow(header, packet, ReportKind::Gone),
            _ => self.pass_on(header, packet),
        }
    }

    /// Forgets flows without a packet for long.
    pub(crate) fn sweep(&mut self, now: ClockMillis) {
        let idle = self.idle;
        self.held.retain(|_, held| now.since(held.used_at) < idle);
    }

    fn remember(&mut self, flow: FlowKey, balancer: Ipv4Addr, now: ClockMillis) {
        if self.held.len() >= MAX_HELD {
            self.sweep(now);
        }
        if self.held.len() >= MAX_HELD {
            return;
        }
        let held = self.held.entry(flow).or_insert(HeldFlow {
            balancer,
            reported: false,
            established: false,
            acknowledged: 0,
            sent_to: None,
            seen_at: now,
            used_at: now,
        });
        held.used_at = now;
        if held.balancer != balancer {
            held.balancer = balancer;
            held.reported = false;
        }
    }

    /// Passes a packet on to the next candidate; an opening that none can take
    /// is refused, since it has not run anywhere.
    pub(super) fn pass_on(&self, header: HopHeader, packet: &FlowPacket) -> AgentStep {
        match header.next_hop() {
            Some((to, header)) => AgentStep::quiet(AgentAction::PassOn { to, header }),
            None if packet.opens() => self.end_flow(header, packet, ReportKind::Refused),
            None => AgentStep {
                action: AgentAction::Drop,
                report: Some((
                    header.balancer,
                    self.report(packet.caller_flow(), header.walk, ReportKind::NotHeld),
                )),
            },
        }
    }

    fn end_flow(&self, header: HopHeader, packet: &FlowPacket, kind: ReportKind) -> AgentStep {
        AgentStep {
            action: AgentAction::Reset(FlowReset::answering(packet)),
            report: Some((
                header.balancer,
                self.report(packet.caller_flow(), header.walk, kind),
            )),
        }
    }

    pub(super) fn report(&self, flow: FlowKey, walk: u32, kind: ReportKind) -> FlowReport {
        FlowReport {
            flow,
            agent: self.own,
            target: self.incarnation,
            walk,
            kind,
        }
    }
}
