//! What stays of a settled claim, in memory and on disk.

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};
use molespan_types::{Digest, RunOutcome, TenantId};

use crate::payload::PayloadLocation;

/// Bytes of a claim in a chunk: hash, digest, offset, length, outcome.
pub(crate) const ENTRY_BYTES: usize = 16 + 8 + 8 + 4 + 1;

/// Digest of tenant and key. Equal hashes of two keys are told apart by the
/// [`SettledRecord`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub(crate) struct ClaimHash {
    #[n(0)]
    high: u64,
    #[n(1)]
    low: u64,
}

impl ClaimHash {
    /// The hash of the key that `tenant` uses.
    pub(crate) fn of(tenant: &TenantId, key: &str) -> Self {
        let joined = format!("{tenant}\n{key}");
        let hash = xxhash_rust::xxh3::xxh3_128(joined.as_bytes());
        Self {
            high: (hash >> u64::BITS) as u64,
            low: hash as u64,
        }
    }
}

/// A settled claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct SettledClaim {
    /// Digest of the request's body.
    #[n(0)]
    pub(crate) digest: Digest,
    /// How it ended.
    #[n(1)]
    pub(crate) outcome: RunOutcome,
    /// Where its [`SettledRecord`] lies.
    #[n(2)]
    pub(crate) record: PayloadLocation,
}

/// What the payload log keeps of a settled claim.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct SettledRecord {
    /// Who asked.
    #[n(0)]
    pub(crate) tenant: TenantId,
    /// Key of the request.
    #[n(1)]
    pub(crate) key: String,
    /// Response body when completed.
    #[n(2)]
    pub(crate) answer: ByteVec,
}

impl SettledClaim {
    /// The claim under `hash` as it is written to a chunk.
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

    /// Reads what [`Self::to_bytes`] wrote.
    pub(crate) fn from_bytes(bytes: &[u8; ENTRY_BYTES]) -> (ClaimHash, Self) {
        let hash = ClaimHash {
            high: word(bytes, 0),
            low: word(bytes, 8),
        };
        let length = [bytes[32], bytes[33], bytes[34], bytes[35]];
        let claim = Self {
            digest: Digest(word(bytes, 16)),
            outcome: if bytes[36] == 1 {
                RunOutcome::Completed
            } else {
                RunOutcome::Unknown
            },
            record: PayloadLocation {
                offset: word(bytes, 24),
                length: u32::from_le_bytes(length),
            },
        };
        (hash, claim)
    }
}

/// The 8 bytes at `at` as a number.
fn word(bytes: &[u8; ENTRY_BYTES], at: usize) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&bytes[at..at + 8]);
    u64::from_le_bytes(word)
}
