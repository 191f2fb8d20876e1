//! A target that has ended runs again and gets flows by one balancer, while another
//! balancer has not heard of it yet and gets the flows' next packets.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::Ipv4Addr,
};

use proptest::prelude::*;

use super::{
    BALANCER, agent,
    balancer_verdicts::{FLOW_AGE, START, known_targets, manifest, route, service, targets},
    flow, from_caller,
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    directory::{
        DirectoryPosition, DirectoryUpdate, EvacuationUpdate, TargetAttributes, TargetRecord,
        TargetStatus, TargetView,
    },
    flow::{
        BalancerFlows, FlowReport, FlowVerdict, HopHeader, PacketFlags, ReportAction, ReportKind,
        ServiceTargets,
    },
    key::IncarnationId,
    listener::ListenerTable,
};

fn at(millis: u64) -> ClockMillis {
    START.after(SpanMillis::new(millis))
}

pub(super) fn balancer_of(services: ServiceTargets) -> BalancerFlows {
    let mut table = ListenerTable::new(FLOW_AGE);
    table.replace(&manifest(1, vec![route(service())]), START);
    let mut flows = BalancerFlows::new(BALANCER, table, FLOW_AGE);
    flows.set_targets(known_targets(HashMap::from([(service(), services)])));
    flows.set_current(true);
    flows
}

/// Returns a balancer that knows targets 1 to 3 and that those of `ended` have ended.
fn balancer_with_ended(ended: &[u8]) -> BalancerFlows {
    let mut services = targets(&[1, 2, 3], &[1, 2, 3]);
    services.ended = ended.iter().map(|number| agent(*number)).collect();
    balancer_of(services)
}

/// The agents that a lookup of flow 1 reaches, of which `answering` answer that they
/// do not hold the flow unless they are `owner`.
pub(super) struct AskedAgents {
    answering: HashSet<Ipv4Addr>,
    owner: Option<Ipv4Addr>,
    pub(super) asked: Vec<Ipv4Addr>,
}

impl AskedAgents {
    /// Lets the chains run to their ends; returns whether the flow was reset.
    fn answer(
        &mut self,
        flows: &mut BalancerFlows,
        mut chains: Vec<(Ipv4Addr, HopHeader)>,
        now: ClockMillis,
    ) -> bool {
        while let Some((to, header)) = chains.pop() {
            let chain: Vec<Ipv4Addr> = [to]
                .into_iter()
                .chain(header.candidates().iter().copied())
                .collect();
            let Some((last, kind)) = self.walk(&chain) else {
                continue;
            };
            let report = FlowReport {
                flow: flow(1),
                agent: last,
                incarnation: Some(IncarnationId::new(9)),
                lookup_id: header.lookup_id,
                kind,
            };
            match flows.handle_report(&report, now) {
                ReportAction::Nothing => {}
                ReportAction::Forward { hops, .. } => chains.extend(hops),
                ReportAction::Reset(_) => return true,
            }
        }
        false
    }

    /// Returns the report of a chain, nothing if an agent of it does not answer.
    fn walk(&mut self, chain: &[Ipv4Addr]) -> Option<(Ipv4Addr, ReportKind)> {
        for agent in chain {
            self.asked.push(*agent);
            if !self.answering.contains(agent) {
                return None;
            }
            if self.owner == Some(*agent) {
                return Some((*agent, ReportKind::Held));
            }
        }
        chain.last().map(|last| (*last, ReportKind::NotHeld))
    }

    /// Looks flow 1 up and lets a second pass; returns when it was reset, if it was.
    pub(super) fn look_up(&mut self, flows: &mut BalancerFlows) -> Option<ClockMillis> {
        let data = from_caller(flow(1), PacketFlags::ACKNOWLEDGE);
        let FlowVerdict::Forward { to, header } = flows.handle_packet(&data, &[1], START) else {
            return None;
        };
        if self.answer(flows, vec![(to, header)], START) {
            return Some(START);
        }
        for millis in (0..1_000).step_by(5) {
            let now = at(millis);
            if flows.next_due().is_none_or(|due| due > now) {
                continue;
            }
            for lookup in flows.expire_lookups(now) {
                if self.answer(flows, lookup.hops, now) {
                    return Some(now);
                }
            }
            for action in flows.expire_ended_rounds(now) {
                let reset = match action {
                    ReportAction::Nothing => false,
                    ReportAction::Forward { hops, .. } => self.answer(flows, hops, now),
                    ReportAction::Reset(_) => true,
                };
                if reset {
                    return Some(now);
                }
            }
        }
        None
    }
}

