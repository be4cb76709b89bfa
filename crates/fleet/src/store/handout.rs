//! Which gateway runs which item. Kept in the leader's memory: an item that is
//! handed out twice by two leaders runs twice, and its first outcome counts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use molespan_state::batch::{ItemReference, OpenWork};
use molespan_types::{NodeId, Timestamp};

/// Who runs an item, and until when if the gateway falls silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holding {
    /// Gateway.
    pub node: NodeId,
    /// End of the lease.
    pub until: Timestamp,
}

/// Items that gateways run.
#[derive(Debug)]
pub struct Handout {
    lease: Duration,
    /// A leader that is new does not know yet what runs, and hands nothing out
    /// before.
    warm_at: Timestamp,
    held: BTreeMap<ItemReference, Holding>,
}

impl Handout {
    /// Nothing handed out; the first items go out after `warm_up`, so that
    /// gateways can say before what they run.
    #[must_use]
    pub fn new(now: Timestamp, lease: Duration, warm_up: Duration) -> Self {
        Self {
            lease,
            warm_at: now + warm_up,
            held: BTreeMap::new(),
        }
    }

    /// A gateway says what it runs. Returns those items that it should stop:
    /// their jobs are not open any more, or another gateway runs them.
    pub fn renew(
        &mut self,
        now: Timestamp,
        node: NodeId,
        running: &BTreeSet<ItemReference>,
        open: &OpenWork,
    ) -> Vec<ItemReference> {
        // What it held and does not run any more is free.
        self.held
            .retain(|item, holding| holding.node != node || running.contains(item));
        let mut stop = Vec::new();
        for &item in running {
            let taken = self.held.get(&item);
            let elsewhere = taken.is_some_and(|one| one.node != node && one.until > now);
            if elsewhere || !open.jobs.contains(&item.job) {
                stop.push(item);
                continue;
            }
            let until = now + self.lease;
            self.held.insert(item, Holding { node, until });
        }
        stop
    }

    /// Hands out up to `capacity` items that nobody runs, of the oldest jobs
    /// first.
    pub fn take(
        &mut self,
        now: Timestamp,
        node: NodeId,
        capacity: usize,
        open: &OpenWork,
    ) -> Vec<ItemReference> {
        if now < self.warm_at {
            return Vec::new();
        }
        self.held.retain(|_, holding| holding.until > now);
        let free = open.items.iter().map(|open| open.item);
        let free = free.filter(|item| !self.held.contains_key(item));
        let items: Vec<ItemReference> = free.take(capacity).collect();
        for &item in &items {
            let until = now + self.lease;
            self.held.insert(item, Holding { node, until });
        }
        items
    }

    /// Whether some open item is handed out to nobody.
    #[must_use]
    pub fn has_free(&self, now: Timestamp, open: &OpenWork) -> bool {
        let mut items = open.items.iter().map(|open| open.item);
        items.any(|item| {
            let holding = self.held.get(&item);
            holding.is_none_or(|holding| holding.until <= now)
        })
    }

    /// Whether some gateway runs an item of a job that is not open any more.
    #[must_use]
    pub fn has_ended(&self, open: &OpenWork) -> bool {
        let mut held = self.held.keys();
        held.any(|item| !open.jobs.contains(&item.job))
    }

    /// Items that are handed out.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.len()
    }
}
