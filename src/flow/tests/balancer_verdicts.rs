use std::{collections::HashMap, net::Ipv4Addr};

use super::{BALANCER, agent, flow, from_caller, listener};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{
        BalancerFlows, FlowReport, FlowVerdict, HopHeader, KnownTargets, PacketFlags, RankedTarget,
        RefusalCause, ReportAction, ReportKind, ServiceTargets, TargetRanking,
    },
    key::IncarnationId,
    listener::{
        ListenerManifest, ListenerRoute, ListenerTable, RouteUrgency, ServiceShare, ServiceTag,
    },
};

pub(super) const START: ClockMillis = ClockMillis::new(1_000);
pub(super) const INCARNATION: IncarnationId = IncarnationId::new(3);
pub(super) const FLOW_AGE: SpanMillis = SpanMillis::new(60_000);

pub(super) fn service() -> ServiceTag {
    ServiceTag::of("barge-control")
}

pub(super) fn manifest(version: u64, routes: Vec<ListenerRoute>) -> ListenerManifest {
    ListenerManifest {
        cold_limits: Vec::new(),
        version,
        routes,
        idle: SpanMillis::new(15_000),
    }
}

pub(super) fn route(service: ServiceTag) -> ListenerRoute {
    ListenerRoute {
        address: listener(),
        shares: vec![ServiceShare { service, weight: 1 }],
        urgency: RouteUrgency::default(),
    }
}

pub(super) fn targets(accepting: &[u8], possible_owners: &[u8]) -> ServiceTargets {
    let ranking = |agents: &[u8]| {
        let targets = agents.iter().map(|number| RankedTarget {
            agent: agent(*number),
            weight: 1.0,
        });
        TargetRanking::new(targets.collect())
    };
    ServiceTargets {
        accepting: ranking(accepting),
        possible_owners: ranking(possible_owners),
        ended: Vec::new(),
    }
}

/// Returns complete knowledge of the targets.
pub(super) fn known_targets(services: HashMap<ServiceTag, ServiceTargets>) -> KnownTargets {
    KnownTargets {
        any_evacuated: false,
        services,
        incarnations: HashMap::new(),
        complete: true,
    }
}

/// Returns a balancer with one route to targets 1 to 5.
pub(super) fn balancer() -> BalancerFlows {
    let mut table = ListenerTable::new(FLOW_AGE);
    table.replace(&manifest(1, vec![route(service())]), START);
    let mut flows = BalancerFlows::new(BALANCER, table, FLOW_AGE);
    let agents = [1, 2, 3, 4, 5];
    flows.set_targets(known_targets(HashMap::from([(
        service(),
        targets(&agents, &agents),
    )])));
    flows.set_current(true);
    flows
}

fn forwarded(verdict: FlowVerdict) -> (Ipv4Addr, Vec<Ipv4Addr>) {
    match verdict {
        FlowVerdict::Forward { to, header } => (to, header.candidates().to_vec()),
        other => panic!("not forwarded: {other:?}"),
    }
}

pub(super) fn send_opening(
    flows: &mut BalancerFlows,
    port: u16,
    now: ClockMillis,
) -> (Ipv4Addr, Vec<Ipv4Addr>) {
    let opening = from_caller(flow(port), PacketFlags::OPEN);
    forwarded(flows.handle_packet(&opening, &[1], now))
}

pub(super) fn send_data(flows: &mut BalancerFlows, port: u16) -> (Ipv4Addr, Vec<Ipv4Addr>) {
    let data = from_caller(flow(port), PacketFlags::ACKNOWLEDGE);
    forwarded(flows.handle_packet(&data, &[1], START))
}

pub(super) fn report(port: u16, from: Ipv4Addr, kind: ReportKind) -> FlowReport {
    FlowReport {
        flow: flow(port),
        agent: from,
        incarnation: Some(INCARNATION),
        lookup_id: 0,
        kind,
    }
}

/// Returns the report of an agent that it does not hold flow 1.
fn not_held(from: Ipv4Addr, lookup_id: u32) -> FlowReport {
    FlowReport {
        lookup_id,
        ..report(1, from, ReportKind::NotHeld)
    }
}

#[test]
fn packets_follow_the_agent_that_reported_the_flow() {
    let mut flows = balancer();
    let (first, candidates) = send_opening(&mut flows, 1, START);
    let holder = candidates[1];
    assert_ne!(first, holder);
    flows.handle_report(&report(1, holder, ReportKind::Held), START);
    assert_eq!(send_data(&mut flows, 1), (holder, Vec::new()));
}

#[test]
fn every_balancer_looks_up_an_owner_in_the_same_order() {
    let (first, candidates) = send_opening(&mut balancer(), 1, START);
    let (asked, others) = send_data(&mut balancer(), 1);
    assert_eq!(asked, first);
    assert!(candidates.iter().all(|agent| others.contains(agent)));
}

