//! The payload log: item inputs and results of a job group, or outputs of a batch group.

use derive_more::{Display, Error};
use minicbor::{Decode, Encode};

/// Location of a payload in its group's payload log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(array)]
pub struct PayloadLocation {
    /// Offset from the start of the log, in bytes.
    #[n(0)]
    pub offset: u64,
    /// Length in bytes.
    #[n(1)]
    pub length: u32,
}

/// Error from reading or writing a payload.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum PayloadError {
    /// The location is outside the log.
    #[display("no payload at offset {offset}")]
    Missing {
        /// Requested offset.
        offset: u64,
    },
    /// The payload fails its checksum.
    #[display("payload at offset {offset} fails its checksum")]
    Corrupt {
        /// Requested offset.
        offset: u64,
    },
    /// A disk operation failed.
    #[display("payload log: {message}")]
    Disk {
        /// Error message of the disk.
        message: String,
    },
}

/// An append-only log of payloads. It is identical on every replica of a job group and
/// local to each replica of a batch group.
pub trait PayloadLog {
    /// Appends `payload` and returns its location.
    ///
    /// # Errors
    /// Fails if the disk operation fails.
    fn append(&mut self, payload: &[u8]) -> Result<PayloadLocation, PayloadError>;

    /// Reads a payload.
    ///
    /// # Errors
    /// Fails if there is no payload at `location`, if it is damaged, or if the disk
    /// operation fails.
    fn read(&self, location: PayloadLocation) -> Result<Vec<u8>, PayloadError>;

    /// Returns the length of the log, in bytes.
    fn length(&self) -> u64;
}

/// A payload log in memory, for the simulator and tests.
#[derive(Clone, Debug, Default)]
pub struct MemoryPayloadLog {
    bytes: Vec<u8>,
}

impl MemoryPayloadLog {
    /// Returns the content of the log.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Creates a log with this content, for example from a snapshot.
    #[must_use]
    pub fn from_bytes(bytes: Vec<u8>) -> Self {
        Self { bytes }
    }
}

impl PayloadLog for MemoryPayloadLog {
    fn append(&mut self, payload: &[u8]) -> Result<PayloadLocation, PayloadError> {
        let offset = self.length();
        self.bytes.extend_from_slice(payload);
        let length = payload.len() as u32;
        Ok(PayloadLocation { offset, length })
    }

    fn read(&self, location: PayloadLocation) -> Result<Vec<u8>, PayloadError> {
        let start = location.offset as usize;
        let end = start + location.length as usize;
        let missing = PayloadError::Missing {
            offset: location.offset,
        };
        self.bytes
            .get(start..end)
            .map(<[u8]>::to_vec)
            .ok_or(missing)
    }

    fn length(&self) -> u64 {
        self.bytes.len() as u64
    }
}
