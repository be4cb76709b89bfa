//! Concurrency and queue of one service.

use std::time::Duration;

use molespan_types::{TenantId, Timestamp};

use super::queue::FairQueue;
use super::refusal::{Refusal, RefusalCode};
use super::{AdmissionOutput, Decision, Ticket};

/// Weight of the newest completion in the smoothed service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// Limits of a service at one gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Most requests in flight.
    pub max_concurrency: u32,
    /// Most requests queued.
    pub max_queue: u32,
    /// Longest time in the queue.
    pub queue_timeout: Duration,
}

/// A request in a queue.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    pub(super) tenant: TenantId,
    deadline: Timestamp,
}

/// State of one service.
#[derive(Clone, Debug)]
pub(super) struct Service {
    limits: ServiceLimits,
    capacity: u32,
    in_flight: u32,
    queue: FairQueue,
    service_seconds: f64,
}

impl Service {
    pub(super) fn new(limits: ServiceLimits, assumed_service_time: Duration) -> Self {
        Self {
            limits,
            capacity: u32::MAX,
            in_flight: 0,
            queue: FairQueue::default(),
            service_seconds: assumed_service_time.as_secs_f64(),
        }
    }

    pub(super) fn set_limits(&mut self, limits: ServiceLimits) {
        self.limits = limits;
    }

    pub(super) fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    pub(super) fn queue_length(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn waiting_tenants(&self) -> impl Iterator<Item = &TenantId> {
        self.queue.iter().map(|waiting| &waiting.tenant)
    }

    pub(super) fn mean_service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_seconds)
    }

    fn concurrency(&self) -> u32 {
        self.limits.max_concurrency.min(self.capacity).max(1)
    }

    /// Time until `requests` have been served, by the measured rate: the
    /// concurrency divided by the smoothed service time.
    fn time_to_serve(&self, requests: usize) -> Duration {
        let per_second = f64::from(self.concurrency()) / self.service_seconds.max(1e-6);
        Duration::from_secs_f64(requests as f64 / per_second)
    }

    pub(super) fn can_start(&self) -> bool {
        self.in_flight < self.concurrency() && self.queue.len() == 0
    }

    /// Refuses a newcomer that cannot get its turn in time.
    pub(super) fn has_room_for(&self, _now: Timestamp, tenant: &TenantId) -> Result<(), Refusal> {
        if self.can_start() {
            return Ok(());
        }
        if self.queue.len() >= self.limits.max_queue as usize {
            let wait = self.time_to_serve(self.queue.len());
            return Err(Refusal::after(RefusalCode::QueueFull, wait));
        }
        let wait = self.time_to_serve(self.queue.ahead_of_new(tenant));
        if wait > self.limits.queue_timeout {
            let excess = wait - self.limits.queue_timeout;
            return Err(Refusal::after(RefusalCode::DeadlineUnreachable, excess));
        }
        Ok(())
    }

    pub(super) fn start(&mut self) {
        self.in_flight += 1;
    }

    pub(super) fn enqueue(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        tenant: &TenantId,
        weight: u32,
    ) -> Decision {
        let expected_wait = self.time_to_serve(self.queue.ahead_of_new(tenant));
        let waiting = Waiting {
            ticket,
            tenant: tenant.clone(),
            deadline: now + self.limits.queue_timeout,
        };
        self.queue.push(waiting, weight);
        Decision::Queued {
            ticket,
            queue_length: self.queue.len(),
            expected_wait,
        }
    }

    pub(super) fn finish(&mut self, took: Option<Duration>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(took) = took {
            let difference = took.as_secs_f64() - self.service_seconds;
            self.service_seconds += SERVICE_TIME_WEIGHT * difference;
        }
    }

    /// Removes what can no longer get its turn before its deadline.
    pub(super) fn refuse_hopeless(&mut self, now: Timestamp) -> Vec<(Waiting, Refusal)> {
        if self.queue.len() == 0 {
            return Vec::new();
        }
        let per_request = self.time_to_serve(1);
        let removed = self.queue.remove_where(|waiting, ahead| {
            let wait = per_request.mul_f64(ahead as f64);
            now + wait > waiting.deadline || now >= waiting.deadline
        });
        let retry_after = self.time_to_serve(self.queue.len());
        let refusal = Refusal::after(RefusalCode::DeadlineUnreachable, retry_after);
        removed
            .into_iter()
            .map(|waiting| (waiting, refusal))
            .collect()
    }

    /// Takes the next request out of the queue if there is room for it.
    pub(super) fn start_next(&mut self) -> Option<Waiting> {
        if self.in_flight >= self.concurrency() {
            return None;
        }
        let waiting = self.queue.pop()?;
        self.in_flight += 1;
        Some(waiting)
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        self.queue
            .remove_where(|waiting, _| waiting.ticket == ticket)
            .pop()
    }

    pub(super) fn refuse_all(&mut self, code: RefusalCode) -> Vec<AdmissionOutput> {
        let retry_after = self.time_to_serve(self.queue.len());
        let refusal = match code {
            RefusalCode::UnknownService => Refusal::permanent(code),
            _ => Refusal::after(code, retry_after),
        };
        self.queue
            .remove_where(|_, _| true)
            .into_iter()
            .map(|waiting| AdmissionOutput::Refused(waiting.ticket, refusal))
            .collect()
    }
}
