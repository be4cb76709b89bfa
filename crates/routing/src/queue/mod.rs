//! The queue of online requests of one service at one gateway: decides which waiting
//! requests may look for an engine, and refuses those that cannot be served in time.
//!
//! Requests that can still start in time go before late ones. Within each group the order
//! is by rank, then by the fair shares of tenants, then by the time at which a request
//! has to start, where a long answer counts as if it could wait slightly longer. A
//! request that would start only after its caller has left is refused as soon as that is
//! foreseeable: on arrival, or when the queue slows down.

mod fairness;
mod forecast;
mod order;
mod retry;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::Display;
use molespan_types::Timestamp;

pub use forecast::Rates;
pub use order::Rank;
pub use retry::retry_after;

use fairness::Shares;
use forecast::Forecast;
use order::{AnswerSizes, Key};

/// Identifies a waiting request.
pub type EntryId = u64;

/// Maximum number of requests that look for an engine at the same time, so that a request
/// that suits no engine with free slots does not block those behind it. These requests
/// are refused only when their own time is up: their searches detect when there is
/// capacity again.
const MAX_SEARCHING: usize = 3;
/// Factor by which the expected wait must exceed the remaining time before a request is
/// refused. Refusing a request that would have been served costs its answer.
const REFUSAL_MARGIN: f64 = 1.25;
/// A request that waited less than this counts as dispatched immediately: one search for
/// an engine takes as long.
const IMMEDIATE_WITHIN: Duration = Duration::from_millis(4);
/// Minimum time between two scans for requests that cannot be dispatched in time.
const SWEEP_INTERVAL: Duration = Duration::from_millis(25);

/// Limits of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_waiting: 4_096 }
    }
}

/// A request that needs an engine.
#[derive(Clone, Copy, Debug)]
pub struct QueueRequest<'a> {
    /// Tenant of the request; no per-tenant limit applies to requests without one.
    pub tenant: Option<&'a str>,
    /// Weight of the tenant relative to others; 0 counts as 1.
    pub weight: u32,
    /// Priority of the request.
    pub rank: Rank,
    /// Size of the answer in tokens, if the request states it.
    pub size: Option<u64>,
    /// The request is in time if an engine starts it before this time.
    pub start_by: Timestamp,
    /// After this time, starting the request is of no use to its caller.
    pub useful_until: Timestamp,
    /// Whether the request returns from an engine. If so, it is refused only when its own
    /// time is up.
    pub returned: bool,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Reason {
    /// The queue is full.
    #[display("queue full")]
    Full,
    /// The tenant holds as many places in the queue as are still free.
    #[display("tenant's share of the queue full")]
    TenantFull,
    /// The request would be dispatched too late.
    #[display("turn would come too late")]
    Hopeless,
    /// The request waited for as long as starting it was of use.
    #[display("waited in vain")]
    Waited,
}

/// A refusal and the measurements behind it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refused {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Number of requests ahead of it.
    pub ahead: usize,
    /// Dispatch and arrival rates of the queue.
    pub rates: Rates,
    /// Expected time until the current queue is served; `None` if that cannot be
    /// foreseen.
    pub capacity_in: Option<Duration>,
}

/// Passed to a request that may look for an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// Whether the request can still start in time.
    pub in_time: bool,
}

/// A waiting request.
#[derive(Clone, Debug)]
struct Waiting {
    key: Key,
    enqueued_at: Timestamp,
    tenant: Option<String>,
    start_by: Timestamp,
    useful_until: Timestamp,
    returned: bool,
    in_time: bool,
}

