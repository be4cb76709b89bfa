//! Storage for snapshots of state machines.

use molespan_types::GroupId;

use crate::checked_file::{TEMPORARY_SUFFIX, join};
use crate::layout;
use crate::{Disk, StorageError, read_checked, write_checked};

/// Number of snapshots kept for each group.
const KEPT_SNAPSHOTS: usize = 2;
/// File name suffix of a snapshot.
const SUFFIX: &str = ".snapshot";
/// Size of the length field before the header, in bytes.
const LENGTH_BYTES: usize = 4;

/// A stored snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Small metadata defined by the caller.
    pub header: Vec<u8>,
    /// Encoded state machine.
    pub machine: Vec<u8>,
}

/// Snapshots of one group, stored as one file each and named by log index.
#[derive(Clone, Debug)]
pub struct SnapshotStore<D> {
    disk: D,
    directory: String,
}

impl<D: Disk> SnapshotStore<D> {
    /// Opens the store of `group` and removes files that a crash left incomplete.
    ///
    /// # Errors
    /// Fails if the disk operation fails.
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

    /// Stores the snapshot at `index`. It is durable on return.
    ///
    /// # Errors
    /// Fails if the disk operation fails; earlier snapshots are kept.
    pub fn save(&self, index: u64, header: &[u8], machine: &[u8]) -> Result<(), StorageError> {
        let length = (header.len() as u32).to_le_bytes();
        let parts = [&length[..], header, machine];
        write_checked(&self.disk, &self.directory, &file_name(index), &parts)
    }

    /// Reads the snapshot at `index`; `None` if it does not exist.
    ///
    /// # Errors
    /// Returns [`StorageError::Corrupt`] if the snapshot is damaged, or the error of the
    /// disk.
    pub fn load(&self, index: u64) -> Result<Option<Snapshot>, StorageError> {
        let name = file_name(index);
        let Some(bytes) = read_checked(&self.disk, &self.directory, &name)? else {
            return Ok(None);
        };
        split(bytes).map(Some).ok_or_else(|| {
            let path = join(&self.directory, &name);
            StorageError::corrupt(&path, 0, "file is shorter than its header")
        })
    }

    /// Returns the log indexes of the snapshots in ascending order.
    ///
    /// # Errors
    /// Fails if the disk operation fails.
    pub fn indexes(&self) -> Result<Vec<u64>, StorageError> {
        let names = self.disk.list(&self.directory)?;
        Ok(names.iter().filter_map(|name| parse_name(name)).collect())
    }

    /// Removes all but the latest two of the snapshots up to `index`, which is the snapshot
    /// that the log refers to.
    ///
    /// # Errors
    /// Fails if the disk operation fails.
    pub fn remove_older(&self, index: u64) -> Result<(), StorageError> {
        let mut indexes = self.indexes()?;
        indexes.retain(|&stored| stored <= index);
        let surplus = indexes.len().saturating_sub(KEPT_SNAPSHOTS);
        for &old in &indexes[..surplus] {
            self.disk.remove(&join(&self.directory, &file_name(old)))?;
        }
        Ok(())
    }
}

/// Splits the content of a file without copying the machine, which may be large.
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
