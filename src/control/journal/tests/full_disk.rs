//! A disk that is full for a while, from every operation on.

use std::{fs, path::Path};

use rstest::rstest;
use tempfile::{TempDir, tempdir};

use super::{
    DISK, commit_batch,
    disk_plan::{FullDisk, ShortWrite, with_full_disk},
    entries_batch, entry, files_ending_with, open, snapshot_batch, state_batch,
};
use crate::control::{
    journal::{JournalError, ReplicaJournal},
    replica::{DiskBatch, GroupSnapshot, HardState, LogEntry, LogIndex, RecoveredState},
};

/// More operations than any batch takes.
const MAX_OPERATIONS: usize = 60;
/// Attempts while the disk is full; the writer makes five a second.
const REFUSED_ATTEMPTS: usize = 3;

/// The kinds of batches that the core issues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BatchKind {
    TermAndVote,
    Entries,
    ReplacedEntries,
    Commit,
    Snapshot,
    /// A leader's snapshot of entries that only the others have synced.
    SnapshotAhead,
    ReplacedLog,
    Everything,
}

impl BatchKind {
    fn batch(self) -> DiskBatch {
        let entries = |first: u64, last: u64, term| {
            let range = first..=last;
            range.map(|index| entry(index, term, 40)).collect()
        };
        match self {
            Self::TermAndVote => state_batch(5),
            Self::Entries => entries_batch(entries(21, 25, 2)),
            Self::ReplacedEntries => entries_batch(entries(18, 22, 2)),
            Self::Commit => commit_batch(16),
            Self::Snapshot => snapshot_batch(14, 1, false, 12),
            Self::SnapshotAhead => DiskBatch {
                entries: entries(21, 32, 1),
                ..snapshot_batch(30, 1, false, 27)
            },
            Self::ReplacedLog => DiskBatch {
                entries: entries(51, 53, 3),
                ..snapshot_batch(50, 3, true, 50)
            },
            Self::Everything => DiskBatch {
                hard_state: state_batch(5).hard_state,
                entries: entries(19, 24, 2),
                commit: Some(LogIndex::new(15)),
                ..snapshot_batch(14, 1, false, 12)
            },
        }
    }
}

/// Writes the state before the batch, in segments of `segment_bytes`.
fn prepare(folder: &Path, segment_bytes: usize) {
    let (journal, _) = ReplicaJournal::open(folder, DISK).expect("an empty folder");
    let mut journal = journal.with_segment_bytes(segment_bytes);
    let batches = [
        state_batch(4),
        entries_batch((1..=5).map(|index| entry(index, 1, 40)).collect()),
        entries_batch((6..=9).map(|index| entry(index, 1, 40)).collect()),
        commit_batch(6),
        DiskBatch {
            entries: (10..=20).map(|index| entry(index, 1, 40)).collect(),
            ..snapshot_batch(7, 1, false, 3)
        },
        commit_batch(8),
    ];
    for batch in &batches {
        journal.write_batch(batch).expect("a disk with room");
    }
}

fn copy_folder(from: &Path) -> TempDir {
    let to = tempdir().expect("a temporary folder");
    for item in fs::read_dir(from).expect("a folder") {
        let item = item.expect("a file");
        fs::copy(item.path(), to.path().join(item.file_name())).expect("a copy");
    }
    to
}

fn open_sized(folder: &TempDir, segment_bytes: usize) -> (ReplicaJournal, RecoveredState) {
    let (journal, recovered) = open(folder);
    (journal.with_segment_bytes(segment_bytes), recovered)
}

/// What the core makes of the content of a folder.
#[derive(Debug, PartialEq)]
struct FolderMeaning {
    hard_state: HardState,
    snapshot: Option<GroupSnapshot>,
    /// The entries after the snapshot.
    tail: Vec<LogEntry>,
    commit: LogIndex,
}

fn meaning_of(recovered: RecoveredState) -> FolderMeaning {
    assert!(!recovered.has_entry_gap());
    let start = recovered.snapshot.as_ref().map(|snapshot| snapshot.index);
    let start = start.unwrap_or_default();
    let entries = recovered.entries.into_iter();
    FolderMeaning {
        hard_state: recovered.hard_state,
        snapshot: recovered.snapshot,
        tail: entries.filter(|entry| entry.index > start).collect(),
        commit: recovered.commit,
    }
}

