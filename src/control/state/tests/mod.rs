//! Tests of the control state.

pub(crate) mod generator;

mod manifest_rules;
mod registration_rules;
mod sequences;
