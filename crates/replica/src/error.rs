//! The one error type of this crate.

use derive_more::{Display, Error, From};
use molespan_consensus::{ConsensusError, Fault};
use molespan_state::{PayloadError, StateError};
use molespan_storage::StorageError;
use molespan_types::GroupId;

/// Why a replica process has to stop. Every error is final: only a new start,
/// which reads everything back from disk, may help.
#[derive(Debug, Display, Error, From)]
pub enum ReplicaError {
    /// The settings cannot work.
    #[display("settings: {}", problems.join("; "))]
    #[from(skip)]
    Settings {
        /// Every problem found.
        problems: Vec<String>,
    },
    /// The disk refused or is damaged.
    #[display("{_0}")]
    Storage(StorageError),
    /// The stored log of a group is not whole.
    #[display("group {group}: {source}")]
    #[from(skip)]
    Consensus {
        /// Group.
        group: GroupId,
        /// What was found.
        source: ConsensusError,
    },
    /// A group contradicts what is committed here.
    #[display("group {group}: {source}")]
    #[from(skip)]
    Fault {
        /// Group.
        group: GroupId,
        /// What was found.
        source: Fault,
    },
    /// A stored snapshot cannot be read.
    #[display("group {group}: {source}")]
    #[from(skip)]
    State {
        /// Group.
        group: GroupId,
        /// What was found.
        source: StateError,
    },
    /// A command could not be applied, since a payload cannot be read.
    #[display("group {group}: {source}")]
    #[from(skip)]
    Payload {
        /// Group.
        group: GroupId,
        /// What was found.
        source: PayloadError,
    },
}
