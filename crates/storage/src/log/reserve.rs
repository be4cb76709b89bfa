//! Bytes held back for writes that are under way when the disk fills.

use super::DIRECTORY;
use crate::{Disk, StorageError};

/// File that takes the room up.
const FILE: &str = "log/reserve";
/// Bytes written at once.
const PIECE: usize = 256 << 10;

/// A file whose removal makes room.
#[derive(Debug)]
pub(super) struct Reserve {
    bytes: u64,
    spent: bool,
}

impl Reserve {
    /// Sets the reserve aside, or finds it. On a full disk it counts as spent.
    pub fn open<D: Disk>(disk: &D, bytes: u64) -> Result<Self, StorageError> {
        let mut reserve = Self { bytes, spent: true };
        reserve.restore(disk)?;
        Ok(reserve)
    }

    pub fn is_spent(&self) -> bool {
        self.spent
    }

    /// Makes room. Says whether there was any to make.
    pub fn spend<D: Disk>(&mut self, disk: &D) -> Result<bool, StorageError> {
        if self.spent {
            return Ok(false);
        }
        self.spent = true;
        disk.remove(FILE)?;
        disk.sync_dir(DIRECTORY)?;
        Ok(true)
    }

    /// Sets the room aside again; says whether it is there.
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
        let zeros = vec![0; PIECE];
        while length < self.bytes {
            let piece = (self.bytes - length).min(PIECE as u64) as usize;
            disk.append(FILE, &zeros[..piece])?;
            length += piece as u64;
        }
        disk.sync(FILE)
    }
}
