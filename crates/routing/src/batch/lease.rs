//! Leases on items, as tracked by their holder.
//!
//! Invariant: on this node's clock, a lease is used only until 0.6 of its
//! duration after the request that granted or last renewed it was sent. The
//! leader frees the lease after its full duration on the leader's clock, counted
//! from when it handled that request, which is later.

use std::collections::{BTreeSet, VecDeque};

use molespan_state::job::{GrantedLease, LeasedItem};
use molespan_types::{BackendId, GroupId, JobId, LeaseId, Timestamp};

use super::journal::Journal;
use super::message::StreamId;
use super::stream::Stream;

/// Identifies a lease across groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct LeaseKey {
    pub(super) group: GroupId,
    pub(super) lease: LeaseId,
}

/// A leased item that is not running, and how often this owner has run it.
#[derive(Clone, Debug)]
pub(super) struct PendingItem {
    pub(super) leased: LeasedItem,
    pub(super) runs: u32,
}

/// A lease on items of one job, for one engine.
#[derive(Clone, Debug)]
pub(super) struct ItemLease {
    pub(super) job: JobId,
    pub(super) backend: BackendId,
    pub(super) repeatable: bool,
    pub(super) pending: VecDeque<PendingItem>,
    pub(super) streams: BTreeSet<StreamId>,
    pub(super) journal: Journal,
    /// Record and return requests in flight.
    pub(super) requests_in_flight: u32,
    /// When the holder must stop using the lease.
    pub(super) valid_until: Timestamp,
    /// Set once the streams of the lease are stopped; no more are started.
    pub(super) revoked: bool,
}

impl ItemLease {
    pub(super) fn new(backend: BackendId, granted: GrantedLease, valid_until: Timestamp) -> Self {
        let pending = granted
            .items
            .into_iter()
            .map(|leased| PendingItem { leased, runs: 0 });
        Self {
            job: granted.job,
            backend,
            repeatable: granted.repeatable,
            pending: pending.collect(),
            streams: BTreeSet::new(),
            journal: Journal::default(),
            requests_in_flight: 0,
            valid_until,
            revoked: false,
        }
    }

    /// Whether no item is pending or running.
    pub(super) fn has_run_all(&self) -> bool {
        self.pending.is_empty() && self.streams.is_empty()
    }

    /// Whether no item is pending or running and all results are recorded.
    pub(super) fn is_done(&self) -> bool {
        self.has_run_all() && self.journal.is_empty() && self.requests_in_flight == 0
    }
}

impl PendingItem {
    /// Creates a pending item from a stopped stream.
    pub(super) fn from_stream(stream: Stream) -> Self {
        Self {
            leased: LeasedItem {
                item: stream.item,
                input: stream.input,
            },
            runs: stream.runs,
        }
    }
}
