//! Representation of a settled claim in memory and on disk.

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};
use molespan_types::{Digest, RunOutcome, TenantId};

use crate::payload::PayloadLocation;

/// Size of a claim in a chunk, in bytes: hash, digest, offset, length, outcome.
pub(crate) const ENTRY_BYTES: usize = 16 + 8 + 8 + 4 + 1;

/// Hash of tenant and key. The [`SettledRecord`] distinguishes two keys that have the same
/// hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub(crate) struct ClaimHash {
    #[n(0)]
    high: u64,
    #[n(1)]
    low: u64,
}

impl ClaimHash {
    /// Returns the hash of `key` in the namespace of `tenant`.
    pub(crate) fn of(tenant: &TenantId, key: &str) -> Self {
        let joined = format!("{tenant}\n{key}");
        let hash = xxhash_rust::xxh3::xxh3_128(joined.as_bytes());
        Self {
            high: (hash >> u64::BITS) as u64,
            low: hash as u64,
        }
    }
}

/// Index entry of a settled claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct SettledClaim {
    /// Digest of the request's body.
    #[n(0)]
    pub(crate) digest: Digest,
    /// Outcome of the request.
    #[n(1)]
    pub(crate) outcome: RunOutcome,
    /// Location of the [`SettledRecord`] in the payload log.
    #[n(2)]
    pub(crate) record: PayloadLocation,
}

/// Record of a settled claim in the payload log.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct SettledRecord {
    /// Tenant that sent the request.
    #[n(0)]
    pub(crate) tenant: TenantId,
    /// Idempotency key of the request.
    #[n(1)]
    pub(crate) key: String,
    /// Response body if the request completed.
    #[n(2)]
    pub(crate) answer: ByteVec,
}

impl SettledClaim {
    /// Encodes the claim and its `hash` as they are stored in a chunk.
    pub(crate) fn to_bytes(self, hash: ClaimHash) -> [u8; ENTRY_BYTES] {
        let mut bytes = [0; ENTRY_BYTES];
        bytes[0..8].copy_from_slice(&hash.high.to_le_bytes());
        bytes[8..16].copy_from_slice(&hash.low.to_le_bytes());
        bytes[16..24].copy_from_slice(&self.digest.0.to_le_bytes());
        bytes[24..32].copy_from_slice(&self.record.offset.to_le_bytes());
        bytes[32..36].copy_from_slice(&self.record.length.to_le_bytes());
        bytes[36] = u8::from(self.outcome == RunOutcome::Completed);
        bytes
    }

    /// Decodes an entry written by [`Self::to_bytes`].
    pub(crate) fn from_bytes(bytes: &[u8; ENTRY_BYTES]) -> (ClaimHash, Self) {
        let hash = ClaimHash {
            high: read_u64(bytes, 0),
            low: read_u64(bytes, 8),
        };
        let length = [bytes[32], bytes[33], bytes[34], bytes[35]];
        let claim = Self {
            digest: Digest(read_u64(bytes, 16)),
            outcome: if bytes[36] == 1 {
                RunOutcome::Completed
            } else {
                RunOutcome::Unknown
            },
            record: PayloadLocation {
                offset: read_u64(bytes, 24),
                length: u32::from_le_bytes(length),
            },
        };
        (hash, claim)
    }
}

/// Reads the 8 bytes at `at` as a little-endian number.
fn read_u64(bytes: &[u8; ENTRY_BYTES], at: usize) -> u64 {
    let mut buffer = [0; 8];
    buffer.copy_from_slice(&bytes[at..at + 8]);
    u64::from_le_bytes(buffer)
}