/// Checks that a folder has kept what was acknowledged before a batch that was not written
/// to the end, and holds nothing but that and parts of the batch.
fn assert_keeps(before: &FolderMeaning, batch: &DiskBatch, found: &FolderMeaning) {
    let is_old = found.hard_state == before.hard_state;
    assert!(is_old || Some(found.hard_state) == batch.hard_state);
    let is_old = found.snapshot == before.snapshot;
    assert!(is_old || found.snapshot == batch.snapshot);
    assert!(found.commit >= before.commit, "a lost commit mark");
    let start = found.snapshot.as_ref().map(|snapshot| snapshot.index);
    let start = start.unwrap_or_default();
    let replaced_from = batch.entries.first().map(|entry| entry.index);
    for entry in &before.tail {
        let is_replaced = replaced_from.is_some_and(|first| first <= entry.index);
        let is_covered = entry.index <= start;
        assert!(is_replaced || is_covered || found.tail.contains(entry));
    }
    for entry in &found.tail {
        assert!(before.tail.contains(entry) || batch.entries.contains(entry));
    }
}

fn is_refusal(error: &JournalError) -> bool {
    matches!(error, JournalError::Storage { .. })
}

fn total_segment_bytes(folder: &TempDir) -> u64 {
    let segments = files_ending_with(folder, ".segment");
    let lengths = segments.iter().map(fs::metadata);
    lengths.map(|data| data.expect("a file").len()).sum()
}

/// Guards against a replica that acknowledges nothing any more after its disk was full,
/// though it has room again, and against a folder that has lost something then.
///
/// The disk becomes full at each operation of a batch, gets room and is full again at each
/// operation of the second attempt, refuses some more attempts, and has room at last.
#[rstest]
fn a_batch_is_written_once_the_disk_has_room(
    #[values(
        BatchKind::TermAndVote,
        BatchKind::Entries,
        BatchKind::ReplacedEntries,
        BatchKind::Commit,
        BatchKind::Snapshot,
        BatchKind::SnapshotAhead,
        BatchKind::ReplacedLog,
        BatchKind::Everything
    )]
    kind: BatchKind,
    #[values(FullDisk::RefusesAll, FullDisk::MovesFiles, FullDisk::Syncs)] disk: FullDisk,
    #[values(1, 400)] segment_bytes: usize,
) {
    let template = tempdir().expect("a temporary folder");
    prepare(template.path(), segment_bytes);
    let batch = kind.batch();
    let healthy = copy_folder(template.path());
    let (mut journal, recovered) = open_sized(&healthy, segment_bytes);
    let before = meaning_of(recovered);
    journal.write_batch(&batch).expect("a disk with room");
    drop(journal);
    let bytes = total_segment_bytes(&healthy);
    let after = meaning_of(open(&healthy).1);
    let cuts = [ShortWrite::Nothing, ShortWrite::Half, ShortWrite::AllButOne];
    for first in 0..MAX_OPERATIONS {
        let mut reached = false;
        for second in 0..MAX_OPERATIONS {
            let cut = cuts[(first + second + 1) % cuts.len()];
            let folder = copy_folder(template.path());
            let (mut journal, _) = open_sized(&folder, segment_bytes);
            let (result, refusals) =
                with_full_disk(disk, cut, first, || journal.write_batch(&batch));
            assert_eq!(result.is_err(), refusals > 0, "{result:?}");
            if refusals == 0 {
                break;
            }
            reached = true;
            let mut retry = |operations| {
                with_full_disk(disk, cut, operations, || journal.retry_batch(&batch)).0
            };
            let retried = retry(second);
            let is_written = retried.is_ok();
            if !is_written {
                for _ in 0..REFUSED_ATTEMPTS {
                    let error = retry(0).expect_err("a full disk");
                    assert!(is_refusal(&error), "{error}");
                }
                let killed = copy_folder(folder.path());
                assert_keeps(&before, &batch, &meaning_of(open(&killed).1));
                let written = journal.retry_batch(&batch);
                assert!(
                    written.is_ok(),
                    "full at {first}, then at {second}: {written:?}"
                );
            }
            drop(journal);
            assert!(
                total_segment_bytes(&folder) <= bytes,
                "entries written twice"
            );
            assert_eq!(meaning_of(open(&folder).1), after);
            if is_written {
                break;
            }
        }
        if !reached {
            return;
        }
    }
    panic!("a batch takes more operations than the test expects");
}

