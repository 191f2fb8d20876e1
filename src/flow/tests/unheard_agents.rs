//! A balancer whose replica or routes are younger than an open flow gets the flow's next
//! packet.

use std::{
    collections::{BTreeSet, HashMap},
    net::Ipv4Addr,
};

use super::{
    BALANCER, agent,
    balancer_verdicts::{
        FLOW_AGE, START, known_targets, manifest, report, route, service, targets,
    },
    flow, from_caller,
    returned_target::{asked_agents, balancer_of, first_record},
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    directory::{DirectoryPosition, TargetDirectory, TargetView},
    flow::{
        BalancerFlows, FlowReport, FlowVerdict, PacketFlags, RefusalCause, ReportAction,
        ReportKind, ServiceTargets,
    },
    listener::{ListenerTable, ServiceTag},
};

fn at(millis: u64) -> ClockMillis {
    START.after(SpanMillis::new(millis))
}

/// Returns a balancer that has just got all that a replica knows.
fn balancer_of_replica(directory: &TargetDirectory, now: ClockMillis) -> BalancerFlows {
    let mut view = TargetView::default();
    view.apply_update(directory.changes_since(DirectoryPosition::default(), now));
    view.update_weights(now);
    let mut flows = balancer_of(ServiceTargets::default());
    flows.set_targets(view.known_targets());
    flows
}

/// Issue 36: an agent that started while a replica was being restarted is not in the
/// replica's file of agents. All others had announced themselves, so the directory counted as
/// settled, and balancers reset the open flows of that agent as held by no target.
#[test]
fn a_restarted_replica_ends_no_flow_of_an_agent_that_started_meanwhile() {
    let mut directory = TargetDirectory::new(8, START);
    directory.expect_agents(BTreeSet::from([agent(1), agent(2), agent(3)]));
    for number in 1..=3 {
        directory.announce(first_record(number), at(50));
    }
    for millis in [60, 500] {
        let mut flows = balancer_of_replica(&directory, at(millis));
        let mut agents = asked_agents(&[1, 2, 3, 4], Some(4));
        assert_eq!(agents.look_up(&mut flows), None, "after {millis} ms");
    }
    // Agents announce themselves every half second.
    directory.announce(first_record(4), at(550));
    let mut flows = balancer_of_replica(&directory, at(600));
    let mut agents = asked_agents(&[1, 2, 3, 4], Some(4));
    assert_eq!(agents.look_up(&mut flows), None);
    assert!(agents.asked.contains(&agent(4)));
}

/// Issue 36: a balancer that started after a route had changed its service searched only the
/// new service, and reset the flows that were opened on the former one.
#[test]
fn a_restarted_balancer_ends_no_flow_on_the_former_service_of_a_route() {
    let former = ServiceTag::of("logbook");
    let mut table = ListenerTable::new(FLOW_AGE);
    table.replace(&manifest(2, vec![route(service())]), START);
    let mut flows = BalancerFlows::new(BALANCER, table, FLOW_AGE);
    flows.set_targets(known_targets(HashMap::from([
        (service(), targets(&[1, 2], &[1, 2])),
        (former, targets(&[3], &[3])),
    ])));
    flows.set_current(true);
    let mut agents = asked_agents(&[1, 2, 3], Some(3));
    assert_eq!(agents.look_up(&mut flows), None);
    assert!(agents.asked.contains(&agent(3)));
}

/// Issue 36: a balancer that had just started heard of most agents while the lookup of a
/// flow was at its last agents, those of ended targets. It ended the lookup without asking
/// the others and reset the flow, since all targets were known by then.
#[test]
fn agents_heard_of_during_a_lookup_are_asked_before_its_flow_is_reset() {
    let mut first = targets(&[1, 2], &[1, 2]);
    first.ended = vec![agent(5)];
    let mut flows = balancer_of(ServiceTargets::default());
    let mut partial = known_targets(HashMap::from([(service(), first)]));
    partial.complete = false;
    flows.set_targets(partial);
    let (last, lookup_id) = look_up(&mut flows);
    let ended_round = answer(&mut flows, last, lookup_id);
    assert_eq!(agents_of(&ended_round), [agent(5)]);
    let mut all = targets(&[1, 2, 3, 4], &[1, 2, 3, 4]);
    all.ended = vec![agent(5), agent(6)];
    flows.set_targets(known_targets(HashMap::from([(service(), all)])));
    let lookup_id = lookup_id_of(&ended_round);
    let mut asked = agents_of(&answer(&mut flows, agent(5), lookup_id));
    asked.sort_unstable();
    assert_eq!(asked, [agent(3), agent(4)]);
}

/// The same with an agent of an ended target that does not answer.
#[test]
fn agents_heard_of_while_an_ended_target_is_silent_are_asked_before_the_flow_is_reset() {
    let mut first = targets(&[1, 2], &[1, 2]);
    first.ended = vec![agent(5)];
    let mut flows = balancer_of(first);
    let (last, lookup_id) = look_up(&mut flows);
    assert_eq!(agents_of(&answer(&mut flows, last, lookup_id)), [agent(5)]);
    assert_eq!(flows.expire_ended_rounds(at(50)).len(), 1);
    let mut all = targets(&[1, 2, 3], &[1, 2, 3]);
    all.ended = vec![agent(5)];
    flows.set_targets(known_targets(HashMap::from([(service(), all)])));
    let actions = flows.expire_ended_rounds(at(100));
    assert_eq!(actions.len(), 1);
    assert_eq!(agents_of(&actions[0]), [agent(3)]);
    // Once that one has answered too, no target holds the flow.
    let lookup_id = lookup_id_of(&actions[0]);
    assert!(matches!(
        answer(&mut flows, agent(3), lookup_id),
        ReportAction::Reset(_)
    ));
}

