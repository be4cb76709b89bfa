//! The log of item inputs and results beside a job group, and of outputs beside a batch
//! group.

use derive_more::{Display, Error};
use minicbor::{Decode, Encode};

/// Where a payload lies in its group's payload log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(array)]
pub struct PayloadLocation {
    /// Bytes from the start of the log.
    #[n(0)]
    pub offset: u64,
    /// Length in bytes.
    #[n(1)]
    pub length: u32,
}

/// Why a payload could not be read or written.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum PayloadError {
    /// The location lies outside the log.
    #[display("no payload at offset {offset}")]
    Missing {
        /// Requested offset.
        offset: u64,
    },
    /// The bytes fail their checksum.
    #[display("payload at offset {offset} fails its checksum")]
    Corrupt {
        /// Requested offset.
        offset: u64,
    },
    /// The disk refused.
    #[display("payload log: {message}")]
    Disk {
        /// What the disk said.
        message: String,
    },
}

/// An append-only log of payloads: the same on every replica of a job group, and each
/// replica's own in a batch group.
pub trait PayloadLog {
    /// Appends `payload` and says where it lies.
    ///
    /// # Errors
    /// When the disk refuses.
    fn append(&mut self, payload: &[u8]) -> Result<PayloadLocation, PayloadError>;

    /// Reads a payload back.
    ///
    /// # Errors
    /// When there is none at `location`, it is damaged, or the disk refuses.
    fn read(&self, location: PayloadLocation) -> Result<Vec<u8>, PayloadError>;

    /// Bytes in the log.
    fn length(&self) -> u64;
}

/// A payload log in memory, for the simulator and tests.
#[derive(Clone, Debug, Default)]
pub struct MemoryPayloadLog {
    bytes: Vec<u8>,
}

impl MemoryPayloadLog {
    /// The whole log.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// A log with this content, as restored from a snapshot.
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
