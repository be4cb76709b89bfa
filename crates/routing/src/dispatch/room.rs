//! Which part of the room that engines have one gateway fills. All gateways see the
//! same room at the same time, and one another's requests only later.

use std::collections::VecDeque;
use std::time::Duration;

use molespan_types::Timestamp;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::table::{EngineTable, Pick, Standing};

/// How long it takes until the other gateways see that a request started: an interval
/// of telling, a relay's round, and the way.
pub(super) const STARTS_SHOW: Duration = Duration::from_millis(150);

/// How long a slot that an own request left is this gateway's to fill: about as long
/// as it takes until the others see that it is free. In a simulated peak of 49 gateways
/// before 89 and 100 engines of 6 slots, 0.860 and 0.946 of all requests were in time
/// with it, 0.839 and 0.912 without.
const FREED_HOLDS: Duration = Duration::from_millis(50);

/// Slots that own requests have just left.
#[derive(Debug, Default)]
pub(super) struct FreedSlots(VecDeque<(String, Timestamp)>);

impl FreedSlots {
    /// A request left a slot of an engine.
    pub fn note(&mut self, engine: &str, now: Timestamp) {
        self.0.retain(|(_, freed)| now.since(*freed) < FREED_HOLDS);
        self.0.push_back((engine.to_owned(), now));
    }

    /// Whether there is no such slot: whoever waits looks many times a second.
    pub fn is_empty(&self, now: Timestamp) -> bool {
        let latest = self.0.back();
        latest.is_none_or(|(_, freed)| now.since(*freed) >= FREED_HOLDS)
    }

    /// The engine with such a slot that `fits`, the one first that was left first.
    pub fn find(&self, now: Timestamp, fits: impl Fn(&str) -> bool) -> Option<String> {
        let mut held = self.0.iter();
        let found = held.find(|(id, freed)| now.since(*freed) < FREED_HOLDS && fits(id));
        found.map(|(id, _)| id.clone())
    }

    /// A slot of an engine is taken.
    pub fn forget(&mut self, engine: &str) {
        if let Some(place) = self.0.iter().position(|(id, _)| id == engine) {
            self.0.remove(place);
        }
    }
}

/// Requests that this gateway started and the others do not see yet, and so count as
/// room.
#[derive(Debug)]
pub(super) struct UnseenStarts {
    /// Oldest first.
    latest: VecDeque<Timestamp>,
    /// Rounds a part of a request, from 0 up to 1.
    draw: f64,
    drawn: Timestamp,
    random: ChaCha8Rng,
}

impl UnseenStarts {
    /// None yet.
    pub fn new(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        Self {
            latest: VecDeque::new(),
            draw: random.random(),
            drawn: Timestamp::ZERO,
            random,
        }
    }

    /// A request starts.
    pub fn note(&mut self, now: Timestamp) {
        self.latest.retain(|&start| now.since(start) < STARTS_SHOW);
        self.latest.push_back(now);
        self.draw_anew(now);
    }

    fn draw_anew(&mut self, now: Timestamp) {
        self.draw = self.random.random();
        self.drawn = now;
    }

    /// Requests that this gateway may still start where all may start `room`, of
    /// which it has a `share`.
    pub fn left(&self, share: f64, room: f64, now: Timestamp) -> f64 {
        let latest = self.latest.iter();
        let lately = latest.filter(|&&start| now.since(start) < STARTS_SHOW);
        let unseen = lately.count() as f64;
        ((room + unseen) * share - unseen).max(0.0)
    }

    /// Whether a request may start. Less than one is rounded by chance, so that all
    /// gateways together fill the room. The draw holds until one starts: drawing at
    /// each look would round every part up in the end.
    pub fn may_start(&mut self, share: f64, room: f64, now: Timestamp) -> bool {
        if now.since(self.drawn) >= STARTS_SHOW {
            self.draw_anew(now);
        }
        self.left(share, room, now) > self.draw
    }
}

impl EngineTable {
    /// Whether an online request may start now. Where requests hold slots for longer
    /// than gateways take to see each other's, all of them would fill the same room:
    /// then each takes the part of it that its part of all online requests is.
    pub(super) fn may_start_online(&mut self, pick: &Pick<'_>, now: Timestamp) -> bool {
        if self.slot_times.mean(pick.service) < STARTS_SHOW {
            return true;
        }
        let others_tell = self.others_tell(now);
        let mut room = 0.0;
        let mut own = 0.0;
        let mut all = 0.0;
        for engine in self.within_reach(pick.service) {
            let online = engine.online_load(now, others_tell);
            own += f64::from(engine.own_online());
            all += online;
            if !engine.is_paused(now) {
                room += (self.places(engine, pick, now) - online).max(0.0);
            }
        }
        let by_running = || (own + 1.0) / (all + self.sharers(pick.service));
        let in_time = matches!(pick.standing, Standing::InTime { .. });
        let share = in_time
            .then(|| self.part_by_demand(pick.service, now))
            .flatten();
        let share = share.unwrap_or_else(by_running);
        self.online_starts.may_start(share.min(1.0), room, now)
    }
}
