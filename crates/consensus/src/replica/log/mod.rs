//! The log in memory: the entries since the last compaction.

mod append;
mod compaction;

use std::collections::VecDeque;

use super::memberships::Memberships;
use crate::{ConsensusError, Entry, EntryKind, Index, Membership, Persisted, SnapshotMeta, Term};
pub(crate) use append::Appended;

/// The log in memory, and up to where it is synced, committed and applied.
///
/// Invariant: `base <= applied <= commit`, `applied <= persisted`, and
/// `persisted <= submitted <= last`.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Log {
    /// Position before the first entry in memory, that is the last compacted entry.
    base_index: Index,
    /// Term at that position.
    base_term: Term,
    entries: VecDeque<Entry>,
    memberships: Memberships,
    snapshot: SnapshotMeta,
    /// Last entry passed to the driver for writing.
    submitted: Index,
    /// Last entry known to be synced.
    persisted: Index,
    commit: Index,
    applied: Index,
}

impl Log {
    pub(crate) fn new(persisted: Persisted) -> Result<Self, ConsensusError> {
        let snapshot = persisted.snapshot.unwrap_or_default();
        let mut log = Self {
            base_index: snapshot.index,
            base_term: snapshot.term,
            entries: VecDeque::new(),
            memberships: Memberships::new(snapshot.index, snapshot.membership.clone()),
            submitted: snapshot.index,
            persisted: snapshot.index,
            commit: persisted.hard_state.commit.max(snapshot.index),
            applied: snapshot.index,
            snapshot,
        };
        for entry in persisted.entries {
            if entry.index <= log.base_index {
                continue;
            }
            log.check_next(&entry, persisted.hard_state.term)?;
            log.push(entry);
        }
        log.submitted = log.last_index();
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
        self.base_index.next()
    }

    pub(crate) fn last_index(&self) -> Index {
        Index(self.base_index.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
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

    /// Returns the membership in force: the latest one in the log, committed or not.
    pub(crate) fn membership(&self) -> &Membership {
        self.memberships.latest()
    }

    /// Returns the index of the entry that set the membership in force.
    pub(crate) fn membership_index(&self) -> Index {
        self.memberships.latest_index()
    }

    /// Returns the metadata of a snapshot at an entry in memory.
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
        let offset = index.0.checked_sub(self.base_index.0 + 1)?;
        usize::try_from(offset).ok()
    }

    fn entry(&self, index: Index) -> Option<&Entry> {
        self.entries.get(self.position(index)?)
    }

    /// Returns the term of an entry in memory, or of the one before the first.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Whether the log contains the entry with this index and term.
    pub(crate) fn contains(&self, index: Index, term: Term) -> bool {
        self.term(index) == Some(term)
    }

    /// Whether a log with the given last entry is at least as up to date as this one.
    pub(crate) fn is_up_to_date(&self, last_index: Index, last_term: Term) -> bool {
        (last_term, last_index) >= (self.last_term(), self.last_index())
    }

    /// Returns the last entry at or before `index` whose term is at most `term`.
    pub(crate) fn last_with_term_at_most(&self, index: Index, term: Term) -> (Index, Term) {
        let mut index = index.min(self.last_index());
        while index > self.base_index {
            match self.term(index) {
                Some(found) if found > term => index = index.previous(),
                Some(found) => return (index, found),
                None => break,
            }
        }
        (self.base_index, self.base_term)
    }

    /// Returns the entries from `from` to `to`, inclusive, limited to `max_bytes`. The
    /// first entry is returned even if it exceeds the limit.
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

    /// Returns the total bytes of the entries from `from` to `to`, inclusive.
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

    /// Appends a new entry on the leader and returns its index.
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

    /// Advances the commit index to `index`, at most to the last entry. Never lowers it.
    pub(crate) fn commit_to(&mut self, index: Index) {
        self.commit = self.commit.max(index.min(self.last_index()));
    }

    /// Returns the entries not yet passed to the driver, and marks them as passed.
    pub(crate) fn take_unsynced(&mut self) -> Vec<Entry> {
        let entries = self.slice(self.submitted.next(), self.last_index(), usize::MAX);
        self.submitted = self.last_index();
        entries
    }

    /// Marks the log as synced up to an entry, unless the entry was truncated in the
    /// meantime.
    pub(crate) fn mark_persisted(&mut self, index: Index, term: Term) {
        if self.contains(index, term) {
            self.persisted = self.persisted.max(index);
        }
    }

    /// Returns the next committed entries to apply, and marks them as applied.
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
}
