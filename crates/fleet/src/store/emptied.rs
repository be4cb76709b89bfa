//! Which stores a leader is to say of that they are emptied.

use std::collections::BTreeSet;

use molespan_types::NodeId;

/// Stores of which it was said.
#[derive(Clone, Debug, Default)]
pub struct Emptied {
    told: BTreeSet<NodeId>,
}

impl Emptied {
    /// Of the `retiring` stores those that hold no place any more and of which it was not
    /// said. One that retires no longer is forgotten: it may do so again, with another disk
    /// at its address.
    pub fn due(
        &mut self,
        retiring: &BTreeSet<NodeId>,
        seated: &BTreeSet<NodeId>,
    ) -> BTreeSet<NodeId> {
        self.told.retain(|node| retiring.contains(node));
        let empty = retiring.iter().filter(|node| !seated.contains(node));
        empty
            .filter(|node| !self.told.contains(node))
            .copied()
            .collect()
    }

    /// It was said of one.
    pub fn note(&mut self, node: NodeId) {
        self.told.insert(node);
    }
}
