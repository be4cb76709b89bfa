//! Layout of the data folder.

use molespan_types::GroupId;

use crate::checked_file::join;
use crate::{Disk, StorageError};

/// File name of the disk identity.
pub(crate) const IDENTITY: &str = "identity";
/// Directory of the write-ahead log.
pub(crate) const LOG: &str = "log";

/// Returns the directory of a group's snapshots.
pub(crate) fn snapshots(group: GroupId) -> String {
    format!("snapshot/{group}")
}

/// Returns the directory of a group's payload log.
pub(crate) fn payloads(group: GroupId) -> String {
    format!("payload/{group}")
}

/// Removes the identity, the write-ahead log and all files of `groups`. If it is
/// interrupted, it must be called again.
///
/// # Errors
/// Fails if the disk operation fails.
pub fn remove_everything<D: Disk>(
    disk: &D,
    groups: impl IntoIterator<Item = GroupId>,
) -> Result<(), StorageError> {
    remove_files(disk, LOG)?;
    for group in groups {
        remove_files(disk, &snapshots(group))?;
        remove_files(disk, &payloads(group))?;
    }
    disk.remove(IDENTITY)?;
    disk.sync_dir("")
}

fn remove_files<D: Disk>(disk: &D, directory: &str) -> Result<(), StorageError> {
    let names = disk.list(directory)?;
    for name in &names {
        disk.remove(&join(directory, name))?;
    }
    if names.is_empty() {
        return Ok(());
    }
    disk.sync_dir(directory)
}
