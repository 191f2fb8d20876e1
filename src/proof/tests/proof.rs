//! Tests of the proofs: what their MACs cover and when they are refused.

use proptest::prelude::*;
use rstest::rstest;

use crate::{
    clock::{ClockMillis, SpanMillis},
    proof::{CallHead, CallProof, ProofError, ReplyProof},
    secret::{DeploymentSecret, KeyRing, SecretEpoch},
};

const HEAD: CallHead<'static> = CallHead {
    method: "POST",
    path: "/",
};
const NOW: ClockMillis = ClockMillis::new(1_000_000);

pub(super) fn secret(active: u8, epochs: &[u8]) -> DeploymentSecret {
    let epochs = epochs.iter().map(|epoch| SecretEpoch {
        epoch: *epoch,
        secret: vec![*epoch; 32],
    });
    DeploymentSecret {
        active,
        epochs: epochs.collect(),
    }
}

fn ring(active: u8, epochs: &[u8]) -> KeyRing {
    KeyRing::new(&secret(active, epochs)).expect("a valid secret")
}

fn sign(ring: &KeyRing, body: &[u8]) -> CallProof {
    CallProof::new(ring.active(), HEAD, body, NOW, 42)
}

#[test]
fn a_formatted_call_proof_parses_back() {
    let proof = sign(&ring(1, &[1]), b"body");
    assert_eq!(CallProof::parse(&proof.to_string()), Ok(proof));
}

#[rstest]
#[case::same_epoch(1, &[1])]
#[case::old_epoch_during_a_rotation(2, &[1, 2])]
fn a_proof_of_any_accepted_epoch_verifies(#[case] active: u8, #[case] epochs: &[u8]) {
    let proof = sign(&ring(1, &[1]), b"body");
    assert_eq!(proof.verify(&ring(active, epochs), HEAD, NOW), Ok(()));
}

#[test]
fn a_retired_epoch_is_refused() {
    let proof = sign(&ring(1, &[1]), b"body");
    let refused = proof.verify(&ring(3, &[2, 3]), HEAD, NOW);
    assert_eq!(refused, Err(ProofError::UnknownEpoch { epoch_bits: 1 }));
}

#[rstest]
#[case::early(970_000, true)]
#[case::too_early(969_999, false)]
#[case::late(1_030_000, true)]
#[case::too_late(1_030_001, false)]
fn only_times_within_the_maximum_clock_offset_are_accepted(
    #[case] now: u64,
    #[case] accepted: bool,
) {
    let ring = ring(1, &[1]);
    let result = sign(&ring, b"body").verify(&ring, HEAD, ClockMillis::new(now));
    let stale = ProofError::Stale {
        offset: SpanMillis::new(30_001),
    };
    assert_eq!(result, if accepted { Ok(()) } else { Err(stale) });
}

#[test]
fn a_call_proof_covers_the_path() {
    let ring = ring(1, &[1]);
    let head = CallHead {
        method: "POST",
        path: "/other",
    };
    let refused = sign(&ring, b"body").verify(&ring, head, NOW);
    assert_eq!(refused, Err(ProofError::Mismatch));
}

#[test]
fn a_reply_proof_covers_the_nonce_and_the_body() {
    let ring = ring(1, &[1]);
    let proof = ReplyProof::new(ring.active(), 42, 200, b"answer");
    let proof = ReplyProof::parse(&proof.to_string()).expect("a formatted proof parses");
    assert_eq!(proof.verify(&ring, 42, 200, b"answer"), Ok(()));
    let other_nonce = proof.verify(&ring, 43, 200, b"answer");
    assert_eq!(other_nonce, Err(ProofError::Mismatch));
    let truncated = proof.verify(&ring, 42, 200, b"answe");
    assert_eq!(truncated, Err(ProofError::Mismatch));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_call_proof_with_a_changed_character_is_refused(index in 0_usize..167, digit in 0_u8..16) {
        let ring = ring(1, &[1]);
        let text = sign(&ring, b"body").to_string();
        let mut changed = text.clone().into_bytes();
        let index = index % changed.len();
        changed[index] = b"0123456789abcdef"[usize::from(digit)];
        let changed = String::from_utf8(changed).expect("ASCII digits");
        prop_assume!(changed != text);
        let result = CallProof::parse(&changed).and_then(|proof| proof.verify(&ring, HEAD, NOW));
        prop_assert!(result.is_err());
    }

    #[test]
    fn an_arbitrary_header_is_refused_without_a_panic(text in ".{0,200}") {
        let ring = ring(1, &[1]);
        let result = CallProof::parse(&text).and_then(|proof| proof.verify(&ring, HEAD, NOW));
        prop_assert!(result.is_err());
    }
}
