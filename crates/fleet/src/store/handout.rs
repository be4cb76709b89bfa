//! Which gateway runs which item. Kept in the leader's memory: an item that is
//! handed out twice by two leaders runs twice, and its first outcome counts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use molespan_state::batch::ItemReference;
use molespan_types::{NodeId, Timestamp};

use super::open_index::OpenIndex;

/// Items done lately from which the time that one takes is learnt.
const RUN_TIMES: usize = 32;

/// Who runs an item, and until when if the gateway falls silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holding {
    /// Gateway.
    pub node: NodeId,
    /// End of the lease.
    pub until: Timestamp,
    /// When it was handed out, as far as this leader knows.
    pub since: Timestamp,
}

/// Items that gateways run.
#[derive(Debug)]
pub struct Handout {
    lease: Duration,
    /// A leader that is new does not know yet what runs, and hands nothing out
    /// before.
    warm_at: Timestamp,
    held: BTreeMap<ItemReference, Holding>,
    /// How long the latest items took that are done, oldest first.
    run_times: VecDeque<Duration>,
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
            run_times: VecDeque::new(),
        }
    }

    /// A gateway says what it runs. Returns those items that it should stop:
    /// their jobs are not open any more, or another gateway runs them.
    pub fn renew(
        &mut self,
        now: Timestamp,
        node: NodeId,
        running: &BTreeSet<ItemReference>,
        open: &OpenIndex,
    ) -> Vec<ItemReference> {
        self.note_done(now, node, running, open);
        // What it held and does not run any more is free.
        self.held
            .retain(|item, holding| holding.node != node || running.contains(item));
        let mut stop = Vec::new();
        for &item in running {
            let taken = self.held.get(&item);
            let elsewhere = taken.is_some_and(|one| one.node != node && one.until > now);
            if elsewhere || !open.is_open(item.job) {
                stop.push(item);
                continue;
            }
            let until = now + self.lease;
            let since = taken.map_or(now, |one| one.since);
            self.held.insert(item, Holding { node, until, since });
        }
        stop
    }

    /// Hands out up to `capacity` items that nobody runs, the most urgent ones
    /// first. `unix_ms` is the time of day.
    pub fn take(
        &mut self,
        now: Timestamp,
        unix_ms: u64,
        node: NodeId,
        capacity: usize,
        open: &OpenIndex,
    ) -> Vec<ItemReference> {
        if now < self.warm_at {
            return Vec::new();
        }
        self.held.retain(|_, holding| holding.until > now);
        let takes_ms = self.run_time().as_millis() as u64;
        let free = open
            .by_urgency(unix_ms, takes_ms)
            .filter(|item| !self.held.contains_key(item));
        let items: Vec<ItemReference> = free.take(capacity).collect();
        for &item in &items {
            let until = now + self.lease;
            let since = now;
            self.held.insert(item, Holding { node, until, since });
        }
        items
    }

    /// Learns from the items that a gateway has done how long one takes.
    fn note_done(
        &mut self,
        now: Timestamp,
        node: NodeId,
        running: &BTreeSet<ItemReference>,
        open: &OpenIndex,
    ) {
        let ended = self.held.iter().filter(|(item, holding)| {
            holding.node == node && !running.contains(item) && open.is_open(item.job)
        });
        for (item, holding) in ended {
            if open.contains(*item) {
                continue;
            }
            self.run_times.push_back(now.since(holding.since));
            if self.run_times.len() > RUN_TIMES {
                self.run_times.pop_front();
            }
        }
    }

    /// How long an item takes: three quarters of those done lately took no longer.
    /// Under more work than fits what goes out is always at the edge of being late,
    /// so with a shorter time most of it would end late. Nothing before any is done.
    #[must_use]
    pub fn run_time(&self) -> Duration {
        let mut times: Vec<Duration> = self.run_times.iter().copied().collect();
        times.sort_unstable();
        times.get(times.len() * 3 / 4).copied().unwrap_or_default()
    }

    /// Whether some open item is handed out to nobody.
    #[must_use]
    pub fn has_free(&self, now: Timestamp, open: &OpenIndex) -> bool {
        let mut items = open.by_urgency(0, 0);
        items.any(|item| {
            let holding = self.held.get(&item);
            holding.is_none_or(|holding| holding.until <= now)
        })
    }

    /// Whether some gateway runs an item of a job that is not open any more.
    #[must_use]
    pub fn has_ended(&self, open: &OpenIndex) -> bool {
        let mut held = self.held.keys();
        held.any(|item| !open.is_open(item.job))
    }

    /// Items that are handed out.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.len()
    }
}
