//! Work that a replica returns to its driver.

use crate::{Entry, Fault, HardState, Index, Message, ReplicaId, SnapshotMeta};

/// A message and its receiver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Outgoing {
    /// The receiver.
    pub to: ReplicaId,
    /// The message.
    pub message: Message,
}

/// A read that may be answered once the entry at `index` is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReadReady {
    /// The context passed to [`Replica::read_index`](crate::Replica::read_index).
    pub context: u64,
    /// The entry that must be applied before the read is answered.
    pub index: Index,
}

/// An offer to fetch a snapshot, because the leader no longer has the entries
/// that this replica lacks.
///
/// The leader repeats the offer until the replica has caught up; a driver that
/// is already fetching ignores repeated offers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SnapshotOffer {
    /// The replica to fetch from.
    pub from: ReplicaId,
    /// The snapshot.
    pub meta: SnapshotMeta,
}

/// Work for the driver. Fields without work are empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ready {
    /// Hard state to write and sync before `messages_after_sync` are sent.
    pub hard_state: Option<HardState>,
    /// Entries to append and sync before `messages_after_sync` are sent. The
    /// stored log must first be truncated from the index of the first entry.
    pub entries: Vec<Entry>,
    /// Messages that may be sent immediately, without waiting for the sync.
    pub messages: Vec<Outgoing>,
    /// Messages to send after the sync, or immediately if there is nothing to
    /// sync.
    pub messages_after_sync: Vec<Outgoing>,
    /// Committed entries to apply, in order. Each entry is returned once per run
    /// of the replica, and only after it is synced locally.
    pub committed: Vec<Entry>,
    /// Reads whose log position is confirmed.
    pub reads: Vec<ReadReady>,
    /// Contexts of reads that were dropped because leadership was lost.
    pub failed_reads: Vec<u64>,
    /// A snapshot to fetch.
    pub snapshot_offer: Option<SnapshotOffer>,
    /// The fault because of which the replica has stopped permanently.
    pub fault: Option<Fault>,
}

impl Ready {
    /// Whether the driver has to write and sync, and call
    /// [`Replica::persisted`](crate::Replica::persisted) afterwards.
    #[must_use]
    pub fn needs_sync(&self) -> bool {
        self.hard_state.is_some() || !self.entries.is_empty()
    }

    /// Whether there is no work.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.needs_sync()
            && self.messages.is_empty()
            && self.messages_after_sync.is_empty()
            && self.committed.is_empty()
            && self.reads.is_empty()
            && self.failed_reads.is_empty()
            && self.snapshot_offer.is_none()
            && self.fault.is_none()
    }
}
