//! Files that are replaced atomically: the hard state and snapshots.

use std::{
    fs::{self, File},
    io::ErrorKind,
    path::Path,
};

use serde::{Serialize, de::DeserializeOwned};

use super::{
    JournalError,
    disk_operation::{create_file, rename, sync_all, write_all},
    journal_error::DamageFault,
};

/// The first bytes of a file; the last digit is the format version.
const MAGIC: [u8; 8] = *b"CYCFILE1";
/// Magic (8 bytes), content length (8), content checksum (4) and header checksum (4).
const HEADER_BYTES: usize = 24;
/// The extension of a file that is still being written.
pub(super) const TEMPORARY_EXTENSION: &str = "tmp";

/// Replaces a file atomically and syncs it.
pub(crate) fn replace_file<T: Serialize>(path: &Path, value: &T) -> Result<(), JournalError> {
    let content = encode(path, value)?;
    let temporary = path.with_extension(TEMPORARY_EXTENSION);
    let file = create_file(&temporary).map_err(JournalError::storage("create", &temporary))?;
    write_all(&file, &content).map_err(JournalError::storage("write", &temporary))?;
    sync_all(&file).map_err(JournalError::storage("sync", &temporary))?;
    rename(&temporary, path).map_err(JournalError::storage("rename", &temporary))?;
    sync_folder(path)
}

/// Syncs the parent folder of `path`, so that changes of its directory entry are durable.
pub(super) fn sync_folder(path: &Path) -> Result<(), JournalError> {
    let folder = path.parent().unwrap_or(path);
    File::open(folder)
        .and_then(|file| sync_all(&file))
        .map_err(JournalError::storage("sync", folder))
}

/// Reads a file, or returns `None` if it does not exist.
pub(crate) fn read_file<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, JournalError> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(JournalError::storage("read", path)(error)),
    };
    decode(path, &bytes).map(Some)
}

fn encode<T: Serialize>(path: &Path, value: &T) -> Result<Vec<u8>, JournalError> {
    let content = postcard::to_stdvec(value)
        .map_err(|_| JournalError::damaged(path, 0, DamageFault::Encoding))?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(content.len() as u64).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    bytes.extend_from_slice(&content);
    Ok(bytes)
}

fn decode<T: DeserializeOwned>(path: &Path, bytes: &[u8]) -> Result<T, JournalError> {
    let damaged = |offset, fault| JournalError::damaged(path, offset, fault);
    let Some((header, content)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Err(damaged(0, DamageFault::Length));
    };
    let (fields, header_checksum) = header.split_at(HEADER_BYTES - 4);
    if header_checksum != crc32fast::hash(fields).to_le_bytes() || fields[..8] != MAGIC {
        return Err(damaged(0, DamageFault::Header));
    }
    if fields[8..16] != (content.len() as u64).to_le_bytes() {
        return Err(damaged(HEADER_BYTES, DamageFault::Length));
    }
    if fields[16..20] != crc32fast::hash(content).to_le_bytes() {
        return Err(damaged(HEADER_BYTES, DamageFault::Content));
    }
    postcard::from_bytes(content).map_err(|_| damaged(HEADER_BYTES, DamageFault::Encoding))
}
