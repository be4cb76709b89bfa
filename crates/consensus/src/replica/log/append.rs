//! Appending of entries received from a leader.

use super::Log;
use crate::{Entry, Fault, Index, Term};

/// The result of appending entries from a leader.
pub(crate) enum Appended {
    /// The log matches the leader's up to this entry.
    MatchedUpTo(Index),
    /// The entry that precedes the sent entries is missing or differs.
    Mismatch,
}

impl Log {
    /// Appends entries from the leader that follow `previous_index`.
    ///
    /// # Errors
    /// [`Fault::CommittedEntryConflict`] if the leader's log conflicts with an
    /// entry that is committed on this replica.
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
        if previous_index < self.base_index {
            // All entries up to the base are committed, so both logs agree on them.
            let (_, rest) = entries
                .into_iter()
                .partition::<Vec<_>, _>(|entry| entry.index <= self.base_index);
            self.merge_entries(rest);
            return Ok(Appended::MatchedUpTo(reached.max(self.base_index)));
        }
        if !self.contains(previous_index, previous_term) {
            return Ok(Appended::Mismatch);
        }
        self.merge_entries(entries);
        Ok(Appended::MatchedUpTo(reached))
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

    /// Appends missing entries and truncates the log where it differs.
    fn merge_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if self.contains(entry.index, entry.term) {
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
        self.submitted = self.submitted.min(index.previous());
        self.persisted = self.persisted.min(index.previous());
    }
}
