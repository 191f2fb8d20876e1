//! Shared configuration of the agent's property tests.

use proptest::{
    prelude::ProptestConfig,
    test_runner::{RngAlgorithm, RngSeed},
};

/// The seed of every property test of the agent.
const SEED: u64 = 20;

/// Returns a configuration that draws the same cases in every run.
pub(super) fn fixed_cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}
