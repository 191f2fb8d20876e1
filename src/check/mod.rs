//! Reports on a configuration that has not been sent yet: its faults, its warnings
//! and its differences from the configuration in force.

mod check_entry;
mod check_report;
mod document_change;
mod document_diff;

pub use check_entry::CheckEntry;
pub use check_report::CheckReport;
pub use document_change::{ChangeKind, DocumentChange};
pub use document_diff::DocumentDiff;

#[cfg(test)]
mod tests;
