//! A balancer whose replica or routes are younger than an open flow gets the flow's next
//! packet.

use std::collections::{BTreeSet, HashMap};

use super::{
    BALANCER, agent,
    balancer_verdicts::{FLOW_AGE, START, known_targets, manifest, route, service, targets},
    returned_target::{asked_agents, balancer_of, first_record},
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    directory::{DirectoryPosition, TargetDirectory, TargetView},
    flow::{BalancerFlows, ServiceTargets},
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
