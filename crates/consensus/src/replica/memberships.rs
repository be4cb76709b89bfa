//! History of the memberships set by the log in memory.

use crate::{Index, Membership};

/// Memberships with the index of the entry that set each, oldest first. `base` is
/// the membership at the start of the log in memory, so there is always one.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Memberships {
    base: (Index, Membership),
    later: Vec<(Index, Membership)>,
}

impl Memberships {
    pub(crate) fn new(index: Index, membership: Membership) -> Self {
        Self {
            base: (index, membership),
            later: Vec::new(),
        }
    }

    pub(crate) fn push(&mut self, index: Index, membership: Membership) {
        self.later.push((index, membership));
    }

    pub(crate) fn latest(&self) -> &Membership {
        &self.later.last().unwrap_or(&self.base).1
    }

    pub(crate) fn latest_index(&self) -> Index {
        self.later.last().unwrap_or(&self.base).0
    }

    /// Returns the membership as of the entry at `index`.
    pub(crate) fn at(&self, index: Index) -> Option<&Membership> {
        let set_before = |(set, _): &&(Index, Membership)| *set <= index;
        self.later
            .iter()
            .rev()
            .find(set_before)
            .or_else(|| Some(&self.base).filter(set_before))
            .map(|(_, membership)| membership)
    }

    /// Removes the memberships set by truncated entries, from `index` on.
    pub(crate) fn truncate_from(&mut self, index: Index) {
        self.later.retain(|(set, _)| *set < index);
    }

    /// Removes memberships that were superseded at or before `index`.
    pub(crate) fn compact(&mut self, index: Index) {
        while self.later.first().is_some_and(|(set, _)| *set <= index) {
            self.base = self.later.remove(0);
        }
    }
}
