//! The error type of this crate.

use derive_more::{Display, Error, From};
use molespan_consensus::{ConsensusError, Fault};
use molespan_state::{PayloadError, StateError};
use molespan_storage::StorageError;
use molespan_types::GroupId;

/// Why a replica process has to stop. No error is recoverable within the process;
/// only a restart, which reloads all state from disk, may help.
#[derive(Debug, Display, Error, From)]
pub enum ReplicaError {
    /// The settings are invalid.
    #[display("settings: {}", problems.join("; "))]
    #[from(skip)]
    Settings {
        /// All problems found.
        problems: Vec<String>,
    },
    /// The disk returned an error or its data is corrupt.
    #[display("{_0}")]
    Storage(StorageError),
    /// The stored log of a group is inconsistent.
    #[display("group {group}: {source}")]
    #[from(skip)]
    Consensus {
        /// Group.
        group: GroupId,
        /// Cause.
        source: ConsensusError,
    },
    /// A group's leader conflicts with entries committed on this replica.
    #[display("group {group}: {source}")]
    #[from(skip)]
    Fault {
        /// Group.
        group: GroupId,
        /// Cause.
        source: Fault,
    },
    /// A stored or fetched snapshot cannot be restored.
    #[display("group {group}: {source}")]
    #[from(skip)]
    State {
        /// Group.
        group: GroupId,
        /// Cause.
        source: StateError,
    },
    /// A command could not be applied because of an error in the payload log.
    #[display("group {group}: {source}")]
    #[from(skip)]
    Payload {
        /// Group.
        group: GroupId,
        /// Cause.
        source: PayloadError,
    },
}
