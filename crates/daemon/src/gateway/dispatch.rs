//! Tracking of one request in flight at a back end, for the decision cores.

use std::sync::Arc;
use std::time::Duration;

use molespan_membership::{DirectoryInput, WorkResult};
use molespan_routing::batch::BatchInput;
use molespan_routing::pick::Finish;
use molespan_types::{AttemptId, ServiceName, Timestamp, ZoneName};
use molespan_wire::{OnlineArrival, Request};

use super::answer::{AttemptFailure, Target};
use super::pick::answered;
use super::state::GatewayState;

/// A back end selected for a request.
#[derive(Clone, Debug)]
pub(super) struct ChosenBackend {
    pub(super) target: Target,
    pub(super) zone: ZoneName,
}

/// A request in flight at a back end. Dropping it records an end that was neither an
/// answer nor an overload rejection.
#[derive(Debug)]
pub(super) struct InFlight {
    state: Arc<GatewayState>,
    service: ServiceName,
    chosen: ChosenBackend,
    pub(super) attempt: AttemptId,
    started: Timestamp,
    first_byte: Option<Duration>,
    ended: bool,
}

impl InFlight {
    /// Counts a request that is about to be sent, and notifies the batch owner first so
    /// that batch work on the engine yields before the request arrives.
    pub(super) fn begin(
        state: &Arc<GatewayState>,
        service: &ServiceName,
        chosen: ChosenBackend,
        attempt: AttemptId,
        prefix_hashes: &[u64],
        prompt_tokens: u32,
    ) -> Self {
        let started = state.clock.now();
        let backend = chosen.target.backend;
        let count = state
            .pickers
            .started(started, service, backend, prefix_hashes);
        let request = Self {
            state: state.clone(),
            service: service.clone(),
            chosen,
            attempt,
            started,
            first_byte: None,
            ended: false,
        };
        request.notify_owner(BatchInput::OnlineStarted { backend }, count, prompt_tokens);
        request
    }

    /// Returns the back end.
    pub(super) fn target(&self) -> Target {
        self.chosen.target
    }

    /// Records the first token or byte of the answer; returns its latency on the first
    /// call and `None` afterwards.
    pub(super) fn first_byte(&mut self) -> Option<Duration> {
        if self.first_byte.is_some() {
            return None;
        }
        let after = self.state.clock.now().since(self.started);
        self.first_byte = Some(after);
        let backend = self.chosen.target.backend;
        if self.state.ownership().owns(backend) {
            self.state
                .batch_input(BatchInput::OnlineFirstToken { backend, after });
        }
        self.record_work(WorkResult::Answered(after));
        Some(after)
    }

    /// Records that the answer is complete.
    pub(super) fn answered(mut self) {
        let finish = self.first_byte.map_or(Finish::Other, answered);
        self.end(finish);
    }

    /// Records that the attempt failed.
    pub(super) fn failed(mut self, failure: &AttemptFailure) {
        let refusal = failure.refusal.as_ref();
        let overloaded = refusal.is_some_and(|refusal| refusal.is_overload());
        if refusal.is_none() {
            self.record_work(WorkResult::Failed);
        }
        self.end(if overloaded {
            Finish::Overloaded
        } else {
            Finish::Other
        });
    }

    /// Records that an attempt to fetch the answer failed and will be followed by others.
    pub(super) fn record_broken(&self) {
        self.record_work(WorkResult::Failed);
    }

    fn record_work(&self, result: WorkResult) {
        let target = self.chosen.target;
        self.state.directory_input(DirectoryInput::Work {
            backend: target.backend,
            incarnation: target.incarnation,
            result,
        });
    }

    fn end(&mut self, finish: Finish) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.state.clock.now();
        let backend = self.chosen.target.backend;
        let count = self
            .state
            .pickers
            .finished(now, &self.service, backend, self.started, finish);
        self.notify_owner(BatchInput::OnlineFinished { backend }, count, 0);
    }

    /// Notifies the owner of the back end's batch work immediately: this gateway by a
    /// local call, another one by a one-way message.
    fn notify_owner(&self, local: BatchInput, in_flight: u32, prompt_tokens: u32) {
        let state = &self.state;
        let backend = self.chosen.target.backend;
        if state.ownership().owns(backend) {
            state.batch_input(local);
            return;
        }
        let owner = state.gateways().owner_of(backend, &self.chosen.zone);
        let Some(owner) = owner.filter(|owner| *owner != state.options.node) else {
            return;
        };
        let notice = OnlineArrival {
            from: state.options.node,
            backend,
            in_flight,
            prompt_tokens,
        };
        let transport = state.cluster.transport();
        let _queued = transport.send(owner, Request::OnlineArrival(notice));
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.end(Finish::Other);
    }
}
