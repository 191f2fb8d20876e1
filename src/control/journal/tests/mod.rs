//! Tests of the journal.

mod commit_mark;
mod damage;
pub(super) mod disk_plan;
mod folder;
mod full_disk;
mod measures;

use std::{fs, path::PathBuf};

use proptest::{
    prelude::ProptestConfig,
    test_runner::{RngAlgorithm, RngSeed},
};
use tempfile::TempDir;

use super::ReplicaJournal;
use crate::control::replica::{
    DiskBatch, DiskId, EntryBody, EntryPayload, GroupMembers, GroupSnapshot, HardState, LogEntry,
    LogIndex, RecoveredState, TermNumber,
};

const DISK: DiskId = DiskId::new(7);

/// The seed of every property test of this folder.
const SEED: u64 = 31;

/// Returns a configuration that generates the same cases in every run.
fn fixed_cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

fn open(folder: &TempDir) -> (ReplicaJournal, RecoveredState) {
    ReplicaJournal::open(folder.path(), DISK).expect("an intact folder")
}

fn entry(index: u64, term: u64, size: usize) -> LogEntry {
    let fill = u8::try_from((index * 31 + term) % 251).expect("under 256");
    LogEntry {
        index: LogIndex::new(index),
        term: TermNumber::new(term),
        body: EntryBody::Change(EntryPayload::new(vec![fill; size])),
    }
}

fn entries_batch(entries: Vec<LogEntry>) -> DiskBatch {
    DiskBatch {
        entries,
        ..DiskBatch::default()
    }
}

fn state_batch(term: u64) -> DiskBatch {
    let mut state = HardState::new(DISK);
    state.term = TermNumber::new(term);
    DiskBatch {
        hard_state: Some(state),
        ..DiskBatch::default()
    }
}

fn commit_batch(commit: u64) -> DiskBatch {
    DiskBatch {
        commit: Some(LogIndex::new(commit)),
        ..DiskBatch::default()
    }
}

fn snapshot_batch(index: u64, term: u64, replaces_log: bool, compacted_index: u64) -> DiskBatch {
    DiskBatch {
        snapshot: Some(GroupSnapshot {
            index: LogIndex::new(index),
            term: TermNumber::new(term),
            members: GroupMembers::default(),
            payload: EntryPayload::new(vec![1, 2, 3]),
        }),
        replaces_log,
        compacted_index: LogIndex::new(compacted_index),
        ..DiskBatch::default()
    }
}

fn files_ending_with(folder: &TempDir, suffix: &str) -> Vec<PathBuf> {
    let items = fs::read_dir(folder.path()).expect("a folder");
    let mut paths: Vec<PathBuf> = items.map(|item| item.expect("a file").path()).collect();
    paths.retain(|path| path.to_string_lossy().ends_with(suffix));
    paths.sort();
    paths
}
