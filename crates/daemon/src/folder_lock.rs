//! Prevents a second process from using a data folder.

use std::fs::{File, TryLockError};
use std::path::Path;

use molespan_storage::RealDisk;

use crate::DaemonError;

/// Name of the lock file in the data folder.
const FILE: &str = "lock";

/// An exclusive lock on the data folder, released on drop.
#[derive(Debug)]
pub(crate) struct FolderLock {
    _file: File,
}

impl FolderLock {
    /// Locks `folder`, creating it if it is missing.
    ///
    /// # Errors
    /// When another process holds the lock, or the file system reports an error.
    pub fn take(folder: &Path) -> Result<Self, DaemonError> {
        RealDisk::open(folder)?;
        let path = folder.join(FILE);
        let file = File::create(path).map_err(DaemonError::FolderLock)?;
        match file.try_lock() {
            Ok(()) => Ok(Self { _file: file }),
            Err(TryLockError::WouldBlock) => Err(DaemonError::FolderInUse {
                folder: folder.to_owned(),
            }),
            Err(TryLockError::Error(error)) => Err(DaemonError::FolderLock(error)),
        }
    }
}
