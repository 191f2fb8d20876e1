//! Written data is read back across segments, snapshots and restarts.

use proptest::prelude::*;
use rstest::rstest;
use tempfile::tempdir;

use super::{
    DISK, entries_batch, entry, files_ending_with, fixed_cases, open, snapshot_batch, state_batch,
};
use crate::control::{
    journal::{JournalError, ReplicaJournal},
    replica::{DiskId, LogIndex, RecoveredState, TermNumber},
};

#[test]
fn an_empty_folder_gets_a_permanent_identity() {
    let folder = tempdir().expect("a temporary folder");
    let (journal, first) = open(&folder);
    drop(journal);
    let (_journal, second) =
        ReplicaJournal::open(folder.path(), DiskId::new(8)).expect("an intact folder");
    assert_eq!(first, RecoveredState::new(DISK));
    assert_eq!(second, first);
}

#[test]
fn an_open_folder_cannot_be_opened_again() {
    let folder = tempdir().expect("a temporary folder");
    let _open = open(&folder);
    let second = ReplicaJournal::open(folder.path(), DISK);
    assert!(matches!(second, Err(JournalError::Locked { .. })));
}

#[test]
fn a_folder_without_its_hard_state_is_refused() {
    let folder = tempdir().expect("a temporary folder");
    let (mut journal, _) = open(&folder);
    journal
        .write_batch(&entries_batch(vec![entry(1, 1, 9)]))
        .expect("a successful write");
    drop(journal);
    std::fs::remove_file(folder.path().join("hard-state")).expect("an existing file");
    let refused = ReplicaJournal::open(folder.path(), DISK);
    assert!(matches!(refused, Err(JournalError::IdentityMissing { .. })));
}

#[rstest]
#[case(1)]
#[case(400)]
#[case(1 << 20)]
fn entries_are_replaced_and_compacted_across_segments(#[case] segment_bytes: usize) {
    let folder = tempdir().expect("a temporary folder");
    let (journal, _) = open(&folder);
    let mut journal = journal.with_segment_bytes(segment_bytes);
    let batches = [
        state_batch(4),
        entries_batch((1..=20).map(|index| entry(index, 1, 50)).collect()),
        entries_batch(vec![entry(15, 2, 50)]),
        entries_batch(vec![entry(16, 2, 50), entry(17, 3, 50)]),
        snapshot_batch(14, 1, false, 12),
    ];
    for batch in &batches {
        journal.write_batch(batch).expect("a successful write");
    }
    drop(journal);
    let (_journal, recovered) = open(&folder);
    assert_eq!(recovered.hard_state.term, TermNumber::new(4));
    assert_eq!(
        recovered.snapshot.as_ref().map(|snapshot| snapshot.index),
        Some(LogIndex::new(14))
    );
    let tail: Vec<_> = recovered
        .entries
        .iter()
        .filter(|entry| entry.index > LogIndex::new(14))
        .cloned()
        .collect();
    assert_eq!(tail, [entry(15, 2, 50), entry(16, 2, 50), entry(17, 3, 50)]);
    assert_eq!(files_ending_with(&folder, ".snapshot").len(), 1);
}

#[test]
fn compaction_removes_segments() {
    let folder = tempdir().expect("a temporary folder");
    let (journal, _) = open(&folder);
    let mut journal = journal.with_segment_bytes(1);
    for index in 1..=30 {
        journal
            .write_batch(&entries_batch(vec![entry(index, 1, 10)]))
            .expect("a successful write");
    }
    assert_eq!(files_ending_with(&folder, ".segment").len(), 30);
    journal
        .write_batch(&snapshot_batch(28, 1, false, 20))
        .expect("a successful write");
    assert_eq!(files_ending_with(&folder, ".segment").len(), 10);
}

#[test]
fn a_snapshot_that_resets_the_log_replaces_its_entries() {
    let folder = tempdir().expect("a temporary folder");
    let (mut journal, _) = open(&folder);
    let old: Vec<_> = (1..=9).map(|index| entry(index, 1, 10)).collect();
    journal
        .write_batch(&entries_batch(old))
        .expect("a successful write");
    let mut batch = snapshot_batch(50, 3, true, 50);
    batch.entries = vec![entry(51, 3, 10)];
    journal.write_batch(&batch).expect("a successful write");
    drop(journal);
    let (_journal, recovered) = open(&folder);
    assert_eq!(recovered.entries, [entry(51, 3, 10)]);
}

#[test]
fn an_interrupted_replacement_of_the_log_leaves_no_old_entry() {
    let folder = tempdir().expect("a temporary folder");
    let (mut journal, _) = open(&folder);
    let old: Vec<_> = (1..=9).map(|index| entry(index, 1, 10)).collect();
    journal
        .write_batch(&entries_batch(old))
        .expect("a successful write");
    // The snapshot is written, but the old entries are not removed.
    journal
        .write_batch(&snapshot_batch(5, 2, false, 0))
        .expect("a successful write");
    drop(journal);
    let (mut journal, recovered) = open(&folder);
    assert!(recovered.entries.is_empty());
    journal
        .write_batch(&entries_batch(vec![entry(6, 2, 10)]))
        .expect("a successful write");
    drop(journal);
    assert_eq!(open(&folder).1.entries, [entry(6, 2, 10)]);
}

#[test]
fn a_failed_write_closes_the_folder() {
    let folder = tempdir().expect("a temporary folder");
    let (mut journal, _) = open(&folder);
    // A folder with the name of the temporary file makes the write fail.
    let obstacle = folder.path().join("hard-state.tmp");
    std::fs::create_dir(&obstacle).expect("a writable folder");
    let failed = journal.write_batch(&state_batch(2));
    assert!(matches!(failed, Err(JournalError::Storage { .. })));
    std::fs::remove_dir(&obstacle).expect("an empty folder");
    let later = journal.write_batch(&entries_batch(vec![entry(1, 1, 1)]));
    assert!(matches!(later, Err(JournalError::Closed { .. })));
}

proptest! {
    #![proptest_config(fixed_cases(32))]

    #[test]
    fn every_batch_is_read_after_a_restart(
        sizes in prop::collection::vec((1..6_u64, 0..3_u64, 0..300_usize), 1..12),
        segment_bytes in 1..2_000_usize,
    ) {
        let folder = tempdir().expect("a temporary folder");
        let (journal, _) = open(&folder);
        let mut journal = journal.with_segment_bytes(segment_bytes);
        let mut expected = Vec::new();
        for (term, (count, overlap, size)) in (1..).zip(sizes) {
            let last = expected.len() as u64;
            let first = last.saturating_sub(overlap) + 1;
            expected.truncate(usize::try_from(first - 1).expect("a small number"));
            let entries: Vec<_> = (first..first + count)
                .map(|index| entry(index, term, size))
                .collect();
            expected.extend(entries.clone());
            journal.write_batch(&entries_batch(entries)).expect("a successful write");
        }
        drop(journal);
        prop_assert_eq!(open(&folder).1.entries, expected);
    }
}
