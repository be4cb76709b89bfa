//! How long requests hold a slot of an engine, from which the wait at a full engine is
//! estimated.

use std::collections::BTreeMap;
use std::time::Duration;

use super::pace::EventIntervals;

/// Weight of the latest request in the mean, which covers about 30 requests.
const LATEST_WEIGHT: f64 = 1.0 / 32.0;

/// Mean slot times of online requests by service, as measured by this gateway.
#[derive(Clone, Debug, Default)]
pub(super) struct SlotTimes {
    means: BTreeMap<String, f64>,
    event_intervals: BTreeMap<String, EventIntervals>,
}

impl SlotTimes {
    /// Records the time for which a request held a slot of an engine of `service`.
    pub fn note(&mut self, service: &str, slot_time: Duration) {
        let slot_time = slot_time.as_secs_f64();
        match self.means.get_mut(service) {
            Some(mean) => *mean += (slot_time - *mean) * LATEST_WEIGHT,
            None => {
                self.means.insert(service.to_owned(), slot_time);
            }
        }
    }

    /// Returns the mean slot time of the service's requests, or zero before the first one.
    pub fn mean(&self, service: &str) -> Duration {
        Duration::from_secs_f64(self.means.get(service).copied().unwrap_or_default())
    }

    /// Returns the times between events at engines of the service.
    pub fn event_intervals(&mut self, service: &str) -> &mut EventIntervals {
        self.event_intervals.entry(service.to_owned()).or_default()
    }

    /// Returns how many requests an engine with this many `slots` and this pace starts
    /// within `left`: those that get a slot at once, and those that get one by then.
    /// Unbounded until a slot time was measured.
    pub fn starts_within(&self, service: &str, left: Duration, slots: f64, pace: f64) -> f64 {
        let slot_time = self.mean(service).as_secs_f64() * pace;
        slots + slots * left.as_secs_f64() / slot_time
    }
}
