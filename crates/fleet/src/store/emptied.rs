//! Tracks the retirements that the leader has reported as completed.

use std::collections::BTreeSet;

use molespan_types::NodeId;

/// Stores that were reported as empty.
#[derive(Clone, Debug, Default)]
pub struct ReportedRetirements {
    reported: BTreeSet<NodeId>,
}

impl ReportedRetirements {
    /// Returns the `retiring` stores that are no longer members of a group and have not
    /// been reported. Stores that are no longer retiring are removed, because the same
    /// address may be retired again later with another disk.
    pub fn due(
        &mut self,
        retiring: &BTreeSet<NodeId>,
        group_members: &BTreeSet<NodeId>,
    ) -> BTreeSet<NodeId> {
        self.reported.retain(|node| retiring.contains(node));
        let empty = retiring.iter().filter(|node| !group_members.contains(node));
        empty
            .filter(|node| !self.reported.contains(node))
            .copied()
            .collect()
    }

    /// Records that a store was reported.
    pub fn mark_reported(&mut self, node: NodeId) {
        self.reported.insert(node);
    }
}
