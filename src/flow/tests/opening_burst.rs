//! The burst of openings after a power outage: all waiting callers open a flow at
//! once on targets that are slow since they have just started, while new requests
//! arrive at nine tenths of the targets' capacity.

use std::{
    collections::{BTreeMap, BinaryHeap, VecDeque},
    net::Ipv4Addr,
};

use super::{BALANCER, agent, flow, from_caller, from_target};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{
        AgentAction, AgentFlows, FlowKey, FlowPacket, HopHeader, PacketFlags, RankedTarget,
        TargetLifecycle, TargetRanking,
    },
    listener::{RouteUrgency, ServiceTag},
};

const TARGETS: u8 = 6;
const SLOTS: usize = 4;
/// The service time of a request on a target that has just started.
const SERVICE_TIME_MILLIS: u64 = 50;
/// The number of callers that waited for the end of the outage.
const BURST: u16 = 420;
/// New requests in two seconds: nine tenths of what 6 x 4 slots serve at 50 ms each.
const NEW_REQUESTS: u16 = 864;
const NEW_REQUESTS_MILLIS: u64 = 2_000;
/// The time between the answer to an opening and the request.
const ROUND_TRIP_MILLIS: u64 = 4;
const GOAL_MILLIS: u64 = 150;

/// An event of a flow.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FlowEvent {
    Open,
    Request { target: u8 },
    Answer { target: u8 },
}

/// A target that processes up to `SLOTS` requests concurrently and queues the others.
#[derive(Debug, Default)]
struct ModelTarget {
    processing: usize,
    queued: VecDeque<FlowKey>,
}

/// Simulation of targets with their agents and the scheduled events.
struct BurstModel {
    agents: BTreeMap<Ipv4Addr, (u8, AgentFlows, ModelTarget)>,
    ranking: TargetRanking,
    events: BinaryHeap<std::cmp::Reverse<(u64, FlowKey, FlowEvent)>>,
    opened_at: BTreeMap<FlowKey, u64>,
    answered_after: BTreeMap<FlowKey, u64>,
}

fn service() -> ServiceTag {
    ServiceTag::of("barge-control")
}

impl BurstModel {
    fn new() -> Self {
        let agents = (1..=TARGETS).map(|number| {
            let address = agent(number);
            let mut flows = AgentFlows::new(address, service(), 1, SpanMillis::new(60_000));
            flows.set_slots(Some(4));
            flows.set_lifecycle(TargetLifecycle::Serving, None, ClockMillis::ORIGIN);
            (address, (number, flows, ModelTarget::default()))
        });
        let ranked = (1..=TARGETS).map(|number| RankedTarget {
            agent: agent(number),
            weight: 1.0,
        });
        Self {
            agents: agents.collect(),
            ranking: TargetRanking::new(ranked.collect()),
            events: BinaryHeap::new(),
            opened_at: BTreeMap::new(),
            answered_after: BTreeMap::new(),
        }
    }

    fn schedule(&mut self, at: u64, flow: FlowKey, event: FlowEvent) {
        self.events.push(std::cmp::Reverse((at, flow, event)));
    }

    fn run(&mut self) {
        while let Some(std::cmp::Reverse((at, flow, event))) = self.events.pop() {
            let now = ClockMillis::new(at);
            match event {
                FlowEvent::Open => {
                    self.opened_at.entry(flow).or_insert(at);
                    self.offer(flow, now);
                }
                FlowEvent::Request { target: number } => self.request(number, flow, now),
                FlowEvent::Answer { target: number } => self.answer(number, flow, now),
            }
        }
    }

    fn offer(&mut self, flow: FlowKey, now: ClockMillis) {
        let urgency = RouteUrgency {
            rank: 2,
            goal: SpanMillis::new(GOAL_MILLIS),
            timeout: SpanMillis::new(2_500),
        };
        let header = HopHeader::new(service(), BALANCER)
            .with_urgency(urgency)
            .with_candidates(self.ranking.rank(flow, usize::from(TARGETS)));
        let mut hop = header.next_hop();
        while let Some((at, header)) = hop {
            let opening = from_caller(flow, PacketFlags::OPEN);
            let (number, flows, _) = self.agents.get_mut(&at).expect("an agent");
            let number = *number;
            match flows.handle_frame(header, &opening, &[1], now).action {
                AgentAction::PassOn { to, header } => hop = Some((to, header)),
                AgentAction::Deliver { .. } => return self.accept(number, flow, now),
                AgentAction::Wait => return,
                other => panic!("neither delivered nor queued: {other:?}"),
            }
        }
    }

