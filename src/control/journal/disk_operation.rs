//! The operations that change a data folder. A full disk refuses them, in tests one by one.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write},
    os::unix::fs::FileExt,
    path::Path,
};

#[cfg(test)]
use super::tests::disk_plan::{admit, admit_bytes};

/// A kind of operation that a disk may refuse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DiskOperation {
    Create,
    Write,
    SetLength,
    Sync,
    Rename,
    Remove,
}

#[cfg(not(test))]
#[allow(clippy::unnecessary_wraps)]
const fn admit(_: DiskOperation) -> io::Result<()> {
    Ok(())
}

/// Returns how many of the bytes are written before the disk refuses the rest.
#[cfg(not(test))]
const fn admit_bytes(_: DiskOperation, length: usize) -> usize {
    length
}

/// Opens a file for writing, and creates it if it does not exist.
pub(super) fn open_or_create(path: &Path, options: &mut OpenOptions) -> io::Result<File> {
    if !path.exists() {
        admit(DiskOperation::Create)?;
    }
    options.create(true).write(true).open(path)
}

/// Creates a folder and its missing parents.
pub(super) fn create_folders(path: &Path) -> io::Result<()> {
    if !path.exists() {
        admit(DiskOperation::Create)?;
    }
    fs::create_dir_all(path)
}

/// Creates a file, or empties an existing one.
pub(super) fn create_file(path: &Path) -> io::Result<File> {
    admit(DiskOperation::Create)?;
    File::create(path)
}

/// Writes all bytes at the end of the file.
pub(super) fn write_all(mut file: &File, bytes: &[u8]) -> io::Result<()> {
    let admitted = admit_bytes(DiskOperation::Write, bytes.len());
    file.write_all(&bytes[..admitted])?;
    refuse_rest(admitted, bytes)
}

/// Writes all bytes at `offset`.
pub(super) fn write_all_at(file: &File, bytes: &[u8], offset: u64) -> io::Result<()> {
    let admitted = admit_bytes(DiskOperation::Write, bytes.len());
    file.write_all_at(&bytes[..admitted], offset)?;
    refuse_rest(admitted, bytes)
}

fn refuse_rest(admitted: usize, bytes: &[u8]) -> io::Result<()> {
    if admitted < bytes.len() {
        return Err(io::ErrorKind::StorageFull.into());
    }
    Ok(())
}

pub(super) fn set_length(file: &File, length: usize) -> io::Result<()> {
    admit(DiskOperation::SetLength)?;
    file.set_len(length as u64)
}

pub(super) fn sync_all(file: &File) -> io::Result<()> {
    admit(DiskOperation::Sync)?;
    file.sync_all()
}

pub(super) fn sync_data(file: &File) -> io::Result<()> {
    admit(DiskOperation::Sync)?;
    file.sync_data()
}

pub(super) fn rename(from: &Path, to: &Path) -> io::Result<()> {
    admit(DiskOperation::Rename)?;
    fs::rename(from, to)
}

pub(super) fn remove_file(path: &Path) -> io::Result<()> {
    admit(DiskOperation::Remove)?;
    fs::remove_file(path)
}
