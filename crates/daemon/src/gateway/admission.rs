//! Admission of online requests: drives the admission core and wakes queued requests.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use molespan_http::ClientPresence;
use molespan_routing::admission::{
    Admission, AdmissionOutput, AdmissionSettings, Decision, Refusal, RefusalCode, ServiceLimits,
    TenantPolicy, Ticket,
};
use molespan_telemetry::EventKind;
use molespan_types::{ServiceName, TenantId};

use super::state::GatewayState;

/// Result of a queued request's wait.
type WaitEnd = Result<(), Refusal>;

/// The admission core and the requests queued in it.
#[derive(Debug)]
pub(super) struct AdmissionQueues {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    core: Admission,
    waiting: HashMap<Ticket, Sender<WaitEnd>>,
}

impl Inner {
    fn wake(&mut self, outputs: Vec<AdmissionOutput>) {
        for output in outputs {
            let (ticket, end) = match output {
                AdmissionOutput::Admitted(ticket) => (ticket, Ok(())),
                AdmissionOutput::Refused(ticket, refusal) => (ticket, Err(refusal)),
            };
            if let Some(waiter) = self.waiting.remove(&ticket) {
                // The channel has capacity for the only message that is ever sent.
                let _sent = waiter.try_send(end);
            }
        }
    }
}

/// Why a request was not admitted.
#[derive(Debug)]
pub(super) enum NotAdmitted {
    /// The request was rejected and did not run.
    Refused(Refusal),
    /// The caller disconnected while the request was queued.
    CallerGone,
}

/// Permission for one request to run. Dropping it releases the concurrency slot.
#[derive(Debug)]
pub(super) struct Permit<'a> {
    state: &'a GatewayState,
    ticket: Ticket,
    ran: bool,
}

impl Permit<'_> {
    /// Records that the request was sent to a back end.
    pub(super) fn record_run(&mut self) {
        self.ran = true;
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let mut inner = self.state.admission.lock();
        let outputs = inner
            .core
            .release(self.state.clock.now(), self.ticket, self.ran);
        inner.wake(outputs);
    }
}

impl AdmissionQueues {
    pub(super) fn new(settings: AdmissionSettings) -> Self {
        let inner = Inner {
            core: Admission::new(settings),
            waiting: HashMap::new(),
        };
        Self {
            inner: Mutex::new(inner),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GatewayState {
    /// Applies the limits of services and the policies of tenants.
    pub(super) fn configure_admission(
        &self,
        services: BTreeMap<ServiceName, ServiceLimits>,
        policies: BTreeMap<TenantId, TenantPolicy>,
    ) {
        let mut inner = self.admission.lock();
        let outputs = inner.core.configure(self.clock.now(), services, policies);
        inner.wake(outputs);
    }

    /// Rejects every queued request.
    pub(super) fn refuse_waiting(&self, code: RefusalCode) {
        let mut inner = self.admission.lock();
        let outputs = inner.core.refuse_waiting(code);
        inner.wake(outputs);
    }

    /// Updates capacities from engine selection and advances the queue's clock. Returns
    /// whether any request is queued.
    pub(super) fn tick_admission(&self) -> bool {
        let now = self.clock.now();
        let capacities = self.pickers.capacities(now);
        let mut inner = self.admission.lock();
        for (service, capacity) in capacities {
            inner.core.set_capacity(&service, capacity);
        }
        let outputs = inner.core.tick(now);
        inner.wake(outputs);
        inner.core.waiting() > 0
    }

    /// Admits a request immediately or after queueing, or rejects it.
    pub(super) async fn admit(
        &self,
        tenant: &TenantId,
        service: &ServiceName,
        presence: Option<&ClientPresence>,
    ) -> Result<Permit<'_>, NotAdmitted> {
        let (ticket, wait) = self.offer(tenant, service)?;
        let Some(wait) = wait else {
            return Ok(self.permit(ticket));
        };
        let gone = async {
            match presence {
                Some(presence) => presence.gone().await,
                None => futures_lite::future::pending().await,
            }
            None
        };
        let admitted = async { wait.recv().await.ok() };
        match futures_lite::future::or(admitted, gone).await {
            Some(Ok(())) => Ok(self.permit(ticket)),
            Some(Err(refusal)) => {
                self.record_refusal(tenant, service, &refusal);
                Err(NotAdmitted::Refused(refusal))
            }
            None => {
                self.abandon(ticket, &wait);
                Err(NotAdmitted::CallerGone)
            }
        }
    }

    fn permit(&self, ticket: Ticket) -> Permit<'_> {
        Permit {
            state: self,
            ticket,
            ran: false,
        }
    }

    /// Offers a request to the core; returns a receiver when the request is queued.
    fn offer(
        &self,
        tenant: &TenantId,
        service: &ServiceName,
    ) -> Result<(Ticket, Option<Receiver<WaitEnd>>), NotAdmitted> {
        let mut inner = self.admission.lock();
        match inner.core.offer(self.clock.now(), tenant, service) {
            Decision::Admitted(ticket) => Ok((ticket, None)),
            Decision::Queued {
                ticket,
                queue_length,
                expected_wait,
            } => {
                let (sender, receiver) = async_channel::bounded(1);
                inner.waiting.insert(ticket, sender);
                drop(inner);
                self.events.record(
                    EventKind::Queue,
                    format!("service {service}"),
                    "every place of the service is taken",
                    [
                        ("tenant", tenant.as_str().into()),
                        ("queue_length", queue_length.into()),
                        (
                            "expected_wait_ms",
                            (expected_wait.as_millis() as u64).into(),
                        ),
                    ],
                );
                Ok((ticket, Some(receiver)))
            }
            Decision::Refused(refusal) => {
                drop(inner);
                self.record_refusal(tenant, service, &refusal);
                Err(NotAdmitted::Refused(refusal))
            }
        }
    }

    /// Removes a request whose caller disconnected from the queue. If it was admitted
    /// in the meantime, its concurrency slot is released.
    fn abandon(&self, ticket: Ticket, wait: &Receiver<WaitEnd>) {
        let mut inner = self.admission.lock();
        inner.waiting.remove(&ticket);
        if let Ok(Ok(())) = wait.try_recv() {
            let outputs = inner.core.release(self.clock.now(), ticket, false);
            inner.wake(outputs);
            return;
        }
        inner.core.abandon(ticket);
    }

    pub(super) fn record_refusal(
        &self,
        tenant: &TenantId,
        service: &ServiceName,
        refusal: &Refusal,
    ) {
        self.metrics.refused(&refusal.code.to_string());
        let retry_after = refusal.retry_after.unwrap_or_default();
        self.events.record(
            EventKind::Refuse,
            format!("service {service}"),
            refusal.code.to_string(),
            [
                ("tenant", tenant.as_str().into()),
                ("retry_after_ms", (retry_after.as_millis() as u64).into()),
            ],
        );
    }
}
