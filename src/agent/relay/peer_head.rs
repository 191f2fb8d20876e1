use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use miette::Diagnostic;
use thiserror::Error;

use crate::{
    agent::claim::ClaimKey,
    proof::{CALL_HEADER, CallHead, CallProof, ProofError, unix_time_now},
    secret::KeyRing,
};

/// The header with the purpose of a peer's request.
const PURPOSE_HEADER: HeaderName = HeaderName::from_static("cyclamen-purpose");
/// The header with the claim whose slot the request uses.
const CLAIM_HEADER: HeaderName = HeaderName::from_static("cyclamen-claim");
/// Marks an answer that an agent generated itself.
pub(super) const FINAL_HEADER: HeaderName = HeaderName::from_static("cyclamen-final");
/// The header with the ticket, which the proof covers too.
const TICKET_HEADER: &str = "idempotency-key";

/// Why a peer sends a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PeerPurpose {
    /// The receiver granted a slot to this claim.
    Claim(ClaimKey),
    /// The receiver is responsible for the request's ticket.
    Ticket,
    /// A retry: an earlier attempt did not run, or the request is idempotent.
    Retry,
    /// The sender is leaving and hands over its tickets.
    Handover,
}

/// Why a peer's request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Diagnostic)]
pub(super) enum PeerHeadError {
    /// The proof is missing, invalid or stale.
    #[error(transparent)]
    Proof(#[from] ProofError),
    /// The purpose is missing or malformed.
    #[error("the purpose of the request is missing or malformed")]
    Purpose,
    /// The nonce was used before, or the nonce cache is full.
    #[error("the call was sent before")]
    Replayed,
}

/// The authenticated headers that agents add to requests for each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PeerHead {
    /// The purpose of the request.
    pub(super) purpose: PeerPurpose,
    /// The nonce of its proof.
    pub(super) nonce: u64,
}

impl PeerHead {
    /// Adds the headers with a proof over them and `body`.
    ///
    /// Relayed requests pass an empty body, since theirs may be a stream.
    pub(super) fn sign(
        purpose: PeerPurpose,
        (method, uri, headers): (&Method, &Uri, &mut HeaderMap),
        body: &[u8],
        ring: &KeyRing,
    ) {
        headers.insert(PURPOSE_HEADER, purpose.header_value());
        if let PeerPurpose::Claim(key) = purpose
            && let Ok(value) = HeaderValue::from_str(&key.to_string())
        {
            headers.insert(CLAIM_HEADER, value);
        }
        let path = signed_path(uri, headers);
        let head = CallHead {
            method: method.as_str(),
            path: &path,
        };
        let proof = CallProof::new(ring.active(), head, body, unix_time_now(), rand::random());
        if let Ok(value) = HeaderValue::from_str(&proof.to_string()) {
            headers.insert(CALL_HEADER, value);
        }
    }

    /// Verifies these headers of a request and removes them.
    ///
    /// # Errors
    ///
    /// Fails when the proof is invalid or the purpose is malformed.
    pub(super) fn verify(
        (method, uri, headers): (&Method, &Uri, &mut HeaderMap),
        ring: &KeyRing,
    ) -> Result<(Self, CallProof), PeerHeadError> {
        let path = signed_path(uri, headers);
        let proof = headers.remove(CALL_HEADER).ok_or(ProofError::Missing)?;
        let text = proof.to_str().map_err(|_| ProofError::Malformed)?;
        let proof = CallProof::parse(text)?;
        let head = CallHead {
            method: method.as_str(),
            path: &path,
        };
        proof.verify(ring, head, unix_time_now())?;
        let purpose = PeerPurpose::remove_from(headers).ok_or(PeerHeadError::Purpose)?;
        let nonce = proof.nonce();
        Ok((Self { purpose, nonce }, proof))
    }

    /// Removes these headers from an outsider's request.
    pub(super) fn strip(headers: &mut HeaderMap) {
        for name in [PURPOSE_HEADER, CLAIM_HEADER, FINAL_HEADER] {
            headers.remove(name);
        }
        headers.remove(CALL_HEADER);
    }
}

impl PeerPurpose {
    fn header_value(self) -> HeaderValue {
        HeaderValue::from_static(match self {
            Self::Claim(_) => "claim",
            Self::Ticket => "ticket",
            Self::Retry => "retry",
            Self::Handover => "handover",
        })
    }

    fn remove_from(headers: &mut HeaderMap) -> Option<Self> {
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

/// Returns the path and the headers that the proof covers.
fn signed_path(uri: &Uri, headers: &HeaderMap) -> String {
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
