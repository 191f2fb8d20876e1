//! Simulates a balancer that has just started, and the agents of the flows that move to it.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    net::Ipv4Addr,
};

use super::{
    BALANCER, agent,
    balancer_verdicts::{FLOW_AGE, START, known_targets, manifest, route, service, targets},
    bounced, flow, from_caller, from_target,
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{
        AgentAction, AgentFlows, AgentStep, BalancerFlows, FlowReport, FlowVerdict, HopHeader,
        PacketFlags, RankedTarget, ReportAction, TargetIncarnation, TargetLifecycle, TargetRanking,
    },
    listener::ListenerTable,
};

/// The balancer through which the flows were opened.
const EARLIER_BALANCER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
const HOP_MILLIS: u64 = 3;
/// When a caller sends a packet that nobody acknowledges, after the first time.
const RETRANSMISSIONS: [u64; 5] = [0, 200, 600, 1_400, 3_000];
/// The interval between the stops of two agents.
const RESTART_INTERVAL_MILLIS: u64 = 1_100;
/// How long the directory takes to mark an agent as silent.
const SILENT_AFTER_MILLIS: u64 = 2_200;
const SWEEP_MILLIS: u64 = 250;
const RUN_MILLIS: u64 = 6_000;
/// How long packets of a flow may reach other targets only, and how many.
const SLACK_MILLIS: u64 = 2_000;
const MAX_STRAY_PACKETS: usize = 2;
/// How the flows' first packets are spread.
const ARRIVAL_MILLIS: u64 = 500;

fn at(millis: u64) -> ClockMillis {
    START.after(SpanMillis::new(millis))
}

/// An event of the simulation; the order breaks ties of time only.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FleetStep {
    Send { port: u16 },
    Frame { frame: usize },
    Report { report: usize },
}

#[derive(Debug, Default)]
struct FlowTrace {
    /// When packets reached other targets.
    strays: Vec<u64>,
    /// When the first packet reached the flow's own target.
    reached_at: Option<u64>,
    was_reset: bool,
}

impl FlowTrace {
    /// Returns whether packets reached only other targets for too long.
    fn is_astray(&self) -> bool {
        let until = self.reached_at.unwrap_or(RUN_MILLIS);
        let astray_from = |start: u64| {
            let in_time = |time: &&u64| (start..start + SLACK_MILLIS).contains(*time);
            until >= start + SLACK_MILLIS
                && self.strays.iter().filter(in_time).count() > MAX_STRAY_PACKETS
        };
        self.strays.iter().any(|start| astray_from(*start))
    }
}

pub(super) struct MovedFleet {
    balancer: BalancerFlows,
    agents: BTreeMap<Ipv4Addr, AgentFlows>,
    /// When each agent is down.
    outages: HashMap<Ipv4Addr, (u64, u64)>,
    gone: Vec<u8>,
    targets: u8,
    owners: BTreeMap<u16, Ipv4Addr>,
    traces: BTreeMap<u16, FlowTrace>,
    queue: BinaryHeap<Reverse<(u64, usize, FleetStep)>>,
    steps: usize,
    frames: Vec<(Ipv4Addr, HopHeader, u16)>,
    reports: Vec<FlowReport>,
    /// The packets that the balancer sent.
    sent: usize,
}

