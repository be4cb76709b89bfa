//! Requests that wait for an engine: the queues of online requests, and the turns of batch
//! items.
//!
//! Requests that only one of several software versions may run wait apart from the others:
//! the engines of that version may be full while others are free, and the other way round.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use molespan_routing::queue::Limits;
use molespan_types::SoftwareVersion;

use crate::batch::Turns;
use crate::queue::ServiceQueue;
use crate::state::GatewayState;

/// A service and one of its software versions.
type VersionKey = (String, SoftwareVersion);
/// A service and the only software version that may run an item, if there is one.
type TurnKey = (String, Option<SoftwareVersion>);

/// The waiting requests of a gateway.
#[derive(Default)]
pub(crate) struct WaitingRequests {
    /// Online requests by service.
    queues: RefCell<BTreeMap<String, Rc<ServiceQueue>>>,
    /// Online requests that only one software version may run.
    version_queues: RefCell<BTreeMap<VersionKey, Rc<ServiceQueue>>>,
    /// Batch items.
    turns: RefCell<BTreeMap<TurnKey, Rc<Turns>>>,
}

impl WaitingRequests {
    /// Drops the queues of services that are not served, unless requests wait there.
    pub fn retain_services(&self, served: &BTreeSet<&str>) {
        let mut queues = self.queues.borrow_mut();
        queues.retain(|service, queue| !queue.is_empty() || served.contains(service.as_str()));
    }

    /// Returns all queues.
    fn all_queues(&self) -> Vec<Rc<ServiceQueue>> {
        let queues = self.queues.borrow();
        let version_queues = self.version_queues.borrow();
        queues
            .values()
            .chain(version_queues.values())
            .cloned()
            .collect()
    }
}

impl GatewayState {
    /// Returns the queue of a service. Each service has its own, so that one without an
    /// engine does not block the others.
    pub fn queue(&self, service: &str) -> Rc<ServiceQueue> {
        let mut queues = self.waiting.queues.borrow_mut();
        if let Some(queue) = queues.get(service) {
            return queue.clone();
        }
        let queue = ServiceQueue::new(Limits::default(), self.clock.clone());
        queues.insert(service.to_owned(), queue.clone());
        queue
    }

    /// Returns the queue of the requests that `version` alone may run, or any if `None`.
    pub fn version_queue(
        &self,
        service: &str,
        version: Option<&SoftwareVersion>,
    ) -> Rc<ServiceQueue> {
        let Some(key) = self.version_key(service, version) else {
            return self.queue(service);
        };
        let mut queues = self.waiting.version_queues.borrow_mut();
        queues.retain(|_, queue| !queue.is_empty());
        let queue = queues
            .entry(key)
            .or_insert_with(|| ServiceQueue::new(Limits::default(), self.clock.clone()));
        queue.clone()
    }

    /// Returns the turns of the batch items that `version` alone may run, or any if `None`.
    /// Each service has its own, so that one without an engine does not block the others.
    pub fn turns(&self, service: &str, version: Option<&SoftwareVersion>) -> Rc<Turns> {
        let only = self.version_key(service, version);
        let key = (service.to_owned(), only.map(|(_, version)| version));
        let mut turns = self.waiting.turns.borrow_mut();
        // Turns that nobody waits for or holds.
        turns.retain(|_, turns| Rc::strong_count(turns) > 1);
        turns.entry(key).or_default().clone()
    }

    /// Returns the key of the requests that wait apart from the others of their service;
    /// `None` if every engine may run them.
    fn version_key(&self, service: &str, version: Option<&SoftwareVersion>) -> Option<VersionKey> {
        let version = version?;
        let is_only = self.engines.borrow().is_only_version(service, version);
        (!is_only).then(|| (service.to_owned(), version.clone()))
    }

    /// Wakes the queue of a service whose engines may have capacity.
    pub fn wake_queue(&self, service: &str) {
        let queue = self.waiting.queues.borrow().get(service).cloned();
        if let Some(queue) = queue {
            queue.wake_turn_holders();
        }
    }

    /// Wakes all queues, since any engine may have capacity.
    pub fn wake_all_queues(&self) {
        let queues = self.waiting.all_queues().into_iter();
        for queue in queues.filter(|queue| !queue.is_empty()) {
            queue.wake_turn_holders();
        }
    }

    /// Updates the metrics of waiting requests.
    pub fn update_queue_metrics(&self) {
        let queues = self.waiting.all_queues();
        let lengths = queues.iter().map(|queue| queue.lengths());
        let (waiting, in_time) = lengths.fold((0, 0), |(waiting, in_time), one| {
            (waiting + one.0, in_time + one.1)
        });
        self.metrics.queue.set_lengths(waiting, in_time);
    }
}
