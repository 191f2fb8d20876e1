use std::path::{self, Path, PathBuf};

use super::{
    JournalError,
    atomic_file::{replace_file, sync_folder},
    commit_mark::CommitMark,
    disk_operation::create_folders,
    folder_lock::FolderLock,
    recovery::{HARD_STATE_FILE_NAME, read_folder, remove_segments, write_snapshot},
    segment_file::SegmentFile,
};
use crate::control::replica::{DiskBatch, DiskId, LogEntry, LogIndex, RecoveredState};

/// The size at which a new segment is started.
const SEGMENT_BYTES: usize = 8 << 20;

/// The data folder of a replica.
///
/// A failed write closes it: the batch may be on disk in part, so nothing more may be
/// acknowledged until it is written again.
#[derive(Debug)]
pub(crate) struct ReplicaJournal {
    folder: PathBuf,
    segments: Vec<SegmentFile>,
    segment_bytes: usize,
    closed: bool,
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

    /// Writes a batch again after its write has failed.
    ///
    /// It is written from the end of the last finished batch on, in place of the parts
    /// that have reached the disk.
    ///
    /// # Errors
    ///
    /// Fails when the disk is still full or broken; the folder is then closed again.
    pub(crate) fn retry_batch(&mut self, batch: &DiskBatch) -> Result<(), JournalError> {
        self.closed = false;
        self.write_batch(batch)
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
        if let Some(segment) = self.segments.last_mut() {
            segment.finish_batch();
        }
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
        let newest = self.segments.last();
        if newest.is_none_or(|segment| segment.is_full(self.segment_bytes)) {
            let segment = SegmentFile::create(&self.folder, number)?;
            self.segments.push(segment);
        }
        self.segments
            .last_mut()
            .map_or(Ok(()), |segment| segment.append(entries))
    }

    /// Removes the oldest segments that hold no entry after `compacted_index`, but never the newest.
    fn compact(&mut self, compacted_index: LogIndex) -> Result<(), JournalError> {
        while let [first, _, ..] = self.segments.as_slice()
            && first.last_index() <= compacted_index
        {
            first.remove()?;
            self.segments.remove(0);
        }
        Ok(())
    }
}

/// Creates a folder and its missing parents, and syncs their directory entries.
pub(crate) fn create_folder(folder: &Path) -> Result<(), JournalError> {
    let folder = path::absolute(folder).map_err(JournalError::storage("find", folder))?;
    let missing: Vec<&Path> = folder
        .ancestors()
        .take_while(|ancestor| !ancestor.exists())
        .collect();
    create_folders(&folder).map_err(JournalError::storage("create", &folder))?;
    missing.into_iter().try_for_each(sync_folder)
}
