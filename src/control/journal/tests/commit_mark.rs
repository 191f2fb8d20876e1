//! Tests of the commit mark.

use std::fs;

use tempfile::TempDir;

use super::{
    commit_batch,
    disk_plan::{FullDisk, ShortWrite, with_full_disk},
    open,
};
use crate::control::replica::{DiskBatch, LogIndex};

fn write_marks(folder: &TempDir, commits: &[u64]) {
    let (mut journal, _) = open(folder);
    for commit in commits {
        let batch = DiskBatch {
            commit: Some(LogIndex::new(*commit)),
            ..DiskBatch::default()
        };
        journal.write_batch(&batch).expect("a working disk");
    }
}

#[test]
fn the_last_mark_is_read_after_a_restart() {
    let folder = TempDir::new().expect("a folder");
    write_marks(&folder, &[4, 5, 9]);
    assert_eq!(open(&folder).1.commit, LogIndex::new(9));
}

#[test]
fn the_previous_mark_is_used_if_the_last_one_is_torn() {
    let folder = TempDir::new().expect("a folder");
    write_marks(&folder, &[4, 9]);
    let path = folder.path().join("commit-mark");
    let mut bytes = fs::read(&path).expect("a file");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(&path, &bytes).expect("a working disk");
    assert_eq!(open(&folder).1.commit, LogIndex::new(4));
    fs::write(&path, [1, 2]).expect("a working disk");
    assert_eq!(open(&folder).1.commit, LogIndex::ZERO);
}

#[test]
fn a_folder_without_a_mark_has_no_known_commit() {
    let folder = TempDir::new().expect("a folder");
    assert_eq!(open(&folder).1.commit, LogIndex::ZERO);
}

/// Guards against a replica that has no routes after a restart until a leader is elected,
/// because the attempts on a full disk have torn both slots.
#[test]
fn refused_writes_leave_the_previous_mark() {
    let folder = TempDir::new().expect("a folder");
    write_marks(&folder, &[4, 5]);
    let (mut journal, _) = open(&folder);
    let batch = commit_batch(9);
    for _ in 0..3 {
        let retry = || journal.retry_batch(&batch);
        let (refused, _) = with_full_disk(FullDisk::RefusesAll, ShortWrite::Half, 0, retry);
        refused.expect_err("a full disk");
    }
    drop(journal);
    assert_eq!(open(&folder).1.commit, LogIndex::new(5));
}
