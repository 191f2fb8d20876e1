//! Simulation of a target with its agent, in steps of a millisecond.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    net::Ipv4Addr,
};

use super::{BALANCER, flow, from_caller, from_target};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{
        AgentAction, AgentFlows, FlowKey, FlowPacket, HopHeader, PacketFlags, TargetFigures,
        TargetLifecycle,
    },
    key::IncarnationId,
    listener::{RouteUrgency, ServiceTag},
};

const OWN: Ipv4Addr = Ipv4Addr::new(10, 0, 1, 1);
/// The time between the answer to an opening and the request.
const ROUND_TRIP_MILLIS: u64 = 4;
/// The timeout of the route.
pub(super) const TIMEOUT_MILLIS: u64 = 1_500;
/// Service times are drawn from the usual one plus and minus this share, in percent.
const JITTER_PERCENT: u64 = 30;

/// What the target does with packets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TargetMode {
    /// It answers requests.
    Answering,
    /// It resets this share of the requests after a millisecond, in thousandths.
    Resetting { permille: u64 },
    /// It accepts flows and never answers a request.
    Hanging,
    /// It sends nothing at all.
    Silent,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Request,
    Answer,
    Reset,
}

/// A target, its agent, and callers that open a flow for each request.
pub(super) struct TargetModel {
    pub(super) flows: AgentFlows,
    pub(super) mode: TargetMode,
    /// The usual service time in milliseconds.
    pub(super) service_millis: u64,
    /// Openings that callers send in a second.
    pub(super) openings_per_second: u64,
    /// When the target got each opening, in milliseconds.
    pub(super) delivered_at: Vec<u64>,
    pub(super) answered: u64,
    pub(super) refused: u64,
    /// The drawn service times in milliseconds.
    pub(super) drawn_millis: Vec<u64>,
    slots: usize,
    now: u64,
    openings_due: u64,
    next_port: u16,
    processing: usize,
    queued: VecDeque<FlowKey>,
    hung: BTreeMap<FlowKey, u64>,
    events: BinaryHeap<Reverse<(u64, FlowKey, ModelEvent)>>,
    random: u64,
}

impl TargetModel {
    /// Creates the model of a target that runs for a while already, with an agent
    /// that has heard its announcement.
    pub(super) fn new(slots: u32, service_millis: u64) -> Self {
        let mut flows = AgentFlows::new(OWN, service(), 1, SpanMillis::new(60_000));
        flows.set_slots(Some(slots));
        let incarnation = Some(IncarnationId::new(1));
        flows.set_lifecycle(TargetLifecycle::Serving, incarnation, ClockMillis::ORIGIN);
        flows.set_warming(false);
        Self {
            flows,
            mode: TargetMode::Answering,
            service_millis,
            openings_per_second: 0,
            delivered_at: Vec::new(),
            answered: 0,
            refused: 0,
            drawn_millis: Vec::new(),
            slots: slots as usize,
            now: 10_000,
            openings_due: 0,
            next_port: 1,
            processing: 0,
            queued: VecDeque::new(),
            hung: BTreeMap::new(),
            events: BinaryHeap::new(),
            random: 0x9E37_79B9_7F4A_7C15,
        }
    }

    /// Restarts the target, which is cold then.
    pub(super) fn restart_cold(&mut self) {
        self.processing = 0;
        self.queued.clear();
        self.events.clear();
        let incarnation = Some(IncarnationId::new(self.now));
        let now = self.now();
        self.flows
            .set_lifecycle(TargetLifecycle::Serving, incarnation, now);
        self.flows.set_warming(true);
    }

    pub(super) fn now(&self) -> ClockMillis {
        ClockMillis::new(self.now)
    }

    pub(super) fn millis(&self) -> u64 {
        self.now
    }

    pub(super) fn figures(&mut self) -> TargetFigures {
        let now = self.now();
        self.flows.figures(now)
    }