#[test]
fn a_flow_that_its_agent_does_not_hold_is_looked_up_again() {
    let mut flows = balancer();
    flows.handle_report(&report(1, agent(9), ReportKind::Held), START);
    assert_eq!(send_data(&mut flows, 1).0, agent(9));
    flows.handle_report(&report(1, agent(9), ReportKind::NotHeld), START);
    let (asked, others) = send_data(&mut flows, 1);
    assert_ne!(asked, agent(9));
    assert_eq!(others.len(), 4);
}

#[test]
fn a_retransmitted_opening_goes_to_the_agent_of_the_first_one() {
    let mut flows = balancer();
    let (first, _) = send_opening(&mut flows, 1, START);
    let agents = [1, 2, 3, 4, 5, 6, 7, 8];
    flows.set_targets(known_targets(HashMap::from([(
        service(),
        targets(&agents, &agents),
    )])));
    assert_eq!(
        send_opening(&mut flows, 1, START.after(SpanMillis::new(30))).0,
        first
    );
}

#[test]
fn an_unreported_opening_goes_to_the_next_candidate_and_its_agent_is_avoided() {
    let mut flows = balancer();
    let (silent, candidates) = send_opening(&mut flows, 1, START);
    let due = flows.next_due().expect("a pending opening");
    assert!(due.since(START) <= SpanMillis::new(100));
    let resent = flows.expire_openings(due);
    assert_eq!(resent.len(), 1);
    assert_eq!(resent[0].2, candidates[0]);
    let avoided = (2..200).all(|port| send_opening(&mut flows, port, due).0 != silent);
    assert!(avoided);
    // A report of the agent ends the suspicion.
    flows.handle_report(&report(900, silent, ReportKind::Held), due);
    assert!((200..400).any(|port| send_opening(&mut flows, port, due).0 == silent));
}

#[test]
fn a_target_that_accepts_no_new_flows_is_still_asked_in_lookups() {
    let mut flows = balancer();
    let (owner, _) = send_opening(&mut flows, 1, START);
    let others: Vec<u8> = (1..6).filter(|number| agent(*number) != owner).collect();
    flows.set_targets(known_targets(HashMap::from([(
        service(),
        targets(&others, &[1, 2, 3, 4, 5]),
    )])));
    let (asked, more) = send_data(&mut flows, 1);
    assert!(asked == owner || more.contains(&owner));
    let (next, _) = send_opening(&mut flows, 2, START);
    assert_ne!(next, owner);
}

#[test]
fn an_open_flow_is_looked_up_at_the_former_service_of_its_route() {
    let mut flows = balancer();
    let other = ServiceTag::of("logbook");
    flows
        .table_mut()
        .replace(&manifest(2, vec![route(other)]), START);
    flows.set_targets(known_targets(HashMap::from([
        (service(), targets(&[1], &[1])),
        (other, targets(&[8], &[8])),
    ])));
    assert_eq!(send_opening(&mut flows, 2, START).0, agent(8));
    let (asked, others) = send_data(&mut flows, 1);
    assert_eq!((asked, others), (agent(8), vec![agent(1)]));
}

#[test]
fn an_opening_to_a_removed_route_is_reset_only_while_the_routes_are_current() {
    let mut flows = balancer();
    flows.table_mut().replace(&manifest(2, Vec::new()), START);
    let opening = from_caller(flow(1), PacketFlags::OPEN);
    let verdict = flows.handle_packet(&opening, &[1], START);
    assert!(matches!(
        verdict,
        FlowVerdict::Reset(_, RefusalCause::NoRoute)
    ));
    flows.set_current(false);
    let verdict = flows.handle_packet(&opening, &[1], START);
    assert_eq!(verdict, FlowVerdict::Park(RefusalCause::NotReady));
}

#[test]
fn an_opening_is_parked_before_the_first_routes_are_known() {
    let mut flows = BalancerFlows::new(BALANCER, ListenerTable::new(FLOW_AGE), FLOW_AGE);
    flows.set_current(true);
    let opening = from_caller(flow(1), PacketFlags::OPEN);
    let verdict = flows.handle_packet(&opening, &[1], START);
    assert_eq!(verdict, FlowVerdict::Park(RefusalCause::NotReady));
}

/// Sends data of flow 1, whose owner is not known; returns the agent that is asked
/// first and the frame's header.
fn start_lookup(flows: &mut BalancerFlows) -> (Ipv4Addr, HopHeader) {
    let data = from_caller(flow(1), PacketFlags::ACKNOWLEDGE);
    match flows.handle_packet(&data, &[1], START) {
        FlowVerdict::Forward { to, header } => (to, header),
        other => panic!("not forwarded: {other:?}"),
    }
}

fn last_candidate(to: Ipv4Addr, header: &HopHeader) -> Ipv4Addr {
    header.candidates().last().copied().unwrap_or(to)
}

