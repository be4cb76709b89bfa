//! Errors of restoring a machine.

use derive_more::{Display, Error, From};

use crate::codec::DecodeError;

/// Why a snapshot could not be restored.
#[derive(Debug, Display, Error, From)]
pub enum StateError {
    /// The bytes are not a snapshot of this machine.
    #[display("snapshot: {_0}")]
    Decode(DecodeError),
    /// The snapshot was written in a format that this build does not know.
    #[display("snapshot format {found} is not supported, expected {expected}")]
    #[from(skip)]
    Format {
        /// Format of the snapshot.
        found: u32,
        /// Format of this build.
        expected: u32,
    },
}
