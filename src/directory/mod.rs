//! Directory of targets: soft state that agents announce periodically.
//!
//! Every replica of the control group keeps its own directory, which is neither
//! replicated nor written to disk. A replica that has just started knows few
//! targets, so a balancer merges its directory into the targets it knows, and
//! removes none, until the replica has heard from every running agent.

mod directory_update;
mod evacuated_domains;
mod service_weights;
mod set_aside_change;
mod target_attributes;
mod target_directory;
mod target_record;
mod target_view;
mod target_weight;
mod target_weight_info;
mod weight_table;

pub(crate) use directory_update::{DirectoryPosition, DirectoryUpdate};
pub(crate) use evacuated_domains::{EvacuatedDomains, EvacuationUpdate, MaskedTarget};
pub(crate) use set_aside_change::SetAsideChange;
pub(crate) use target_attributes::{AttributeEntry, TargetAttributes};
pub(crate) use target_directory::{ANNOUNCE_MILLIS, TargetDirectory};
pub(crate) use target_record::{TargetRecord, TargetStatus};
pub(crate) use target_view::TargetView;
pub(crate) use target_weight_info::TargetWeightInfo;

#[cfg(test)]
mod tests;
