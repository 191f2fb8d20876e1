use std::{
    fs,
    path::{self, Path, PathBuf},
};

use super::{
    JournalError,
    atomic_file::{replace_file, sync_folder},
    commit_mark::CommitMark,
    folder_lock::FolderLock,
    recovery::{HARD_STATE_FILE_NAME, read_folder, remove_segments, write_snapshot},
    segment_file::SegmentFile,
};
use crate::control::replica::{DiskBatch, DiskId, LogEntry, LogIndex, RecoveredState};

/// The size at which a new segment is started.
const SEGMENT_BYTES: usize = 8 << 20;

/// The data folder of a replica.
///
/// A failed write closes it: the content of the disk is then unknown, so nothing more may
/// be acknowledged until the folder is read again.
#[derive(Debug)]
pub(crate) struct ReplicaJournal {
    folder: PathBuf,
    segments: Vec<SegmentFile>,
    segment_bytes: usize,
    closed: bool,
    disk: DiskId,
    mark: CommitMark,
    _lock: FolderLock,
}

impl ReplicaJournal {
    /// Opens a data folder, and creates it if it does not exist.
    ///
    /// An empty folder gets the identity `new_id`. Fails when another process has locked the
    /// folder, or when it is damaged.
    pub(crate) fn open(
        folder: &Path,
        new_id: DiskId,
    ) -> Result<(Self, RecoveredState), JournalError> {
        create_folder(folder)?;
        let lock = FolderLock::acquire(folder)?;
        let content = read_folder(folder, new_id)?;
        let journal = Self {
            folder: folder.to_owned(),
            segments: content.segments,
            segment_bytes: SEGMENT_BYTES,
            closed: false,
            disk: content.recovered.hard_state.disk,
            mark: CommitMark::new(folder),
            _lock: lock,
        };
        Ok((journal, content.recovered))
    }

    /// Sets the size at which a new segment is started.
    #[cfg(test)]
    pub(crate) fn with_segment_bytes(mut self, bytes: usize) -> Self {
        self.segment_bytes = bytes;
        self
    }

    /// Reads the folder again after a failed write, and allows further writes.
    ///
    /// The failed batch has to be written again; that replaces the parts already on disk.
    ///
    /// # Errors
    ///
    /// Fails when the folder can't be read; it then stays closed.
    pub(crate) fn reopen(&mut self) -> Result<(), JournalError> {
        let content = read_folder(&self.folder, self.disk)?;
        self.segments = content.segments;
        self.closed = false;
        Ok(())
    }

    /// Writes and syncs a batch.
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or broken; the folder is then closed.
    pub(crate) fn write_batch(&mut self, batch: &DiskBatch) -> Result<(), JournalError> {
        if self.closed {
            let path = self.folder.clone();
            return Err(JournalError::Closed { path });
        }
        self.closed = true;
        self.persist_batch(batch)?;
        self.closed = false;
        Ok(())
    }

    fn persist_batch(&mut self, batch: &DiskBatch) -> Result<(), JournalError> {
        if let Some(state) = &batch.hard_state {
            replace_file(&self.folder.join(HARD_STATE_FILE_NAME), state)?;
        }
        if let Some(snapshot) = &batch.snapshot {
            write_snapshot(&self.folder, snapshot)?;
            if batch.replaces_log {
                remove_segments(&self.folder, &mut self.segments)?;
            }
        }
        self.append(&batch.entries)?;
        if let Some(commit) = batch.commit {
            self.mark.write(commit)?;
        }
        self.compact(batch.compacted_index)
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<(), JournalError> {
        if entries.is_empty() {
            return Ok(());
        }
        let number = self
            .segments
            .last()
            .map_or(1, |segment| segment.number() + 1);
        match self.segments.last_mut() {
            Some(segment) if segment.length() < self.segment_bytes => segment.append(entries),
            _ => {
                let mut segment = SegmentFile::create(&self.folder, number)?;
                segment.append(entries)?;
                self.segments.push(segment);
                Ok(())
            }
        }
    }

    /// Removes the oldest segments that hold no entry after `compacted_index`, but never the newest.
    fn compact(&mut self, compacted_index: LogIndex) -> Result<(), JournalError> {
        while let [first, _, ..] = self.segments.as_slice()
            && first.last_index() <= compacted_index
        {
            self.segments.remove(0).remove()?;
        }
        Ok(())
    }
}

/// Creates a folder and its missing parents, and syncs their directory entries.
fn create_folder(folder: &Path) -> Result<(), JournalError> {
    let folder = path::absolute(folder).map_err(JournalError::storage("find", folder))?;
    let missing: Vec<&Path> = folder
        .ancestors()
        .take_while(|ancestor| !ancestor.exists())
        .collect();
    fs::create_dir_all(&folder).map_err(JournalError::storage("create", &folder))?;
    missing.into_iter().try_for_each(sync_folder)
}
