//! Decides whether an online request is admitted now, waits in a bounded queue, or is
//! refused immediately.
//!
//! A refusal is final and means that the request did not run. It is issued as soon as it
//! is foreseeable: a request that cannot be admitted before its deadline is refused on
//! arrival, or as soon as the queue slows down, and is never held until the deadline.

mod bucket;
mod queue;
mod refusal;
mod service;
mod tenant;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use molespan_types::{ServiceName, TenantId, Timestamp};

pub use refusal::{Refusal, RefusalCode};
pub use service::ServiceLimits;
pub use tenant::TenantPolicy;

use service::{Service, Waiting};
use tenant::Tenant;

/// Settings of admission control.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Policy of tenants without one of their own.
    pub default_policy: TenantPolicy,
    /// Service time assumed before the first completion.
    pub assumed_service_time: Duration,
    /// Minimum Retry-After.
    pub shortest_retry_after: Duration,
    /// Maximum Retry-After.
    pub longest_retry_after: Duration,
    /// Time between sweeps for idle tenants.
    pub sweep_interval: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            default_policy: TenantPolicy::default(),
            assumed_service_time: Duration::from_millis(500),
            shortest_retry_after: Duration::from_millis(50),
            longest_retry_after: Duration::from_secs(60),
            sweep_interval: Duration::from_secs(1),
        }
    }
}

/// Identifies an admitted or queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What happens to a request on arrival.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The request may proceed; release the ticket when it has ended.
    Admitted(Ticket),
    /// The request waits; an [`AdmissionOutput`] reports how the wait ends.
    Queued {
        /// Ticket of the request.
        ticket: Ticket,
        /// Number of waiting requests of the service, including this one.
        queue_length: usize,
        /// Expected time until the request is admitted.
        expected_wait: Duration,
    },
    /// The request is refused for good and did not run.
    Refused(Refusal),
}

/// How the wait of a queued request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionOutput {
    /// The request was admitted; release the ticket when it has ended.
    Admitted(Ticket),
    /// The request is refused for good and did not run.
    Refused(Ticket, Refusal),
}

/// The holder of an admitted ticket.
#[derive(Clone, Debug)]
struct Permit {
    tenant: TenantId,
    service: ServiceName,
    admitted: Timestamp,
}

/// Admission control of one gateway.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    policies: BTreeMap<TenantId, TenantPolicy>,
    tenants: HashMap<TenantId, Tenant>,
    services: BTreeMap<ServiceName, Service>,
    permits: HashMap<Ticket, Permit>,
    last_ticket: u64,
    last_sweep: Timestamp,
}