/// Runs a lookup of flow 1, which no target holds; returns the agents that were
/// asked and the last action.
pub(super) fn run_lookup(flows: &mut BalancerFlows) -> (Vec<Ipv4Addr>, ReportAction) {
    let mut chains = vec![start_lookup(flows)];
    let mut asked = Vec::new();
    let mut end = ReportAction::Nothing;
    while let Some((to, header)) = chains.pop() {
        asked.push(to);
        asked.extend(header.candidates());
        let report = not_held(last_candidate(to, &header), header.lookup_id);
        match flows.handle_report(&report, START) {
            ReportAction::Forward { hops, .. } => chains.extend(hops),
            action => end = action,
        }
    }
    (asked, end)
}

#[test]
fn a_flow_that_no_target_holds_is_reset_after_each_was_asked_once() {
    let mut flows = balancer();
    let agents: Vec<u8> = (1..43).collect();
    flows.set_targets(known_targets(HashMap::from([(
        service(),
        targets(&agents, &agents),
    )])));
    let (mut asked, end) = run_lookup(&mut flows);
    let ReportAction::Reset(unheld) = end else {
        panic!("not reset: {end:?}");
    };
    assert_eq!(unheld.reset.flow, flow(1));
    assert_eq!((unheld.progress.asked, unheld.progress.unanswered), (42, 0));
    assert_eq!(unheld.progress.rounds, 2);
    assert_eq!(asked.len(), 42);
    asked.sort_unstable();
    asked.dedup();
    assert_eq!(asked.len(), 42);
}

#[test]
fn a_flow_is_never_reset_while_a_target_may_be_missing() {
    let mut flows = balancer();
    let mut partial = known_targets(HashMap::from([(service(), targets(&[1, 2], &[1, 2]))]));
    partial.complete = false;
    flows.set_targets(partial);
    assert_eq!(run_lookup(&mut flows).1, ReportAction::Nothing);
    let mut flows = balancer();
    flows.set_current(false);
    assert_eq!(run_lookup(&mut flows).1, ReportAction::Nothing);
}

#[test]
fn a_target_added_during_a_lookup_is_asked_before_a_reset() {
    let mut flows = balancer();
    let (to, header) = start_lookup(&mut flows);
    let agents = [1, 2, 3, 4, 5, 6];
    flows.set_targets(known_targets(HashMap::from([(
        service(),
        targets(&agents, &agents),
    )])));
    let report = not_held(last_candidate(to, &header), header.lookup_id);
    let action = flows.handle_report(&report, START);
    let asked_next = match action {
        ReportAction::Forward { hops, .. } => hops.iter().map(|(to, _)| *to).collect(),
        _ => Vec::new(),
    };
    assert_eq!(asked_next, [agent(6)]);
}

/// Soak seed 2102: on a slow path, the last agent's report on an earlier packet
/// arrived while a later one was still in transit to the owner.
#[test]
fn a_late_report_on_an_earlier_lookup_resets_no_flow() {
    let mut flows = balancer();
    let (to, earlier) = start_lookup(&mut flows);
    let (_, later) = start_lookup(&mut flows);
    let last = last_candidate(to, &earlier);
    let action = flows.handle_report(&not_held(last, earlier.lookup_id), START);
    assert_eq!(action, ReportAction::Nothing);
    let action = flows.handle_report(&not_held(last, later.lookup_id), START);
    assert!(matches!(action, ReportAction::Reset(_)));
}

#[test]
fn a_not_held_report_of_another_agent_keeps_the_confirmed_owner() {
    let mut flows = balancer();
    flows.handle_report(&report(1, agent(2), ReportKind::Held), START);
    flows.handle_report(&not_held(agent(3), 0), START);
    assert_eq!(send_data(&mut flows, 1), (agent(2), Vec::new()));
}

#[test]
fn a_not_held_report_of_an_agent_that_is_not_the_last_one_is_ignored() {
    let mut flows = balancer();
    let (to, header) = start_lookup(&mut flows);
    let action = flows.handle_report(&not_held(to, header.lookup_id), START);
    assert_eq!(action, ReportAction::Nothing);
}

#[test]
fn a_balancer_without_reports_is_isolated_until_an_agent_reports() {
    let mut flows = balancer();
    send_opening(&mut flows, 1, START);
    for _ in 0..4 {
        assert!(!flows.is_isolated());
        let due = flows.next_due().expect("a pending opening");
        assert_eq!(flows.expire_openings(due).len(), 1);
    }
    assert!(flows.is_isolated());
    flows.handle_report(&report(1, agent(1), ReportKind::Held), START);
    assert!(!flows.is_isolated());
}

/// In a flood of openings the balancer stops timing new ones; it keeps nothing of
/// them either.
#[test]
fn a_flood_of_openings_uses_bounded_memory() {
    let mut flows = balancer();
    for port in 0..9_000 {
        send_opening(&mut flows, port, START);
    }
    assert!(flows.opening_agents.len() <= 8_192);
    let mut now = START;
    while let Some(due) = flows.next_due() {
        now = due.max(now);
        flows.expire_openings(now);
    }
    assert_eq!(flows.opening_agents.len(), 0);
}
