//! Reserved disk space for writes that are in progress when the disk becomes full.

use super::DIRECTORY;
use crate::{Disk, StorageError};

/// File that occupies the reserved space.
const FILE: &str = "log/reserve";
/// Number of bytes written at once.
const CHUNK_BYTES: usize = 256 << 10;

/// A file that is removed to free space.
#[derive(Debug)]
pub(super) struct Reserve {
    bytes: u64,
    spent: bool,
}

impl Reserve {
    /// Opens or creates the reserve. On a full disk it counts as spent.
    pub fn open<D: Disk>(disk: &D, bytes: u64) -> Result<Self, StorageError> {
        let mut reserve = Self { bytes, spent: true };
        reserve.restore(disk)?;
        Ok(reserve)
    }

    pub fn is_spent(&self) -> bool {
        self.spent
    }

    /// Frees the reserved space and returns whether the reserve was available.
    pub fn spend<D: Disk>(&mut self, disk: &D) -> Result<bool, StorageError> {
        if self.spent {
            return Ok(false);
        }
        self.spent = true;
        disk.remove(FILE)?;
        disk.sync_dir(DIRECTORY)?;
        Ok(true)
    }

    /// Allocates the reserve again and returns whether it is available.
    pub fn restore<D: Disk>(&mut self, disk: &D) -> Result<bool, StorageError> {
        if !self.spent {
            return Ok(true);
        }
        match self.fill(disk) {
            Ok(()) => {
                self.spent = false;
                Ok(true)
            }
            Err(error) if error.is_full() => {
                disk.remove(FILE)?;
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }

    fn fill<D: Disk>(&self, disk: &D) -> Result<(), StorageError> {
        let mut length = disk.length(FILE)?.unwrap_or(0);
        if length >= self.bytes {
            return Ok(());
        }
        let zeros = vec![0; CHUNK_BYTES];
        while length < self.bytes {
            let chunk = (self.bytes - length).min(CHUNK_BYTES as u64) as usize;
            disk.append(FILE, &zeros[..chunk])?;
            length += chunk as u64;
        }
        disk.sync(FILE)
    }
}
