//! The entries in memory: those since the last compaction.

use std::collections::VecDeque;

use super::memberships::Memberships;
use crate::{
    ConsensusError, Entry, EntryKind, Fault, Index, Membership, Persisted, SnapshotMeta, Term,
};

/// The log in memory, with how far it is synced, committed and handed out.
///
/// Invariant: `anchor <= applied <= commit`, `applied <= persisted`, and
/// `persisted <= taken <= last`.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Log {
    /// Position before the first entry in memory.
    anchor_index: Index,
    /// Term at that position.
    anchor_term: Term,
    entries: VecDeque<Entry>,
    memberships: Memberships,
    snapshot: SnapshotMeta,
    /// Last entry handed to the disk.
    taken: Index,
    /// Last entry known to be synced.
    persisted: Index,
    commit: Index,
    applied: Index,
}

/// What became of entries from a leader.
pub(crate) enum Appended {
    /// The log agrees with the leader's up to this entry.
    UpTo(Index),
    /// The entry before those sent is missing or differs.
    Mismatch,
}

impl Log {
    pub(crate) fn new(persisted: Persisted) -> Result<Self, ConsensusError> {
        let snapshot = persisted.snapshot.unwrap_or_default();
        let mut log = Self {
            anchor_index: snapshot.index,
            anchor_term: snapshot.term,
            entries: VecDeque::new(),
            memberships: Memberships::new(snapshot.index, snapshot.membership.clone()),
            taken: snapshot.index,
            persisted: snapshot.index,
            commit: persisted.hard_state.commit.max(snapshot.index),
            applied: snapshot.index,
            snapshot,
        };
        for entry in persisted.entries {
            if entry.index <= log.anchor_index {
                continue;
            }
            log.check_next(&entry, persisted.hard_state.term)?;
            log.push(entry);
        }
        log.taken = log.last_index();
        log.persisted = log.last_index();
        if log.commit > log.last_index() {
            return Err(ConsensusError::CommitBeyondLog {
                commit: log.commit,
                last: log.last_index(),
            });
        }
        Ok(log)
    }

    fn check_next(&self, entry: &Entry, latest_term: Term) -> Result<(), ConsensusError> {
        let expected = self.last_index().next();
        if entry.index != expected {
            return Err(ConsensusError::LogGap {
                expected,
                found: entry.index,
            });
        }
        if entry.term < self.last_term() || entry.term > latest_term {
            return Err(ConsensusError::TermOutOfOrder {
                index: entry.index,
                term: entry.term,
            });
        }
        Ok(())
    }

    pub(crate) fn first_index(&self) -> Index {
        self.anchor_index.next()
    }

    pub(crate) fn last_index(&self) -> Index {
        Index(self.anchor_index.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.anchor_term, |entry| entry.term)
    }

    pub(crate) fn commit(&self) -> Index {
        self.commit
    }

    pub(crate) fn applied(&self) -> Index {
        self.applied
    }

    pub(crate) fn persisted(&self) -> Index {
        self.persisted
    }

    pub(crate) fn snapshot(&self) -> &SnapshotMeta {
        &self.snapshot
    }

    /// The membership in force: the latest one in the log, committed or not.
    pub(crate) fn membership(&self) -> &Membership {
        self.memberships.latest()
    }

    /// The entry that set the membership in force.
    pub(crate) fn membership_index(&self) -> Index {
        self.memberships.latest_index()
    }

    /// Position, term and membership as of an entry in memory.
    pub(crate) fn meta_at(&self, index: Index) -> Option<SnapshotMeta> {
        let term = self.term(index)?;
        let membership = self.memberships.at(index)?.clone();
        Some(SnapshotMeta {
            index,
            term,
            membership,
        })
    }

    fn position(&self, index: Index) -> Option<usize> {
        let offset = index.0.checked_sub(self.anchor_index.0 + 1)?;
        usize::try_from(offset).ok()
    }

    fn entry(&self, index: Index) -> Option<&Entry> {
        self.entries.get(self.position(index)?)
    }

