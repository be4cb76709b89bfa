//! A real disk that counts what is written and synced.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use molespan_storage::{Disk, RealDisk, StorageError};

/// What was written since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskUse {
    /// Bytes appended to files.
    pub bytes: u64,
    /// Syncs of files.
    pub syncs: u64,
}

/// A data folder of the operating system that counts.
#[derive(Clone, Debug)]
pub struct CountingDisk {
    disk: RealDisk,
    bytes: Arc<AtomicU64>,
    syncs: Arc<AtomicU64>,
}

impl CountingDisk {
    /// The folder at `root`.
    ///
    /// # Errors
    /// When the operating system refuses.
    pub fn open(root: &Path) -> Result<Self, StorageError> {
        Ok(Self {
            disk: RealDisk::open(root)?,
            bytes: Arc::default(),
            syncs: Arc::default(),
        })
    }

    /// The counters now.
    #[must_use]
    pub fn used(&self) -> DiskUse {
        DiskUse {
            bytes: self.bytes.load(Ordering::Relaxed),
            syncs: self.syncs.load(Ordering::Relaxed),
        }
    }
}

impl Disk for CountingDisk {
    fn create_dir(&self, directory: &str) -> Result<(), StorageError> {
        self.disk.create_dir(directory)
    }

    fn list(&self, directory: &str) -> Result<Vec<String>, StorageError> {
        self.disk.list(directory)
    }

    fn length(&self, file: &str) -> Result<Option<u64>, StorageError> {
        self.disk.length(file)
    }

    fn read_at(&self, file: &str, offset: u64, length: usize) -> Result<Vec<u8>, StorageError> {
        self.disk.read_at(file, offset, length)
    }

    fn append(&self, file: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let length = bytes.len() as u64;
        self.bytes.fetch_add(length, Ordering::Relaxed);
        self.disk.append(file, bytes)
    }

    fn sync(&self, file: &str) -> Result<(), StorageError> {
        self.syncs.fetch_add(1, Ordering::Relaxed);
        self.disk.sync(file)
    }

    fn sync_dir(&self, directory: &str) -> Result<(), StorageError> {
        self.disk.sync_dir(directory)
    }

    fn rename(&self, from: &str, to: &str) -> Result<(), StorageError> {
        self.disk.rename(from, to)
    }

    fn remove(&self, file: &str) -> Result<(), StorageError> {
        self.disk.remove(file)
    }

    fn truncate(&self, file: &str, length: u64) -> Result<(), StorageError> {
        self.disk.truncate(file, length)
    }
}
