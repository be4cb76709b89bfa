//! Snapshots: compaction of the log, and installation of the leader's snapshot.

use super::Replica;
use crate::{AppendOutcome, Index, ReplicaId, SnapshotMeta, SnapshotOffer};

impl Replica {
    /// Returns the metadata for a snapshot taken at `index`, or `None` if the entry
    /// is not applied or no longer in memory.
    #[must_use]
    pub fn snapshot_meta(&self, index: Index) -> Option<SnapshotMeta> {
        if index > self.log.applied() {
            return None;
        }
        self.log.meta_at(index)
    }

    /// Reports that the driver has durably stored a local snapshot. Entries that the
    /// snapshot contains are removed from memory, except for the last few, which
    /// slow followers may need.
    pub fn compact(&mut self, meta: SnapshotMeta) {
        self.log.compact(
            meta,
            self.config.trailing_entries,
            self.config.trailing_bytes,
        );
    }

    /// Whether an offered snapshot is still ahead of this replica. The driver
    /// checks this before it replaces the state of its state machine.
    #[must_use]
    pub fn wants_snapshot(&self, meta: &SnapshotMeta) -> bool {
        self.fault.is_none() && meta.index > self.log.applied()
    }

    /// Reports that the driver has durably stored the offered snapshot and loaded
    /// it into its state machine.
    ///
    /// Stored entries after the snapshot are kept if the stored log contains the
    /// entry at `meta.index` with `meta.term`; otherwise the whole stored log is
    /// dropped.
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
        if meta.index <= self.log.commit() || self.log.contains(meta.index, meta.term) {
            // All entries in a snapshot are committed.
            self.log.commit_to(meta.index);
            let match_index = self.log.commit();
            self.send_append_response(from, AppendOutcome::Accepted { match_index });
            return;
        }
        self.output.snapshot_offer = Some(SnapshotOffer { from, meta });
    }
}
