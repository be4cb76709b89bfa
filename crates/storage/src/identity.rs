//! Which life of a disk this is.

use minicbor::{Decode, Encode};
use molespan_types::NodeId;

use crate::{Disk, StorageError, read_checked, write_checked};

use crate::layout::IDENTITY as FILE;

/// The identity of a data folder. A blank folder gets a new one, so that a
/// replica whose disk was lost is never taken for its former self.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DiskIdentity {
    /// Node that the folder belongs to.
    #[n(0)]
    pub node: NodeId,
    /// Drawn at random when the folder was blank.
    #[n(1)]
    pub incarnation: u32,
    /// Starts on this folder so far, this one included.
    #[n(2)]
    pub boot: u64,
}

impl DiskIdentity {
    /// Opens the folder for one more start: raises and syncs the boot counter.
    /// A blank folder takes `fresh_incarnation`.
    ///
    /// # Errors
    /// When the file is damaged or belongs to another node, or the disk
    /// refuses.
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

    /// Replaces the stored identity by this one.
    ///
    /// # Errors
    /// When the disk refuses.
    pub fn store<D: Disk>(&self, disk: &D) -> Result<(), StorageError> {
        let bytes = molespan_state::encode(self);
        write_checked(disk, "", FILE, &[&bytes])
    }
}

fn decode(bytes: &[u8]) -> Result<DiskIdentity, StorageError> {
    molespan_state::decode(bytes).map_err(|error| StorageError::corrupt(FILE, 0, error.to_string()))
}
