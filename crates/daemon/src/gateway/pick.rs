//! Engine selection: one picker per service, updated by the directory and reports.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use molespan_engine_api::CacheEventPage;
use molespan_routing::pick::{
    Candidate, Finish, LoadSample, Pick, PickError, PickRequest, PickSettings, Picker,
};
use molespan_routing::retry::{RetryBudget, RetryBudgetSettings};
use molespan_types::{BackendId, ServiceName, Timestamp, ZoneName};

/// The pickers and retry budgets of all services.
#[derive(Debug)]
pub(super) struct Pickers {
    settings: PickSettings,
    zone: ZoneName,
    seed: u64,
    services: Mutex<BTreeMap<ServiceName, ServicePick>>,
}

#[derive(Debug)]
struct ServicePick {
    picker: Picker,
    budget: RetryBudget,
}

impl Pickers {
    pub(super) fn new(settings: PickSettings, zone: ZoneName, seed: u64) -> Self {
        Self {
            settings,
            zone,
            seed,
            services: Mutex::new(BTreeMap::new()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceName, ServicePick>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the candidates of every service; state of services that are missing
    /// is dropped.
    pub(super) fn set_candidates(&self, candidates: BTreeMap<ServiceName, Vec<Candidate>>) {
        let mut services = self.lock();
        services.retain(|service, _| candidates.contains_key(service));
        for (service, candidates) in candidates {
            let pick = services.entry(service).or_insert_with(|| ServicePick {
                picker: Picker::new(self.zone.clone(), self.settings.clone(), self.seed),
                budget: RetryBudget::new(RetryBudgetSettings::default()),
            });
            pick.picker.set_engines(candidates);
        }
    }

    /// Selects a back end.
    pub(super) fn pick(
        &self,
        now: Timestamp,
        service: &ServiceName,
        request: PickRequest<'_>,
    ) -> Result<Pick, PickError> {
        let mut services = self.lock();
        let pick = services.get_mut(service).ok_or(PickError::NoEngine)?;
        pick.picker.pick(now, request)
    }

    /// Records a sent request; returns this gateway's requests in flight there.
    pub(super) fn started(
        &self,
        now: Timestamp,
        service: &ServiceName,
        backend: BackendId,
        prefix_hashes: &[u64],
    ) -> u32 {
        let mut services = self.lock();
        let Some(pick) = services.get_mut(service) else {
            return 0;
        };
        pick.picker.started(now, backend, prefix_hashes);
        pick.picker.own_in_flight(backend)
    }

    /// Records the end of a request; returns this gateway's requests in flight there.
    pub(super) fn finished(
        &self,
        now: Timestamp,
        service: &ServiceName,
        backend: BackendId,
        started: Timestamp,
        finish: Finish,
    ) -> u32 {
        let mut services = self.lock();
        let Some(pick) = services.get_mut(service) else {
            return 0;
        };
        pick.picker.finished(now, backend, started, finish);
        pick.picker.own_in_flight(backend)
    }

    /// Calls `work` with the retry budget of a service.
    pub(super) fn with_budget<T>(
        &self,
        service: &ServiceName,
        work: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut services = self.lock();
        match services.get_mut(service) {
            Some(pick) => work(&mut pick.budget),
            None => work(&mut RetryBudget::new(RetryBudgetSettings {
                max_tokens: 0.0,
                ..RetryBudgetSettings::default()
            })),
        }
    }

    /// Processes a load report or digest.
    pub(super) fn observe_load(&self, sample: &LoadSample) {
        for pick in self.lock().values_mut() {
            pick.picker.observe_load(sample.clone());
        }
    }

    /// Processes cache events.
    pub(super) fn observe_cache(&self, backend: BackendId, page: &CacheEventPage) {
        for pick in self.lock().values_mut() {
            pick.picker.observe_cache(backend, page);
        }
    }

    /// Returns the load of a back end, in requests, as a selection made now would see it.
    pub(super) fn load(
        &self,
        now: Timestamp,
        service: &ServiceName,
        backend: BackendId,
    ) -> Option<f64> {
        self.lock().get(service)?.picker.load(now, backend)
    }

    /// Returns how many requests each service's back ends can accept from this gateway.
    pub(super) fn capacities(&self, now: Timestamp) -> Vec<(ServiceName, u32)> {
        let services = self.lock();
        services
            .iter()
            .map(|(service, pick)| (service.clone(), pick.picker.capacity(now)))
            .collect()
    }
}

/// Returns the finish of a completed answer.
pub(super) fn answered(first_byte: Duration) -> Finish {
    Finish::Answered { first_byte }
}