    /// Lets the target answer an opening and schedules the caller's request.
    fn accept(&mut self, number: u8, flow: FlowKey, now: ClockMillis) {
        let accepted = PacketFlags::OPEN.with(PacketFlags::ACKNOWLEDGE);
        let (_, flows, _) = self.agents.get_mut(&agent(number)).expect("an agent");
        flows.handle_target_packet(&from_target(flow, accepted), now);
        self.schedule(
            now.millis() + ROUND_TRIP_MILLIS,
            flow,
            FlowEvent::Request { target: number },
        );
    }

    fn request(&mut self, number: u8, flow: FlowKey, now: ClockMillis) {
        let packet = FlowPacket {
            data_bytes: 100,
            ..from_caller(flow, PacketFlags::ACKNOWLEDGE)
        };
        let header = HopHeader::new(service(), BALANCER);
        let (_, flows, target) = self.agents.get_mut(&agent(number)).expect("an agent");
        flows.handle_frame(header, &packet, &[1], now);
        target.queued.push_back(flow);
        self.start_requests(number, now);
    }

    fn answer(&mut self, number: u8, flow: FlowKey, now: ClockMillis) {
        let packet = FlowPacket {
            data_bytes: 100,
            ..from_target(flow, PacketFlags::ACKNOWLEDGE)
        };
        let (_, flows, target) = self.agents.get_mut(&agent(number)).expect("an agent");
        flows.handle_target_packet(&packet, now);
        target.processing -= 1;
        let opened_at = self.opened_at[&flow];
        self.answered_after.insert(flow, now.millis() - opened_at);
        let mut delivered = Vec::new();
        while let Some(dequeued) = flows.dequeue_opening(now) {
            match dequeued.step.action {
                AgentAction::Deliver { .. } => delivered.push(dequeued.flow),
                // The caller would open another flow, which is not simulated.
                AgentAction::Reset(_) => {}
                other => panic!("neither delivered nor refused: {other:?}"),
            }
        }
        for waiting in delivered {
            self.accept(number, waiting, now);
        }
        self.start_requests(number, now);
    }

    fn start_requests(&mut self, number: u8, now: ClockMillis) {
        let (_, _, target) = self.agents.get_mut(&agent(number)).expect("an agent");
        let mut started = Vec::new();
        while target.processing < SLOTS
            && let Some(flow) = target.queued.pop_front()
        {
            target.processing += 1;
            started.push(flow);
        }
        for flow in started {
            self.schedule(
                now.millis() + SERVICE_TIME_MILLIS,
                flow,
                FlowEvent::Answer { target: number },
            );
        }
    }

    fn count_within_goal(&self, ports: impl Iterator<Item = u16>) -> usize {
        let answered = |port: u16| self.answered_after.get(&flow(port)).copied();
        ports
            .filter(|port| answered(*port).is_some_and(|elapsed| elapsed <= GOAL_MILLIS))
            .count()
    }
}

#[test]
fn most_new_requests_after_a_burst_meet_their_goal() {
    let mut model = BurstModel::new();
    for port in 0..BURST {
        model.schedule(0, flow(port), FlowEvent::Open);
    }
    let new_ports = BURST..BURST + NEW_REQUESTS;
    for port in new_ports.clone() {
        let index = u64::from(port - BURST);
        let at = index * NEW_REQUESTS_MILLIS / u64::from(NEW_REQUESTS);
        model.schedule(at, flow(port), FlowEvent::Open);
    }
    model.run();
    let within_goal = model.count_within_goal(new_ports);
    // In arrival order, all of them would wait behind the burst.
    assert!(
        within_goal * 10 >= usize::from(NEW_REQUESTS) * 8,
        "{within_goal} of {NEW_REQUESTS} new requests were answered within {GOAL_MILLIS} ms"
    );
}