    /// Runs for `millis`.
    pub(super) fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.step();
        }
    }

    /// Runs until `condition` holds; returns after how many milliseconds.
    ///
    /// # Panics
    ///
    /// Panics if it does not hold within `max_millis`.
    pub(super) fn run_until(
        &mut self,
        max_millis: u64,
        mut condition: impl FnMut(&mut Self) -> bool,
    ) -> u64 {
        for elapsed in 0..max_millis {
            if condition(self) {
                return elapsed;
            }
            self.step();
        }
        panic!(
            "not within {max_millis} ms: {:?}, {} answered",
            self.figures(),
            self.answered
        );
    }

    /// Runs one millisecond.
    pub(super) fn step(&mut self) {
        self.now += 1;
        let now = self.now();
        while let Some(Reverse((at, _, _))) = self.events.peek()
            && *at <= self.now
        {
            let Some(Reverse((_, flow, event))) = self.events.pop() else {
                break;
            };
            self.handle(flow, &event);
        }
        self.openings_due += self.openings_per_second;
        while self.openings_due >= 1_000 {
            self.openings_due -= 1_000;
            let flow = self.next_flow();
            self.open(flow);
        }
        self.flows.expire_openings(now);
        self.dequeue();
    }

    /// Sends a request on a flow that is open already.
    pub(super) fn send_request(&mut self, flow: FlowKey) {
        let packet = FlowPacket {
            data_bytes: 100,
            ..from_caller(flow, PacketFlags::ACKNOWLEDGE)
        };
        let header = HopHeader::new(service(), BALANCER);
        self.flows.handle_frame(header, &packet, &[1], self.now());
        let draw = self.draw(1_000);
        match self.mode {
            TargetMode::Resetting { permille } if draw < permille => {
                self.schedule(1, flow, ModelEvent::Reset);
            }
            TargetMode::Hanging | TargetMode::Silent => {
                self.hung.insert(flow, self.now);
            }
            TargetMode::Answering | TargetMode::Resetting { .. } => {
                self.queued.push_back(flow);
                self.start_requests();
            }
        }
    }

    /// Returns a flow that was not used recently.
    pub(super) fn next_flow(&mut self) -> FlowKey {
        self.next_port = self.next_port.wrapping_add(1).max(1);
        flow(self.next_port)
    }

    /// Sends an opening to the agent as the last candidate.
    pub(super) fn open(&mut self, flow: FlowKey) -> AgentAction {
        let opening = from_caller(flow, PacketFlags::OPEN);
        let action = self
            .flows
            .handle_frame(last_candidate(), &opening, &[1], self.now())
            .action;
        match action {
            AgentAction::Deliver { .. } => self.accept(flow),
            AgentAction::Reset(_) => self.refused += 1,
            AgentAction::Wait => {}
            other => panic!("neither delivered, queued nor refused: {other:?}"),
        }
        action
    }

    /// Returns the mean of the service times drawn since `index`, in milliseconds.
    #[allow(clippy::cast_precision_loss, reason = "small numbers")]
    pub(super) fn mean_drawn_since(&self, index: usize) -> f64 {
        let drawn = &self.drawn_millis[index..];
        drawn.iter().sum::<u64>() as f64 / drawn.len() as f64
    }

    fn handle(&mut self, flow: FlowKey, event: &ModelEvent) {
        let now = self.now();
        match event {
            ModelEvent::Request => self.send_request(flow),
            ModelEvent::Answer if self.mode == TargetMode::Silent => {
                self.schedule(1, flow, ModelEvent::Answer);
            }
            ModelEvent::Answer => {
                let packet = FlowPacket {
                    data_bytes: 100,
                    ..from_target(flow, PacketFlags::ACKNOWLEDGE)
                };
                self.flows.handle_target_packet(&packet, now);
                self.processing -= 1;
                self.answered += 1;
                self.start_requests();
            }
            ModelEvent::Reset => {
                let packet = from_target(flow, PacketFlags::RESET);
                self.flows.handle_target_packet(&packet, now);
            }
        }
        self.dequeue();
    }

    fn accept(&mut self, flow: FlowKey) {
        self.delivered_at.push(self.now);
        if self.mode == TargetMode::Silent {
            return;
        }
        let accepted = PacketFlags::OPEN.with(PacketFlags::ACKNOWLEDGE);
        let packet = from_target(flow, accepted);
        self.flows.handle_target_packet(&packet, self.now());
        self.schedule(ROUND_TRIP_MILLIS, flow, ModelEvent::Request);
    }

    fn dequeue(&mut self) {
        while let Some(dequeued) = self.flows.dequeue_opening(self.now()) {
            match dequeued.step.action {
                AgentAction::Deliver { .. } => self.accept(dequeued.flow),
                AgentAction::Reset(_) => self.refused += 1,
                other => panic!("neither delivered nor refused: {other:?}"),
            }
        }
    }

    fn start_requests(&mut self) {
        while self.processing < self.slots
            && let Some(flow) = self.queued.pop_front()
        {
            self.processing += 1;
            let percent = 100 - JITTER_PERCENT + self.draw(2 * JITTER_PERCENT + 1);
            let millis = (self.service_millis * percent / 100).max(1);
            self.drawn_millis.push(millis);
            self.schedule(millis, flow, ModelEvent::Answer);
        }
    }

    fn schedule(&mut self, millis: u64, flow: FlowKey, event: ModelEvent) {
        self.events.push(Reverse((self.now + millis, flow, event)));
    }

    /// Returns a number below `bound`.
    fn draw(&mut self, bound: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % bound
    }
}

fn service() -> ServiceTag {
    ServiceTag::of("flags")
}

/// Returns the header of a frame without further candidates.
pub(super) fn last_candidate() -> HopHeader {
    let urgency = RouteUrgency {
        rank: 1,
        goal: SpanMillis::new(300),
        timeout: SpanMillis::new(TIMEOUT_MILLIS),
    };
    HopHeader::new(service(), BALANCER).with_urgency(urgency)
}
