use std::{
    fs::{File, OpenOptions, TryLockError},
    path::Path,
};

use super::{JournalError, disk_operation::open_or_create};

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
        let file = open_or_create(&path, OpenOptions::new().truncate(false))
            .map_err(JournalError::storage("open", &path))?;
        match file.try_lock() {
            Ok(()) => Ok(Self { _file: file }),
            Err(TryLockError::WouldBlock) => Err(JournalError::Locked { path }),
            Err(TryLockError::Error(cause)) => Err(JournalError::storage("lock", &path)(cause)),
        }
    }
}
