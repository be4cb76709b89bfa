//! Who leads each group, as this replica knows it.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use molespan_types::{GroupId, NodeId};

#[derive(Debug)]
struct Known {
    leader: Option<NodeId>,
    since: Instant,
}

/// Who leads each group, as this replica knows it.
#[derive(Debug)]
pub(super) struct Leaders {
    own: NodeId,
    groups: Mutex<BTreeMap<GroupId, Known>>,
}

impl Leaders {
    /// Of a replica on node `own` that knows of no leader yet.
    pub fn new(own: NodeId) -> Self {
        Self {
            own,
            groups: Mutex::default(),
        }
    }

    /// Notes a change.
    pub fn note(&self, group: GroupId, leader: Option<NodeId>) {
        let since = Instant::now();
        self.lock().insert(group, Known { leader, since });
    }

    /// The leader of `group`, when known.
    pub fn of(&self, group: GroupId) -> Option<NodeId> {
        self.lock().get(&group).and_then(|known| known.leader)
    }

    /// Groups that this replica leads.
    pub fn led(&self) -> Vec<GroupId> {
        let groups = self.lock();
        let led = groups
            .iter()
            .filter(|(_, known)| known.leader == Some(self.own));
        led.map(|(&group, _)| group).collect()
    }

    /// For how long this replica has led `group`, if it does.
    pub fn led_for(&self, group: GroupId) -> Option<Duration> {
        let groups = self.lock();
        let known = groups.get(&group)?;
        (known.leader == Some(self.own)).then(|| known.since.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<GroupId, Known>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
