//! Batch streams on engines.

use minicbor::bytes::ByteVec;
use molespan_types::{BackendId, ItemIndex};

use super::lease::LeaseKey;

/// State of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamState {
    /// Sent, without tokens so far; the engine may be processing the prompt.
    Prefill,
    /// Generating tokens.
    Decoding,
    /// Paused on its engine.
    Paused,
}

/// A batch stream: one run of an item on an engine.
#[derive(Clone, Debug)]
pub(super) struct Stream {
    pub(super) lease: LeaseKey,
    pub(super) item: ItemIndex,
    pub(super) input: ByteVec,
    pub(super) backend: BackendId,
    pub(super) repeatable: bool,
    pub(super) state: StreamState,
    pub(super) tokens: u32,
    /// Runs of this item by this owner, including this one.
    pub(super) runs: u32,
}

impl Stream {
    pub(super) fn is_running(&self) -> bool {
        self.state != StreamState::Paused
    }
}
