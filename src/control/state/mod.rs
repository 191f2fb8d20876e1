//! What the control group agrees on: the manifest, the numbers of services
//! and the registrations. The same commands lead to the same state anywhere.

mod accepted_versions;
mod control_command;
mod control_outcome;
mod control_state;
mod manifest_state;
mod registration_table;
mod retired_runs;
mod state_error;
mod state_step;

pub(crate) use accepted_versions::{AcceptedVersion, AcceptedVersions};
pub(crate) use control_command::ControlCommand;
pub(crate) use control_outcome::ControlOutcome;
pub(crate) use control_state::ControlState;
pub(crate) use manifest_state::ManifestState;
pub(crate) use registration_table::RegistrationTable;
pub(crate) use retired_runs::RetiredRuns;
pub use state_error::StateError;
pub(crate) use state_step::{FeedChange, StateStep};

#[cfg(test)]
pub(crate) mod tests;