impl Admission {
    /// Creates an instance without any services.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            policies: BTreeMap::new(),
            tenants: HashMap::new(),
            services: BTreeMap::new(),
            permits: HashMap::new(),
            last_ticket: 0,
            last_sweep: Timestamp::ZERO,
        }
    }

    /// Applies services and tenant policies. Refuses the waiting requests of services
    /// that are no longer configured.
    pub fn configure(
        &mut self,
        now: Timestamp,
        services: BTreeMap<ServiceName, ServiceLimits>,
        policies: BTreeMap<TenantId, TenantPolicy>,
    ) -> Vec<AdmissionOutput> {
        self.policies = policies;
        for (tenant, state) in &mut self.tenants {
            let policy = self.policies.get(tenant);
            state.set_policy(now, policy.unwrap_or(&self.settings.default_policy));
        }
        let mut outputs = Vec::new();
        self.services.retain(|name, service| {
            let kept = services.contains_key(name);
            if !kept {
                outputs.extend(service.refuse_all(RefusalCode::UnknownService, &self.settings));
            }
            kept
        });
        let assumed = self.settings.assumed_service_time;
        for (name, limits) in services {
            let permits = self.permits.values();
            let running = permits.filter(|permit| permit.service == name).count();
            self.services
                .entry(name)
                .or_insert_with(|| Service::new(limits.clone(), assumed, running as u32))
                .set_limits(limits);
        }
        self.recount_in_flight(&outputs);
        outputs
    }

    /// Sets how many requests of `service` its engines can take from this gateway, as
    /// learned by [`crate::pick`]. The lower of this and the configured limit applies.
    pub fn set_capacity(&mut self, service: &ServiceName, capacity: u32) {
        if let Some(service) = self.services.get_mut(service) {
            service.set_capacity(capacity);
        }
    }

    /// Decides on a new request.
    pub fn offer(
        &mut self,
        now: Timestamp,
        tenant: &TenantId,
        service_name: &ServiceName,
    ) -> Decision {
        let Some(service) = self.services.get_mut(service_name) else {
            return Decision::Refused(Refusal::permanent(RefusalCode::UnknownService));
        };
        let policy = self.policies.get(tenant);
        let policy = policy.unwrap_or(&self.settings.default_policy);
        let state = self
            .tenants
            .entry(tenant.clone())
            .or_insert_with(|| Tenant::new(now, policy));
        if let Err(refusal) = service.check_capacity_for(now, tenant) {
            return Decision::Refused(refusal.bounded(&self.settings));
        }
        if let Err(refusal) = state.take(now, service.mean_service_time()) {
            return Decision::Refused(refusal.bounded(&self.settings));
        }
        let ticket = Ticket(self.last_ticket + 1);
        self.last_ticket = ticket.0;
        if service.can_start() {
            service.start(now);
            self.permits.insert(
                ticket,
                Permit {
                    tenant: tenant.clone(),
                    service: service_name.clone(),
                    admitted: now,
                },
            );
            return Decision::Admitted(ticket);
        }
        let weight = state.weight();
        service.enqueue(now, ticket, tenant, weight)
    }

    /// Records that an admitted request ended. `ran` is false if it never reached a back
    /// end, so that its duration says nothing about the service.
    pub fn release(&mut self, now: Timestamp, ticket: Ticket, ran: bool) -> Vec<AdmissionOutput> {
        let Some(permit) = self.permits.remove(&ticket) else {
            return Vec::new();
        };
        if let Some(tenant) = self.tenants.get_mut(&permit.tenant) {
            tenant.release();
        }
        let Some(service) = self.services.get_mut(&permit.service) else {
            return Vec::new();
        };
        let duration = ran.then(|| now.since(permit.admitted));
        service.finish(now, duration);
        self.start_waiting(now, &permit.service)
    }

    /// Removes a queued request whose caller left.
    pub fn abandon(&mut self, ticket: Ticket) {
        for service in self.services.values_mut() {
            if let Some(waiting) = service.remove(ticket) {
                if let Some(tenant) = self.tenants.get_mut(&waiting.tenant) {
                    tenant.release();
                }
                return;
            }
        }
    }

    /// Admits waiting requests for which there is capacity, refuses those that can no
    /// longer be admitted in time, and drops idle tenants. Must be called every few
    /// milliseconds while requests wait.
    pub fn tick(&mut self, now: Timestamp) -> Vec<AdmissionOutput> {
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        let mut outputs = Vec::new();
        for name in names {
            self.refuse_hopeless(now, &name, &mut outputs);
            outputs.extend(self.start_waiting(now, &name));
        }
        if now.since(self.last_sweep) >= self.settings.sweep_interval {
            self.last_sweep = now;
            // A full bucket behaves like a new one, so an idle tenant only takes up
            // memory.
            self.tenants.retain(|_, tenant| !tenant.is_idle(now));
        }
        outputs
    }

    /// Refuses all waiting requests, for a node that became unready.
    pub fn refuse_waiting(&mut self, code: RefusalCode) -> Vec<AdmissionOutput> {
        let mut outputs = Vec::new();
        for service in self.services.values_mut() {
            outputs.extend(service.refuse_all(code, &self.settings));
        }
        self.recount_in_flight(&outputs);
        outputs
    }

    /// Number of requests admitted and not yet ended.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.permits.len()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.services.values().map(Service::queue_length).sum()
    }

    /// Number of tenants that are kept in memory.
    #[must_use]
    pub fn tracked_tenants(&self) -> usize {
        self.tenants.len()
    }

    fn start_waiting(&mut self, now: Timestamp, name: &ServiceName) -> Vec<AdmissionOutput> {
        let mut outputs = Vec::new();
        loop {
            let service = self.services.get(name);
            if service.is_some_and(|service| service.is_scan_due(now)) {
                self.refuse_hopeless(now, name, &mut outputs);
            }
            let service = self.services.get_mut(name);
            let Some(waiting) = service.and_then(|service| service.start_next(now)) else {
                return outputs;
            };
            outputs.push(AdmissionOutput::Admitted(waiting.ticket));
            self.permits
                .insert(waiting.ticket, permit_of(now, name, waiting));
        }
    }

    /// Refuses requests that can no longer be admitted in time.
    fn refuse_hopeless(
        &mut self,
        now: Timestamp,
        name: &ServiceName,
        outputs: &mut Vec<AdmissionOutput>,
    ) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        for (waiting, refusal) in service.refuse_hopeless(now) {
            if let Some(tenant) = self.tenants.get_mut(&waiting.tenant) {
                tenant.release();
            }
            let refusal = refusal.bounded(&self.settings);
            outputs.push(AdmissionOutput::Refused(waiting.ticket, refusal));
        }
    }

    /// Updates the in-flight counts of tenants after requests left a queue by refusal.
    fn recount_in_flight(&mut self, outputs: &[AdmissionOutput]) {
        // Only the queues know the tenants of the waiting requests. Rebuilding all counts
        // is exact, and bulk refusals are rare.
        if outputs.is_empty() {
            return;
        }
        let mut held: HashMap<&TenantId, u32> = HashMap::new();
        for permit in self.permits.values() {
            *held.entry(&permit.tenant).or_default() += 1;
        }
        for service in self.services.values() {
            for tenant in service.waiting_tenants() {
                *held.entry(tenant).or_default() += 1;
            }
        }
        for (tenant, state) in &mut self.tenants {
            state.set_in_flight(held.get(tenant).copied().unwrap_or(0));
        }
    }
}

fn permit_of(now: Timestamp, service: &ServiceName, waiting: Waiting) -> Permit {
    Permit {
        tenant: waiting.tenant,
        service: service.clone(),
        admitted: now,
    }
}
