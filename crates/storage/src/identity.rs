//! Identity of a disk.

use minicbor::{Decode, Encode};
use molespan_types::NodeId;

use crate::{Disk, StorageError, read_checked, write_checked};

use crate::layout::IDENTITY as FILE;

/// The identity of a data folder. An empty folder gets a new one, so that a replica whose
/// disk was lost is not mistaken for its previous incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DiskIdentity {
    /// Node that the folder belongs to.
    #[n(0)]
    pub node: NodeId,
    /// Random number generated when the folder was empty.
    #[n(1)]
    pub incarnation: u32,
    /// Number of starts on this folder, including the current one.
    #[n(2)]
    pub boot: u64,
}

impl DiskIdentity {
    /// Opens the folder for a new start: increments and syncs the boot counter. An empty
    /// folder gets `fresh_incarnation`.
    ///
    /// # Errors
    /// Fails if the file is damaged or belongs to another node, or if the disk operation
    /// fails.
    pub fn open<D: Disk>(
        disk: &D,
        node: NodeId,
        fresh_incarnation: u32,
    ) -> Result<Self, StorageError> {
        let mut identity = match read_checked(disk, "", FILE)? {
            Some(bytes) => decode(&bytes)?,
            None => Self {
                node,
                incarnation: fresh_incarnation,
                boot: 0,
            },
        };
        if identity.node != node {
            let reason = format!("belongs to node {}", identity.node);
            return Err(StorageError::corrupt(FILE, 0, reason));
        }
        identity.boot += 1;
        identity.store(disk)?;
        Ok(identity)
    }

    /// Replaces the stored identity with this one.
    ///
    /// # Errors
    /// Fails if the disk operation fails.
    pub fn store<D: Disk>(&self, disk: &D) -> Result<(), StorageError> {
        let bytes = molespan_state::encode(self);
        write_checked(disk, "", FILE, &[&bytes])
    }
}

fn decode(bytes: &[u8]) -> Result<DiskIdentity, StorageError> {
    molespan_state::decode(bytes).map_err(|error| StorageError::corrupt(FILE, 0, error.to_string()))
}
