//! Leases of batch items to gateways. They are kept only in the leader's memory: an item
//! handed out by two leaders runs twice, and its first outcome counts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use molespan_state::batch::ItemReference;
use molespan_types::{NodeId, Timestamp};
use molespan_wire::RouteRoom;

use super::available::{Available, Room};
use super::open_index::OpenIndex;

/// Number of recently completed items from which the run time is estimated.
const RUN_TIME_SAMPLES: usize = 32;

/// Lease of an item to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemLease {
    /// The gateway that runs the item.
    pub node: NodeId,
    /// When the lease expires.
    pub until: Timestamp,
    /// When the item was handed out, as far as this leader knows.
    pub since: Timestamp,
}

/// Leases of all items that gateways run.
#[derive(Debug)]
pub struct LeaseTable {
    lease_duration: Duration,
    /// Time before which nothing is handed out, because a new leader does not know yet
    /// which items are running.
    warm_until: Timestamp,
    leases: BTreeMap<ItemReference, ItemLease>,
    /// Latest index of open items.
    open: Arc<OpenIndex>,
    available: Available,
    /// Job of the latest item that was handed out for inspection.
    inspected: u64,
    /// Run times of the latest completed items, oldest first.
    run_times: VecDeque<Duration>,
}

impl LeaseTable {
    /// Creates an empty table. Items are handed out only after `warm_up`, so that
    /// gateways can report first what they run.
    #[must_use]
    pub fn new(now: Timestamp, lease_duration: Duration, warm_up: Duration) -> Self {
        Self {
            lease_duration,
            warm_until: now + warm_up,
            leases: BTreeMap::new(),
            open: Arc::default(),
            available: Available::default(),
            inspected: 0,
            run_times: VecDeque::new(),
        }
    }

    /// Renews the leases of a gateway on the items that it runs. Returns the items that
    /// it must stop, because their jobs are no longer open or another gateway has the
    /// lease.
    pub fn renew(
        &mut self,
        now: Timestamp,
        node: NodeId,
        running: &BTreeSet<ItemReference>,
        open: &Arc<OpenIndex>,
    ) -> Vec<ItemReference> {
        self.update_open_items(open);
        self.record_run_times(now, node, running);
        // Items that the gateway no longer runs become available again.
        self.release(|item, lease| lease.node == node && !running.contains(item));
        let mut stop = Vec::new();
        for &item in running {
            let taken = self.leases.get(&item);
            let elsewhere = taken.is_some_and(|lease| lease.node != node && lease.until > now);
            if elsewhere || !open.is_open(item.job) {
                stop.push(item);
                continue;
            }
            let until = now + self.lease_duration;
            let since = taken.map_or(now, |lease| lease.since);
            self.insert_lease(item, ItemLease { node, until, since });
        }
        stop
    }

    /// Rebuilds the set of available items if the open items changed.
    fn update_open_items(&mut self, open: &Arc<OpenIndex>) {
        if Arc::ptr_eq(&self.open, open) {
            return;
        }
        self.open = open.clone();
        self.available = Available::new(open, |item| self.leases.contains_key(item));
    }

    fn insert_lease(&mut self, item: ItemReference, lease: ItemLease) {
        self.leases.insert(item, lease);
        if let Some(due_ms) = self.open.due_ms(item) {
            self.available.remove(&self.open, due_ms, item);
        }
    }

    /// Removes the leases for which `should_release` returns true.
    fn release(&mut self, should_release: impl Fn(&ItemReference, &ItemLease) -> bool) {
        let ended = self
            .leases
            .extract_if(.., |item, lease| should_release(item, lease));
        for (item, _) in ended {
            if let Some(due_ms) = self.open.due_ms(item) {
                self.available.insert(&self.open, due_ms, item);
            }
        }
    }

    /// Leases up to `capacity` available items to a gateway, the most urgent first.
    /// `unix_ms` is the current time in milliseconds since the Unix epoch.
    pub fn take(
        &mut self,
        now: Timestamp,
        unix_ms: u64,
        node: NodeId,
        capacity: usize,
        open: &Arc<OpenIndex>,
    ) -> Vec<ItemReference> {
        self.take_by_route(now, unix_ms, node, capacity, &[], open)
    }

