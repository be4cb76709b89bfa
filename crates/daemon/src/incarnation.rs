//! The incarnation number of a node, which rises with every start.

use std::path::Path;

use molespan_storage::{RealDisk, StorageError, read_checked, write_checked};
use molespan_types::Incarnation;

use crate::wall_clock::unix_millis;

/// File in the data folder.
const FILE: &str = "incarnation";

/// Starts and persists the next incarnation of the node with data folder `folder`.
///
/// The number is greater than the previous one and at least the current Unix time
/// in milliseconds, so that it also rises after the folder was lost.
///
/// # Errors
/// When the disk reports an error or the file is damaged.
pub fn start_incarnation(folder: &Path) -> Result<Incarnation, StorageError> {
    let disk = RealDisk::open(folder)?;
    let previous = read_checked(&disk, "", FILE)?;
    let previous = previous.and_then(|bytes| <[u8; 8]>::try_from(bytes).ok());
    let successor = previous.map_or(1, |bytes| u64::from_le_bytes(bytes) + 1);
    let number = successor.max(unix_millis());
    write_checked(&disk, "", FILE, &[&number.to_le_bytes()])?;
    Ok(Incarnation(number))
}
