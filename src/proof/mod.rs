//! Mutual authentication of calls with the deployment secret.
//!
//! A caller sends a MAC over the time, a nonce, the digest of the body, the
//! method and the path; the server verifies it before it reads the body. The
//! reply carries a MAC over that nonce, the status and the digest of its body.

mod call_proof;
mod client_proof_layer;
mod hex_digits;
mod proof_error;
mod reply_proof;
mod server_proof_layer;
mod unix_time;

pub(crate) use call_proof::{CallHead, CallProof};
pub(crate) use client_proof_layer::{ClientProofLayer, ClientProofService};
pub use proof_error::ProofError;
pub(crate) use reply_proof::ReplyProof;
pub(crate) use server_proof_layer::ServerProofLayer;
pub(crate) use unix_time::unix_time_now;

/// The header with the proof of a call.
pub(crate) const CALL_HEADER: &str = "cyclamen-proof";
/// The header with the proof of a reply.
pub(crate) const REPLY_HEADER: &str = "cyclamen-reply-proof";

#[cfg(test)]
mod tests;
