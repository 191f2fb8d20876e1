//! Reads a data folder when a replica starts.

use std::{
    fs,
    path::{Path, PathBuf},
};

use super::{
    JournalError,
    atomic_file::{TEMPORARY_EXTENSION, read_file, replace_file, sync_folder},
    commit_mark::CommitMark,
    disk_operation::remove_file,
    journal_error::DamageFault,
    segment_file::{SegmentFile, segment_number},
};
use crate::{
    control::{
        ControlEvent,
        replica::{DiskId, GroupSnapshot, HardState, LogEntry, RecoveredState},
    },
    event::log_event,
};

/// The file with the term, the vote and the identity of the folder.
pub(super) const HARD_STATE_FILE_NAME: &str = "hard-state";
/// The extension of a snapshot file.
const SNAPSHOT_EXTENSION: &str = "snapshot";

/// The content of a data folder and its open segments.
#[derive(Debug)]
pub(super) struct FolderContent {
    /// The state that the replica's core starts from.
    pub(super) recovered: RecoveredState,
    /// The segments, oldest first.
    pub(super) segments: Vec<SegmentFile>,
}

/// Reads a data folder; an empty one gets the identity `new_id`.
pub(super) fn read_folder(folder: &Path, new_id: DiskId) -> Result<FolderContent, JournalError> {
    let paths = list_files(folder)?;
    let mut segment_paths = Vec::new();
    let mut snapshot_paths = Vec::new();
    for path in paths {
        if path
            .extension()
            .is_some_and(|extension| extension == TEMPORARY_EXTENSION)
        {
            remove_file(&path).map_err(JournalError::storage("remove", &path))?;
        } else if let Some(number) = segment_number(&path) {
            segment_paths.push((number, path));
        } else if path
            .extension()
            .is_some_and(|extension| extension == SNAPSHOT_EXTENSION)
        {
            snapshot_paths.push(path);
        }
    }
    segment_paths.sort();
    snapshot_paths.sort();
    let state_path = folder.join(HARD_STATE_FILE_NAME);
    let hard_state = match read_file(&state_path)? {
        Some(state) => state,
        None if segment_paths.is_empty() && snapshot_paths.is_empty() => {
            let state = HardState::new(new_id);
            replace_file(&state_path, &state)?;
            state
        }
        None => {
            let path = folder.to_owned();
            return Err(JournalError::IdentityMissing { path });
        }
    };
    let snapshot = read_snapshot(&snapshot_paths)?;
    let (segments, entries) = read_segments(&segment_paths)?;
    let recovered = RecoveredState {
        hard_state,
        snapshot,
        entries,
        commit: CommitMark::new(folder).read()?,
    };
    let mut content = FolderContent {
        recovered,
        segments,
    };
    if content.recovered.has_entry_gap() {
        let path = segment_paths.first().map_or(folder, |(_, path)| path);
        return Err(JournalError::damaged(path, 0, DamageFault::Gap));
    }
    if !content.recovered.entries_continue_snapshot() {
        // Replacing the log by a snapshot was interrupted, so the entries are obsolete.
        content.recovered.entries.clear();
        remove_segments(folder, &mut content.segments)?;
    }
    Ok(content)
}

/// Removes all segments, newest first, so that an interrupted removal leaves the older ones
/// without a gap.
pub(super) fn remove_segments(
    folder: &Path,
    segments: &mut Vec<SegmentFile>,
) -> Result<(), JournalError> {
    while let Some(segment) = segments.last() {
        segment.remove()?;
        segments.pop();
    }
    sync_folder(&folder.join(HARD_STATE_FILE_NAME))
}

/// Writes a snapshot and removes older ones.
pub(super) fn write_snapshot(folder: &Path, snapshot: &GroupSnapshot) -> Result<(), JournalError> {
    let index = snapshot.index.number();
    let path = folder.join(format!("state-{index:020}.{SNAPSHOT_EXTENSION}"));
    replace_file(&path, snapshot)?;
    for other in list_files(folder)? {
        let is_snapshot = other
            .extension()
            .is_some_and(|extension| extension == SNAPSHOT_EXTENSION);
        if is_snapshot && other < path {
            remove_file(&other).map_err(JournalError::storage("remove", &other))?;
        }
    }
    Ok(())
}

fn list_files(folder: &Path) -> Result<Vec<PathBuf>, JournalError> {
    let list_error = || JournalError::storage("list", folder);
    let mut paths = Vec::new();
    for item in fs::read_dir(folder).map_err(list_error())? {
        paths.push(item.map_err(list_error())?.path());
    }
    Ok(paths)
}

fn read_snapshot(paths: &[PathBuf]) -> Result<Option<GroupSnapshot>, JournalError> {
    match paths.last() {
        Some(path) => read_file(path),
        None => Ok(None),
    }
}

fn read_segments(
    paths: &[(u64, PathBuf)],
) -> Result<(Vec<SegmentFile>, Vec<LogEntry>), JournalError> {
    let mut segments = Vec::new();
    let mut entries: Vec<LogEntry> = Vec::new();
    for (position, (number, path)) in paths.iter().enumerate() {
        if position > 0 && paths[position - 1].0 + 1 != *number {
            return Err(JournalError::damaged(path, 0, DamageFault::Gap));
        }
        let is_newest = position + 1 == paths.len();
        let Some((segment, content)) = SegmentFile::open(path, *number, is_newest)? else {
            log_event!(warn, ControlEvent::TornTailCut, file = %path.display(), bytes = 0);
            continue;
        };
        if content.torn_bytes > 0 {
            let bytes = content.torn_bytes;
            log_event!(warn, ControlEvent::TornTailCut, file = %path.display(), bytes);
        }
        for entry in content.entries {
            add_entry(path, &mut entries, entry)?;
        }
        segments.push(segment);
    }
    Ok((segments, entries))
}

/// Adds an entry, which replaces earlier entries with the same or a larger index.
fn add_entry(
    path: &Path,
    entries: &mut Vec<LogEntry>,
    entry: LogEntry,
) -> Result<(), JournalError> {
    while entries.last().is_some_and(|last| last.index >= entry.index) {
        entries.pop();
    }
    if let Some(last) = entries.last()
        && last.index.next() != entry.index
    {
        return Err(JournalError::damaged(path, 0, DamageFault::Gap));
    }
    entries.push(entry);
    Ok(())
}
