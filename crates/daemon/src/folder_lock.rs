//! Guards a data folder against a second process.

use std::fs::{File, TryLockError};
use std::path::Path;

use molespan_storage::RealDisk;

use crate::DaemonError;

/// File in the data folder that is locked.
const FILE: &str = "lock";

/// Holds the data folder for this process until dropped.
#[derive(Debug)]
pub(crate) struct FolderLock {
    _file: File,
}

impl FolderLock {
    /// Takes `folder`, which is created when missing.
    ///
    /// # Errors
    /// When another process holds it, or the system refuses.
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
