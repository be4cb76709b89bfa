//! Who leads each group, as far as is known.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use molespan_types::{GroupId, NodeId};

/// Who leads each group, as far as is known.
#[derive(Debug, Default)]
pub(super) struct Leaders {
    known: Mutex<HashMap<GroupId, NodeId>>,
}

impl Leaders {
    /// The leader of `group`, if known.
    pub(super) fn get(&self, group: GroupId) -> Option<NodeId> {
        self.lock().get(&group).copied()
    }

    /// Notes that `node` leads `group`.
    pub(super) fn set(&self, group: GroupId, node: NodeId) {
        self.lock().insert(group, node);
    }

    /// Forgets that `node` leads `group`.
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
