//! Invariants that must hold under all faults.

use std::collections::BTreeMap;

use molespan_consensus::{Entry, EntryKind, Index, ReplicaId, Term};

#[derive(Debug, Default)]
pub struct Checker {
    leaders: BTreeMap<Term, ReplicaId>,
    committed: BTreeMap<Index, Entry>,
}

impl Checker {
    pub fn record_leader(&mut self, id: ReplicaId, term: Term) {
        let first = *self.leaders.entry(term).or_insert(id);
        assert_eq!(first, id, "two leaders in term {term}");
    }

    pub fn record_applied(&mut self, id: ReplicaId, entry: &Entry) {
        let first = self
            .committed
            .entry(entry.index)
            .or_insert_with(|| entry.clone());
        assert_eq!(first, entry, "replica {id} applied a different entry");
    }

    pub fn last(&self) -> Index {
        self.committed
            .last_key_value()
            .map_or(Index::ZERO, |(index, _)| *index)
    }

    /// Returns the committed commands up to `index`.
    pub fn commands(&self, index: Index) -> Vec<Vec<u8>> {
        let entries = self.committed.range(..=index);
        let commands = entries.filter_map(|(_, entry)| match &entry.kind {
            EntryKind::Command(command) => Some(command.clone()),
            _ => None,
        });
        commands.collect()
    }
}