    /// The term of an entry in memory, or of the one before the first.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.anchor_index {
            return Some(self.anchor_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Whether the log holds that very entry.
    pub(crate) fn holds(&self, index: Index, term: Term) -> bool {
        self.term(index) == Some(term)
    }

    /// Whether a log that ends as given is at least as complete as this one.
    pub(crate) fn is_up_to_date(&self, last_index: Index, last_term: Term) -> bool {
        (last_term, last_index) >= (self.last_term(), self.last_index())
    }

    /// The last entry, not after `index`, whose term is at most `term`.
    pub(crate) fn last_with_term_at_most(&self, index: Index, term: Term) -> (Index, Term) {
        let mut index = index.min(self.last_index());
        while index > self.anchor_index {
            match self.term(index) {
                Some(found) if found > term => index = index.previous(),
                Some(found) => return (index, found),
                None => break,
            }
        }
        (self.anchor_index, self.anchor_term)
    }

    /// Entries from `from` to `to`, at most `max_bytes` but at least one.
    pub(crate) fn slice(&self, from: Index, to: Index, max_bytes: usize) -> Vec<Entry> {
        let mut slice = Vec::new();
        let mut bytes = 0;
        let Some(start) = self.position(from) else {
            return slice;
        };
        for entry in self.entries.range(start.min(self.entries.len())..) {
            bytes += entry.size();
            if entry.index > to || (!slice.is_empty() && bytes > max_bytes) {
                break;
            }
            slice.push(entry.clone());
        }
        slice
    }

    /// Bytes of the entries from `from` to `to`.
    pub(crate) fn bytes_between(&self, from: Index, to: Index) -> usize {
        let Some(start) = self.position(from) else {
            return 0;
        };
        self.entries
            .range(start.min(self.entries.len())..)
            .take_while(|entry| entry.index <= to)
            .map(Entry::size)
            .sum()
    }

    /// Appends an entry of the leader itself.
    pub(crate) fn append_new(&mut self, term: Term, kind: EntryKind) -> Index {
        let index = self.last_index().next();
        self.push(Entry { term, index, kind });
        index
    }

    fn push(&mut self, entry: Entry) {
        if let EntryKind::Membership(membership) = &entry.kind {
            self.memberships.push(entry.index, membership.clone());
        }
        self.entries.push_back(entry);
    }

    /// Takes entries from the leader that follow `previous_index`.
    ///
    /// # Errors
    /// [`Fault::CommittedEntryConflict`] if the leader's log differs from an
    /// entry that is committed here.
    pub(crate) fn append_from_leader(
        &mut self,
        previous_index: Index,
        previous_term: Term,
        entries: Vec<Entry>,
    ) -> Result<Appended, Fault> {
        self.check_committed(previous_index, previous_term)?;
        for entry in &entries {
            self.check_committed(entry.index, entry.term)?;
        }
        let reached = entries.last().map_or(previous_index, |entry| entry.index);
        if previous_index < self.anchor_index {
            // All up to the anchor is committed, so the two logs agree there.
            let (_, rest) = entries
                .into_iter()
                .partition::<Vec<_>, _>(|entry| entry.index <= self.anchor_index);
            self.take_entries(rest);
            return Ok(Appended::UpTo(reached.max(self.anchor_index)));
        }
        if !self.holds(previous_index, previous_term) {
            return Ok(Appended::Mismatch);
        }
        self.take_entries(entries);
        Ok(Appended::UpTo(reached))
    }

    fn check_committed(&self, index: Index, told: Term) -> Result<(), Fault> {
        if index > self.commit {
            return Ok(());
        }
        match self.term(index) {
            Some(committed) if committed != told => Err(Fault::CommittedEntryConflict {
                index,
                committed,
                told,
            }),
            _ => Ok(()),
        }
    }

    /// Appends what is missing and cuts off what differs.
    fn take_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if self.holds(entry.index, entry.term) {
                continue;
            }
            if entry.index <= self.last_index() {
                self.truncate_from(entry.index);
            }
            self.push(entry);
        }
    }

    fn truncate_from(&mut self, index: Index) {
        let Some(position) = self.position(index) else {
            return;
        };
        self.entries.truncate(position);
        self.memberships.truncate_from(index);
        self.taken = self.taken.min(index.previous());
        self.persisted = self.persisted.min(index.previous());
    }

    /// Raises the commit index.
    pub(crate) fn commit_to(&mut self, index: Index) {
        self.commit = self.commit.max(index.min(self.last_index()));
    }

    /// Entries that the disk has not been given yet, which count as given.
    pub(crate) fn take_unsynced(&mut self) -> Vec<Entry> {
        let entries = self.slice(self.taken.next(), self.last_index(), usize::MAX);
        self.taken = self.last_index();
        entries
    }

    /// Notes that the disk holds the log up to that entry, unless the entry was
    /// cut off in the meantime.
    pub(crate) fn mark_persisted(&mut self, index: Index, term: Term) {
        if self.holds(index, term) {
            self.persisted = self.persisted.max(index);
        }
    }

    /// The next committed entries to apply, which count as applied.
    pub(crate) fn take_committed(&mut self, max_bytes: usize) -> Vec<Entry> {
        let to = self.commit.min(self.persisted);
        if self.applied >= to {
            return Vec::new();
        }
        let entries = self.slice(self.applied.next(), to, max_bytes);
        if let Some(last) = entries.last() {
            self.applied = last.index;
        }
        entries
    }

    /// Drops entries that a snapshot contains, but keeps the last ones within
    /// the given bounds.
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
            self.anchor_index = entry.index;
            self.anchor_term = entry.term;
        }
        self.memberships.compact(self.anchor_index);
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

    /// Continues from an installed snapshot. Entries behind it stay if the log
    /// holds the snapshot's last entry: they may be acknowledged.
    pub(crate) fn install_snapshot(&mut self, meta: SnapshotMeta) {
        if !self.holds(meta.index, meta.term) {
            self.entries.clear();
            self.anchor_index = meta.index;
            self.anchor_term = meta.term;
            self.memberships = Memberships::new(meta.index, meta.membership.clone());
            self.taken = meta.index;
            self.persisted = meta.index;
        }
        self.taken = self.taken.max(meta.index);
        self.persisted = self.persisted.max(meta.index);
        self.commit = self.commit.max(meta.index);
        self.applied = meta.index;
        self.snapshot = meta;
    }
}
