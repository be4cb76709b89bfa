//! Concurrency limit and queue of one service.

use std::time::Duration;

use molespan_types::{TenantId, Timestamp};

use super::queue::FairQueue;
use super::refusal::{Refusal, RefusalCode};
use super::{AdmissionOutput, AdmissionSettings, Decision, Ticket};

/// Weight of the latest completion in the smoothed service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Multiple of the service time without any completion, at full concurrency, after which
/// the service counts as stalled.
const STALLED_SERVICE_TIMES: f64 = 2.0;

/// Minimum time between two scans of the queue when requests end; a tick always scans.
const SCAN_INTERVAL: Duration = Duration::from_millis(5);

/// Limits of a service at one gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Maximum number of requests in flight.
    pub max_concurrency: u32,
    /// Maximum number of queued requests.
    pub max_queue: u32,
    /// Maximum time in the queue.
    pub queue_timeout: Duration,
}

/// A queued request.
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
    /// Time of the latest start or end of a request.
    last_change: Timestamp,
    /// Time of the latest scan of the queue for requests that cannot be admitted in time.
    last_scan: Timestamp,
}

impl Service {
    /// Creates the state of a service. `in_flight` requests still run from an earlier
    /// configuration.
    pub(super) fn new(
        limits: ServiceLimits,
        assumed_service_time: Duration,
        in_flight: u32,
    ) -> Self {
        Self {
            limits,
            capacity: u32::MAX,
            in_flight,
            queue: FairQueue::default(),
            service_seconds: assumed_service_time.as_secs_f64(),
            last_change: Timestamp::ZERO,
            last_scan: Timestamp::ZERO,
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

    /// Time until `requests` have been served at the measured rate: the concurrency
    /// divided by the smoothed service time.
    fn time_to_serve(&self, requests: usize) -> Duration {
        let per_second = f64::from(self.concurrency()) / self.service_seconds.max(1e-6);
        Duration::from_secs_f64(requests as f64 / per_second)
    }

    /// Time lost to a stall: how long no request has ended although concurrency is used
    /// up. Zero unless that is far longer than the service time.
    fn stall(&self, now: Timestamp) -> Duration {
        let since_change = now.since(self.last_change);
        let full = self.in_flight >= self.concurrency();
        let stalled =
            full && since_change.as_secs_f64() > STALLED_SERVICE_TIMES * self.service_seconds;
        if stalled {
            since_change
        } else {
            Duration::ZERO
        }
    }

    /// Expected time until a new request of `tenant` is admitted.
    fn expected_wait(&self, now: Timestamp, tenant: &TenantId) -> Duration {
        let served_until_then = self.queue.ahead_of_new(tenant) + 1;
        self.time_to_serve(served_until_then) + self.stall(now)
    }

    pub(super) fn can_start(&self) -> bool {
        self.in_flight < self.concurrency() && self.queue.len() == 0
    }

    /// Refuses a new request that cannot be admitted in time. A tenant may hold as many
    /// places in the queue as are still free, so that some are always left for others.
    pub(super) fn check_capacity_for(
        &self,
        now: Timestamp,
        tenant: &TenantId,
    ) -> Result<(), Refusal> {
        if self.can_start() {
            return Ok(());
        }
        let free = (self.limits.max_queue as usize).saturating_sub(self.queue.len());
        if self.queue.len_of(tenant) >= free {
            let wait = self.time_to_serve(self.queue.len()) + self.stall(now);
            return Err(Refusal::after(RefusalCode::QueueFull, wait));
        }
        let wait = self.expected_wait(now, tenant);
        if wait > self.limits.queue_timeout {
            let excess = wait - self.limits.queue_timeout;
            return Err(Refusal::after(RefusalCode::DeadlineUnreachable, excess));
        }
        Ok(())
    }

    pub(super) fn start(&mut self, now: Timestamp) {
        self.in_flight += 1;
        self.last_change = self.last_change.max(now);
    }

    pub(super) fn enqueue(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        tenant: &TenantId,
        weight: u32,
    ) -> Decision {
        let expected_wait = self.expected_wait(now, tenant);
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

    pub(super) fn finish(&mut self, now: Timestamp, duration: Option<Duration>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.last_change = self.last_change.max(now);
        if let Some(duration) = duration {
            let difference = duration.as_secs_f64() - self.service_seconds;
            self.service_seconds += SERVICE_TIME_WEIGHT * difference;
        }
    }

    /// Whether a scan of the queue is due, or the next request in it is past its deadline
    /// and must not start.
    pub(super) fn is_scan_due(&self, now: Timestamp) -> bool {
        let next = self.queue.next();
        let late = next.is_some_and(|waiting| now >= waiting.deadline);
        late || now.since(self.last_scan) >= SCAN_INTERVAL
    }

    /// Removes requests that can no longer be admitted before their deadline.
    pub(super) fn refuse_hopeless(&mut self, now: Timestamp) -> Vec<(Waiting, Refusal)> {
        self.last_scan = now;
        if self.queue.len() == 0 {
            return Vec::new();
        }
        let per_request = self.time_to_serve(1);
        let stall = self.stall(now);
        let removed = self.queue.remove_where(|waiting, ahead| {
            let wait = per_request.mul_f64(ahead as f64) + stall;
            now + wait > waiting.deadline || now >= waiting.deadline
        });
        let retry_after = self.time_to_serve(self.queue.len()) + stall;
        let refusal = Refusal::after(RefusalCode::DeadlineUnreachable, retry_after);
        removed
            .into_iter()
            .map(|waiting| (waiting, refusal))
            .collect()
    }

    /// Takes the next request out of the queue if concurrency allows.
    pub(super) fn start_next(&mut self, now: Timestamp) -> Option<Waiting> {
        if self.in_flight >= self.concurrency() {
            return None;
        }
        let waiting = self.queue.pop()?;
        self.start(now);
        Some(waiting)
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        self.queue
            .remove_where(|waiting, _| waiting.ticket == ticket)
            .pop()
    }

    pub(super) fn refuse_all(
        &mut self,
        code: RefusalCode,
        settings: &AdmissionSettings,
    ) -> Vec<AdmissionOutput> {
        let retry_after = self.time_to_serve(self.queue.len());
        let refusal = match code {
            RefusalCode::UnknownService => Refusal::permanent(code),
            _ => Refusal::after(code, retry_after).bounded(settings),
        };
        self.queue
            .remove_where(|_, _| true)
            .into_iter()
            .map(|waiting| AdmissionOutput::Refused(waiting.ticket, refusal))
            .collect()
    }
}
