use std::{
    fs::{self, File, OpenOptions},
    io::ErrorKind,
    path::{Path, PathBuf},
};

use super::{
    JournalError,
    atomic_file::sync_folder,
    disk_operation::{
        create_file, remove_file, set_length, sync_all, sync_data, write_all, write_all_at,
    },
    journal_error::DamageFault,
    log_record::{ParsedRecord, encode_record, parse_record},
};
use crate::control::replica::{LogEntry, LogIndex};

/// The first bytes of a segment; the last digit is the format version.
const MAGIC: [u8; 8] = *b"CYCSEGM1";
/// Magic (8 bytes), segment number (8) and the checksum of both (4).
const SEGMENT_HEADER_BYTES: usize = 20;
/// The extension of a segment file.
pub(super) const SEGMENT_EXTENSION: &str = "segment";

/// One file of the log. Only the newest one is appended to.
#[derive(Debug)]
pub(super) struct SegmentFile {
    file: File,
    path: PathBuf,
    number: u64,
    /// The bytes of the header and of finished batches.
    length: usize,
    /// The bytes that the current batch has written and synced after them.
    appended: usize,
    /// Whether there may be bytes of an unfinished batch after them.
    unfinished: bool,
    last_index: LogIndex,
}

/// The content of a segment when it was opened.
#[derive(Debug)]
pub(super) struct SegmentContent {
    /// The entries in the order they were written.
    pub(super) entries: Vec<LogEntry>,
    /// The length of the torn record that was cut off, in bytes.
    pub(super) torn_bytes: usize,
}

impl SegmentFile {
    /// Creates an empty segment, and syncs it with its directory entry. A file that an
    /// interrupted creation has left is replaced.
    pub(super) fn create(folder: &Path, number: u64) -> Result<Self, JournalError> {
        let path = segment_path(folder, number);
        let file = create_file(&path).map_err(JournalError::storage("create", &path))?;
        write_all(&file, &segment_header(number)).map_err(JournalError::storage("write", &path))?;
        sync_all(&file).map_err(JournalError::storage("sync", &path))?;
        sync_folder(&path)?;
        Ok(Self {
            file,
            path,
            number,
            length: SEGMENT_HEADER_BYTES,
            appended: 0,
            unfinished: false,
            last_index: LogIndex::ZERO,
        })
    }

    /// Opens and reads a segment; a torn record at the end of the newest one is cut off.
    ///
    /// If even the header of the newest segment is incomplete, removes the file and returns
    /// `None`.
    pub(super) fn open(
        path: &Path,
        number: u64,
        is_newest: bool,
    ) -> Result<Option<(Self, SegmentContent)>, JournalError> {
        let bytes = fs::read(path).map_err(JournalError::storage("read", path))?;
        if bytes.len() < SEGMENT_HEADER_BYTES {
            if is_newest {
                remove_file(path).map_err(JournalError::storage("remove", path))?;
                sync_folder(path)?;
                return Ok(None);
            }
            return Err(JournalError::damaged(path, 0, DamageFault::Length));
        }
        if bytes[..SEGMENT_HEADER_BYTES] != segment_header(number) {
            return Err(JournalError::damaged(path, 0, DamageFault::Header));
        }
        let (entries, length) = read_entries(path, &bytes, is_newest)?;
        let file = open_file(path)?;
        let torn_bytes = bytes.len() - length;
        if torn_bytes > 0 {
            set_length(&file, length)
                .and_then(|()| sync_all(&file))
                .map_err(JournalError::storage("cut", path))?;
        }
        let last_index = entries.iter().map(|entry| entry.index).max();
        let segment = Self {
            file,
            path: path.to_owned(),
            number,
            length,
            appended: 0,
            unfinished: false,
            last_index: last_index.unwrap_or_default(),
        };
        let content = SegmentContent {
            entries,
            torn_bytes,
        };
        Ok(Some((segment, content)))
    }