pub(super) fn asked_agents(answering: &[u8], owner: Option<u8>) -> AskedAgents {
    AskedAgents {
        answering: answering.iter().map(|number| agent(*number)).collect(),
        owner: owner.map(agent),
        asked: Vec::new(),
    }
}

/// Soak seed 4102: the agent next to the ended target was not asked, and the flow that
/// the target held by then was reset as held by nobody.
#[test]
fn an_ended_target_that_runs_again_keeps_its_flows() {
    let mut flows = balancer_with_ended(&[4]);
    let mut agents = asked_agents(&[1, 2, 3, 4], Some(4));
    assert_eq!(agents.look_up(&mut flows), None);
    assert!(agents.asked.contains(&agent(4)));
    let data = from_caller(flow(1), PacketFlags::ACKNOWLEDGE);
    let verdict = flows.handle_packet(&data, &[1], at(1_000));
    assert!(matches!(verdict, FlowVerdict::Forward { to, .. } if to == agent(4)));
}

#[test]
fn a_flow_that_no_ended_target_holds_is_reset_once_their_agents_have_answered() {
    let mut flows = balancer_with_ended(&[4, 5]);
    let mut agents = asked_agents(&[1, 2, 3, 4, 5], None);
    assert_eq!(agents.look_up(&mut flows), Some(START));
}

/// The VM of an ended target is often gone: its agent is asked twice, since a frame may
/// be lost, and does not hold the reset up any longer.
#[test]
fn an_ended_target_whose_vm_is_gone_delays_a_reset_by_a_tenth_of_a_second() {
    let mut flows = balancer_with_ended(&[4, 5]);
    let mut agents = asked_agents(&[1, 2, 3, 5], None);
    assert_eq!(agents.look_up(&mut flows), Some(at(100)));
    let times_asked = |number| {
        agents
            .asked
            .iter()
            .filter(|asked| **asked == agent(number))
            .count()
    };
    assert_eq!(times_asked(4), 2);
    assert_eq!(times_asked(5), 1);
}

#[test]
fn a_target_that_may_hold_flows_and_does_not_answer_keeps_the_flow_open() {
    let mut flows = balancer_with_ended(&[4]);
    let mut agents = asked_agents(&[1, 2, 4], None);
    assert_eq!(agents.look_up(&mut flows), None);
}

/// Something that happens to one of the targets 0 to 4, or to one of two balancers.
#[derive(Debug, Clone)]
enum Step {
    /// The target ends and loses its flows.
    End(u8),
    /// The target runs again as another incarnation.
    Start(u8),
    /// Balancer 0 opens a flow at the target, if it believes that it accepts any.
    Open(u8),
    /// Balancer 0 or 1 hears the newest state of a target.
    Hear(usize, u8),
    /// An announcement made when the step with this number was done arrives late at a
    /// balancer.
    HearLate(usize, usize),
    /// The packets of all flows come to balancer 1.
    Move,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0_u8..5).prop_map(Step::End),
        (0_u8..5).prop_map(Step::Start),
        (0_u8..5).prop_map(Step::Open),
        (0_usize..2, 0_u8..5).prop_map(|(balancer, number)| Step::Hear(balancer, number)),
        (0_usize..2, 0_usize..40).prop_map(|(balancer, step)| Step::HearLate(balancer, step)),
        Just(Step::Move),
    ]
}

