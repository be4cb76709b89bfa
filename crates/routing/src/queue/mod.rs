//! Whose turn it is to look for an engine, among all online requests of one service
//! that wait at one gateway, and which of them are refused since it cannot come.
//!
//! The turn goes to who can still be in time before who is late, then by rank, then
//! by the fair shares of tenants, and then to who has to begin first; a long answer
//! counts as if it could wait a little longer. Who would begin only after its caller
//! has gone is refused as soon as that is foreseeable: on arrival, or when the queue
//! slows down.

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
use order::{Key, Sizes};

/// Names one that waits.
pub type Place = u64;

/// How many look for an engine at the same time: one that no engine with room suits
/// must not hold up those behind it. They are refused for their own time alone: by
/// looking they find out when there is room again.
const LOOKERS: usize = 3;
/// How much longer than the time that is left a wait has to be expected to be. Refusing
/// one that would be served costs its answer.
const SURE: f64 = 1.25;
/// Wait up to which a request counts as begun at once: one look takes as long.
const AT_ONCE: Duration = Duration::from_millis(4);
/// Time between two searches for those whose turn cannot come.
const SWEEP_INTERVAL: Duration = Duration::from_millis(25);

/// Bounds of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most requests that wait.
    pub most_waiting: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            most_waiting: 4_096,
        }
    }
}

/// A request that wants an engine.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// Whose it is; requests of no tenant share no limit of their own.
    pub tenant: Option<&'a str>,
    /// Share of its tenant among others; 0 counts as 1.
    pub weight: u32,
    /// How urgent it is.
    pub rank: Rank,
    /// Tokens of its answer as far as it says.
    pub size: Option<u64>,
    /// It is in time if an engine begins with it by then.
    pub begins_by: Timestamp,
    /// Beyond this a begin is of no use to its caller.
    pub leaves_at: Timestamp,
    /// Whether it comes back from an engine. Then it is refused for its own time alone.
    pub again: bool,
}

/// Why one is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Reason {
    /// As many wait as may.
    #[display("queue full")]
    Full,
    /// Its tenant holds as many places as are free.
    #[display("tenant's share of the queue full")]
    TenantFull,
    /// Its turn would come too late.
    #[display("turn would come too late")]
    Hopeless,
    /// It waited for as long as was of use.
    #[display("waited in vain")]
    Waited,
}

/// A refusal, and what it was concluded from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refused {
    /// Why.
    pub reason: Reason,
    /// Requests before it.
    pub ahead: usize,
    /// How the queue moves.
    pub rates: Rates,
    /// When the queue as it stands will be served; `None` when that cannot be seen.
    pub room_in: Option<Duration>,
}

/// What a request that has its turn should know of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// Whether it can still be in time.
    pub in_time: bool,
}

/// One that waits.
#[derive(Clone, Debug)]
struct Waiting {
    key: Key,
    asked: Timestamp,
    tenant: Option<String>,
    begins_by: Timestamp,
    leaves_at: Timestamp,
    again: bool,
    in_time: bool,
}

/// The queue of one service at one gateway.
#[derive(Clone, Debug)]
pub struct Queue {
    limits: Limits,
    waiting: BTreeMap<Place, Waiting>,
    /// Who can still be in time, in order.
    in_time: BTreeSet<Key>,
    /// The same by the time at which they turn late.
    turns_late: BTreeSet<(Timestamp, Place)>,
    late: BTreeSet<Key>,
    shares: Shares,
    sizes: Sizes,
    forecast: Forecast,
    swept: Timestamp,
    last: Place,
}