    /// The same, with room for the items of some routes only: urgent items that there is no
    /// room for must not keep others waiting.
    pub fn take_by_route(
        &mut self,
        now: Timestamp,
        unix_ms: u64,
        node: NodeId,
        capacity: usize,
        routes: &[RouteRoom],
        open: &Arc<OpenIndex>,
    ) -> Vec<ItemReference> {
        if now < self.warm_until {
            return Vec::new();
        }
        self.update_open_items(open);
        self.release(|_, lease| lease.until <= now);
        let run_time_ms = self.run_time().as_millis() as u64;
        let room = Room { capacity, routes };
        let items = self.available.most_urgent(unix_ms, run_time_ms, open, room);
        self.lease(now, node, &items);
        items
    }

    /// Leases up to `capacity` available items to a gateway that looks whether they are to be
    /// given up: the first one of each job, going on behind the jobs of the last time, and if
    /// there is room for more, others in the order of their due times.
    pub fn take_to_inspect(
        &mut self,
        now: Timestamp,
        node: NodeId,
        capacity: usize,
        open: &Arc<OpenIndex>,
    ) -> Vec<ItemReference> {
        if now < self.warm_until {
            return Vec::new();
        }
        self.update_open_items(open);
        self.release(|_, lease| lease.until <= now);
        let mut first: BTreeMap<u64, ItemReference> = BTreeMap::new();
        for (_, item) in self.available.iter() {
            first.entry(item.job).or_insert(item);
        }
        let behind = first.range(self.inspected + 1..);
        let all = behind.chain(first.range(..=self.inspected));
        let mut items: Vec<ItemReference> = all.take(capacity).map(|(_, item)| *item).collect();
        if let Some(last) = items.last() {
            self.inspected = last.job;
        }
        let is_first = |item: &ItemReference| first.get(&item.job) == Some(item);
        let others = self.available.iter().filter(|(_, item)| !is_first(item));
        let mut others: Vec<(u64, ItemReference)> = others.collect();
        others.sort_unstable();
        let others = others.into_iter().map(|(_, item)| item);
        items.extend(others.take(capacity - items.len()));
        self.lease(now, node, &items);
        items
    }

    fn lease(&mut self, now: Timestamp, node: NodeId, items: &[ItemReference]) {
        let until = now + self.lease_duration;
        let since = now;
        for &item in items {
            self.insert_lease(item, ItemLease { node, until, since });
        }
    }

    /// Records the run times of the items that a gateway completed.
    fn record_run_times(
        &mut self,
        now: Timestamp,
        node: NodeId,
        running: &BTreeSet<ItemReference>,
    ) {
        let ended = self.leases.iter().filter(|(item, lease)| {
            lease.node == node && !running.contains(item) && self.open.is_open(item.job)
        });
        for (item, lease) in ended {
            if self.open.due_ms(*item).is_some() {
                continue;
            }
            self.run_times.push_back(now.since(lease.since));
            if self.run_times.len() > RUN_TIME_SAMPLES {
                self.run_times.pop_front();
            }
        }
    }

    /// Returns the 75th percentile of recent run times, or zero before any item is done.
    /// Under overload, the items handed out are always close to their due time, so a
    /// lower estimate would make most of them late.
    #[must_use]
    pub fn run_time(&self) -> Duration {
        let mut times: Vec<Duration> = self.run_times.iter().copied().collect();
        times.sort_unstable();
        times.get(times.len() * 3 / 4).copied().unwrap_or_default()
    }

    /// Returns the number of available items.
    pub fn available_count(&mut self, now: Timestamp, open: &Arc<OpenIndex>) -> usize {
        self.update_open_items(open);
        self.release(|_, lease| lease.until <= now);
        self.available.len()
    }

    /// Whether some gateway runs an item of a job that is no longer open.
    #[must_use]
    pub fn has_ended_job(&self, open: &OpenIndex) -> bool {
        let mut leases = self.leases.keys();
        leases.any(|item| !open.is_open(item.job))
    }

    /// Returns the number of leased items.
    #[must_use]
    pub fn leased_count(&self) -> usize {
        self.leases.len()
    }
}
