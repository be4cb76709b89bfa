//! Persistent record of a process about itself and other replicas.

use std::collections::{BTreeMap, BTreeSet};

use minicbor::{Decode, Encode};
use molespan_consensus::ReplicaId;
use molespan_storage::{Disk, StorageError, read_checked, remove_everything, write_checked};
use molespan_types::GroupId;

use crate::message::{JoinState, KnownVoters};

/// Name of the file that stores the record.
const FILE: &str = "fleet";
/// Name of the file that marks an unfinished wipe of the data folder.
const WIPE_MARKER_FILE: &str = "emptying";

/// The latest known start of one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct BootRecord {
    #[n(0)]
    pub boot: u64,
    #[n(1)]
    pub session: u64,
}

/// Persistent record of a process about itself and other replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct FleetRecord {
    /// How far this incarnation has joined the groups.
    #[n(0)]
    pub join_state: JoinState,
    /// The founders; empty if unknown.
    #[n(1)]
    pub founders: BTreeSet<ReplicaId>,
    /// Whether the first entry of each group has been written to the log.
    #[n(2)]
    pub bootstrapped: bool,
    /// The latest known start of each other incarnation.
    #[n(3)]
    pub boots: BTreeMap<ReplicaId, BootRecord>,
    /// Replicas that were removed from a group and replaced.
    #[n(4)]
    pub replaced: BTreeSet<ReplicaId>,
    /// The latest known voters, if members are discovered.
    #[n(5)]
    #[cbor(default)]
    pub voters: KnownVoters,
}

impl FleetRecord {
    /// Reads the record from disk; returns an empty one if none is stored.
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

    /// Replaces the stored record by this one durably.
    pub fn store<D: Disk>(&self, disk: &D) -> Result<(), StorageError> {
        write_checked(disk, "", FILE, &[&molespan_state::encode(self)])
    }

    /// Returns the record for the next incarnation on this disk.
    pub fn successor(&self) -> Self {
        Self {
            join_state: JoinState::Joining,
            founders: self.founders.clone(),
            bootstrapped: false,
            boots: self.boots.clone(),
            replaced: self.replaced.clone(),
            voters: self.voters.clone(),
        }
    }
}

/// Ends the current incarnation: wipes the disk and keeps only the successor of
/// `record` for the next incarnation. If a crash interrupts the wipe,
/// [`finish_wipe`] completes it at the next start.
pub(crate) fn wipe<D: Disk>(
    disk: &D,
    record: &FleetRecord,
    groups: impl IntoIterator<Item = GroupId>,
) -> Result<(), StorageError> {
    let successor = molespan_state::encode(&record.successor());
    write_checked(disk, "", WIPE_MARKER_FILE, &[&successor])?;
    finish_wipe(disk, groups)
}

/// Completes a wipe that was interrupted by a crash.
pub(crate) fn finish_wipe<D: Disk>(
    disk: &D,
    groups: impl IntoIterator<Item = GroupId>,
) -> Result<(), StorageError> {
    let Some(successor) = read_checked(disk, "", WIPE_MARKER_FILE)? else {
        return Ok(());
    };
    remove_everything(disk, groups)?;
    write_checked(disk, "", FILE, &[&successor])?;
    disk.remove(WIPE_MARKER_FILE)?;
    disk.sync_dir("")
}
