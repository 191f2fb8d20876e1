//! Tests of the control state.

pub(crate) mod generator;

mod manifest_rules;
mod measures;
mod registration_rules;
mod sequences;
