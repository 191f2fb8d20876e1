use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use miette::Diagnostic;
use thiserror::Error;

use crate::{
    agent::claim::ClaimKey,
    proof::{CALL_HEADER, CallLine, CallProof, ProofError, wall_now},
    secret::KeyRing,
};

/// Tells why a request comes from a peer.
const PURPOSE_HEADER: HeaderName = HeaderName::from_static("cyclamen-purpose");
/// Names the claim whose slot the request is for.
const CLAIM_HEADER: HeaderName = HeaderName::from_static("cyclamen-claim");
/// Marks an answer that an agent gave itself.
pub(super) const FINAL_HEADER: HeaderName = HeaderName::from_static("cyclamen-final");
/// The header of the ticket, which the proof covers too.
const TICKET_HEADER: &str = "idempotency-key";

/// Why a peer sends a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PeerPurpose {
    /// The receiver granted a slot to this claim.
    Claim(ClaimKey),
    /// The receiver answers for the request's ticket.
    Ticket,
    /// An attempt elsewhere has failed and did not run.
    Retry,
    /// The sender leaves and hands its tickets over.
    Handover,
}

/// Why a request of a peer was refused before its body was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Diagnostic)]
pub(super) enum PeerHeadError {
    /// The proof is missing, wrong or old.
    #[error(transparent)]
    Proof(#[from] ProofError),
    /// The purpose is missing or malformed.
    #[error("the purpose of the request is missing or malformed")]
    Purpose,
    /// The same call came before.
    #[error("the call was sent before")]
    Replayed,
}

/// The part of a request's head that agents add for each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PeerHead {
    /// Why the request is sent.
    pub(super) purpose: PeerPurpose,
    /// The nonce of its proof.
    pub(super) nonce: u64,
}

impl PeerHead {
    /// Adds the head with its proof; `body` is covered, if it is known.
    pub(super) fn sign(
        purpose: PeerPurpose,
        (method, uri, headers): (&Method, &Uri, &mut HeaderMap),
        body: &[u8],
        ring: &KeyRing,
    ) {
        headers.insert(PURPOSE_HEADER, purpose.name());
        if let PeerPurpose::Claim(key) = purpose
            && let Ok(value) = HeaderValue::from_str(&key.to_string())
        {
            headers.insert(CLAIM_HEADER, value);
        }
        let path = covered_path(uri, headers);
        let line = CallLine {
            method: method.as_str(),
            path: &path,
        };
        let proof = CallProof::new(ring.active(), line, body, wall_now(), rand::random());
        if let Ok(value) = HeaderValue::from_str(&proof.to_string()) {
            headers.insert(CALL_HEADER, value);
        }
    }

    /// Verifies the head of a request and takes it off.
    ///
    /// # Errors
    ///
    /// Fails when the proof does not hold or the purpose is malformed.
    pub(super) fn verify(
        (method, uri, headers): (&Method, &Uri, &mut HeaderMap),
        ring: &KeyRing,
    ) -> Result<(Self, CallProof), PeerHeadError> {
        let path = covered_path(uri, headers);
        let proof = headers.remove(CALL_HEADER).ok_or(ProofError::Missing)?;
        let text = proof.to_str().map_err(|_| ProofError::Malformed)?;
        let proof = CallProof::parse(text)?;
        let line = CallLine {
            method: method.as_str(),
            path: &path,
        };
        proof.verify(ring, line, wall_now())?;
        let purpose = PeerPurpose::take(headers).ok_or(PeerHeadError::Purpose)?;
        let nonce = proof.nonce();
        Ok((Self { purpose, nonce }, proof))
    }

    /// Takes off whatever an outsider may have put into a head.
    pub(super) fn strip(headers: &mut HeaderMap) {
        for name in [PURPOSE_HEADER, CLAIM_HEADER, FINAL_HEADER] {
            headers.remove(name);
        }
        headers.remove(CALL_HEADER);
    }
}

impl PeerPurpose {
    fn name(self) -> HeaderValue {
        HeaderValue::from_static(match self {
            Self::Claim(_) => "claim",
            Self::Ticket => "ticket",
            Self::Retry => "retry",
            Self::Handover => "handover",
        })
    }

    fn take(headers: &mut HeaderMap) -> Option<Self> {
        let purpose = headers.remove(PURPOSE_HEADER)?;
        let claim = headers.remove(CLAIM_HEADER);
        match purpose.as_bytes() {
            b"claim" => {
                let key = claim?.to_str().ok()?.parse().ok()?;
                Some(Self::Claim(key))
            }
            b"ticket" => Some(Self::Ticket),
            b"retry" => Some(Self::Retry),
            b"handover" => Some(Self::Handover),
            _ => None,
        }
    }
}

/// Returns all of the head that decides what becomes of the request.
fn covered_path(uri: &Uri, headers: &HeaderMap) -> String {
    let mut path = uri
        .path_and_query()
        .map_or_else(|| "/".to_owned(), ToString::to_string);
    for name in [
        PURPOSE_HEADER.as_str(),
        CLAIM_HEADER.as_str(),
        TICKET_HEADER,
    ] {
        let value = headers.get(name).map_or(&b""[..], HeaderValue::as_bytes);
        path.push(' ');
        path.push_str(&String::from_utf8_lossy(value));
    }
    path
}
