//! A balancer that has just started, as after a power cut: what it can't decide
//! on yet is kept, and flows that nobody holds end before a leader is elected.

use std::collections::HashMap;

use super::{
    BALANCER, agent,
    balancer_verdicts::{AGE, START, known, manifest, route, run_lookup, service, targets},
    flow, from_caller,
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{
        BalancerFlows, FlowPacket, FlowVerdict, PacketSigns, RefusalCause, ReportStep,
        ServiceTargets,
    },
    listener::{ListenerTable, ServiceTag},
};

fn newcomer() -> BalancerFlows {
    BalancerFlows::new(BALANCER, ListenerTable::new(AGE), AGE)
}

fn learn(flows: &mut BalancerFlows, services: HashMap<ServiceTag, ServiceTargets>) {
    flows
        .table_mut()
        .replace(&manifest(1, vec![route(service())]), START);
    flows.set_targets(known(services));
}

fn at(millis: u64) -> ClockMillis {
    START.after(SpanMillis::new(millis))
}

fn opening(port: u16) -> FlowPacket {
    from_caller(flow(port), PacketSigns::OPEN)
}

#[test]
fn packets_that_came_before_the_routes_are_decided_on_once_they_are_known() {
    let mut flows = newcomer();
    for (port, millis) in [(1, 0), (2, 5), (1, 10)] {
        let verdict = flows.take_packet(&opening(port), &[u8::try_from(port).unwrap()], at(millis));
        assert_eq!(verdict, FlowVerdict::Park(RefusalCause::NotReady));
    }
    learn(
        &mut flows,
        HashMap::from([(service(), targets(&[1, 2], &[1, 2]))]),
    );
    // One packet a flow, the one that has waited longest first.
    let kept = [295, 290].map(SpanMillis::new);
    let parked = flows.take_parked(at(300));
    assert_eq!(parked, [(kept[0], vec![2]), (kept[1], vec![1])]);
    assert_eq!(flows.take_parked(at(300)), []);
    let verdict = flows.take_packet(&opening(1), &[1], at(300));
    assert!(matches!(verdict, FlowVerdict::Forward { .. }));
}

#[test]
fn a_packet_whose_caller_has_repeated_it_is_not_kept_for_ever() {
    let mut flows = newcomer();
    flows.take_packet(&opening(1), &[1], START);
    assert_eq!(flows.take_parked(at(1_000)), []);
}

#[test]
fn a_flow_that_no_target_of_any_service_holds_ends_before_control_is_heard() {
    let mut flows = newcomer();
    let other = ServiceTag::of("logbook");
    learn(
        &mut flows,
        HashMap::from([
            (service(), targets(&[1, 2], &[1, 2])),
            (other, targets(&[3], &[3])),
        ]),
    );
    let (mut asked, end) = run_lookup(&mut flows);
    asked.sort_unstable();
    // The routes may be older than the flow, so every service is asked.
    assert_eq!(asked, [agent(1), agent(2), agent(3)]);
    assert!(matches!(end, ReportStep::Reset(_)));
}

#[test]
fn a_flow_that_may_be_on_a_target_not_heard_of_waits_for_it() {
    let mut flows = newcomer();
    learn(
        &mut flows,
        HashMap::from([(service(), targets(&[1], &[1]))]),
    );
    let mut partial = known(HashMap::from([(service(), targets(&[1], &[1]))]));
    partial.complete = false;
    flows.set_targets(partial);
    assert_eq!(run_lookup(&mut flows).1, ReportStep::Nothing);
    assert_eq!(flows.take_parked(START).len(), 1);
}
