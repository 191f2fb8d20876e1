//! The proof that both ends of a call hold the deployment secret.
//!
//! A caller signs the time, a nonce and the digest of the body; the server
//! verifies that before it reads the body, and signs its answer in turn.

mod call_proof;
mod hex_digits;
mod proof_error;
mod proof_layer;
mod reply_proof;
mod sign_layer;
mod wall_clock;

pub(crate) use call_proof::{CallLine, CallProof};
pub use proof_error::ProofError;
pub(crate) use proof_layer::ProofLayer;
pub(crate) use reply_proof::ReplyProof;
pub(crate) use sign_layer::{SignLayer, SignService};
pub(crate) use wall_clock::wall_now;

/// The header that carries a caller's proof.
pub(crate) const CALL_HEADER: &str = "cyclamen-proof";
/// The header that carries the proof of an answer.
pub(crate) const REPLY_HEADER: &str = "cyclamen-reply-proof";

#[cfg(test)]
mod tests;
