//! What a process keeps on disk about itself and the others.

use std::collections::{BTreeMap, BTreeSet};

use minicbor::{Decode, Encode};
use molespan_consensus::ReplicaId;
use molespan_storage::{Disk, StorageError, read_checked, remove_everything, write_checked};
use molespan_types::GroupId;

use crate::message::{KnownVoters, Standing};

/// File that holds the record.
const FILE: &str = "fleet";
/// File whose presence says that the folder is being emptied.
const EMPTYING_FILE: &str = "emptying";

/// The latest start of one life of a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct BootRecord {
    #[n(0)]
    pub boot: u64,
    #[n(1)]
    pub session: u64,
}

/// What a process keeps on disk about itself and the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct FleetRecord {
    /// How this life takes part.
    #[n(0)]
    pub standing: Standing,
    /// The first voters; empty when not known.
    #[n(1)]
    pub founders: BTreeSet<ReplicaId>,
    /// Whether the first entry of each group was written to the log.
    #[n(2)]
    pub bootstrapped: bool,
    /// The latest start of other lives.
    #[n(3)]
    pub boots: BTreeMap<ReplicaId, BootRecord>,
    /// Lives that lost their vote to a successor.
    #[n(4)]
    pub replaced: BTreeSet<ReplicaId>,
    /// Voters, where members are discovered.
    #[n(5)]
    #[cbor(default)]
    pub voters: KnownVoters,
}

impl FleetRecord {
    /// Reads the record; an empty one when there is none.
    pub fn load<D: Disk>(disk: &D) -> Result<Self, StorageError> {
        match read_checked(disk, "", FILE)? {
            Some(bytes) => molespan_state::decode(&bytes).map_err(|error| StorageError::Corrupt {
                file: FILE.to_owned(),
                offset: 0,
                reason: error.to_string(),
            }),
            None => Ok(Self::default()),
        }
    }

    /// Replaces the stored record by this one.
    pub fn store<D: Disk>(&self, disk: &D) -> Result<(), StorageError> {
        write_checked(disk, "", FILE, &[&molespan_state::encode(self)])
    }

    /// The record of the life that follows on this disk.
    pub fn successor(&self) -> Self {
        Self {
            standing: Standing::Joining,
            founders: self.founders.clone(),
            bootstrapped: false,
            boots: self.boots.clone(),
            replaced: self.replaced.clone(),
            voters: self.voters.clone(),
        }
    }
}

/// Ends the life of this disk: removes everything but `record`, which belongs
/// to the next life. A crash in between is made good by
/// [`finish_emptying`] at the next start.
pub(crate) fn empty<D: Disk>(
    disk: &D,
    record: &FleetRecord,
    groups: impl IntoIterator<Item = GroupId>,
) -> Result<(), StorageError> {
    let successor = molespan_state::encode(&record.successor());
    write_checked(disk, "", EMPTYING_FILE, &[&successor])?;
    finish_emptying(disk, groups)
}

/// Goes on with an emptying that a crash cut short.
pub(crate) fn finish_emptying<D: Disk>(
    disk: &D,
    groups: impl IntoIterator<Item = GroupId>,
) -> Result<(), StorageError> {
    let Some(successor) = read_checked(disk, "", EMPTYING_FILE)? else {
        return Ok(());
    };
    remove_everything(disk, groups)?;
    write_checked(disk, "", FILE, &[&successor])?;
    disk.remove(EMPTYING_FILE)?;
    disk.sync_dir("")
}