impl MovedFleet {
    /// Creates a service of `target_count` targets, of which agents `gone` never
    /// answer and others are down for `restart_millis`, one after the other. The flows
    /// were opened when the service had one in `growth` of its targets.
    pub(super) fn new(
        target_count: u8,
        growth: u8,
        gone: &[u8],
        restart_millis: u64,
        flows: u16,
    ) -> Self {
        let agents: Vec<u8> = (1..=target_count).collect();
        let mut outages: HashMap<Ipv4Addr, (u64, u64)> = gone
            .iter()
            .map(|number| (agent(*number), (0, u64::MAX)))
            .collect();
        let restarted = agents.iter().rev().filter(|number| !gone.contains(number));
        for (index, number) in (0..).zip(restarted) {
            let stopped_at = index * RESTART_INTERVAL_MILLIS;
            outages.insert(agent(*number), (stopped_at, stopped_at + restart_millis));
        }
        let mut table = ListenerTable::new(FLOW_AGE);
        table.replace(&manifest(1, vec![route(service())]), START);
        let mut fleet = Self {
            balancer: BalancerFlows::new(BALANCER, table, FLOW_AGE),
            agents: agents
                .iter()
                .map(|number| (agent(*number), new_agent(agent(*number))))
                .collect(),
            outages,
            gone: gone.to_vec(),
            targets: target_count,
            owners: BTreeMap::new(),
            traces: BTreeMap::new(),
            queue: BinaryHeap::new(),
            steps: 0,
            frames: Vec::new(),
            reports: Vec::new(),
            sent: 0,
        };
        fleet.update_directory(false);
        fleet.balancer.set_current(true);
        let first = (1..=target_count / growth).filter(|number| !gone.contains(number));
        let first = first.map(|number| RankedTarget {
            agent: agent(number),
            weight: 1.0,
        });
        let ranking = TargetRanking::new(first.collect());
        for port in 1..=flows {
            let owner = ranking
                .rank(flow(port), 1)
                .first()
                .copied()
                .unwrap_or(agent(target_count));
            fleet.open(port, owner);
            let offset = u64::from(port) * ARRIVAL_MILLIS / u64::from(flows);
            for delay in RETRANSMISSIONS {
                fleet.schedule(offset + delay, FleetStep::Send { port });
            }
        }
        fleet
    }

    fn update_directory(&mut self, gone_are_silent: bool) {
        let agents: Vec<u8> = (1..=self.targets).collect();
        let mut known = known_targets(HashMap::from([(service(), targets(&agents, &agents))]));
        if gone_are_silent {
            let silent = TargetIncarnation {
                id: None,
                ended: false,
                silent: true,
            };
            let gone = self.gone.iter().map(|number| (agent(*number), silent));
            known.incarnations.extend(gone);
        }
        self.balancer.set_targets(known);
    }

    fn open(&mut self, port: u16, owner: Ipv4Addr) {
        let held = self.agents.get_mut(&owner).expect("an agent");
        let header = HopHeader::new(service(), EARLIER_BALANCER);
        let opening = from_caller(flow(port), PacketFlags::OPEN);
        held.handle_frame(header, &opening, &[1], START);
        for flags in [
            PacketFlags::OPEN.with(PacketFlags::ACKNOWLEDGE),
            PacketFlags::ACKNOWLEDGE,
        ] {
            held.handle_target_packet(&from_target(flow(port), flags), START);
        }
        self.owners.insert(port, owner);
        self.traces.insert(port, FlowTrace::default());
    }

    fn schedule(&mut self, time: u64, step: FleetStep) {
        self.steps += 1;
        self.queue.push(Reverse((time, self.steps, step)));
    }

    fn send_frame(&mut self, to: Ipv4Addr, header: HopHeader, port: u16, now: u64) {
        let frame = self.frames.len();
        self.frames.push((to, header, port));
        self.schedule(now + HOP_MILLIS, FleetStep::Frame { frame });
    }

    fn send_report(&mut self, report: FlowReport, now: u64) {
        let number = self.reports.len();
        self.reports.push(report);
        self.schedule(now + HOP_MILLIS, FleetStep::Report { report: number });
    }

    fn is_down(&self, agent: Ipv4Addr, now: u64) -> bool {
        let outage = self.outages.get(&agent);
        outage.is_some_and(|(from, until)| (*from..*until).contains(&now))
    }

    pub(super) fn run(&mut self) {
        for now in 0..RUN_MILLIS {
            self.restart_agents(now);
            if now == SILENT_AFTER_MILLIS {
                self.update_directory(true);
            }
            while self.queue.peek().is_some_and(|next| next.0.0 <= now) {
                let Reverse((_, _, step)) = self.queue.pop().expect("a step");
                self.play(&step, now);
            }
            if self.balancer.next_due().is_some_and(|due| due <= at(now)) {
                for lookup in self.balancer.expire_lookups(at(now)) {
                    self.forward(lookup.flow.caller.port(), &lookup.hops, now);
                }
                for action in self.balancer.expire_ended_rounds(at(now)) {
                    self.apply(0, &action, now);
                }
            }
            if now % SWEEP_MILLIS == 0 {
                self.balancer.sweep(at(now));
            }
        }
    }