    /// Appends the entries of a batch with a single sync, in place of what an unfinished
    /// batch has left.
    pub(super) fn append(&mut self, entries: &[LogEntry]) -> Result<(), JournalError> {
        let mut buffer = Vec::new();
        for entry in entries {
            if !encode_record(entry, &mut buffer) {
                let fault = DamageFault::Encoding;
                return Err(JournalError::damaged(&self.path, self.length, fault));
            }
            self.last_index = self.last_index.max(entry.index);
        }
        if self.unfinished {
            self.cut_unfinished()?;
        }
        self.unfinished = true;
        write_all_at(&self.file, &buffer, self.length as u64)
            .map_err(JournalError::storage("write", &self.path))?;
        sync_data(&self.file).map_err(JournalError::storage("sync", &self.path))?;
        self.appended = buffer.len();
        Ok(())
    }

    /// Keeps what the current batch has appended.
    pub(super) fn finish_batch(&mut self) {
        if self.appended > 0 {
            self.length += std::mem::take(&mut self.appended);
            self.unfinished = false;
        }
    }

    /// Cuts off what an unfinished batch has left. A part of it may be only in memory, so
    /// that it can't be kept.
    fn cut_unfinished(&mut self) -> Result<(), JournalError> {
        self.file = open_file(&self.path)?;
        let metadata = self.file.metadata();
        let found = metadata.map_err(JournalError::storage("read", &self.path))?;
        if found.len() < self.length as u64 {
            let fault = DamageFault::Length;
            return Err(JournalError::damaged(&self.path, self.length, fault));
        }
        self.appended = 0;
        set_length(&self.file, self.length).map_err(JournalError::storage("cut", &self.path))
    }

    /// Removes the file, unless it has been removed.
    pub(super) fn remove(&self) -> Result<(), JournalError> {
        match remove_file(&self.path) {
            Err(error) if error.kind() != ErrorKind::NotFound => {
                Err(JournalError::storage("remove", &self.path)(error))
            }
            Ok(()) | Err(_) => Ok(()),
        }
    }

    /// Returns the segment's number.
    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// Returns whether the next batch belongs to a new segment.
    ///
    /// A segment without a finished batch is never full, so that a batch which failed there
    /// is written there again.
    pub(super) fn is_full(&self, segment_bytes: usize) -> bool {
        self.length > SEGMENT_HEADER_BYTES && self.length >= segment_bytes
    }

    /// Returns the largest index of its entries, zero if it has none.
    pub(super) fn last_index(&self) -> LogIndex {
        self.last_index
    }
}

fn open_file(path: &Path) -> Result<File, JournalError> {
    OpenOptions::new()
        .write(true)
        .open(path)
        .map_err(JournalError::storage("open", path))
}

fn read_entries(
    path: &Path,
    bytes: &[u8],
    is_newest: bool,
) -> Result<(Vec<LogEntry>, usize), JournalError> {
    let mut entries = Vec::new();
    let mut offset = SEGMENT_HEADER_BYTES;
    loop {
        match parse_record(&bytes[offset..]) {
            ParsedRecord::Entry(entry, length) => {
                entries.push(entry);
                offset += length;
            }
            ParsedRecord::End => return Ok((entries, offset)),
            ParsedRecord::Torn if is_newest => return Ok((entries, offset)),
            ParsedRecord::Torn => {
                return Err(JournalError::damaged(path, offset, DamageFault::Length));
            }
            ParsedRecord::Damaged(fault) => {
                return Err(JournalError::damaged(path, offset, fault));
            }
        }
    }
}

/// Parses the number of a segment from its file name.
pub(super) fn segment_number(path: &Path) -> Option<u64> {
    if path.extension()? != SEGMENT_EXTENSION {
        return None;
    }
    path.file_stem()?
        .to_str()?
        .strip_prefix("log-")?
        .parse()
        .ok()
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("log-{number:020}.{SEGMENT_EXTENSION}"))
}

fn segment_header(number: u64) -> [u8; SEGMENT_HEADER_BYTES] {
    let mut header = [0; SEGMENT_HEADER_BYTES];
    header[..8].copy_from_slice(&MAGIC);
    header[8..16].copy_from_slice(&number.to_le_bytes());
    let checksum = crc32fast::hash(&header[..16]);
    header[16..].copy_from_slice(&checksum.to_le_bytes());
    header
}
