//! Crash reports that gateways and relays exchange.

use minicbor::{Decode, Encode};
use molespan_state::declared::RequestDigest;
use xxhash_rust::xxh3::xxh3_64;

use super::features::Shared;

/// Identifies an incarnation of an engine between gateways, in eight bytes.
pub type EngineKey = u64;

/// Returns the key of the incarnation with this identifier.
#[must_use]
pub fn engine_key(id: &str) -> EngineKey {
    xxh3_64(id.as_bytes())
}

/// A request that was running on an engine when the engine ended.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
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
    /// What the request shares with others, if that may have ended the engine; `None` from
    /// nodes of an older build.
    #[n(4)]
    pub shared: Option<SharedBlame>,
    /// How far the answer had got when the engine ended; `None` from nodes of an older build.
    #[n(5)]
    pub progress: Option<Progress>,
}

/// How far the answer to a request had got when its engine ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Progress {
    /// Number of the last event of the answer before this run, or 0.
    #[n(0)]
    pub resumed_after: u64,
    /// Number of events in this run.
    #[n(1)]
    pub events: u64,
    /// Milliseconds between the first and the last event of this run.
    #[n(2)]
    pub written_ms: u64,
}

/// Number of events behind which the end of an engine is not blamed on the parts of a prompt:
/// a part that ends engines does so as they begin to write.
const MAX_SUSPECT_EVENTS: u64 = 2;
/// Time for which an engine writes an answer before its end says nothing of what it ran before:
/// several times as long as requests that end engines take to do so.
const MIN_WRITTEN_MS: u64 = 1_000;

impl Progress {
    /// Whether the engine had begun to write for longer than a part that ends engines lets it.
    #[must_use]
    pub fn has_begun(self) -> bool {
        self.events > MAX_SUSPECT_EVENTS
    }

    /// Whether the engine had run the request for a while before it ended.
    #[must_use]
    pub fn has_written_long(self) -> bool {
        self.has_begun() && self.written_ms >= MIN_WRITTEN_MS
    }

    /// Returns the number of the last event.
    #[must_use]
    pub fn reached(self) -> u64 {
        self.resumed_after.saturating_add(self.events)
    }
}

/// What a request shares with others and may have ended an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct SharedBlame {
    /// What it shares.
    #[n(0)]
    pub shared: Shared,
    /// Parts that are no longer blamed, as bits: an engine answered a request with them
    /// completely since.
    #[n(1)]
    pub cleared: u32,
}

impl From<Shared> for SharedBlame {
    fn from(shared: Shared) -> Self {
        Self { shared, cleared: 0 }
    }
}

impl SharedBlame {
    /// Returns the parts that are still blamed.
    pub fn blamed(&self) -> impl Iterator<Item = &RequestDigest> {
        let parts = self.shared.parts.iter().enumerate();
        parts
            .filter(|(place, _)| self.cleared & (1 << place) == 0)
            .map(|(_, part)| part)
    }

    /// Clears a part; returns whether it was blamed.
    pub(super) fn clear(&mut self, part: &RequestDigest) -> bool {
        let before = self.cleared;
        for (place, known) in self.shared.parts.iter().enumerate() {
            if known == part {
                self.cleared |= 1 << place;
            }
        }
        self.cleared != before
    }
}
