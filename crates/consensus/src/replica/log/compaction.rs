//! Replacement of log entries by snapshots.

use super::super::memberships::Memberships;
use super::Log;
use crate::{Index, SnapshotMeta};

impl Log {
    /// Removes the entries that a snapshot contains, except for the last ones within
    /// the given limits.
    pub(crate) fn compact(
        &mut self,
        meta: SnapshotMeta,
        trailing_entries: usize,
        trailing_bytes: usize,
    ) {
        if meta.index <= self.snapshot.index || meta.index > self.applied {
            return;
        }
        let keep_from = self.first_trailing(meta.index, trailing_entries, trailing_bytes);
        self.snapshot = meta;
        while self.first_index() < keep_from {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
        self.memberships.compact(self.base_index);
    }

    fn first_trailing(&self, snapshot: Index, max_entries: usize, max_bytes: usize) -> Index {
        let mut first = snapshot.next();
        let mut kept = 0;
        let mut bytes = 0;
        while let Some(entry) = self.entry(first.previous()) {
            kept += 1;
            bytes += entry.size();
            if kept > max_entries || bytes > max_bytes {
                break;
            }
            first = entry.index;
        }
        first
    }

    /// Continues from an installed snapshot. Entries after it are kept if the log
    /// contains the snapshot's last entry, because they may be acknowledged.
    pub(crate) fn install_snapshot(&mut self, meta: SnapshotMeta) {
        if !self.contains(meta.index, meta.term) {
            self.entries.clear();
            self.base_index = meta.index;
            self.base_term = meta.term;
            self.memberships = Memberships::new(meta.index, meta.membership.clone());
            self.submitted = meta.index;
            self.persisted = meta.index;
        }
        self.submitted = self.submitted.max(meta.index);
        self.persisted = self.persisted.max(meta.index);
        self.commit = self.commit.max(meta.index);
        self.applied = meta.index;
        self.snapshot = meta;
    }
}
