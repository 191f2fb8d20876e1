//! A balancer that has just started, as after a power outage: it parks packets that
//! it can't decide on yet, and resets flows that no target holds even before a
//! leader is elected.

use std::collections::HashMap;

use super::{
    BALANCER, agent,
    balancer_verdicts::{
        FLOW_AGE, START, known_targets, manifest, route, run_lookup, service, targets,
    },
    flow, from_caller,
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{
        BalancerFlows, FlowPacket, FlowVerdict, PacketFlags, RefusalCause, ReportAction,
        ServiceTargets,
    },
    listener::{ListenerTable, ServiceTag},
};

fn started_balancer() -> BalancerFlows {
    BalancerFlows::new(BALANCER, ListenerTable::new(FLOW_AGE), FLOW_AGE)
}

fn set_routes_and_targets(
    flows: &mut BalancerFlows,
    services: HashMap<ServiceTag, ServiceTargets>,
) {
    flows
        .table_mut()
        .replace(&manifest(1, vec![route(service())]), START);
    flows.set_targets(known_targets(services));
}

fn at(millis: u64) -> ClockMillis {
    START.after(SpanMillis::new(millis))
}

fn opening(port: u16) -> FlowPacket {
    from_caller(flow(port), PacketFlags::OPEN)
}

#[test]
fn packets_parked_before_the_routes_are_known_are_forwarded_afterwards() {
    let mut flows = started_balancer();
    for (port, millis) in [(1, 0), (2, 5), (1, 10)] {
        let verdict =
            flows.handle_packet(&opening(port), &[u8::try_from(port).unwrap()], at(millis));
        assert_eq!(verdict, FlowVerdict::Park(RefusalCause::NotReady));
    }
    set_routes_and_targets(
        &mut flows,
        HashMap::from([(service(), targets(&[1, 2], &[1, 2]))]),
    );
    // One packet per flow, the oldest first.
    let ages = [295, 290].map(SpanMillis::new);
    let parked = flows.drain_parked(at(300));
    assert_eq!(parked, [(ages[0], vec![2]), (ages[1], vec![1])]);
    assert_eq!(flows.drain_parked(at(300)), []);
    let verdict = flows.handle_packet(&opening(1), &[1], at(300));
    assert!(matches!(verdict, FlowVerdict::Forward { .. }));
}

/// Guards against a balancer that is not ready and parks openings for good although routes
/// of version zero are in force.
#[test]
fn a_balancer_with_routes_of_version_zero_is_ready() {
    let mut flows = started_balancer();
    flows.set_current(true);
    flows.set_targets(known_targets(HashMap::from([(
        service(),
        targets(&[1, 2], &[1, 2]),
    )])));
    assert!(!flows.is_ready());
    assert!(
        flows
            .table_mut()
            .replace(&manifest(0, vec![route(service())]), START)
    );
    assert!(flows.is_ready());
    let verdict = flows.handle_packet(&opening(1), &[1], START);
    assert!(matches!(verdict, FlowVerdict::Forward { .. }));
    flows.table_mut().replace(&manifest(1, Vec::new()), START);
    let verdict = flows.handle_packet(&opening(2), &[2], START);
    let reset = matches!(verdict, FlowVerdict::Reset(_, RefusalCause::NoRoute));
    assert!(reset, "{verdict:?}");
}

#[test]
fn a_parked_packet_is_dropped_after_a_second() {
    let mut flows = started_balancer();
    flows.handle_packet(&opening(1), &[1], START);
    assert_eq!(flows.drain_parked(at(1_000)), []);
}

#[test]
fn a_flow_that_no_target_of_any_service_holds_is_reset_before_control_is_heard() {
    let mut flows = started_balancer();
    let other = ServiceTag::of("logbook");
    set_routes_and_targets(
        &mut flows,
        HashMap::from([
            (service(), targets(&[1, 2], &[1, 2])),
            (other, targets(&[3], &[3])),
        ]),
    );
    let (mut asked, end) = run_lookup(&mut flows);
    asked.sort_unstable();
    // The routes may be older than the flow, so the targets of every service are asked.
    assert_eq!(asked, [agent(1), agent(2), agent(3)]);
    assert!(matches!(end, ReportAction::Reset(_)));
}

#[test]
fn a_packet_is_parked_while_the_target_of_its_flow_may_be_missing() {
    let mut flows = started_balancer();
    set_routes_and_targets(
        &mut flows,
        HashMap::from([(service(), targets(&[1], &[1]))]),
    );
    let mut partial = known_targets(HashMap::from([(service(), targets(&[1], &[1]))]));
    partial.complete = false;
    flows.set_targets(partial);
    assert_eq!(run_lookup(&mut flows).1, ReportAction::Nothing);
    assert_eq!(flows.drain_parked(START).len(), 1);
}
