//! On-disk storage of a replica: the write-ahead log, snapshots, payload logs and the
//! identity of the disk.
//!
//! All file access uses the [`Disk`] trait, so that the daemon's [`RealDisk`] and the
//! [`SimulatedDisk`] of tests run the same code. A write is durable only once it is synced;
//! after a failed sync, nothing written since the last successful sync can be relied on.

mod checked_file;
mod disk;
mod error;
mod identity;
mod layout;
mod log;
mod payload;
mod real;
mod simulated;
mod snapshot;

pub use checked_file::{read_checked, write_checked};
pub use disk::Disk;
pub use error::StorageError;
pub use identity::DiskIdentity;
pub use layout::remove_everything;
pub use log::{GroupRecovery, LogEntry, LogSettings, Recovery, SnapshotMark, WriteAheadLog};
pub use payload::FilePayloadLog;
pub use real::RealDisk;
pub use simulated::{SimulatedDisk, SimulatedDiskCounters};
pub use snapshot::{Snapshot, SnapshotStore};
