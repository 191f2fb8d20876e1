//! A torn end of the log is cut off; other damage is refused.

use std::fs;

use proptest::prelude::*;
use rstest::rstest;
use tempfile::{TempDir, tempdir};

use super::{DISK, entries_batch, entry, files_ending_with, fixed_cases, open, snapshot_batch};
use crate::control::{
    journal::{
        JournalError, ReplicaJournal,
        log_record::{ParsedRecord, parse_record},
    },
    replica::LogEntry,
};

/// Writes entries of the given sizes to one segment; returns them and the file's length after
/// each.
fn write_entries(folder: &TempDir, sizes: &[usize]) -> (Vec<LogEntry>, Vec<usize>) {
    let (mut journal, _) = open(folder);
    let mut written = Vec::new();
    let mut lengths = Vec::new();
    for (index, size) in (1..).zip(sizes) {
        let entry = entry(index, 1, *size);
        journal
            .write_batch(&entries_batch(vec![entry.clone()]))
            .expect("a successful write");
        written.push(entry);
        let path = &files_ending_with(folder, ".segment")[0];
        let length = fs::metadata(path).expect("a file").len();
        lengths.push(usize::try_from(length).expect("a small number"));
    }
    (written, lengths)
}

fn is_refused(folder: &TempDir) -> bool {
    let opened = ReplicaJournal::open(folder.path(), DISK);
    matches!(opened, Err(JournalError::Damaged { .. }))
}

#[test]
fn damage_in_the_middle_is_reported_with_file_and_offset() {
    let folder = tempdir().expect("a temporary folder");
    let (_, lengths) = write_entries(&folder, &[40, 40, 40]);
    let path = files_ending_with(&folder, ".segment")[0].clone();
    let mut bytes = fs::read(&path).expect("a file");
    bytes[lengths[0] + 30] ^= 1;
    fs::write(&path, bytes).expect("a writable file");
    let opened = ReplicaJournal::open(folder.path(), DISK);
    let Err(JournalError::Damaged {
        path: reported_path,
        offset,
        ..
    }) = opened
    else {
        panic!("expected damage, got {opened:?}");
    };
    assert_eq!(reported_path, path);
    assert_eq!(offset, lengths[0] as u64);
}

#[rstest]
#[case(false, 0)]
#[case(false, 1)]
#[case(true, 0)]
#[case(true, 1)]
fn a_missing_segment_is_refused(#[case] snapshot: bool, #[case] missing: usize) {
    let folder = tempdir().expect("a temporary folder");
    let (journal, _) = open(&folder);
    let mut journal = journal.with_segment_bytes(1);
    for index in 1..=6 {
        journal
            .write_batch(&entries_batch(vec![entry(index, 1, 10)]))
            .expect("a successful write");
    }
    if snapshot {
        journal
            .write_batch(&snapshot_batch(2, 1, false, 2))
            .expect("a successful write");
    }
    drop(journal);
    fs::remove_file(&files_ending_with(&folder, ".segment")[missing]).expect("a writable file");
    assert!(is_refused(&folder));
}

#[test]
fn a_torn_older_segment_is_refused() {
    let folder = tempdir().expect("a temporary folder");
    let (journal, _) = open(&folder);
    let mut journal = journal.with_segment_bytes(1);
    for index in 1..=2 {
        journal
            .write_batch(&entries_batch(vec![entry(index, 1, 10)]))
            .expect("a successful write");
    }
    drop(journal);
    let path = files_ending_with(&folder, ".segment")[0].clone();
    let bytes = fs::read(&path).expect("a file");
    fs::write(&path, &bytes[..bytes.len() - 1]).expect("a writable file");
    assert!(is_refused(&folder));
}

#[test]
fn a_segment_with_an_incomplete_header_is_removed() {
    let folder = tempdir().expect("a temporary folder");
    let (written, _) = write_entries(&folder, &[10, 10]);
    let path = folder.path().join("log-00000000000000000002.segment");
    fs::write(path, b"CYC").expect("a writable folder");
    assert_eq!(open(&folder).1.entries, written);
}

#[rstest]
#[case("hard-state")]
#[case(".snapshot")]
#[case(".segment")]
fn any_changed_byte_is_detected(#[case] suffix: &str) {
    let folder = tempdir().expect("a temporary folder");
    write_entries(&folder, &[0, 40, 7]);
    let (mut journal, _) = open(&folder);
    journal
        .write_batch(&snapshot_batch(1, 1, false, 0))
        .expect("a successful write");
    drop(journal);
    let path = files_ending_with(&folder, suffix)[0].clone();
    let original = fs::read(&path).expect("a file");
    for position in 0..original.len() {
        for flip in [0x01, 0x80, 0xff] {
            let mut bytes = original.clone();
            bytes[position] ^= flip;
            fs::write(&path, bytes).expect("a writable file");
            assert!(
                is_refused(&folder),
                "byte {position} of {suffix}, flip {flip}"
            );
        }
    }
}

proptest! {
    #![proptest_config(fixed_cases(48))]

    #[test]
    fn a_torn_end_loses_only_unsynced_entries(
        sizes in prop::collection::vec(0..200_usize, 2..8),
        synced in 0..8_usize,
        fraction in 0.0..1.0_f64,
        zeros in 0..64_usize,
    ) {
        let folder = tempdir().expect("a temporary folder");
        let (written, lengths) = write_entries(&folder, &sizes);
        let synced = synced % (sizes.len() - 1);
        // The write of the next record was interrupted.
        let (from, to) = (lengths[synced], lengths[synced + 1]);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
        let cut = from + ((to - from) as f64 * fraction) as usize;
        let path = files_ending_with(&folder, ".segment")[0].clone();
        let mut bytes = fs::read(&path).expect("a file");
        bytes.truncate(cut);
        if cut == from {
            bytes.extend(vec![0; zeros]);
        }
        fs::write(&path, bytes).expect("a writable file");
        let (mut journal, recovered) = open(&folder);
        prop_assert_eq!(&recovered.entries, &written[..=synced]);
        // Entries written after the cut are read back.
        let next = entry(synced as u64 + 2, 9, 5);
        journal.write_batch(&entries_batch(vec![next.clone()])).expect("a successful write");
        drop(journal);
        let (_journal, recovered) = open(&folder);
        prop_assert_eq!(recovered.entries.last(), Some(&next));
    }

    #[test]
    fn arbitrary_bytes_are_never_parsed_as_an_entry(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        prop_assert!(!matches!(parse_record(&bytes), ParsedRecord::Entry(..)));
    }
}
