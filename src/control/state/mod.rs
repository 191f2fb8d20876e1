//! The replicated state machine of the control group: the manifest, the service
//! numbers and the registrations. It is deterministic.

mod accepted_versions;
mod control_command;
mod control_outcome;
mod control_state;
mod manifest_state;
mod registration_table;
mod retired_incarnations;
mod state_error;
mod state_transition;

pub(crate) use accepted_versions::{AcceptedVersion, AcceptedVersions};
pub(crate) use control_command::ControlCommand;
pub(crate) use control_outcome::ControlOutcome;
pub(crate) use control_state::ControlState;
pub(crate) use manifest_state::ManifestState;
pub(crate) use registration_table::RegistrationTable;
pub(crate) use retired_incarnations::RetiredIncarnations;
pub use state_error::StateError;
pub(crate) use state_transition::{FeedChange, StateTransition};

#[cfg(test)]
pub(crate) mod tests;