/// The queue of one service at one gateway.
#[derive(Clone, Debug)]
pub struct Queue {
    limits: Limits,
    waiting: BTreeMap<EntryId, Waiting>,
    /// Requests that can still start in time, in dispatch order.
    in_time: BTreeSet<Key>,
    /// The same requests by the time at which they become late.
    becomes_late: BTreeSet<(Timestamp, EntryId)>,
    late: BTreeSet<Key>,
    shares: Shares,
    sizes: AnswerSizes,
    forecast: Forecast,
    last_sweep: Timestamp,
    last_id: EntryId,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            waiting: BTreeMap::new(),
            in_time: BTreeSet::new(),
            becomes_late: BTreeSet::new(),
            late: BTreeSet::new(),
            shares: Shares::default(),
            sizes: AnswerSizes::default(),
            forecast: Forecast::default(),
            last_sweep: Timestamp::ZERO,
            last_id: 0,
        }
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of waiting requests that can still start in time.
    #[must_use]
    pub fn in_time(&self) -> usize {
        self.in_time.len()
    }

    /// Adds a request that arrives, or that returns from an engine that did not answer
    /// it.
    ///
    /// # Errors
    /// Returns a refusal if the queue or the tenant's share of it is full, or if the
    /// request cannot be dispatched in time.
    pub fn enqueue(
        &mut self,
        request: &QueueRequest<'_>,
        now: Timestamp,
    ) -> Result<EntryId, Refused> {
        self.advance(now);
        if !request.returned {
            self.check_capacity(request, now)?;
            self.forecast.arrived(now);
        }
        let round = self.shares.round(request.tenant);
        self.last_id += 1;
        let waiting = Waiting {
            key: Key {
                first_time: !request.returned,
                rank: request.rank,
                round,
                due: Timestamp::ZERO,
                id: self.last_id,
            },
            enqueued_at: now,
            tenant: request.tenant.map(str::to_owned),
            start_by: request.start_by,
            useful_until: request.useful_until,
            returned: request.returned,
            in_time: now < request.start_by,
        };
        let waiting = self.with_due(waiting, request.size, now);
        if !request.returned
            && let Some(refused) = self.refusal_on_arrival(&waiting, now)
        {
            return Err(refused);
        }
        if !request.returned {
            self.shares.enter(request.tenant, request.weight);
        }
        self.insert(waiting);
        Ok(self.last_id)
    }

    /// Returns the requests that may look for an engine now, in dispatch order.
    pub fn searching(&mut self, now: Timestamp) -> Vec<(EntryId, Turn)> {
        self.advance(now);
        // Late requests that return from an engine go before those that are in time.
        let returned = self.late.iter().take_while(|key| !key.first_time);
        let late = self.late.iter().skip_while(|key| !key.first_time);
        let in_time = self.in_time.iter().map(|key| (key.id, true));
        let returned = returned.map(|key| (key.id, false));
        let late = late.map(|key| (key.id, false));
        let order = returned.chain(in_time).chain(late).take(MAX_SEARCHING);
        order.map(|(id, in_time)| (id, Turn { in_time })).collect()
    }

    /// Records that an engine was found for a request. Returns whether the request was in
    /// time; `None` if it does not wait here.
    pub fn dispatched(&mut self, id: EntryId, now: Timestamp) -> Option<bool> {
        self.advance(now);
        let waiting = self.remove_entry(id)?;
        self.shares.dispatched(waiting.key.round);
        let immediate = self.is_empty() && now.since(waiting.enqueued_at) < IMMEDIATE_WITHIN;
        self.forecast.dispatched(!immediate);
        Some(waiting.in_time)
    }

    /// Records that a request occupies an engine slot.
    pub fn started(&mut self) {
        self.forecast.started();
    }

    /// Records that a request left its engine slot, and for how long it held the slot if
    /// an engine started it.
    pub fn ended(&mut self, held: Option<Duration>) {
        self.forecast.ended(held);
    }

    /// Removes a request that gets no engine: its caller left, or no engine suits it.
    pub fn remove(&mut self, id: EntryId, now: Timestamp) {
        self.advance(now);
        let _removed = self.remove_entry(id);
    }

    /// Removes and returns requests that can no longer be dispatched in time.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<(EntryId, Refused)> {
        self.advance(now);
        if now.since(self.last_sweep) < SWEEP_INTERVAL {
            return Vec::new();
        }
        self.last_sweep = now;
        let mut refused = Vec::new();
        let order = self.in_time.iter().chain(&self.late);
        let order: Vec<EntryId> = order.map(|key| key.id).collect();
        let (mut ahead, mut in_time_ahead) = (0, 0);
        for id in order {
            let Some(waiting) = self.waiting.get(&id) else {
                continue;
            };
            let in_time = waiting.in_time;
            match self.refusal_reason(waiting, in_time_ahead, ahead, now) {
                Some(reason) => refused.push((id, self.refusal(reason, ahead, now))),
                None => {
                    ahead += 1;
                    in_time_ahead += usize::from(in_time);
                }
            }
        }
        for (id, _) in &refused {
            let _removed = self.remove_entry(*id);
        }
        refused
    }

    /// Longest expected wait of a request that arrives now; `None` if no end can be
    /// foreseen.
    #[must_use]
    pub fn capacity_in(&self, now: Timestamp) -> Option<Duration> {
        self.forecast.late_wait(self.len(), now)
    }

    /// Expected remaining wait of a request; `None` if nothing was measured yet, or no
    /// end can be foreseen.
    #[must_use]
    pub fn expected_wait(&self, id: EntryId, now: Timestamp) -> Option<Duration> {
        let waiting = self.waiting.get(&id)?;
        let (in_time_ahead, ahead) = self.ahead_of(waiting);
        self.forecast.is_measured().then_some(())?;
        self.wait_behind(waiting, in_time_ahead, ahead, now)
    }

    /// Current dispatch and arrival rates.
    #[must_use]
    pub fn rates(&self, now: Timestamp) -> Rates {
        self.forecast.rates(now)
    }

    /// Advances the clock, and moves requests that can no longer start in time to the
    /// late ones.
    fn advance(&mut self, now: Timestamp) {
        self.forecast.advance(now, !self.waiting.is_empty());
        while let Some(&(start_by, id)) = self.becomes_late.first() {
            if now < start_by {
                break;
            }
            self.becomes_late.pop_first();
            if let Some(waiting) = self.waiting.get_mut(&id) {
                self.in_time.remove(&waiting.key);
                waiting.in_time = false;
                // Moves the due time from `start_by` to `useful_until`, with the same
                // adjustment for size.
                let later = waiting.useful_until.since(waiting.start_by);
                waiting.key.due = waiting.key.due + later;
                self.late.insert(waiting.key);
            }
        }
        if self.waiting.is_empty() {
            self.shares.clear();
        }
    }

    fn with_due(&mut self, mut waiting: Waiting, size: Option<u64>, now: Timestamp) -> Waiting {
        let due = match waiting.in_time {
            true => waiting.start_by,
            false => waiting.useful_until,
        };
        let left = waiting.start_by.since(now);
        waiting.key.due = self.sizes.due(due, size, left);
        waiting
    }

    /// Checks whether one more request may wait.
    fn check_capacity(&self, request: &QueueRequest<'_>, now: Timestamp) -> Result<(), Refused> {
        let waiting = self.waiting.len();
        let free = self.limits.max_waiting.saturating_sub(waiting);
        if free == 0 {
            return Err(self.refusal(Reason::Full, waiting, now));
        }
        match request.tenant {
            Some(tenant) if self.shares.waiting(tenant) >= free => {
                Err(self.refusal(Reason::TenantFull, waiting, now))
            }
            _ => Ok(()),
        }
    }

    fn insert(&mut self, waiting: Waiting) {
        let key = waiting.key;
        if waiting.in_time {
            self.in_time.insert(key);
            self.becomes_late.insert((waiting.start_by, key.id));
        } else {
            self.late.insert(key);
        }
        self.waiting.insert(key.id, waiting);
    }

    fn remove_entry(&mut self, id: EntryId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&id)?;
        if waiting.in_time {
            self.in_time.remove(&waiting.key);
            self.becomes_late.remove(&(waiting.start_by, id));
        } else {
            self.late.remove(&waiting.key);
        }
        if !waiting.returned {
            self.shares.leave(waiting.tenant.as_deref());
        }
        Some(waiting)
    }

    /// Number of in-time requests ahead of a request, and of all requests ahead of it.
    fn ahead_of(&self, waiting: &Waiting) -> (usize, usize) {
        match waiting.in_time {
            true => {
                let ahead = self.in_time.range(..waiting.key).count();
                (ahead, ahead)
            }
            false => {
                let in_time = self.in_time.len();
                (in_time, in_time + self.late.range(..waiting.key).count())
            }
        }
    }

    /// Returns a refusal if a new request cannot be dispatched in time.
    fn refusal_on_arrival(&self, waiting: &Waiting, now: Timestamp) -> Option<Refused> {
        let (in_time_ahead, ahead) = self.ahead_of(waiting);
        let reason = self.refusal_reason(waiting, in_time_ahead, ahead, now)?;
        Some(self.refusal(reason, ahead, now))
    }

    /// Returns why a request has to be refused, given the requests ahead of it; `None` if
    /// it may wait.
    fn refusal_reason(
        &self,
        waiting: &Waiting,
        in_time_ahead: usize,
        ahead: usize,
        now: Timestamp,
    ) -> Option<Reason> {
        let left = waiting.useful_until.since(now);
        if left.is_zero() {
            return Some(Reason::Waited);
        }
        if ahead < MAX_SEARCHING || waiting.returned || !self.forecast.is_measured() {
            return None;
        }
        let wait = self.wait_behind(waiting, in_time_ahead, ahead, now);
        let is_served = wait.is_some_and(|wait| wait <= left.mul_f64(REFUSAL_MARGIN));
        (!is_served).then_some(Reason::Hopeless)
    }

    /// Expected wait of a request behind the given numbers of others.
    fn wait_behind(
        &self,
        waiting: &Waiting,
        in_time_ahead: usize,
        ahead: usize,
        now: Timestamp,
    ) -> Option<Duration> {
        if waiting.in_time {
            let wait = self.forecast.wait(in_time_ahead);
            if let Some(wait) = wait.filter(|&wait| now + wait < waiting.start_by) {
                return Some(wait);
            }
            // The request will become late, and then wait behind all that are late by
            // then.
            return self.forecast.late_wait(ahead + self.late.len(), now);
        }
        self.forecast.late_wait(ahead, now)
    }

    fn refusal(&self, reason: Reason, ahead: usize, now: Timestamp) -> Refused {
        Refused {
            reason,
            ahead,
            rates: self.forecast.rates(now),
            capacity_in: self.capacity_in(now),
        }
    }
}
