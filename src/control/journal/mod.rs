//! The data folder of a replica: a write-ahead log, snapshots and the hard state. Writes are
//! synced before they are acknowledged, and checksums detect damaged files.

mod atomic_file;
mod commit_mark;
mod disk_operation;
mod folder_lock;
mod journal_error;
mod log_record;
mod recovery;
mod replica_journal;
mod segment_file;

pub(crate) use atomic_file::{read_file, replace_file};
pub use journal_error::{DamageFault, JournalError};
pub(crate) use replica_journal::{ReplicaJournal, create_folder};

#[cfg(test)]
mod tests;
