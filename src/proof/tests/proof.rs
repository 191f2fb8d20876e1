//! The proof itself: what it covers and when it is refused.

use proptest::prelude::*;
use rstest::rstest;

use crate::{
    clock::{ClockMillis, SpanMillis},
    proof::{CallLine, CallProof, ProofError, ReplyProof},
    secret::{DeploymentSecret, KeyRing, SecretEpoch},
};

const LINE: CallLine<'static> = CallLine {
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
    KeyRing::new(&secret(active, epochs)).expect("a good secret")
}

fn sign(ring: &KeyRing, body: &[u8]) -> CallProof {
    CallProof::new(ring.active(), LINE, body, NOW, 42)
}

#[test]
fn a_proof_is_read_back_from_its_header() {
    let proof = sign(&ring(1, &[1]), b"body");
    assert_eq!(CallProof::parse(&proof.to_string()), Ok(proof));
}

#[rstest]
#[case::same_epoch(1, &[1])]
#[case::old_epoch_during_a_rotation(2, &[1, 2])]
fn both_live_epochs_are_accepted(#[case] active: u8, #[case] epochs: &[u8]) {
    let proof = sign(&ring(1, &[1]), b"body");
    assert_eq!(proof.verify(&ring(active, epochs), LINE, NOW), Ok(()));
}

#[test]
fn an_epoch_that_is_over_is_refused() {
    let proof = sign(&ring(1, &[1]), b"body");
    let refused = proof.verify(&ring(3, &[2, 3]), LINE, NOW);
    assert_eq!(refused, Err(ProofError::UnknownEpoch { epoch_bits: 1 }));
}

#[rstest]
#[case::early(970_000, true)]
#[case::too_early(969_999, false)]
#[case::late(1_030_000, true)]
#[case::too_late(1_030_001, false)]
fn only_times_within_the_window_are_accepted(#[case] now: u64, #[case] accepted: bool) {
    let ring = ring(1, &[1]);
    let verdict = sign(&ring, b"body").verify(&ring, LINE, ClockMillis::new(now));
    let stale = ProofError::Stale {
        offset: SpanMillis::new(30_001),
    };
    assert_eq!(verdict, if accepted { Ok(()) } else { Err(stale) });
}

#[test]
fn a_proof_covers_the_request_line() {
    let ring = ring(1, &[1]);
    let line = CallLine {
        method: "POST",
        path: "/other",
    };
    let refused = sign(&ring, b"body").verify(&ring, line, NOW);
    assert_eq!(refused, Err(ProofError::Mismatch));
}

#[test]
fn an_answer_belongs_to_one_call() {
    let ring = ring(1, &[1]);
    let proof = ReplyProof::new(ring.active(), 42, 200, b"answer");
    let proof = ReplyProof::parse(&proof.to_string()).expect("the same shape");
    assert_eq!(proof.verify(&ring, 42, 200, b"answer"), Ok(()));
    let crossed = proof.verify(&ring, 43, 200, b"answer");
    assert_eq!(crossed, Err(ProofError::Mismatch));
    let cut = proof.verify(&ring, 42, 200, b"answe");
    assert_eq!(cut, Err(ProofError::Mismatch));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_changed_header_is_accepted(index in 0_usize..167, digit in 0_u8..16) {
        let ring = ring(1, &[1]);
        let text = sign(&ring, b"body").to_string();
        let mut changed = text.clone().into_bytes();
        let place = index % changed.len();
        changed[place] = b"0123456789abcdef"[usize::from(digit)];
        let changed = String::from_utf8(changed).expect("plain digits");
        prop_assume!(changed != text);
        let verdict = CallProof::parse(&changed).and_then(|proof| proof.verify(&ring, LINE, NOW));
        prop_assert!(verdict.is_err());
    }

    #[test]
    fn arbitrary_text_is_refused_without_a_panic(text in ".{0,200}") {
        let ring = ring(1, &[1]);
        let verdict = CallProof::parse(&text).and_then(|proof| proof.verify(&ring, LINE, NOW));
        prop_assert!(verdict.is_err());
    }
}
