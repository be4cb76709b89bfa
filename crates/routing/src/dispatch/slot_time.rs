//! How long a request holds a slot of an engine, and so how long one that finds
//! none free waits there.

use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the latest request in the mean: some thirty of them make it.
const LATEST_WEIGHT: f64 = 1.0 / 32.0;

/// Mean times for which online requests hold a slot, by service, as measured here.
#[derive(Clone, Debug, Default)]
pub(super) struct SlotTimes(BTreeMap<String, f64>);

impl SlotTimes {
    /// A request held a slot of an engine of `service` for so long.
    pub fn note(&mut self, service: &str, held: Duration) {
        let held = held.as_secs_f64();
        match self.0.get_mut(service) {
            Some(mean) => *mean += (held - *mean) * LATEST_WEIGHT,
            None => {
                self.0.insert(service.to_owned(), held);
            }
        }
    }

    /// Mean time for which a request of the service holds a slot.
    pub fn mean(&self, service: &str) -> Duration {
        Duration::from_secs_f64(self.0.get(service).copied().unwrap_or_default())
    }

    /// Requests that an engine with so many `slots` begins with within `left`: those
    /// for which it has slots, and those whose turn comes by then. All of them until
    /// any was measured.
    pub fn begun_within(&self, service: &str, left: Duration, slots: u32) -> f64 {
        let slots = f64::from(slots);
        let held = self.mean(service).as_secs_f64();
        slots + slots * left.as_secs_f64() / held
    }
}
