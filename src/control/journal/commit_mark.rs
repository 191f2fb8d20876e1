use std::{
    fs::{self, File, OpenOptions},
    io::ErrorKind,
    path::{Path, PathBuf},
};

use super::{
    JournalError,
    atomic_file::sync_folder,
    disk_operation::{open_or_create, sync_data, write_all_at},
};
use crate::control::replica::LogIndex;

const MARK_FILE_NAME: &str = "commit-mark";
/// An index (8 bytes) and its checksum (4).
const MARK_BYTES: usize = 12;
/// The distance between the two slots, chosen so that a torn write damages only one.
const SLOT_SPACING_BYTES: u64 = 512;

/// The file with the index of the last entry known to be committed. A restarted replica can
/// restore a committed state from it before it reaches the others.
///
/// The two slots are written in turn; if one is torn or lost, the other is used.
#[derive(Debug)]
pub(super) struct CommitMark {
    path: PathBuf,
    file: Option<File>,
    write_count: u64,
}

impl CommitMark {
    /// Creates the mark of a data folder; the first write creates its file.
    pub(super) fn new(folder: &Path) -> Self {
        Self {
            path: folder.join(MARK_FILE_NAME),
            file: None,
            write_count: 0,
        }
    }

    /// Reads the index, or returns zero if there is no valid slot.
    pub(super) fn read(&self) -> Result<LogIndex, JournalError> {
        let bytes = match fs::read(&self.path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(LogIndex::ZERO),
            Err(error) => return Err(JournalError::storage("read", &self.path)(error)),
        };
        let slots = [0, usize::try_from(SLOT_SPACING_BYTES).unwrap_or_default()];
        let marks = slots
            .into_iter()
            .filter_map(|start| decode(bytes.get(start..start + MARK_BYTES)?));
        Ok(marks.max().unwrap_or_default())
    }

    /// Writes an index to the next slot and syncs it.
    pub(super) fn write(&mut self, index: LogIndex) -> Result<(), JournalError> {
        let file = match self.file.take() {
            Some(file) => file,
            None => self.open()?,
        };
        let slot = (self.write_count % 2) * SLOT_SPACING_BYTES;
        write_all_at(&file, &encode(index), slot)
            .and_then(|()| sync_data(&file))
            .map_err(JournalError::storage("write", &self.path))?;
        // Until then a retry writes the same slot, so that the other one stays valid.
        self.write_count += 1;
        self.file = Some(file);
        Ok(())
    }

    fn open(&self) -> Result<File, JournalError> {
        let existed = self.path.exists();
        let file = open_or_create(&self.path, OpenOptions::new().truncate(false))
            .map_err(JournalError::storage("open", &self.path))?;
        if !existed {
            sync_folder(&self.path)?;
        }
        Ok(file)
    }
}

fn encode(index: LogIndex) -> [u8; MARK_BYTES] {
    let mut bytes = [0; MARK_BYTES];
    bytes[..8].copy_from_slice(&index.number().to_le_bytes());
    let checksum = crc32fast::hash(&bytes[..8]);
    bytes[8..].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

fn decode(bytes: &[u8]) -> Option<LogIndex> {
    let (index, checksum) = bytes.split_first_chunk::<8>()?;
    (checksum == crc32fast::hash(index).to_le_bytes())
        .then(|| LogIndex::new(u64::from_le_bytes(*index)))
}
