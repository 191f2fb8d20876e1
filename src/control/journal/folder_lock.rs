use std::{
    fs::{File, TryLockError},
    path::Path,
};

use super::JournalError;

const LOCK_FILE_NAME: &str = "lock";

/// An exclusive lock on a data folder, released when dropped.
#[derive(Debug)]
pub(crate) struct FolderLock {
    _file: File,
}

impl FolderLock {
    /// Locks the folder. Fails if another process holds the lock.
    pub(crate) fn acquire(folder: &Path) -> Result<Self, JournalError> {
        let path = folder.join(LOCK_FILE_NAME);
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
