//! The leaders of the groups as known to this replica.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use molespan_types::{GroupId, NodeId};

#[derive(Debug)]
struct Known {
    leader: Option<NodeId>,
    since: Instant,
}

/// The leaders of the groups as known to this replica.
#[derive(Debug)]
pub(super) struct Leaders {
    own: NodeId,
    groups: Mutex<BTreeMap<GroupId, Known>>,
}

impl Leaders {
    /// Creates an empty table for the replica on node `own`.
    pub fn new(own: NodeId) -> Self {
        Self {
            own,
            groups: Mutex::default(),
        }
    }

    /// Records a change.
    pub fn record(&self, group: GroupId, leader: Option<NodeId>) {
        let since = Instant::now();
        self.lock().insert(group, Known { leader, since });
    }

    /// Returns the leader of `group`, if known.
    pub fn of(&self, group: GroupId) -> Option<NodeId> {
        self.lock().get(&group).and_then(|known| known.leader)
    }

    /// Returns the groups that this replica leads.
    pub fn led(&self) -> Vec<GroupId> {
        let groups = self.lock();
        let led = groups
            .iter()
            .filter(|(_, known)| known.leader == Some(self.own));
        led.map(|(&group, _)| group).collect()
    }

    /// Returns how long this replica has led `group`, if it leads it.
    pub fn led_for(&self, group: GroupId) -> Option<Duration> {
        let groups = self.lock();
        let known = groups.get(&group)?;
        (known.leader == Some(self.own)).then(|| known.since.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<GroupId, Known>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
