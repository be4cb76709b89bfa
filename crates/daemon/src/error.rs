//! The one error type of this crate.

use std::io;
use std::path::PathBuf;

use derive_more::{Display, Error, From};
use molespan_replica::ReplicaError;
use molespan_storage::StorageError;

/// Why a node cannot start or go on.
#[derive(Debug, Display, Error, From)]
pub enum DaemonError {
    /// Another process uses the data folder.
    #[display("data folder: another process uses {}", folder.display())]
    #[from(skip)]
    FolderInUse {
        /// The folder.
        folder: PathBuf,
    },
    /// The data folder cannot be locked.
    #[display("data folder: cannot be locked: {_0}")]
    #[from(skip)]
    FolderLock(io::Error),
    /// The data folder refuses or is damaged.
    #[display("data folder: {_0}")]
    Storage(StorageError),
    /// The replica cannot start or go on.
    #[display("replica: {_0}")]
    Replica(ReplicaError),
    /// The gateway role was asked for without a platform list.
    #[display("a gateway needs the address of the platform list")]
    NoPlatformList,
    /// The internal interface cannot listen.
    #[display("internal interface: {_0}")]
    InternalInterface(molespan_wire::ServerError),
    /// The HTTP interface cannot listen.
    #[display("HTTP interface: {_0}")]
    HttpInterface(molespan_http::ServerError),
    /// An address for callers cannot be had.
    #[display("cannot listen: {_0}")]
    #[from(skip)]
    Listen(io::Error),
    /// The system gave no thread.
    #[display("cannot start a thread: {_0}")]
    #[from(skip)]
    Thread(io::Error),
    /// The system gave no signals.
    #[display("cannot wait for signals: {_0}")]
    #[from(skip)]
    Signals(io::Error),
}
