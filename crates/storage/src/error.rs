//! The error type of this crate.

use derive_more::{Display, Error};

/// Error of a storage operation.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum StorageError {
    /// The disk is full. Nothing was acknowledged, and the operation can be retried after
    /// space was freed.
    #[display("disk is full while writing {file}")]
    Full {
        /// File that was written.
        file: String,
    },
    /// Synced bytes are damaged or missing. The data folder must not be used any further.
    #[display("{file} is corrupt at offset {offset}: {reason}")]
    Corrupt {
        /// Damaged file.
        file: String,
        /// Offset in the file, in bytes.
        offset: u64,
        /// Description of the damage.
        reason: String,
    },
    /// An operation of the operating system failed.
    #[display("{file}: {message}")]
    Io {
        /// File or directory.
        file: String,
        /// Error message.
        message: String,
    },
    /// An earlier sync failed, so the content of the disk is unknown. Only a restart, which
    /// reads everything again, can recover.
    #[display("an earlier sync of {file} failed")]
    Poisoned {
        /// File whose sync failed.
        file: String,
    },
}

impl StorageError {
    /// Creates a [`Self::Corrupt`] error at `offset` of `file`.
    pub(crate) fn corrupt(file: &str, offset: u64, reason: impl Into<String>) -> Self {
        Self::Corrupt {
            file: file.to_owned(),
            offset,
            reason: reason.into(),
        }
    }

    /// Whether the error was caused by a full disk.
    #[must_use]
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Full { .. })
    }
}
