//! Content digests.

use derive_more::Display;
use minicbor::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// A 64-bit xxh3 digest, used to compare contents for equality. It is not
/// cryptographic: it detects accidental differences, not deliberate collisions.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Encode,
    Decode,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
#[cbor(transparent)]
#[serde(transparent)]
pub struct Digest(#[n(0)] pub u64);

/// Returns the digest of `content`.
#[must_use]
pub fn digest_of(content: &[u8]) -> Digest {
    Digest(xxhash_rust::xxh3::xxh3_64(content))
}
