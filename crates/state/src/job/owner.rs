//! Which lease requests of an owner were answered already.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};
use molespan_types::LeaseId;

/// Newest requests remembered of an owner. An older one is answered as ended,
/// which is safe: it gets no items. Owners have far fewer in flight at once.
const REMEMBERED_REQUESTS: usize = 256;

/// What is known of a request's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestSeen {
    /// It is new.
    New,
    /// It was answered by this lease, which may have ended since.
    Leased(LeaseId),
    /// It was answered without a lease, or lies too far back.
    Ended,
}

/// One life of an owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Owner {
    /// That life.
    #[n(0)]
    pub(crate) incarnation: u64,
    /// Requests below this number are not remembered.
    #[n(1)]
    floor: u64,
    /// Lease granted to each remembered request.
    #[n(2)]
    requests: BTreeMap<u64, Option<LeaseId>>,
}

impl Owner {
    /// A life of which nothing is known yet.
    pub(crate) fn starting(incarnation: u64) -> Self {
        Self {
            incarnation,
            ..Self::default()
        }
    }

    /// What is known of request `sequence`.
    pub(crate) fn seen(&self, sequence: u64) -> RequestSeen {
        if sequence < self.floor {
            return RequestSeen::Ended;
        }
        match self.requests.get(&sequence) {
            None => RequestSeen::New,
            Some(Some(lease)) => RequestSeen::Leased(*lease),
            Some(None) => RequestSeen::Ended,
        }
    }

    /// Remembers the answer to request `sequence`.
    pub(crate) fn remember(&mut self, sequence: u64, lease: Option<LeaseId>) {
        self.requests.insert(sequence, lease);
        while self.requests.len() > REMEMBERED_REQUESTS {
            if let Some((oldest, _)) = self.requests.pop_first() {
                self.floor = oldest.saturating_add(1);
            }
        }
    }
}
