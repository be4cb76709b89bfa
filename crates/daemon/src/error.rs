//! The error type of this crate.

use std::io;
use std::path::PathBuf;

use derive_more::{Display, Error, From};
use molespan_replica::ReplicaError;
use molespan_storage::StorageError;

/// Why a node cannot start or continue.
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
    /// The data folder is inaccessible or damaged.
    #[display("data folder: {_0}")]
    Storage(StorageError),
    /// The replica cannot start or continue.
    #[display("replica: {_0}")]
    Replica(ReplicaError),
    /// The gateway role is enabled, but no platform list is configured.
    #[display("a gateway needs the address of the platform list")]
    NoPlatformList,
    /// The internal interface cannot listen.
    #[display("internal interface: {_0}")]
    InternalInterface(molespan_wire::ServerError),
    /// The HTTP interface cannot listen.
    #[display("HTTP interface: {_0}")]
    HttpInterface(molespan_http::ServerError),
    /// A listening socket for callers cannot be opened.
    #[display("cannot listen: {_0}")]
    #[from(skip)]
    Listen(io::Error),
    /// The operating system could not create a thread.
    #[display("cannot start a thread: {_0}")]
    #[from(skip)]
    Thread(io::Error),
    /// The signal handlers could not be installed.
    #[display("cannot wait for signals: {_0}")]
    #[from(skip)]
    Signals(io::Error),
}
