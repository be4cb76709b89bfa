//! Services whose engines lack capacity, as reported to operators.

use std::cell::RefCell;
use std::collections::BTreeMap;

use molespan_routing::dispatch::Shortage;
use slog::info;

use crate::state::GatewayState;

/// Capacity shortage by service.
#[derive(Debug, Default)]
pub(crate) struct Shortages(RefCell<BTreeMap<String, Shortage>>);

impl Shortages {
    /// Removes all services, since some may be gone.
    pub fn clear(&self) {
        self.0.borrow_mut().clear();
    }
}

impl GatewayState {
    /// Records that an engine of a service had no capacity for an online request.
    pub fn note_rejection(&self, service: &str) {
        self.metrics.capacity.count_rejection(service);
        self.note_capacity(service, true);
    }

    /// Whether requests hold slots of a service for so short a time that a full engine soon
    /// has a free one.
    pub fn has_short_requests(&self, service: &str) -> bool {
        self.engines.borrow().short_work_time(service).is_some()
    }

    /// Records that an engine of a service accepted an online request.
    pub fn note_accepted(&self, service: &str) {
        self.note_capacity(service, false);
    }

    fn note_capacity(&self, service: &str, rejected: bool) {
        let mut shortages = self.shortages.0.borrow_mut();
        let change = match shortages.get_mut(service) {
            Some(shortage) => shortage.note(rejected, self.now()),
            None if !rejected => None,
            None => {
                let shortage = shortages.entry(service.to_owned()).or_default();
                shortage.note(rejected, self.now())
            }
        };
        match change {
            Some(true) => {
                let work_time = self.engines.borrow().short_work_time(service);
                info!(self.logger, "engines of the service lack capacity"; "service" => service,
                    "work_ms" => work_time.map(|time| time.as_millis() as u64));
            }
            Some(false) => {
                info!(self.logger, "engines of the service have capacity again"; "service" => service)
            }
            None => {}
        }
    }
}
