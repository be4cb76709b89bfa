//! Leases on items, as their holder sees them.
//!
//! Invariant: a lease is used only until 0.6 of its length after the request
//! that last granted or renewed it was sent, on this node's clock. The leader
//! frees it after its whole length on its own clock, counted from when it
//! handled that request, which is later.

use std::collections::{BTreeSet, VecDeque};

use molespan_state::job::{GrantedLease, LeasedItem};
use molespan_types::{BackendId, GroupId, JobId, LeaseId, Timestamp};

use super::journal::Journal;
use super::message::StreamId;
use super::stream::Stream;

/// Names a lease across groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct LeaseKey {
    pub(super) group: GroupId,
    pub(super) lease: LeaseId,
}

/// An item that waits for its turn, and how often this owner ran it.
#[derive(Clone, Debug)]
pub(super) struct PendingItem {
    pub(super) leased: LeasedItem,
    pub(super) runs: u32,
}

/// One lease.
#[derive(Clone, Debug)]
pub(super) struct ItemLease {
    pub(super) job: JobId,
    pub(super) backend: BackendId,
    pub(super) repeatable: bool,
    pub(super) pending: VecDeque<PendingItem>,
    pub(super) streams: BTreeSet<StreamId>,
    pub(super) journal: Journal,
    /// Record and return requests that are out.
    pub(super) requests_out: u32,
    /// When its holder must stop.
    pub(super) valid_until: Timestamp,
    /// Set once its streams were stopped; nothing more is started under it.
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
            requests_out: 0,
            valid_until,
            revoked: false,
        }
    }

    /// Whether nothing is left to run.
    pub(super) fn has_run_all(&self) -> bool {
        self.pending.is_empty() && self.streams.is_empty()
    }

    /// Whether nothing is left to do.
    pub(super) fn is_done(&self) -> bool {
        self.has_run_all() && self.journal.is_empty() && self.requests_out == 0
    }
}

impl PendingItem {
    /// The item of a stream that was stopped.
    pub(super) fn of(stream: Stream) -> Self {
        Self {
            leased: LeasedItem {
                item: stream.item,
                input: stream.input,
            },
            runs: stream.runs,
        }
    }
}
