//! The number of a node's life, which rises with every start.

use std::path::Path;

use molespan_storage::{RealDisk, StorageError, read_checked, write_checked};
use molespan_types::Incarnation;

use crate::wall_clock::unix_millis;

/// File in the data folder.
const FILE: &str = "incarnation";

/// Begins the next life of the node whose data folder is `folder`, durably.
///
/// A life's number is higher than that of the one before and not below the
/// time of day in milliseconds, so that it also rises over a lost folder.
///
/// # Errors
/// When the disk refuses or the file is damaged.
pub fn begin_life(folder: &Path) -> Result<Incarnation, StorageError> {
    let disk = RealDisk::open(folder)?;
    let previous = read_checked(&disk, "", FILE)?;
    let previous = previous.and_then(|bytes| <[u8; 8]>::try_from(bytes).ok());
    let successor = previous.map_or(1, |bytes| u64::from_le_bytes(bytes) + 1);
    let life = successor.max(unix_millis());
    write_checked(&disk, "", FILE, &[&life.to_le_bytes()])?;
    Ok(Incarnation(life))
}