/// The true state of the targets, and what two balancers have heard of it.
struct FleetState {
    records: BTreeMap<u8, TargetRecord>,
    announced: Vec<TargetRecord>,
    /// The target of each open flow, by the caller's port.
    owners: BTreeMap<u16, u8>,
    views: [TargetView; 2],
}

impl FleetState {
    /// Creates a fleet whose balancers have heard every agent once.
    fn new() -> Self {
        let records: BTreeMap<u8, TargetRecord> = (0..5)
            .map(|number| (number, first_record(number)))
            .collect();
        let announced: Vec<TargetRecord> = records.values().copied().collect();
        let mut views = [TargetView::default(), TargetView::default()];
        for view in &mut views {
            view.apply_update(update(true, announced.clone()));
            view.update_weights(START);
        }
        Self {
            records,
            announced,
            owners: BTreeMap::new(),
            views,
        }
    }

    fn change(&mut self, number: u8, status: TargetStatus) {
        let Some(record) = self.records.get_mut(&number) else {
            return;
        };
        if record.status == status {
            return;
        }
        record.status = status;
        record.sequence += 1;
        if status == TargetStatus::Serving {
            record.incarnation = Some(IncarnationId::new(record.sequence * 8 + u64::from(number)));
        } else {
            self.owners.retain(|_, owner| *owner != number);
        }
        self.announced.push(*record);
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::End(number) => self.change(number, TargetStatus::Ended),
            Step::Start(number) => self.change(number, TargetStatus::Serving),
            Step::Open(number) => {
                let is_running = self.records[&number].status == TargetStatus::Serving;
                let heard = self.views[0].records().any(|record| {
                    record.agent == agent(number) && record.status == TargetStatus::Serving
                });
                if is_running && heard {
                    let port = u16::try_from(self.owners.len()).unwrap_or_default() + 1;
                    self.owners.insert(port, number);
                }
            }
            Step::Hear(balancer, number) => self.hear(balancer, self.records[&number]),
            Step::HearLate(balancer, index) => {
                if let Some(record) = self.announced.get(index).copied() {
                    self.hear(balancer, record);
                }
            }
            Step::Move => {}
        }
    }

    fn hear(&mut self, balancer: usize, record: TargetRecord) {
        let view = &mut self.views[balancer];
        view.apply_update(update(false, vec![record]));
        view.update_weights(START);
    }

    /// Returns the open flows that balancer 1 resets when their packets come to it.
    fn reset_flows(&self) -> Vec<(u16, u8)> {
        let resets = |owner: u8| {
            let mut flows = balancer_of(ServiceTargets::default());
            flows.set_targets(self.views[1].known_targets());
            let mut agents = asked_agents(&[0, 1, 2, 3, 4], Some(owner));
            agents.look_up(&mut flows).is_some()
        };
        let owners = self.owners.iter().map(|(port, owner)| (*port, *owner));
        owners.filter(|(_, owner)| resets(*owner)).collect()
    }
}

pub(super) fn first_record(number: u8) -> TargetRecord {
    TargetRecord {
        agent: agent(number),
        service: service(),
        agent_run: 1,
        sequence: 1,
        incarnation: Some(IncarnationId::new(u64::from(number))),
        status: TargetStatus::Serving,
        attributes: TargetAttributes::default(),
    }
}

fn update(full: bool, records: Vec<TargetRecord>) -> DirectoryUpdate {
    DirectoryUpdate {
        position: DirectoryPosition::default(),
        full,
        settled: true,
        records,
        evacuation: EvacuationUpdate::default(),
    }
}

proptest! {
    /// A balancer may be behind another one by any number of announcements: as long as
    /// it has heard of the agents, it resets no flow that the other one opened.
    #[test]
    fn a_balancer_that_is_behind_resets_no_open_flow(
        steps in prop::collection::vec(any_step(), 1..40)
    ) {
        let mut fleet = FleetState::new();
        for step in &steps {
            fleet.apply(step);
            if matches!(step, Step::Move) {
                prop_assert_eq!(fleet.reset_flows(), Vec::new());
            }
        }
        prop_assert_eq!(fleet.reset_flows(), Vec::new());
    }
}
