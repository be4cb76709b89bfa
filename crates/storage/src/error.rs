//! The one error type of this crate.

use derive_more::{Display, Error};

/// Why the disk could not do what was asked.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum StorageError {
    /// No room is left. Nothing was acknowledged, and trying again after room
    /// was made is safe.
    #[display("disk is full while writing {file}")]
    Full {
        /// File that was written.
        file: String,
    },
    /// Bytes that were synced are damaged or missing. The data folder must not
    /// be used any further.
    #[display("{file} is corrupt at offset {offset}: {reason}")]
    Corrupt {
        /// Damaged file.
        file: String,
        /// Where in it.
        offset: u64,
        /// What was found.
        reason: String,
    },
    /// The operating system refused.
    #[display("{file}: {message}")]
    Io {
        /// File or directory.
        file: String,
        /// What it said.
        message: String,
    },
    /// An earlier sync failed, so that it is unknown what is on disk. Only a
    /// restart, which reads everything back, helps.
    #[display("an earlier sync of {file} failed")]
    Poisoned {
        /// File whose sync failed.
        file: String,
    },
}

impl StorageError {
    /// Damage at `offset` of `file`.
    pub(crate) fn corrupt(file: &str, offset: u64, reason: impl Into<String>) -> Self {
        Self::Corrupt {
            file: file.to_owned(),
            offset,
            reason: reason.into(),
        }
    }

    /// Whether room on the disk would help.
    #[must_use]
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Full { .. })
    }
}
