//! Lookups along chains of agents of which one does not answer: its VM was removed
//! or lost power, and the directory still lists it.

use std::{collections::HashMap, net::Ipv4Addr};

use super::{
    agent,
    balancer_verdicts::{START, balancer, known_targets, report, service, targets},
    flow, from_caller,
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::{
        BalancerFlows, FlowReport, FlowVerdict, PacketFlags, RefusalCause, ReportAction,
        ReportKind, TargetIncarnation,
    },
};

const TARGETS: u8 = 12;
/// The interval at which a caller sends packets of an upload.
const PACKET_MILLIS: u64 = 40;

fn at(millis: u64) -> ClockMillis {
    START.after(SpanMillis::new(millis))
}

fn balancer_of_twelve() -> BalancerFlows {
    let mut flows = balancer();
    let agents: Vec<u8> = (1..=TARGETS).collect();
    flows.set_targets(known_targets(HashMap::from([(
        service(),
        targets(&agents, &agents),
    )])));
    flows
}

fn send_data(flows: &mut BalancerFlows, now: ClockMillis) -> FlowVerdict {
    flows.handle_packet(&from_caller(flow(1), PacketFlags::ACKNOWLEDGE), &[1], now)
}

/// Seen on a day with a target that left: no packet of an open flow reached its
/// target for 4.4 s, since every lookup took the same chain through an agent that was
/// gone.
#[test]
fn all_agents_are_asked_once_a_chain_has_not_answered() {
    let mut flows = balancer_of_twelve();
    for tick in 0..=2 {
        let verdict = send_data(&mut flows, at(tick * PACKET_MILLIS));
        assert!(matches!(verdict, FlowVerdict::Forward { .. }));
    }
    let due = flows.next_due().expect("a pending lookup");
    assert!(due <= at(100), "{due:?}");
    let wide = flows.expire_lookups(due);
    assert_eq!(wide.len(), 1);
    let mut asked: Vec<Ipv4Addr> = wide[0].hops.iter().map(|(to, _)| *to).collect();
    assert!(
        wide[0]
            .hops
            .iter()
            .all(|(_, header)| header.candidates().is_empty())
    );
    asked.sort_unstable();
    asked.dedup();
    assert_eq!(asked.len(), usize::from(TARGETS));
    let verdict = send_data(&mut flows, due);
    assert_eq!(verdict, FlowVerdict::Park(RefusalCause::OwnerUnknown));
    let owner = wide[0].hops[7].0;
    let held = FlowReport {
        lookup_id: wide[0].hops[7].1.lookup_id,
        ..report(1, owner, ReportKind::Held)
    };
    flows.handle_report(&held, due);
    assert!(matches!(
        send_data(&mut flows, due),
        FlowVerdict::Forward { to, .. } if to == owner
    ));
}

#[test]
fn a_flow_is_not_reset_while_one_agent_has_not_answered() {
    let mut flows = balancer_of_twelve();
    send_data(&mut flows, START);
    let wide = flows.expire_lookups(at(100));
    for (index, (agent, header)) in wide[0].hops.iter().enumerate() {
        let not_held = FlowReport {
            lookup_id: header.lookup_id,
            ..report(1, *agent, ReportKind::NotHeld)
        };
        let action = flows.handle_report(&not_held, at(110));
        let is_last = index + 1 == wide[0].hops.len();
        let reset = matches!(action, ReportAction::Reset(_));
        assert_eq!(reset, is_last);
    }
}

#[test]
fn a_lookup_that_finds_nothing_starts_again_with_a_later_packet() {
    let mut flows = balancer_of_twelve();
    send_data(&mut flows, START);
    assert_eq!(flows.expire_lookups(at(100)).len(), 1);
    let verdict = send_data(&mut flows, at(300));
    assert_eq!(verdict, FlowVerdict::Park(RefusalCause::OwnerUnknown));
    let verdict = send_data(&mut flows, at(700));
    assert!(matches!(verdict, FlowVerdict::Forward { .. }));
    assert_eq!(flows.expire_lookups(at(799)).len(), 0);
    assert_eq!(flows.expire_lookups(at(800)).len(), 1);
}

/// Seen on a thin link while the targets of a failure domain were dark: wide rounds for
/// their flows filled the link.
#[test]
fn flows_of_dark_targets_cost_few_packets() {
    let mut flows = balancer_of_twelve();
    let mut sent = 0;
    for now in (0..2_000).step_by(10) {
        for port in 1..=100 {
            let is_retransmission = now % 200 == 0;
            let data = from_caller(flow(port), PacketFlags::ACKNOWLEDGE);
            if is_retransmission
                && let FlowVerdict::Forward { .. } = flows.handle_packet(&data, &[1], at(now))
            {
                sent += 1 + flows.take_further_chains().len();
            }
        }
        for lookup in flows.expire_lookups(at(now)) {
            sent += lookup.hops.len();
        }
    }
    // Ten retransmissions of a hundred flows, and ten wide rounds a second.
    assert!(
        sent <= 1_000 + 2 * 10 * usize::from(TARGETS),
        "{sent} packets"
    );
}

