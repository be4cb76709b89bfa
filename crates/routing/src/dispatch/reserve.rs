//! Headroom that batch work leaves for online requests.
//!
//! If batch work filled every slot, each online request would preempt a batch run, whose
//! prompt another engine would have to read again. Instead, batch work keeps as many slots
//! free as online requests take before gateways observe one another's requests. The slots
//! that finishing online requests free balance those that new ones take.

use molespan_types::Timestamp;

use super::room::START_VISIBILITY_DELAY;
use super::table::EngineTable;

impl EngineTable {
    /// Slots of a service that batch work leaves free: the number of online requests that
    /// all gateways together start before the other gateways observe them. In a steady
    /// state requests start as often as they end, so this is the number of online requests
    /// in flight times the visibility delay divided by the mean slot time.
    #[must_use]
    pub fn reserved_for_online(&self, service: &str, now: Timestamp) -> f64 {
        let slot_time = self.slot_times.mean(service);
        if slot_time <= START_VISIBILITY_DELAY {
            return 0.0;
        }
        let others_report = self.others_report(now);
        let engines = self.of_service(service);
        let online: f64 = engines.map(|one| one.online_load(now, others_report)).sum();
        online * START_VISIBILITY_DELAY.as_secs_f64() / slot_time.as_secs_f64()
    }
}