    /// Replaces the agents whose restart ends: the new ones know no flows.
    fn restart_agents(&mut self, now: u64) {
        let started = self
            .outages
            .iter()
            .filter(|(_, (_, until))| *until == now)
            .map(|(agent, _)| *agent)
            .collect::<Vec<_>>();
        for agent in started {
            self.agents.insert(agent, new_agent(agent));
        }
    }

    fn play(&mut self, step: &FleetStep, now: u64) {
        match *step {
            FleetStep::Send { port } => {
                if self.traces[&port].reached_at.is_some() {
                    return;
                }
                let data = from_caller(flow(port), PacketFlags::ACKNOWLEDGE);
                match self.balancer.handle_packet(&data, &[1], at(now)) {
                    FlowVerdict::Forward { to, header } => {
                        self.forward(port, &[(to, header)], now);
                        let further = self.balancer.take_further_chains();
                        self.forward(port, &further, now);
                    }
                    FlowVerdict::Reset(..) => self.trace(port).was_reset = true,
                    FlowVerdict::Wait | FlowVerdict::Park(_) => {}
                }
            }
            FleetStep::Frame { frame } => {
                let (to, header, port) = self.frames[frame];
                if !self.is_down(to, now) {
                    self.arrive(to, header, port, now);
                }
            }
            FleetStep::Report { report } => {
                let report = self.reports[report];
                let action = self.balancer.handle_report(&report, at(now));
                self.apply(report.flow.caller.port(), &action, now);
            }
        }
    }

    fn trace(&mut self, port: u16) -> &mut FlowTrace {
        self.traces.get_mut(&port).expect("a flow")
    }

    fn forward(&mut self, port: u16, hops: &[(Ipv4Addr, HopHeader)], now: u64) {
        self.sent += hops.len();
        for (to, header) in hops {
            self.send_frame(*to, *header, port, now);
        }
    }

    fn apply(&mut self, port: u16, action: &ReportAction, now: u64) {
        match action {
            ReportAction::Nothing => {}
            ReportAction::Forward { hops, .. } => self.forward(port, hops, now),
            ReportAction::Reset(reset) => {
                self.trace(reset.reset.flow.caller.port()).was_reset = true;
            }
        }
    }

    fn arrive(&mut self, to: Ipv4Addr, header: HopHeader, port: u16, now: u64) {
        let data = from_caller(flow(port), PacketFlags::ACKNOWLEDGE);
        let receiver = self.agents.get_mut(&to).expect("an agent");
        let mut step = receiver.handle_frame(header, &data, &[1], at(now));
        if let AgentAction::Deliver { tag } = step.action {
            let is_own = self.owners[&port] == to;
            let answer = if is_own {
                from_target(flow(port), PacketFlags::ACKNOWLEDGE)
            } else {
                bounced(flow(port), PacketFlags::ACKNOWLEDGE, tag)
            };
            step = receiver.handle_target_packet(&answer, at(now));
            let trace = self.trace(port);
            if is_own {
                trace.reached_at.get_or_insert(now);
            } else {
                trace.strays.push(now);
            }
        }
        self.follow(port, &step, now);
    }

    fn follow(&mut self, port: u16, step: &AgentStep, now: u64) {
        match step.action {
            AgentAction::PassOn { to, header } => self.send_frame(to, header, port, now),
            AgentAction::Reset(_) => self.trace(port).was_reset = true,
            AgentAction::Deliver { .. }
            | AgentAction::Return
            | AgentAction::Wait
            | AgentAction::Drop => {}
        }
        if let Some((_, report)) = step.report {
            self.send_report(report, now);
        }
    }

    /// Returns the flows whose packets reached only other targets for too long.
    pub(super) fn astray(&self) -> Vec<u16> {
        let astray = self.traces.iter().filter(|(_, trace)| trace.is_astray());
        astray.map(|(port, _)| *port).collect()
    }

    pub(super) fn reset_flows(&self) -> Vec<u16> {
        let reset = self.traces.iter().filter(|(_, trace)| trace.was_reset);
        reset.map(|(port, _)| *port).collect()
    }
}

fn new_agent(address: Ipv4Addr) -> AgentFlows {
    let mut flows = AgentFlows::new(address, service(), 100, FLOW_AGE);
    flows.set_lifecycle(TargetLifecycle::Serving, None, START);
    flows
}
