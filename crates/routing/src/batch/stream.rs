//! Batch streams on engines.

use minicbor::bytes::ByteVec;
use molespan_types::{BackendId, ItemIndex};

use super::lease::LeaseKey;

/// Where a stream stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamState {
    /// Sent; no token yet, so its prompt may be being processed.
    Prefill,
    /// Generating.
    Decoding,
    /// Held back on its engine.
    Paused,
}

/// One stream.
#[derive(Clone, Debug)]
pub(super) struct Stream {
    pub(super) lease: LeaseKey,
    pub(super) item: ItemIndex,
    pub(super) input: ByteVec,
    pub(super) backend: BackendId,
    pub(super) repeatable: bool,
    pub(super) state: StreamState,
    pub(super) tokens: u32,
    /// Runs of this item by this owner, with this one.
    pub(super) runs: u32,
}

impl Stream {
    pub(super) fn is_running(&self) -> bool {
        self.state != StreamState::Paused
    }
}
