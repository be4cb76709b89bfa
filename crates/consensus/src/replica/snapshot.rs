//! Snapshots: compaction on one side, installation on the other.

use super::Replica;
use crate::{AppendOutcome, Index, ReplicaId, SnapshotMeta, SnapshotOffer};

impl Replica {
    /// Position, term and membership that a snapshot taken at `index` stands
    /// for; nothing if the entry is not applied or no longer in memory.
    #[must_use]
    pub fn snapshot_meta(&self, index: Index) -> Option<SnapshotMeta> {
        if index > self.log.applied() {
            return None;
        }
        self.log.meta_at(index)
    }

    /// Notes that the driver has durably stored a snapshot of its own. Entries
    /// up to it leave the memory, but for a few that slow followers may need.
    pub fn compact(&mut self, meta: SnapshotMeta) {
        self.log.compact(
            meta,
            self.config.trailing_entries,
            self.config.trailing_bytes,
        );
    }

    /// Whether an offered snapshot would still bring this replica forward. The
    /// driver asks before it replaces the state of its machine.
    #[must_use]
    pub fn wants_snapshot(&self, meta: &SnapshotMeta) -> bool {
        self.fault.is_none() && meta.index > self.log.applied()
    }

    /// Notes that the driver has durably stored the offered snapshot and
    /// replaced the state of its machine by it.
    ///
    /// Stored entries behind the snapshot stay if the stored log holds the
    /// entry at `meta.index` with `meta.term`; else the whole stored log goes.
    pub fn snapshot_installed(&mut self, meta: SnapshotMeta) {
        if !self.wants_snapshot(&meta) {
            return;
        }
        let match_index = meta.index;
        self.log.install_snapshot(meta);
        if let Some(leader) = self.leader.filter(|leader| *leader != self.config.id) {
            self.send_append_response(leader, AppendOutcome::Accepted { match_index });
        }
    }

    pub(super) fn handle_snapshot_notice(&mut self, from: ReplicaId, meta: SnapshotMeta) {
        if meta.index <= self.log.commit() || self.log.holds(meta.index, meta.term) {
            // What a snapshot contains is committed.
            self.log.commit_to(meta.index);
            let match_index = self.log.commit();
            self.send_append_response(from, AppendOutcome::Accepted { match_index });
            return;
        }
        self.output.snapshot_offer = Some(SnapshotOffer { from, meta });
    }
}
