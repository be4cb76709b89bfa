//! Snapshots of the groups' state machines.

use molespan_types::GroupId;

use crate::checked_file::{TEMPORARY_SUFFIX, join};
use crate::layout;
use crate::{Disk, StorageError, read_checked, write_checked};

/// Snapshots kept of each group.
const KEPT: usize = 2;
/// Suffix of a snapshot's file.
const SUFFIX: &str = ".snapshot";
/// Bytes in front of the header that hold its length.
const LENGTH_BYTES: usize = 4;

/// A snapshot as it was stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// What the caller needs to know of it; small.
    pub header: Vec<u8>,
    /// The machine's bytes.
    pub machine: Vec<u8>,
}

/// The snapshots of one group, a file each, named by log index.
#[derive(Clone, Debug)]
pub struct SnapshotStore<D> {
    disk: D,
    directory: String,
}

impl<D: Disk> SnapshotStore<D> {
    /// Opens the store of `group` and clears away what a crash left half
    /// written.
    ///
    /// # Errors
    /// When the disk refuses.
    pub fn open(disk: D, group: GroupId) -> Result<Self, StorageError> {
        let directory = layout::snapshots(group);
        disk.create_dir(&directory)?;
        for name in disk.list(&directory)? {
            if name.ends_with(TEMPORARY_SUFFIX) {
                disk.remove(&join(&directory, &name))?;
            }
        }
        Ok(Self { disk, directory })
    }

    /// Stores the snapshot at `index`; it is durable on return.
    ///
    /// # Errors
    /// When the disk refuses; the earlier ones stand.
    pub fn save(&self, index: u64, header: &[u8], machine: &[u8]) -> Result<(), StorageError> {
        let length = (header.len() as u32).to_le_bytes();
        let parts = [&length[..], header, machine];
        write_checked(&self.disk, &self.directory, &file_name(index), &parts)
    }

    /// Reads the snapshot at `index`; `None` when there is none.
    ///
    /// # Errors
    /// [`StorageError::Corrupt`] when it is damaged.
    pub fn load(&self, index: u64) -> Result<Option<Snapshot>, StorageError> {
        let name = file_name(index);
        let Some(bytes) = read_checked(&self.disk, &self.directory, &name)? else {
            return Ok(None);
        };
        split(bytes).map(Some).ok_or_else(|| {
            let path = join(&self.directory, &name);
            StorageError::corrupt(&path, 0, "header does not fit")
        })
    }

    /// Log indexes of the snapshots, rising.
    ///
    /// # Errors
    /// When the disk refuses.
    pub fn indexes(&self) -> Result<Vec<u64>, StorageError> {
        let names = self.disk.list(&self.directory)?;
        Ok(names.iter().filter_map(|name| parse_name(name)).collect())
    }

    /// Removes all but the latest two up to `index`, which is the one that the
    /// log refers to.
    ///
    /// # Errors
    /// When the disk refuses.
    pub fn remove_older(&self, index: u64) -> Result<(), StorageError> {
        let mut indexes = self.indexes()?;
        indexes.retain(|&stored| stored <= index);
        let surplus = indexes.len().saturating_sub(KEPT);
        for &old in &indexes[..surplus] {
            self.disk.remove(&join(&self.directory, &file_name(old)))?;
        }
        Ok(())
    }
}

/// Splits what was read without a copy of the machine, which may be large.
fn split(mut bytes: Vec<u8>) -> Option<Snapshot> {
    let (length, rest) = bytes.split_first_chunk::<LENGTH_BYTES>()?;
    let length = u32::from_le_bytes(*length) as usize;
    let header = rest.get(..length)?.to_vec();
    bytes.drain(..LENGTH_BYTES + length);
    Some(Snapshot {
        header,
        machine: bytes,
    })
}

fn file_name(index: u64) -> String {
    format!("{index:020}{SUFFIX}")
}

fn parse_name(name: &str) -> Option<u64> {
    name.strip_suffix(SUFFIX)?.parse().ok()
}
