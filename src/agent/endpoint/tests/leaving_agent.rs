//! Connections that reach an agent which has begun to leave, from balancers that do not
//! know it yet.

use std::net::{Ipv4Addr, SocketAddrV4};

use rstest::rstest;

use crate::{
    agent::{
        admission::{AcceptRule, AdmissionGate, AgentPhase},
        endpoint::{
            FirstPacketGate, FirstPacketVerdict, LoadGauge, next_candidates::NextCandidates,
        },
    },
    clock::ClockMillis,
    key::TargetKey,
    manifest::ServiceLimits,
    route::TargetChain,
};

const DESTINATION: [u8; 8] = [7; 8];

fn target(number: u8) -> TargetKey {
    TargetKey::new(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 6_000))
}

fn chain_of(numbers: &[u8]) -> TargetChain {
    let targets = numbers.iter().copied().map(target);
    targets.fold(TargetChain::new(), TargetChain::with)
}

/// Returns what agent 1 does in `phase` with a first packet for which `named` are the
/// candidates after it.
fn decide(named: &[u8], phase: AgentPhase, successors: &[u8]) -> FirstPacketVerdict {
    let chain = chain_of(named);
    let successors: Vec<TargetKey> = successors.iter().copied().map(target).collect();
    let candidates = NextCandidates::new(chain, target(1), phase, &successors, 5);
    let gate = FirstPacketGate::new(AdmissionGate::new(AcceptRule::DEFAULT, phase));
    let load_gauge = LoadGauge::new(ServiceLimits::default());
    let verdict = gate.decide(
        &DESTINATION,
        candidates.chain(),
        None,
        &load_gauge,
        ClockMillis::ORIGIN,
    );
    match verdict {
        FirstPacketVerdict::Deliver => FirstPacketVerdict::Deliver,
        FirstPacketVerdict::PassOn { next, rest } => FirstPacketVerdict::PassOn {
            next,
            rest: candidates.after_next(rest),
        },
    }
}

/// Demo beside load: two connections were closed with `H3_EXCESSIVE_LOAD` while other
/// targets had free slots, since the leaving agent was their last candidate.
#[rstest]
#[case::last_candidate(&[], &[2, 3], Some((3, vec![3])))]
#[case::next_is_named(&[4, 5], &[2, 3], Some((4, vec![5])))]
#[case::no_peer_accepts(&[], &[], None)]
#[case::handed_over_by_a_peer_that_leaves_too(&[1], &[2, 3], None)]
fn a_leaving_agent_passes_every_connection_on_once(
    #[case] named: &[u8],
    #[case] successors: &[u8],
    #[case] expected: Option<(u8, Vec<u8>)>,
) {
    let expected = expected.map_or(FirstPacketVerdict::Deliver, |(next, rest)| {
        FirstPacketVerdict::PassOn {
            next: target(next),
            rest: chain_of(&rest),
        }
    });
    assert_eq!(decide(named, AgentPhase::Leaving, successors), expected);
}

#[test]
fn a_serving_agent_that_is_the_last_candidate_accepts() {
    let verdict = decide(&[], AgentPhase::Serving, &[2, 3]);
    assert_eq!(verdict, FirstPacketVerdict::Deliver);
    assert_eq!(decide(&[1], AgentPhase::Serving, &[2, 3]), verdict);
}
