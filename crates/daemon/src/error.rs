//! The one error type of this crate.

use derive_more::{Display, Error, From};
use molespan_replica::ReplicaError;
use molespan_storage::StorageError;
use molespan_wire::ServerError;

/// Why a node cannot start or go on.
#[derive(Debug, Display, Error, From)]
pub enum DaemonError {
    /// The data folder refuses or is damaged.
    #[display("data folder: {_0}")]
    Storage(StorageError),
    /// The replica cannot start or go on.
    #[display("replica: {_0}")]
    Replica(ReplicaError),
    /// The internal interface cannot listen.
    #[display("internal interface: {_0}")]
    Listen(ServerError),
    /// The system gave no thread.
    #[display("cannot start a thread: {_0}")]
    Thread(std::io::Error),
}
