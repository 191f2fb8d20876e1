use std::{
    fs::{File, TryLockError},
    path::Path,
};

use super::JournalError;

/// The name of the lock file.
const LOCK_NAME: &str = "lock";

/// Keeps other processes out of a data folder until it is dropped.
#[derive(Debug)]
pub(crate) struct FolderLock {
    _file: File,
}

impl FolderLock {
    /// Locks the folder.
    ///
    /// Fails when another process has it.
    pub(crate) fn acquire(folder: &Path) -> Result<Self, JournalError> {
        let path = folder.join(LOCK_NAME);
        let file = File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&path)
            .map_err(JournalError::storage("open", &path))?;
        match file.try_lock() {
            Ok(()) => Ok(Self { _file: file }),
            Err(TryLockError::WouldBlock) => Err(JournalError::Locked { path }),
            Err(TryLockError::Error(cause)) => Err(JournalError::storage("lock", &path)(cause)),
        }
    }
}
