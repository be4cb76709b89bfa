//! Identification and origin of a stream over all tries of its caller.

use std::fmt;

use derive_more::Display;
use minicbor::bytes::ByteArray;
use minicbor::{Decode, Encode};
use molespan_types::SoftwareVersion;
use sha2::{Digest, Sha256};

/// Number of SHA-256 bytes that are kept: enough that nobody can find another stream with
/// the same bytes.
const BYTES: usize = 16;

/// Identifies a stream by its tenant and the identifier of the request whose answer brought
/// its first event. A tenant cannot name the stream of another.
#[derive(Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[display("{:032x}", u128::from_be_bytes(**_0))]
#[cbor(transparent)]
pub struct StreamKey(#[n(0)] ByteArray<BYTES>);

impl StreamKey {
    /// Returns the key of a stream; `tenant` is `None` where there are no tenants.
    #[must_use]
    pub fn of(tenant: Option<&str>, request: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update([u8::from(tenant.is_some())]);
        let tenant = tenant.unwrap_or_default();
        hash.update((tenant.len() as u64).to_be_bytes());
        hash.update(tenant);
        hash.update(request);
        let whole: [u8; 32] = hash.finalize().into();
        let mut kept = [0; BYTES];
        kept.copy_from_slice(&whole[..BYTES]);
        Self(kept.into())
    }
}

impl fmt::Debug for StreamKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// Where a stream began; only engines of the same service and software version may go on
/// with it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct StreamOrigin {
    /// Service of the engine that sent the first event.
    #[n(0)]
    pub service: String,
    /// Software version of that engine.
    #[n(1)]
    pub version: SoftwareVersion,
}
