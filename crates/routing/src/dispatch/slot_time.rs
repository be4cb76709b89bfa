//! How long a request holds a slot of an engine, and so how long one that finds
//! none free waits there.

use std::collections::BTreeMap;
use std::time::Duration;

use super::pace::Usual;

/// Weight of the latest request in the mean: some thirty of them make it.
const LATEST_WEIGHT: f64 = 1.0 / 32.0;

/// Mean times for which online requests hold a slot, by service, as measured here.
#[derive(Clone, Debug, Default)]
pub(super) struct SlotTimes {
    means: BTreeMap<String, f64>,
    usual: BTreeMap<String, Usual>,
}

impl SlotTimes {
    /// A request held a slot of an engine of `service` for so long.
    pub fn note(&mut self, service: &str, held: Duration) {
        let held = held.as_secs_f64();
        match self.means.get_mut(service) {
            Some(mean) => *mean += (held - *mean) * LATEST_WEIGHT,
            None => {
                self.means.insert(service.to_owned(), held);
            }
        }
    }

    /// Mean time for which a request of the service holds a slot.
    pub fn mean(&self, service: &str) -> Duration {
        Duration::from_secs_f64(self.means.get(service).copied().unwrap_or_default())
    }

    /// Times between events at engines of the service.
    pub fn usual(&mut self, service: &str) -> &mut Usual {
        self.usual.entry(service.to_owned()).or_default()
    }

    /// Requests that an engine with so many `slots` and this pace begins with within
    /// `left`: those for which it has slots, and those whose turn comes by then. All of
    /// them until any was measured.
    pub fn begun_within(&self, service: &str, left: Duration, slots: f64, pace: f64) -> f64 {
        let held = self.mean(service).as_secs_f64() * pace;
        slots + slots * left.as_secs_f64() / held
    }
}