impl Queue {
    /// An empty one.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            waiting: BTreeMap::new(),
            in_time: BTreeSet::new(),
            turns_late: BTreeSet::new(),
            late: BTreeSet::new(),
            shares: Shares::default(),
            sizes: Sizes::default(),
            forecast: Forecast::default(),
            swept: Timestamp::ZERO,
            last: 0,
        }
    }

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// How many of them can still be in time.
    #[must_use]
    pub fn in_time(&self) -> usize {
        self.in_time.len()
    }

    /// A request comes, or comes back from an engine that did not answer it.
    ///
    /// # Errors
    /// When its turn cannot come, or too many wait.
    pub fn ask(&mut self, want: &Want<'_>, now: Timestamp) -> Result<Place, Refused> {
        self.advance(now);
        if !want.again {
            self.has_room(want, now)?;
            self.forecast.came(now);
        }
        let round = self.shares.round(want.tenant);
        self.last += 1;
        let waiting = Waiting {
            key: Key {
                first_time: !want.again,
                rank: want.rank,
                round,
                due: Timestamp::ZERO,
                place: self.last,
            },
            asked: now,
            tenant: want.tenant.map(str::to_owned),
            begins_by: want.begins_by,
            leaves_at: want.leaves_at,
            again: want.again,
            in_time: now < want.begins_by,
        };
        let waiting = self.with_due(waiting, want.size, now);
        if !want.again
            && let Some(refused) = self.hopeless(&waiting, now)
        {
            return Err(refused);
        }
        if !want.again {
            self.shares.enter(want.tenant, want.weight);
        }
        self.insert(waiting);
        Ok(self.last)
    }

    /// Those who may look for an engine now, the first in the order first.
    pub fn lookers(&mut self, now: Timestamp) -> Vec<(Place, Turn)> {
        self.advance(now);
        // Late ones that are back from an engine go before those that are in time.
        let back = self.late.iter().take_while(|key| !key.first_time);
        let late = self.late.iter().skip_while(|key| !key.first_time);
        let in_time = self.in_time.iter().map(|key| (key.place, true));
        let back = back.map(|key| (key.place, false));
        let late = late.map(|key| (key.place, false));
        let order = back.chain(in_time).chain(late).take(LOOKERS);
        order
            .map(|(place, in_time)| (place, Turn { in_time }))
            .collect()
    }

    /// An engine was found for one. Says whether it was in time.
    pub fn begun(&mut self, place: Place, now: Timestamp) -> Option<bool> {
        self.advance(now);
        let waiting = self.remove(place)?;
        self.shares.begun(waiting.key.round);
        let at_once = self.is_empty() && now.since(waiting.asked) < AT_ONCE;
        self.forecast.begun(!at_once);
        Some(waiting.in_time)
    }

    /// A request takes a slot of an engine.
    pub fn started(&mut self) {
        self.forecast.started();
    }

    /// One leaves it, and held it for so long if it began.
    pub fn ended(&mut self, held: Option<Duration>) {
        self.forecast.ended(held);
    }

    /// One goes without an engine: its caller went away, or no engine suits it.
    pub fn leave(&mut self, place: Place, now: Timestamp) {
        self.advance(now);
        let _waited = self.remove(place);
    }

    /// Takes out those whose turn cannot come any more.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<(Place, Refused)> {
        self.advance(now);
        if now.since(self.swept) < SWEEP_INTERVAL {
            return Vec::new();
        }
        self.swept = now;
        let mut refused = Vec::new();
        let order = self.in_time.iter().chain(&self.late);
        let order: Vec<Place> = order.map(|key| key.place).collect();
        let (mut ahead, mut in_time_ahead) = (0, 0);
        for place in order {
            let Some(waiting) = self.waiting.get(&place) else {
                continue;
            };
            let in_time = waiting.in_time;
            match self.judge(waiting, in_time_ahead, ahead, now) {
                Some(reason) => refused.push((place, self.refused(reason, ahead, now))),
                None => {
                    ahead += 1;
                    in_time_ahead += usize::from(in_time);
                }
            }
        }
        for (place, _) in &refused {
            let _waited = self.remove(*place);
        }
        refused
    }

    /// When a request that comes now would have its turn at the latest; `None` when
    /// that cannot be seen.
    #[must_use]
    pub fn room_in(&self, now: Timestamp) -> Option<Duration> {
        self.forecast.late_wait(self.len(), now)
    }

    /// How long the wait of one is expected to be from now on; `None` when nothing
    /// was measured, or no end can be seen.
    #[must_use]
    pub fn expected_wait(&self, place: Place, now: Timestamp) -> Option<Duration> {
        let waiting = self.waiting.get(&place)?;
        let (in_time_ahead, ahead) = self.ahead_of(waiting);
        self.forecast.is_measured().then_some(())?;
        self.wait(waiting, in_time_ahead, ahead, now)
    }

    /// How the queue moves.
    #[must_use]
    pub fn rates(&self, now: Timestamp) -> Rates {
        self.forecast.rates(now)
    }

    /// Counts the time that passed, and moves those who cannot be in time any more.
    fn advance(&mut self, now: Timestamp) {
        self.forecast.advance(now, !self.waiting.is_empty());
        while let Some(&(begins_by, place)) = self.turns_late.first() {
            if now < begins_by {
                break;
            }
            self.turns_late.pop_first();
            if let Some(waiting) = self.waiting.get_mut(&place) {
                self.in_time.remove(&waiting.key);
                waiting.in_time = false;
                // As far behind its last useful begin as it was behind the first.
                let later = waiting.leaves_at.since(waiting.begins_by);
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
            true => waiting.begins_by,
            false => waiting.leaves_at,
        };
        let left = waiting.begins_by.since(now);
        waiting.key.due = self.sizes.due(due, size, left);
        waiting
    }

    /// Whether one more may wait.
    fn has_room(&self, want: &Want<'_>, now: Timestamp) -> Result<(), Refused> {
        let waiting = self.waiting.len();
        let free = self.limits.most_waiting.saturating_sub(waiting);
        if free == 0 {
            return Err(self.refused(Reason::Full, waiting, now));
        }
        match want.tenant {
            Some(tenant) if self.shares.waiting(tenant) >= free => {
                Err(self.refused(Reason::TenantFull, waiting, now))
            }
            _ => Ok(()),
        }
    }

    fn insert(&mut self, waiting: Waiting) {
        let key = waiting.key;
        if waiting.in_time {
            self.in_time.insert(key);
            self.turns_late.insert((waiting.begins_by, key.place));
        } else {
            self.late.insert(key);
        }
        self.waiting.insert(key.place, waiting);
    }

    fn remove(&mut self, place: Place) -> Option<Waiting> {
        let waiting = self.waiting.remove(&place)?;
        if waiting.in_time {
            self.in_time.remove(&waiting.key);
            self.turns_late.remove(&(waiting.begins_by, place));
        } else {
            self.late.remove(&waiting.key);
        }
        if !waiting.again {
            self.shares.leave(waiting.tenant.as_deref());
        }
        Some(waiting)
    }

    /// Those in time before it, and all before it.
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

    /// Whether a newcomer's turn cannot come.
    fn hopeless(&self, waiting: &Waiting, now: Timestamp) -> Option<Refused> {
        let (in_time_ahead, ahead) = self.ahead_of(waiting);
        let reason = self.judge(waiting, in_time_ahead, ahead, now)?;
        Some(self.refused(reason, ahead, now))
    }

    /// Why one is to be refused, given those before it.
    fn judge(
        &self,
        waiting: &Waiting,
        in_time_ahead: usize,
        ahead: usize,
        now: Timestamp,
    ) -> Option<Reason> {
        let left = waiting.leaves_at.since(now);
        if left.is_zero() {
            return Some(Reason::Waited);
        }
        if ahead < LOOKERS || waiting.again || !self.forecast.is_measured() {
            return None;
        }
        let wait = self.wait(waiting, in_time_ahead, ahead, now);
        let comes = wait.is_some_and(|wait| wait <= left.mul_f64(SURE));
        (!comes).then_some(Reason::Hopeless)
    }

    /// How long one waits behind so many.
    fn wait(
        &self,
        waiting: &Waiting,
        in_time_ahead: usize,
        ahead: usize,
        now: Timestamp,
    ) -> Option<Duration> {
        if waiting.in_time {
            let wait = self.forecast.wait(in_time_ahead);
            if let Some(wait) = wait.filter(|&wait| now + wait < waiting.begins_by) {
                return Some(wait);
            }
            // It will be late, and behind those that are by then.
            return self.forecast.late_wait(ahead + self.late.len(), now);
        }
        self.forecast.late_wait(ahead, now)
    }

    fn refused(&self, reason: Reason, ahead: usize, now: Timestamp) -> Refused {
        Refused {
            reason,
            ahead,
            rates: self.forecast.rates(now),
            room_in: self.room_in(now),
        }
    }
}
