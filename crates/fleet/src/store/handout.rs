//! Which gateway runs which item. Kept in the leader's memory: an item that is
//! handed out twice by two leaders runs twice, and its first outcome counts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
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
    /// The open items as they were last seen.
    open: Arc<OpenIndex>,
    /// Those of them that nobody holds, by the time at which they are due: what
    /// goes out is found without a look at what is out.
    free: BTreeSet<(u64, ItemReference)>,
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
            open: Arc::default(),
            free: BTreeSet::new(),
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
        open: &Arc<OpenIndex>,
    ) -> Vec<ItemReference> {
        self.follow(open);
        self.note_done(now, node, running);
        // What it held and does not run any more is free.
        self.release(|item, holding| holding.node == node && !running.contains(item));
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
            self.hold(item, Holding { node, until, since });
        }
        stop
    }

    /// Sees the open items anew if they changed.
    fn follow(&mut self, open: &Arc<OpenIndex>) {
        if Arc::ptr_eq(&self.open, open) {
            return;
        }
        self.open = open.clone();
        let free = open.items();
        let free = free.filter(|(_, item)| !self.held.contains_key(item));
        self.free = free.collect();
    }

    fn hold(&mut self, item: ItemReference, holding: Holding) {
        self.held.insert(item, holding);
        if let Some(due_ms) = self.open.due_ms(item) {
            self.free.remove(&(due_ms, item));
        }
    }

    /// Frees what is held and `ends`.
    fn release(&mut self, ends: impl Fn(&ItemReference, &Holding) -> bool) {
        let ended = self
            .held
            .extract_if(.., |item, holding| ends(item, holding));
        for (item, _) in ended {
            if let Some(due_ms) = self.open.due_ms(item) {
                self.free.insert((due_ms, item));
            }
        }
    }

    /// Hands out up to `capacity` items that nobody runs, the most urgent ones
    /// first. `unix_ms` is the time of day.
    pub fn take(
        &mut self,
        now: Timestamp,
        unix_ms: u64,
        node: NodeId,
        capacity: usize,
        open: &Arc<OpenIndex>,
    ) -> Vec<ItemReference> {
        if now < self.warm_at {
            return Vec::new();
        }
        self.follow(open);
        self.release(|_, holding| holding.until <= now);
        let takes_ms = self.run_time().as_millis() as u64;
        let items: Vec<ItemReference> = self.by_urgency(unix_ms, takes_ms).take(capacity).collect();
        for &item in &items {
            let until = now + self.lease;
            let since = now;
            self.hold(item, Holding { node, until, since });
        }
        items
    }

    /// What nobody holds in the order of `Urgency`, for work that takes `takes_ms`
    /// and by a clock that shows `unix_ms`.
    fn by_urgency(&self, unix_ms: u64, takes_ms: u64) -> impl Iterator<Item = ItemReference> {
        const FIRST: ItemReference = ItemReference { job: 0, place: 0 };
        let in_time = (unix_ms.saturating_add(takes_ms), FIRST);
        let late = self.free.range(..in_time);
        let items = self.free.range(in_time..).chain(late);
        items.map(|&(_, item)| item)
    }

    /// Learns from the items that a gateway has done how long one takes.
    fn note_done(&mut self, now: Timestamp, node: NodeId, running: &BTreeSet<ItemReference>) {
        let ended = self.held.iter().filter(|(item, holding)| {
            holding.node == node && !running.contains(item) && self.open.is_open(item.job)
        });
        for (item, holding) in ended {
            if self.open.due_ms(*item).is_some() {
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

    /// How many open items nobody holds.
    pub fn free(&mut self, now: Timestamp, open: &Arc<OpenIndex>) -> usize {
        self.follow(open);
        self.release(|_, holding| holding.until <= now);
        self.free.len()
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
