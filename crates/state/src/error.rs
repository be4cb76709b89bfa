//! Errors from restoring a state machine.

use derive_more::{Display, Error, From};

use crate::codec::DecodeError;

/// Error from restoring a snapshot.
#[derive(Debug, Display, Error, From)]
pub enum StateError {
    /// The bytes are not a snapshot of this machine.
    #[display("snapshot: {_0}")]
    Decode(DecodeError),
    /// The snapshot has a format that this build does not support.
    #[display("snapshot format {found} is not supported, expected {expected}")]
    #[from(skip)]
    Format {
        /// Format of the snapshot.
        found: u32,
        /// Format supported by this build.
        expected: u32,
    },
}
