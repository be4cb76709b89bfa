//! The attempts of one completion: back-end selection, reading the answer, and
//! recovery from failures.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use molespan_routing::admission::{Refusal, RefusalCode};
use molespan_routing::pick::{PickError, PickRequest};
use molespan_routing::retry::{AttemptEnd, AttemptRef, NextStep, StatusAnswer};
use molespan_telemetry::EventKind;
use molespan_types::{AttemptId, BackendId, Priority};

use super::answer::{AnswerStream, AttemptFailure, Target, Token};
use super::dispatch::InFlight;
use super::outcome::NO_BACKEND_RETRY_AFTER;
use super::route::{Run, RunEnd};
use super::state::GatewayState;
use super::validation::Repeatability;

/// Polling interval for whether an engine was given up.
const GIVEN_UP_POLL: Duration = Duration::from_millis(250);
/// Delay before an engine is asked for the status of an attempt.
const STATUS_QUERY_DELAY: Duration = Duration::from_millis(50);

impl Run<'_> {
    /// Sends the request as a new attempt to an engine outside of `exclude`.
    pub(super) async fn dispatch(&mut self, exclude: &[BackendId]) -> Result<NextStep, RunEnd> {
        let completion = self.completion;
        let wanted = PickRequest {
            prefix_hashes: &completion.prefix_hashes,
            exclude,
        };
        let chosen = self
            .state
            .choose(&completion.service, &completion.tenant, wanted);
        let chosen = match chosen.await {
            Ok(chosen) => chosen,
            Err(error) => {
                self.record_no_backend(error);
                return Ok(self.steps.no_backend());
            }
        };
        let attempt = self.state.next_attempt();
        let target = chosen.target;
        if !self.steps.dispatched(target.attempt(attempt)) {
            return Ok(self.steps.no_backend());
        }
        self.last_attempt = Some(attempt);
        self.in_flight = Some(InFlight::begin(
            self.state,
            &completion.service,
            chosen,
            attempt,
            &completion.prefix_hashes,
            completion.prompt_tokens,
        ));
        let body = completion.engine_body(&self.model);
        let state = self.state.clone();
        let started = state.engines.start(
            Priority::Online,
            &target,
            attempt,
            completion.form.path(),
            body,
        );
        let started = match self.unless_disconnected(started).await {
            Some(started) => started,
            None => return Err(self.caller_gone()),
        };
        self.follow(started, attempt, 0).await
    }

    /// Resumes an interrupted answer.
    pub(super) async fn resume(
        &mut self,
        attempt: AttemptRef,
        offset: u32,
    ) -> Result<NextStep, RunEnd> {
        // Requests the last token again, so that the answer has at least one token even if
        // only the end of the stream was lost.
        let offset = offset.max(self.sink.tokens()).saturating_sub(1);
        self.state.metrics.resumed();
        self.state.events.record(
            EventKind::Resume,
            format!("request {}", attempt.attempt),
            self.cause(),
            [
                ("engine", attempt.backend.0.into()),
                ("offset", offset.into()),
            ],
        );
        let Some(target) = self.in_flight.as_ref().map(InFlight::target) else {
            return Ok(self.attempt_ended(AttemptEnd::Lost));
        };
        let state = self.state.clone();
        let resumed = state.engines.resume(target.address, &attempt, offset);
        let resumed = match self.unless_disconnected(resumed).await {
            Some(resumed) => resumed,
            None => return Err(self.caller_gone()),
        };
        self.follow(resumed, attempt.attempt, offset).await
    }

    /// Forwards the tokens of an answer until it ends.
    async fn follow(
        &mut self,
        answer: Result<AnswerStream, AttemptFailure>,
        attempt: AttemptId,
        offset: u32,
    ) -> Result<NextStep, RunEnd> {
        let mut answer = match answer {
            Ok(answer) => answer,
            Err(failure) => return self.failed(failure),
        };
        if offset == 0 && self.sink.passed() == 0 {
            self.sink.restart();
        }
        self.sink.name(attempt);
        loop {
            let next = match self.unless_disconnected(self.next_token(&mut answer)).await {
                Some(next) => next,
                None => return Err(self.caller_gone()),
            };
            match next {
                Ok(Some(token)) => {
                    self.record_first_byte();
                    if token.chunk.offset < self.sink.tokens() {
                        continue;
                    }
                    if self.sink.token(token).await.is_err() && self.stops_on_disconnect() {
                        return Err(self.caller_gone());
                    }
                    let passed = self.sink.passed();
                    self.steps.passed(passed);
                }
                Ok(None) => {
                    if let Some(in_flight) = self.in_flight.take() {
                        in_flight.answered();
                    }
                    return Ok(self.attempt_ended(AttemptEnd::Completed));
                }
                Err(failure) => return self.failed(failure),
            }
        }
    }

    /// Returns the next token of an answer. A request that may run elsewhere stops waiting
    /// when its engine is given up.
    async fn next_token(&self, answer: &mut AnswerStream) -> Result<Option<Token>, AttemptFailure> {
        let given_up = async {
            match self.in_flight.as_ref().filter(|_| self.may_leave()) {
                Some(in_flight) => self.state.until_given_up(&in_flight.target()).await,
                None => future::pending().await,
            }
            Err(AttemptFailure::silent("the engine was given up"))
        };
        future::or(answer.next(), given_up).await
    }

    /// Whether the request may be retried elsewhere without asking for its status.
    fn may_leave(&self) -> bool {
        let repeatable = self.completion.repeatability == Repeatability::Repeatable;
        repeatable && self.sink.passed() == 0
    }

    fn record_first_byte(&mut self) {
        let Some(in_flight) = &mut self.in_flight else {
            return;
        };
        if in_flight.first_byte().is_some() {
            let since_arrival = self.state.clock.now().since(self.arrived);
            self.state.metrics.first_token(since_arrival);
        }
    }

    /// Handles the failure of the attempt, or of an attempt to resume it.
    fn failed(&mut self, failure: AttemptFailure) -> Result<NextStep, RunEnd> {
        // Asking a silent engine for the rest of the answer would only cost time.
        let end = match failure.end {
            AttemptEnd::Broken if failure.silent && self.may_leave() => AttemptEnd::Lost,
            end => end,
        };
        let final_refusal = failure
            .refusal
            .as_ref()
            .filter(|refusal| refusal.is_final() && self.sink.tokens() == 0)
            .map(|refusal| self.forwarded_refusal(refusal));
        if let Some(error) = final_refusal {
            if let Some(in_flight) = self.in_flight.take() {
                in_flight.failed(&failure);
            }
            return Err(RunEnd::Failed(error));
        }
        self.last_failure = Some(failure);
        let next = self.attempt_ended(end);
        let goes_on = matches!(next, NextStep::Resume { .. } | NextStep::AskStatus { .. });
        if goes_on {
            if let Some(in_flight) = &self.in_flight {
                in_flight.record_broken();
            }
        } else if let (Some(in_flight), Some(failure)) =
            (self.in_flight.take(), self.last_failure.as_ref())
        {
            if end != AttemptEnd::NotSent && end != AttemptEnd::DeclaredNotRun {
                self.state.abandon_attempt(&in_flight);
            }
            in_flight.failed(failure);
        }
        Ok(next)
    }

    fn attempt_ended(&mut self, end: AttemptEnd) -> NextStep {
        let now = self.state.clock.now();
        let steps = &mut self.steps;
        self.state
            .pickers
            .with_budget(&self.completion.service, |budget| {
                steps.ended(now, end, budget)
            })
    }

    /// Asks the engine for the status of an attempt.
    pub(super) async fn ask(&mut self, attempt: AttemptRef) -> NextStep {
        Timer::after(STATUS_QUERY_DELAY).await;
        let target = self.in_flight.as_ref().map(InFlight::target);
        let answer = match target {
            Some(target) => self.state.engines.status(target.address, &attempt).await,
            None => StatusAnswer::NoAnswer,
        };
        self.state.events.record(
            EventKind::Resume,
            format!("request {}", attempt.attempt),
            "the engine was asked what became of it",
            [
                ("engine", attempt.backend.0.into()),
                ("answer", format!("{answer:?}").into()),
            ],
        );
        let now = self.state.clock.now();
        let steps = &mut self.steps;
        self.state
            .pickers
            .with_budget(&self.completion.service, |budget| {
                steps.status(now, answer, budget)
            })
    }

    pub(super) fn record_retry(&self, exclude: &[BackendId]) {
        self.state.metrics.retried();
        let attempt = self.last_attempt.map(|id| id.to_string());
        let excluded: Vec<String> = exclude.iter().map(ToString::to_string).collect();
        self.state.events.record(
            EventKind::Retry,
            format!("request {}", attempt.unwrap_or_default()),
            self.cause(),
            [("excluded", excluded.join(" ").into())],
        );
    }

    fn record_no_backend(&mut self, error: PickError) {
        let code = RefusalCode::NoBackend;
        let refusal = Refusal::after(code, NO_BACKEND_RETRY_AFTER);
        let completion = self.completion;
        self.state
            .record_refusal(&completion.tenant, &completion.service, &refusal);
        if self.last_failure.is_none() {
            self.last_failure = Some(AttemptFailure {
                end: AttemptEnd::NotSent,
                cause: error.to_string(),
                silent: false,
                refusal: None,
            });
        }
    }
}

impl GatewayState {
    /// Resolves once the back end of a request has been given up.
    pub(super) async fn until_given_up(&self, target: &Target) {
        while !self.is_given_up(target) {
            Timer::after(GIVEN_UP_POLL).await;
        }
    }

    /// Cancels an attempt whose answer is no longer needed.
    pub(super) fn abandon_attempt(self: &Arc<Self>, in_flight: &InFlight) {
        let (target, attempt) = (in_flight.target(), in_flight.attempt);
        let state = self.clone();
        self.spawn(async move {
            let online = Priority::Online;
            state.engines.cancel(online, target.address, attempt).await;
        });
    }
}
