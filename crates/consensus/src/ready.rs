//! Work that a replica hands to its driver.

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
    /// What the driver gave to [`Replica::read_index`](crate::Replica::read_index).
    pub context: u64,
    /// The entry that must be applied before the answer.
    pub index: Index,
}

/// An invitation to fetch a snapshot, since the leader no longer has the
/// entries that this replica lacks.
///
/// The leader repeats it until the replica has caught up; a driver that is
/// already fetching ignores repetitions.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SnapshotOffer {
    /// The replica to fetch from.
    pub from: ReplicaId,
    /// The snapshot.
    pub meta: SnapshotMeta,
}

/// Work for the driver. Fields that need no work are empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ready {
    /// To be written and synced before `messages_after_sync` go out.
    pub hard_state: Option<HardState>,
    /// To be appended and synced before `messages_after_sync` go out. The index
    /// of the first tells where an old suffix of the log is cut off.
    pub entries: Vec<Entry>,
    /// May go at once, also before the sync.
    pub messages: Vec<Outgoing>,
    /// Go out after the sync, or at once if there is nothing to sync.
    pub messages_after_sync: Vec<Outgoing>,
    /// To be applied, in order. Each is handed out once per life of the
    /// replica, and only after it was synced here.
    pub committed: Vec<Entry>,
    /// Reads whose position is confirmed.
    pub reads: Vec<ReadReady>,
    /// Contexts of reads that were dropped because leadership was lost.
    pub failed_reads: Vec<u64>,
    /// A snapshot to fetch.
    pub snapshot_offer: Option<SnapshotOffer>,
    /// The replica has stopped for good.
    pub fault: Option<Fault>,
}

impl Ready {
    /// Whether the driver has to write and sync, and then call
    /// [`Replica::persisted`](crate::Replica::persisted).
    #[must_use]
    pub fn needs_sync(&self) -> bool {
        self.hard_state.is_some() || !self.entries.is_empty()
    }

    /// Whether there is nothing to do.
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
