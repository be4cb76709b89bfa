//! Log of cache changes, published with a delay and random loss.

use std::collections::VecDeque;
use std::time::Duration;

use molespan_engine_api::{CacheEvent, CacheEventKind};
use molespan_types::Timestamp;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Maximum number of retained events. Older events are dropped, which readers
/// observe as a gap in the sequence numbers.
const MAX_RETAINED_EVENTS: usize = 8_192;
/// Maximum number of events per response.
const MAX_PAGE_EVENTS: usize = 1_024;

/// Cache events with the time from which each is visible to readers.
#[derive(Clone, Debug)]
pub struct CacheEventLog {
    delay: Duration,
    loss: f64,
    sequence: u64,
    events: VecDeque<(Timestamp, CacheEvent)>,
}

impl CacheEventLog {
    /// Creates an empty log. `loss` is the fraction of events that are never
    /// published, 0.0 to 1.0.
    #[must_use]
    pub fn new(delay: Duration, loss: f64) -> Self {
        Self {
            delay,
            loss: loss.clamp(0.0, 1.0),
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Records a change that occurred at `now`.
    pub fn record(
        &mut self,
        now: Timestamp,
        kind: CacheEventKind,
        prefix_hash: u64,
        random: &mut ChaCha8Rng,
    ) {
        self.sequence += 1;
        if random.random_bool(self.loss) {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            kind,
            prefix_hash,
        };
        self.events.push_back((now + self.delay, event));
        if self.events.len() > MAX_RETAINED_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events after sequence number `after` that are visible at
    /// `now`.
    #[must_use]
    pub fn after(&self, now: Timestamp, after: u64) -> Vec<CacheEvent> {
        let start = self
            .events
            .partition_point(|(_, event)| event.sequence <= after);
        self.events
            .range(start..)
            .take_while(|(visible_at, _)| *visible_at <= now)
            .take(MAX_PAGE_EVENTS)
            .map(|(_, event)| event.clone())
            .collect()
    }
}
