//! Room that batch work leaves to the online requests that come next.
//!
//! Where batch work fills every slot, each online request ends a run of it, whose prompt
//! is read again. As many slots as online requests take until gateways see one another's
//! are left free in place of that; the slots that online requests leave make up for them.

use molespan_types::Timestamp;

use super::room::STARTS_SHOW;
use super::table::EngineTable;

impl EngineTable {
    /// Slots of a service that batch work leaves free: those that online requests of all
    /// gateways begin to hold within the time in which others see it. They come as fast as
    /// they go: as many as hold a slot, in the time for which they hold it.
    #[must_use]
    pub fn kept_for_online(&self, service: &str, now: Timestamp) -> f64 {
        let held = self.slot_times.mean(service);
        if held <= STARTS_SHOW {
            return 0.0;
        }
        let others_tell = self.others_tell(now);
        let engines = self.of_service(service);
        let online: f64 = engines.map(|one| one.online_load(now, others_tell)).sum();
        online * STARTS_SHOW.as_secs_f64() / held.as_secs_f64()
    }
}
