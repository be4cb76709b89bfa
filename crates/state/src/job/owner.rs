//! Lease requests of an owner that were already answered.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};
use molespan_types::LeaseId;

/// Maximum number of requests kept per owner, newest first. An older request is answered as
/// ended, which is safe because it gets no items. Owners have far fewer requests in flight
/// at once.
const MAX_TRACKED_REQUESTS: usize = 256;

/// Whether a request was answered before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestStatus {
    /// The request is new.
    New,
    /// The request was granted this lease, which may have ended since.
    Leased(LeaseId),
    /// The request got no lease, or is too old to be known.
    Ended,
}

/// Answered requests of one incarnation of an owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Owner {
    /// Incarnation of the owner.
    #[n(0)]
    pub(crate) incarnation: u64,
    /// Requests with a lower number are no longer known.
    #[n(1)]
    floor: u64,
    /// Lease granted to each known request, if any.
    #[n(2)]
    requests: BTreeMap<u64, Option<LeaseId>>,
}

impl Owner {
    /// Creates the entry of a new incarnation.
    pub(crate) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            ..Self::default()
        }
    }

    /// Returns whether request `sequence` was answered before.
    pub(crate) fn status_of(&self, sequence: u64) -> RequestStatus {
        if sequence < self.floor {
            return RequestStatus::Ended;
        }
        match self.requests.get(&sequence) {
            None => RequestStatus::New,
            Some(Some(lease)) => RequestStatus::Leased(*lease),
            Some(None) => RequestStatus::Ended,
        }
    }

    /// Records the answer to request `sequence` and evicts the oldest requests.
    pub(crate) fn record(&mut self, sequence: u64, lease: Option<LeaseId>) {
        self.requests.insert(sequence, lease);
        while self.requests.len() > MAX_TRACKED_REQUESTS {
            if let Some((oldest, _)) = self.requests.pop_first() {
                self.floor = oldest.saturating_add(1);
            }
        }
    }
}