#[test]
fn silent_targets_come_last_in_a_lookup() {
    let mut flows = balancer_of_twelve();
    let FlowVerdict::Forward { to: first, .. } = send_data(&mut flows, START) else {
        panic!("not forwarded");
    };
    let agents: Vec<u8> = (1..=TARGETS).collect();
    let mut known = known_targets(HashMap::from([(service(), targets(&agents, &agents))]));
    let silent = TargetIncarnation {
        id: None,
        ended: false,
        silent: true,
    };
    known.incarnations.insert(first, silent);
    let mut flows = balancer();
    flows.set_targets(known);
    let FlowVerdict::Forward { to, header } = send_data(&mut flows, START) else {
        panic!("not forwarded");
    };
    assert_ne!(to, first);
    assert_eq!(header.candidates().last(), Some(&first));
}

/// After a loss of all power in a service of 163 targets, wide rounds filled the links
/// of balancers, and requests were late or lost for seconds.
#[test]
fn a_large_service_gets_no_wide_round() {
    let mut flows = balancer();
    let agents: Vec<u8> = (1..=163).collect();
    flows.set_targets(known_targets(HashMap::from([(
        service(),
        targets(&agents, &agents),
    )])));
    send_data(&mut flows, START);
    assert_eq!(flows.expire_lookups(at(100)), []);
    let verdict = send_data(&mut flows, at(200));
    assert!(matches!(verdict, FlowVerdict::Forward { .. }));
}

/// Answers a wide round for all agents but `silent`.
fn answer_wide_round(flows: &mut BalancerFlows, silent: Ipv4Addr) {
    let wide = flows.expire_lookups(at(100));
    for (agent, header) in &wide[0].hops {
        if *agent != silent {
            let not_held = FlowReport {
                lookup_id: header.lookup_id,
                ..report(1, *agent, ReportKind::NotHeld)
            };
            assert_eq!(
                flows.handle_report(&not_held, at(110)),
                ReportAction::Nothing
            );
        }
    }
}

/// Issue 36: the agent of an open flow was being restarted when all agents were asked.
/// The flow's next packets were dropped for 0.6 s, then they took chains that ended before
/// that agent, and for more than two seconds they reached other targets only.
#[test]
fn only_agents_that_have_not_answered_get_the_next_packets_of_a_flow() {
    let owner = agent(7);
    let mut flows = balancer_of_twelve();
    send_data(&mut flows, START);
    answer_wide_round(&mut flows, owner);
    for millis in [300, 700, 1_500] {
        let verdict = send_data(&mut flows, at(millis));
        let FlowVerdict::Forward { to, header } = verdict else {
            panic!("not forwarded after {millis} ms: {verdict:?}");
        };
        assert_eq!(to, owner, "after {millis} ms");
        assert!(header.candidates().is_empty());
        assert_eq!(flows.take_further_chains(), []);
        flows.sweep(at(millis));
    }
}

/// The answers of earlier attempts only shorten a search: a flow is reset after all agents
/// have answered in one attempt.
#[test]
fn agents_that_answered_in_an_earlier_attempt_are_asked_again_before_a_reset() {
    let last = agent(7);
    let mut flows = balancer_of_twelve();
    send_data(&mut flows, START);
    answer_wide_round(&mut flows, last);
    let FlowVerdict::Forward { to, header } = send_data(&mut flows, at(700)) else {
        panic!("not forwarded");
    };
    let not_held = |agent, lookup_id| FlowReport {
        lookup_id,
        ..report(1, agent, ReportKind::NotHeld)
    };
    let action = flows.handle_report(&not_held(to, header.lookup_id), at(710));
    let ReportAction::Forward { hops, .. } = action else {
        panic!("nothing is asked: {action:?}");
    };
    let [(first, header)] = hops[..] else {
        panic!("several chains: {hops:?}");
    };
    let mut asked = vec![first];
    asked.extend_from_slice(header.candidates());
    assert_eq!(asked.len(), usize::from(TARGETS) - 1);
    assert!(!asked.contains(&last));
    let end = *asked.last().expect("an agent");
    let action = flows.handle_report(&not_held(end, header.lookup_id), at(720));
    assert!(matches!(action, ReportAction::Reset(_)));
}

/// With several chains, an agent that is down hides a part of the others only.
#[test]
fn a_further_attempt_takes_several_chains() {
    let mut flows = balancer_of_twelve();
    send_data(&mut flows, START);
    let FlowVerdict::Forward { to, header } = send_data(&mut flows, at(200)) else {
        panic!("not forwarded");
    };
    let mut chains = vec![(to, header)];
    chains.extend(flows.take_further_chains());
    assert_eq!(chains.len(), 4);
    let mut asked: Vec<Ipv4Addr> = chains
        .iter()
        .flat_map(|(to, header)| [*to].into_iter().chain(header.candidates().iter().copied()))
        .collect();
    asked.sort_unstable();
    asked.dedup();
    assert_eq!(asked.len(), usize::from(TARGETS));
}
