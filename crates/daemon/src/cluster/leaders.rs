//! Cache of each group's last known leader.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use molespan_types::{GroupId, NodeId};

/// Cache of each group's last known leader.
#[derive(Debug, Default)]
pub(super) struct Leaders {
    known: Mutex<HashMap<GroupId, NodeId>>,
}

impl Leaders {
    /// Returns the leader of `group`, if known.
    pub(super) fn get(&self, group: GroupId) -> Option<NodeId> {
        self.lock().get(&group).copied()
    }

    /// Records that `node` leads `group`.
    pub(super) fn set(&self, group: GroupId, node: NodeId) {
        self.lock().insert(group, node);
    }

    /// Removes the entry of `group` if it names `node`.
    pub(super) fn forget(&self, group: GroupId, node: NodeId) {
        let mut known = self.lock();
        if known.get(&group) == Some(&node) {
            known.remove(&group);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<GroupId, NodeId>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