/// Guards against a sound folder that is taken for a damaged one, and thrown away, because
/// its disk is full when the replica starts.
#[rstest]
fn a_start_on_a_full_disk_finds_no_damage(
    #[values(
        BatchKind::ReplacedEntries,
        BatchKind::SnapshotAhead,
        BatchKind::ReplacedLog,
        BatchKind::Everything
    )]
    kind: BatchKind,
    #[values(FullDisk::RefusesAll, FullDisk::MovesFiles, FullDisk::Syncs)] disk: FullDisk,
    #[values(ShortWrite::Nothing, ShortWrite::Half, ShortWrite::AllButOne)] cut: ShortWrite,
) {
    let template = tempdir().expect("a temporary folder");
    prepare(template.path(), 400);
    let before = meaning_of(open(&copy_folder(template.path())).1);
    let batch = kind.batch();
    for operations in 0..MAX_OPERATIONS {
        let folder = copy_folder(template.path());
        let (mut journal, _) = open_sized(&folder, 400);
        let write = || journal.write_batch(&batch);
        let (result, _) = with_full_disk(disk, cut, operations, write);
        drop(journal);
        if result.is_ok() {
            return;
        }
        let mut refused = true;
        for start_operations in 0..MAX_OPERATIONS {
            let open_folder = || ReplicaJournal::open(folder.path(), DISK);
            let (opened, _) = with_full_disk(disk, cut, start_operations, open_folder);
            match opened {
                Ok((_, recovered)) => {
                    assert_keeps(&before, &batch, &meaning_of(recovered));
                    refused = false;
                    break;
                }
                Err(error) => assert!(is_refusal(&error), "{error}"),
            }
        }
        assert!(!refused, "the folder can't be opened");
        assert_keeps(&before, &batch, &meaning_of(open(&folder).1));
    }
    panic!("a batch takes more operations than the test expects");
}

/// Guards against an empty folder that has no identity, or a second one, after its disk
/// was full when the replica started.
#[rstest]
#[case(FullDisk::RefusesAll)]
#[case(FullDisk::MovesFiles)]
#[case(FullDisk::Syncs)]
fn a_first_start_on_a_full_disk_succeeds_later(#[case] disk: FullDisk) {
    for operations in 0..MAX_OPERATIONS {
        let parent = tempdir().expect("a temporary folder");
        let folder = parent.path().join("data").join("log");
        let open_folder = || ReplicaJournal::open(&folder, DISK);
        let (opened, refusals) = with_full_disk(disk, ShortWrite::Half, operations, open_folder);
        if refusals == 0 {
            return;
        }
        let error = opened.expect_err("a full disk");
        assert!(is_refusal(&error), "{error}");
        let (_, recovered) = ReplicaJournal::open(&folder, DISK).expect("a disk with room");
        assert_eq!(recovered, RecoveredState::new(DISK));
    }
    panic!("a start takes more operations than the test expects");
}

/// Guards against a replica that acknowledges nothing any more because a short write made
/// it read its whole folder again, where an old file had become unreadable. It has all of
/// it in memory.
#[test]
fn damage_of_an_old_file_does_not_stop_the_writes_after_a_full_disk() {
    let folder = tempdir().expect("a temporary folder");
    prepare(folder.path(), 400);
    let (mut journal, _) = open_sized(&folder, 400);
    let oldest = files_ending_with(&folder, ".segment")[0].clone();
    let mut bytes = fs::read(&oldest).expect("a file");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&oldest, bytes).expect("a disk with room");
    let batch = BatchKind::Entries.batch();
    let write = || journal.write_batch(&batch);
    let (refused, _) = with_full_disk(FullDisk::RefusesAll, ShortWrite::Half, 0, write);
    refused.expect_err("a full disk");
    let written = journal.retry_batch(&batch);
    written.expect("a disk with room");
}
