//! Content digests.

use derive_more::Display;
use minicbor::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// A 64-bit xxh3 digest of some content, to tell equal bodies from others.
/// It guards against mistakes, not against an attacker.
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

/// The digest of `content`.
#[must_use]
pub fn digest_of(content: &[u8]) -> Digest {
    Digest(xxhash_rust::xxh3::xxh3_64(content))
}
