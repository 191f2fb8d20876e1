//! Tests of the headers and messages that agents exchange.

use http::{HeaderMap, HeaderValue, Method, Uri};
use proptest::prelude::*;
use rstest::rstest;

use super::{NonceCache, PeerHead, PeerHeadError, PeerMessage, PeerPurpose};
use crate::{
    agent::tests::fixed_cases,
    clock::ClockMillis,
    proof::ProofError,
    secret::{DeploymentSecret, KeyRing},
};

fn ring() -> KeyRing {
    KeyRing::new(&DeploymentSecret::random(1)).expect("a good secret")
}

fn signed(ring: &KeyRing) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("idempotency-key", HeaderValue::from_static("t-1"));
    let uri = Uri::from_static("/feed/start?pen=3");
    let head = (&Method::POST, &uri, &mut headers);
    PeerHead::sign(PeerPurpose::Ticket, head, b"", ring);
    headers
}

fn verify(
    ring: &KeyRing,
    path: &'static str,
    headers: &mut HeaderMap,
) -> Result<(), PeerHeadError> {
    let uri = Uri::from_static(path);
    PeerHead::verify((&Method::POST, &uri, headers), ring).map(|_| ())
}

#[test]
fn a_signed_head_is_accepted_and_removed() {
    let ring = ring();
    let mut headers = signed(&ring);
    assert_eq!(verify(&ring, "/feed/start?pen=3", &mut headers), Ok(()));
    assert_eq!(headers.len(), 1, "only the ticket is left");
}

#[rstest]
#[case::path("/feed/start?pen=4", None)]
#[case::purpose("/feed/start?pen=3", Some(("cyclamen-purpose", "retry")))]
#[case::claim("/feed/start?pen=3", Some(("cyclamen-claim", "x")))]
#[case::ticket("/feed/start?pen=3", Some(("idempotency-key", "t-2")))]
fn a_changed_head_is_refused(
    #[case] path: &'static str,
    #[case] change: Option<(&'static str, &'static str)>,
) {
    let ring = ring();
    let mut headers = signed(&ring);
    if let Some((name, value)) = change {
        headers.insert(name, HeaderValue::from_static(value));
    }
    let refusal = verify(&ring, path, &mut headers);
    assert_eq!(refusal, Err(PeerHeadError::Proof(ProofError::Mismatch)));
}

#[test]
fn a_head_of_another_secret_or_without_proof_is_refused() {
    let mut headers = signed(&ring());
    let other = verify(&ring(), "/feed/start?pen=3", &mut headers);
    assert_eq!(other, Err(PeerHeadError::Proof(ProofError::Mismatch)));
    let missing = verify(&ring(), "/", &mut HeaderMap::new());
    assert_eq!(missing, Err(PeerHeadError::Proof(ProofError::Missing)));
}

#[test]
fn a_replayed_nonce_is_rejected() {
    let mut nonces = NonceCache::default();
    assert!(nonces.insert(5, ClockMillis::ORIGIN));
    assert!(!nonces.insert(5, ClockMillis::new(69_999)));
    assert!(nonces.insert(6, ClockMillis::new(69_999)));
}

proptest! {
    #![proptest_config(fixed_cases(512))]

    #[test]
    fn arbitrary_messages_are_decoded_without_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..80),
    ) {
        let _ = PeerMessage::decode(&bytes);
    }
}
