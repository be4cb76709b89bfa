//! Crash reports that gateways and relays exchange.

use minicbor::{Decode, Encode};
use molespan_state::declared::RequestDigest;
use xxhash_rust::xxh3::xxh3_64;

/// Identifies an incarnation of an engine between gateways, in eight bytes.
pub type EngineKey = u64;

/// Returns the key of the incarnation with this identifier.
#[must_use]
pub fn engine_key(id: &str) -> EngineKey {
    xxh3_64(id.as_bytes())
}

/// A request that was running on an engine when the engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Blame {
    /// Digest of the request.
    #[n(0)]
    pub request: RequestDigest,
    /// Incarnation of the engine that ended.
    #[n(1)]
    pub engine: EngineKey,
    /// Milliseconds since the engine ended, as computed by the sender, so that clocks are
    /// not compared.
    #[n(2)]
    pub age_ms: u64,
    /// Whether the request was answered completely since, and is no longer blamed.
    #[n(3)]
    pub cleared: bool,
}
