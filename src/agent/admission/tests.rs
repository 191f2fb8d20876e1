//! Tests of connection admission.

use proptest::prelude::*;
use rstest::rstest;

use super::{
    AcceptRule, AdmissionGate, AdmissionVerdict, AgentPhase, CandidatePosition, ClientCid,
    ConnectionAttempt, PeerLoad, TargetLoad,
};
use crate::{
    agent::tests::fixed_cases,
    clock::{ClockMillis, SpanMillis},
};

fn load(requests: u32, connections: u32) -> TargetLoad {
    TargetLoad {
        requests,
        slots: 4,
        connections,
        connection_limit: 2_000,
    }
}

fn attempt(
    number: u64,
    position: CandidatePosition,
    next: Option<TargetLoad>,
) -> ConnectionAttempt {
    ConnectionAttempt {
        cid: ClientCid::new(&number.to_be_bytes()).expect("eight bytes"),
        position,
        next_load: next.map(|load| PeerLoad {
            load,
            reported_at: ClockMillis::ORIGIN,
        }),
    }
}

fn any_rule() -> impl Strategy<Value = AcceptRule> {
    prop_oneof![
        Just(AcceptRule::HashOnly),
        (0u32..3_000).prop_map(|load_permille| AcceptRule::Threshold { load_permille }),
        Just(AcceptRule::DEFAULT),
    ]
}

fn any_phase() -> impl Strategy<Value = AgentPhase> {
    prop_oneof![
        Just(AgentPhase::Serving),
        Just(AgentPhase::Leaving),
        Just(AgentPhase::Warming {
            since: ClockMillis::ORIGIN
        }),
    ]
}

proptest! {
    #![proptest_config(fixed_cases(256))]

    #[test]
    fn first_packets_of_one_connection_get_one_verdict(
        rule in any_rule(),
        phases in prop::collection::vec(any_phase(), 1..20),
        loads in prop::collection::vec((0u32..12, 0u32..2_100, 0u32..12), 1..20),
        lasts in prop::collection::vec(any::<bool>(), 1..20),
    ) {
        let mut gate = AdmissionGate::new(rule, AgentPhase::Serving);
        let mut final_verdict = None;
        for (step, ((phase, (own, open, next)), last)) in
            phases.into_iter().zip(loads).zip(lasts).enumerate()
        {
            let now = ClockMillis::new(step as u64 * 100);
            gate.set_phase(phase);
            let position = if last { CandidatePosition::Last } else { CandidatePosition::HasNext };
            let verdict = gate.admit(attempt(7, position, Some(load(next, 0))), load(own, open), now);
            if last {
                prop_assert_ne!(verdict, AdmissionVerdict::PassOn);
            }
            match final_verdict {
                None | Some(AdmissionVerdict::PassOn) => final_verdict = Some(verdict),
                Some(earlier) => prop_assert_eq!(verdict, earlier),
            }
        }
    }

    #[test]
    fn a_leaving_agent_accepts_nothing(rule in any_rule(), number in any::<u64>(), last: bool) {
        let mut gate = AdmissionGate::new(rule, AgentPhase::Leaving);
        let position = if last { CandidatePosition::Last } else { CandidatePosition::HasNext };
        let verdict = gate.admit(attempt(number, position, None), load(0, 0), ClockMillis::ORIGIN);
        prop_assert_ne!(verdict, AdmissionVerdict::Accept);
    }
}

#[test]
fn a_warming_target_accepts_a_growing_share() {
    let accepted_after = |millis| {
        let since = ClockMillis::ORIGIN;
        let mut gate = AdmissionGate::new(AcceptRule::HashOnly, AgentPhase::Warming { since });
        (0..1_000)
            .map(|number| attempt(number, CandidatePosition::HasNext, None))
            .filter(|attempt| {
                let verdict = gate.admit(*attempt, load(0, 0), ClockMillis::new(millis));
                verdict == AdmissionVerdict::Accept
            })
            .count()
    };
    assert!((60..140).contains(&accepted_after(0)));
    assert!((480..620).contains(&accepted_after(15_000)));
    assert_eq!(accepted_after(30_000), 1_000);
}

#[rstest]
#[case(2_000, CandidatePosition::HasNext, AdmissionVerdict::PassOn)]
#[case(2_000, CandidatePosition::Last, AdmissionVerdict::Refuse { retry_after: SpanMillis::new(1_000) })]
#[case(1_999, CandidatePosition::Last, AdmissionVerdict::Accept)]
fn the_connection_limit_is_enforced(
    #[case] open: u32,
    #[case] position: CandidatePosition,
    #[case] expected: AdmissionVerdict,
) {
    let mut gate = AdmissionGate::new(AcceptRule::HashOnly, AgentPhase::Serving);
    let verdict = gate.admit(
        attempt(1, position, None),
        load(0, open),
        ClockMillis::ORIGIN,
    );
    assert_eq!(verdict, expected);
}

#[rstest]
#[case::lighter_peer(6, Some(load(2, 0)), 0, AdmissionVerdict::PassOn)]
#[case::heavier_peer(2, Some(load(6, 0)), 0, AdmissionVerdict::Accept)]
#[case::full_peer(6, Some(load(0, 2_000)), 0, AdmissionVerdict::Accept)]
#[case::old_report_busy(6, Some(load(0, 0)), 5_000, AdmissionVerdict::PassOn)]
#[case::old_report_idle(1, Some(load(0, 0)), 5_000, AdmissionVerdict::Accept)]
fn the_less_loaded_of_two_accepts_the_connection(
    #[case] own: u32,
    #[case] next: Option<TargetLoad>,
    #[case] now: u64,
    #[case] expected: AdmissionVerdict,
) {
    let mut gate = AdmissionGate::new(AcceptRule::DEFAULT, AgentPhase::Serving);
    let attempt = attempt(1, CandidatePosition::HasNext, next);
    assert_eq!(
        gate.admit(attempt, load(own, 0), ClockMillis::new(now)),
        expected
    );
}

#[test]
fn the_verdict_table_is_bounded_and_expires() {
    let mut gate = AdmissionGate::new(AcceptRule::HashOnly, AgentPhase::Serving);
    for number in 0..20_000 {
        let attempt = attempt(number, CandidatePosition::HasNext, None);
        gate.admit(attempt, load(0, 0), ClockMillis::ORIGIN);
    }
    assert_eq!(gate.counts().remembered, 8_192);
    let late = ClockMillis::new(20_000);
    gate.admit(
        attempt(1, CandidatePosition::HasNext, None),
        load(0, 0),
        late,
    );
    assert_eq!(gate.counts().remembered, 1);
}