/// The same with an ended target that runs again before its agent is asked a second time.
#[test]
fn an_ended_target_that_runs_again_during_a_lookup_is_waited_for() {
    let mut first = targets(&[1, 2], &[1, 2]);
    first.ended = vec![agent(5)];
    let mut flows = balancer_of(first);
    let (last, lookup_id) = look_up(&mut flows);
    answer(&mut flows, last, lookup_id);
    let again = targets(&[1, 2, 5], &[1, 2, 5]);
    flows.set_targets(known_targets(HashMap::from([(service(), again)])));
    let actions = flows.expire_ended_rounds(at(50));
    assert_eq!(agents_of(&actions[0]), [agent(5)]);
    // It may hold the flow, so its silence ends nothing.
    assert_eq!(flows.expire_ended_rounds(at(150)), []);
}

/// The same with one that runs again after its agent was asked a second time.
#[test]
fn an_ended_target_that_runs_again_after_the_second_question_is_waited_for() {
    let mut first = targets(&[1, 2], &[1, 2]);
    first.ended = vec![agent(5)];
    let mut flows = balancer_of(first);
    let (last, lookup_id) = look_up(&mut flows);
    answer(&mut flows, last, lookup_id);
    assert_eq!(flows.expire_ended_rounds(at(50)).len(), 1);
    let again = targets(&[1, 2, 5], &[1, 2, 5]);
    flows.set_targets(known_targets(HashMap::from([(service(), again)])));
    let actions = flows.expire_ended_rounds(at(100));
    assert_eq!(agents_of(&actions[0]), [agent(5)]);
}

/// A VM that is gone ended a chain of agents of ended targets, and those before the last
/// one counted as asked.
#[test]
fn each_agent_of_an_unanswered_chain_is_asked_by_itself() {
    let mut first = targets(&[1, 2], &[1, 2]);
    first.ended = (10..30).map(agent).collect();
    let mut flows = balancer_of(first);
    let (last, lookup_id) = look_up(&mut flows);
    let round = answer(&mut flows, last, lookup_id);
    for number in 10..26 {
        answer(&mut flows, agent(number), lookup_id_of(&round));
    }
    let actions = flows.expire_ended_rounds(at(50));
    let mut asked = agents_of(&actions[0]);
    asked.sort_unstable();
    assert_eq!(asked, [26, 27, 28, 29].map(agent));
    assert!(matches!(&actions[0], ReportAction::Forward { hops, .. } if hops.len() == 4));
}

/// A flow that another balancer had opened on a new route was reset by one whose routes
/// were behind.
#[test]
fn an_open_flow_on_a_route_that_is_not_known_yet_is_not_reset() {
    let mut table = ListenerTable::new(FLOW_AGE);
    table.replace(&manifest(1, Vec::new()), START);
    let mut flows = BalancerFlows::new(BALANCER, table, FLOW_AGE);
    flows.set_current(true);
    let data = from_caller(flow(1), PacketFlags::ACKNOWLEDGE);
    let parked = FlowVerdict::Park(RefusalCause::NotReady);
    assert_eq!(flows.handle_packet(&data, &[1], START), parked);
    assert_eq!(flows.drain_parked(START).len(), 1);
    // An opening can be refused: it has no flow yet.
    let opening = from_caller(flow(2), PacketFlags::OPEN);
    let verdict = flows.handle_packet(&opening, &[1], START);
    assert!(matches!(
        verdict,
        FlowVerdict::Reset(_, RefusalCause::NoRoute)
    ));
}

#[test]
fn an_open_flow_on_a_removed_route_is_reset() {
    let mut flows = balancer_of(targets(&[1], &[1]));
    flows.table_mut().replace(&manifest(2, Vec::new()), START);
    let data = from_caller(flow(1), PacketFlags::ACKNOWLEDGE);
    let verdict = flows.handle_packet(&data, &[1], START);
    assert!(matches!(
        verdict,
        FlowVerdict::Reset(_, RefusalCause::NoRoute)
    ));
}

/// Looks flow 1 up; returns the last agent of the chain and the number of the round.
fn look_up(flows: &mut BalancerFlows) -> (Ipv4Addr, u32) {
    let data = from_caller(flow(1), PacketFlags::ACKNOWLEDGE);
    let FlowVerdict::Forward { to, header } = flows.handle_packet(&data, &[1], START) else {
        panic!("not forwarded");
    };
    let last = header.candidates().last().copied().unwrap_or(to);
    (last, header.lookup_id)
}

/// Reports that the chain that ends at `agent` does not hold flow 1.
fn answer(flows: &mut BalancerFlows, agent: Ipv4Addr, lookup_id: u32) -> ReportAction {
    let report = FlowReport {
        lookup_id,
        ..report(1, agent, ReportKind::NotHeld)
    };
    flows.handle_report(&report, START)
}

fn agents_of(action: &ReportAction) -> Vec<Ipv4Addr> {
    let ReportAction::Forward { hops, .. } = action else {
        panic!("nothing is asked: {action:?}");
    };
    hops.iter()
        .flat_map(|(to, header)| [*to].into_iter().chain(header.candidates().iter().copied()))
        .collect()
}

fn lookup_id_of(action: &ReportAction) -> u32 {
    let ReportAction::Forward { hops, .. } = action else {
        panic!("nothing is asked: {action:?}");
    };
    hops[0].1.lookup_id
}
