//! Tests of call proofs.

mod layer;
mod proof;
