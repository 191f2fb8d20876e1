use std::{collections::HashMap, fmt, net::Ipv4Addr};

use super::{
    FlowKey, FlowPacket, FlowReport, FlowReset, HeldFinding, HopHeader, PacketSigns, ReportKind,
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

/// Whether the target takes new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AgentTarget {
    /// The agent has just started and has not heard of the target; it may hold
    /// flows and may take new ones.
    Unproved,
    /// It takes new flows.
    Serving,
    /// It keeps its flows and gets no new ones.
    Leaving,
    /// It has ended; its flows are gone.
    Ended,
    /// It sends nothing though it shares the agent's VM, where nothing can come
    /// between them: it has crashed, and its flows are gone.
    Lost,
}

/// What the shell does with the packet at hand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AgentAction {
    /// Hand it to the target with this tag.
    Deliver {
        /// The tag to write into the packet.
        tag: u32,
    },
    /// Send it to the caller.
    Return,
    /// Send it to another agent.
    PassOn {
        /// The agent.
        to: Ipv4Addr,
        /// The frame's header.
        header: HopHeader,
    },
    /// Send a reset to the caller instead.
    Reset(FlowReset),
    /// Keep it until the target has a free slot.
    Wait,
    /// Drop it: nobody is known who may take it.
    Drop,
}

impl fmt::Display for AgentAction {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deliver { .. } => formatter.write_str("delivered"),
            Self::Return => formatter.write_str("returned"),
            Self::PassOn { to, .. } => write!(formatter, "passed on to {to}"),
            Self::Reset(_) => formatter.write_str("reset"),
            Self::Wait => formatter.write_str("waits"),
            Self::Drop => formatter.write_str("dropped"),
        }
    }
}

/// What to do with a packet, and what to tell the balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AgentStep {
    /// What becomes of the packet.
    pub(crate) action: AgentAction,
    /// The balancer and the report for it.
    pub(crate) report: Option<(Ipv4Addr, FlowReport)>,
}

impl AgentStep {
    const fn quiet(action: AgentAction) -> Self {
        Self {
            action,
            report: None,
        }
    }
}

/// What an agent remembers of a flow.
#[derive(Debug, Clone, Copy)]
struct HeldFlow {
    balancer: Ipv4Addr,
    /// Whether the balancer was told that the target answers.
    reported: bool,
    /// Whether the target has sent more than the answer to the opening: only
    /// the target that holds a flow does.
    established: bool,
    /// The place that the caller acknowledged last.
    acknowledged: u32,
    /// The place behind the last byte that the caller has sent, once it has
    /// sent any; bytes before it are repetitions.
    sent_to: Option<u32>,
    /// When its first packet was seen.
    seen_at: ClockMillis,
    used_at: ClockMillis,
}

impl HeldFlow {
    /// Notes the data of a caller's packet; returns whether any of it is new,
    /// so that a request begins or goes on.
    fn takes_new_bytes(&mut self, packet: &FlowPacket) -> bool {
        if packet.data_bytes == 0 {
            return false;
        }
        let end = packet.sequence.wrapping_add(packet.data_bytes.into());
        // Places wrap around; half of them lie ahead.
        let ahead = |sent_to: u32| end.wrapping_sub(sent_to).cast_signed() > 0;
        let fresh = self.sent_to.is_none_or(ahead);
        if fresh {
            self.sent_to = Some(end);
        }
        fresh
    }
}

/// The flows of one target as its agent sees them.
#[derive(Debug)]
pub(crate) struct AgentFlows {
    own: Ipv4Addr,
    service: ServiceTag,
    target: AgentTarget,
    incarnation: Option<IncarnationId>,
    health: TargetHealth,
    held: HashMap<FlowKey, HeldFlow>,
    openings: OpeningWatch,
    load: TargetLoad,
    queue: OpeningQueue,
    /// Openings that had to make room in the queue.
    displaced: Vec<WatchedOpening>,
    ring: PassRing,
    idle: SpanMillis,
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

    fn take_opening(
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
        self.displaced.extend(self.queue.push(opening));
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

    /// Returns the next opening that has waited long enough, and what becomes of
    /// it: the target has a free slot, or it can't be served any more.
    pub(crate) fn next_waiting(
        &mut self,
        now: ClockMillis,
    ) -> Option<(Vec<u8>, FlowKey, AgentStep)> {
        let takes = matches!(self.target, AgentTarget::Unproved | AgentTarget::Serving);
        let hopeless = self
            .displaced
            .pop()
            .or_else(|| self.queue.take_lapsed(now))
            .or_else(|| if takes { None } else { self.queue.take_any() });
        if let Some(opening) = hopeless {
            let step = AgentStep {
                action: AgentAction::Reset(FlowReset {
                    flow: opening.flow,
                    sequence: 0,
                }),
                report: Some((
                    opening.header.balancer,
                    self.report(opening.flow, opening.header.walk, ReportKind::Refused),
                )),
            };
            return Some((opening.packet, opening.flow, step));
        }
        if self.queue.len() == 0 || !self.load.has_room(now) {
            return None;
        }
        let opening = self.queue.take_next(now)?;
        let (packet, flow) = (opening.packet.clone(), opening.flow);
        let action = self.deliver_opening(opening, now);
        Some((packet, flow, AgentStep::quiet(action)))
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
            self.load.finish(flow);
            return AgentStep::quiet(AgentAction::Return);
        }
        if packet.data_bytes > 0 || packet.signs.has(PacketSigns::FINISH) {
            self.load.finish(flow);
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
        self.load.finish(flow);
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

    /// Returns the openings that the target left unanswered and what becomes
    /// of each.
    pub(crate) fn expire_openings(
        &mut self,
        now: ClockMillis,
    ) -> Vec<(Vec<u8>, FlowKey, AgentStep)> {
        let mut steps = Vec::new();
        while let Some(opening) = self.openings.take_due(now) {
            self.health.miss(opening.sent_at);
            self.load.finish(opening.flow);
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
    fn pass_on(&self, header: HopHeader, packet: &FlowPacket) -> AgentStep {
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

    fn report(&self, flow: FlowKey, walk: u32, kind: ReportKind) -> FlowReport {
        FlowReport {
            flow,
            agent: self.own,
            target: self.incarnation,
            walk,
            kind,
        }
    }
}
