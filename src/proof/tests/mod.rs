//! Tests of call proofs.
