//! Tests of the remembered commit.

use std::fs;

use tempfile::TempDir;

use super::open;
use crate::control::replica::{DiskBatch, LogIndex};

fn mark(folder: &TempDir, commits: &[u64]) {
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
fn the_last_mark_is_found_again() {
    let folder = TempDir::new().expect("a folder");
    mark(&folder, &[4, 5, 9]);
    assert_eq!(open(&folder).1.commit, LogIndex::new(9));
}

#[test]
fn a_torn_mark_counts_as_the_one_before() {
    let folder = TempDir::new().expect("a folder");
    mark(&folder, &[4, 9]);
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
fn a_folder_without_a_mark_knows_of_no_commit() {
    let folder = TempDir::new().expect("a folder");
    assert_eq!(open(&folder).1.commit, LogIndex::ZERO);
}
