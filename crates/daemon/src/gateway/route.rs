//! An online completion from its arrival to its outcome. The retry core
//! decides each step; this carries the steps out.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use http_types::StatusCode;
use molespan_http::{ClientPresence, Response};
use molespan_routing::admission::{Refusal, RefusalCode};
use molespan_routing::pick::{PickError, PickRequest};
use molespan_routing::retry::{
    AttemptEnd, AttemptRef, NextStep, RequestKind, RequestState, StatusAnswer,
};
use molespan_telemetry::EventKind;
use molespan_types::{AttemptId, BackendId, Priority, RunOutcome, Timestamp};

use super::admission::{NotAdmitted, Permit};
use super::claims::ClaimHold;
use super::dispatch::{ChosenBackend, InFlight};
use super::engine_client::{AnswerStream, AttemptFailure};
use super::error::ApiError;
use super::state::GatewayState;
use super::stream::AnswerSink;
use super::validation::{CompletionAsked, Repeatability};

/// Longest wait for an engine to fall below its limit once admitted.
const LIMIT_WAIT: Duration = Duration::from_millis(100);
/// Pause between looks for such an engine.
const LIMIT_PAUSE: Duration = Duration::from_millis(2);
/// Pause before an engine is asked about an attempt again.
const QUESTION_PAUSE: Duration = Duration::from_millis(50);
/// When to come back while no engine takes work.
const NO_BACKEND_RETRY: Duration = Duration::from_secs(1);
/// How a completion ended.
enum Ending {
    Completed,
    Replayed(Vec<u8>),
    Failed(ApiError),
    CallerGone,
}

impl Ending {
    /// Label of the metric.
    fn label(&self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::Replayed(_) => "replayed",
            Self::CallerGone => "caller-gone",
            Self::Failed(error) => match error.outcome {
                RunOutcome::Completed => "completed",
                RunOutcome::NotRun => "not-run",
                RunOutcome::Unknown => "unknown",
            },
        }
    }
}

/// Serves a completion; the response of a streamed one begins with its first
/// token.
pub(super) async fn serve_completion(
    state: &Arc<GatewayState>,
    asked: CompletionAsked,
    presence: Option<ClientPresence>,
) -> Response {
    if !asked.stream {
        let sink = AnswerSink::plain(asked.form, &asked.service);
        let response = run(state, &asked, presence, sink).await;
        return response.unwrap_or_else(|| gone().response());
    }
    let (head, response) = async_channel::bounded(1);
    let keep_text = asked.repeatability != Repeatability::Repeatable;
    let sink = AnswerSink::streamed(asked.form, &asked.service, head, keep_text);
    let runner = state.clone();
    state.spawn(async move {
        run(&runner, &asked, presence, sink).await;
    });
    let response = response.recv().await;
    response.unwrap_or_else(|_| gone().response())
}

/// What nobody reads: the answer to a caller that left.
fn gone() -> ApiError {
    ApiError::not_run(
        StatusCode::ServiceUnavailable,
        "caller_gone",
        "the caller went away",
    )
    .with_outcome(RunOutcome::Unknown)
}

/// Runs a completion and ends its answer; a plain one gives its response.
async fn run(
    state: &Arc<GatewayState>,
    asked: &CompletionAsked,
    presence: Option<ClientPresence>,
    sink: AnswerSink,
) -> Option<Response> {
    let mut run = Run {
        state,
        asked,
        presence,
        sink,
        steps: RequestState::new(RequestKind {
            repeatable: asked.repeatability == Repeatability::Repeatable,
            resumable: true,
        }),
        claim: ClaimHold::default(),
        model: String::new(),
        in_flight: None,
        last_failure: None,
        last_attempt: None,
        arrived: state.clock.now(),
    };
    let ending = run.admitted().await;
    state.metrics.request_ended(ending.label());
    match ending {
        Ending::Completed => run.sink.finish().await,
        Ending::Replayed(recorded) => run.sink.replay(&recorded).await,
        Ending::Failed(error) => run.sink.fail(&error).await,
        Ending::CallerGone => None,
    }
}

/// One completion.
struct Run<'a> {
    state: &'a Arc<GatewayState>,
    asked: &'a CompletionAsked,
    presence: Option<ClientPresence>,
    sink: AnswerSink,
    steps: RequestState,
    claim: ClaimHold,
    /// Name of the model at engines.
    model: String,
    in_flight: Option<InFlight>,
    last_failure: Option<AttemptFailure>,
    last_attempt: Option<AttemptId>,
    arrived: Timestamp,
}

impl Run<'_> {
    /// Checks the service, waits for a place and runs.
    async fn admitted(&mut self) -> Ending {
        let model = match self.state.model_of(&self.asked.service) {
            Ok(model) => model,
            Err(refusal) => {
                let asked = self.asked;
                self.state
                    .note_refusal(&asked.tenant, &asked.service, &refusal);
                return Ending::Failed(refusal.into());
            }
        };
        self.model = model;
        let state = self.state.clone();
        let admitted = state.admit(
            &self.asked.tenant,
            &self.asked.service,
            self.presence.as_ref(),
        );
        match admitted.await {
            Ok(mut permit) => {
                let ending = self.steps_until_end(&mut permit).await;
                self.settle(&ending).await;
                ending
            }
            Err(NotAdmitted::Refused(refusal)) => Ending::Failed(refusal.into()),
            Err(NotAdmitted::CallerGone) => Ending::CallerGone,
        }
    }

    async fn steps_until_end(&mut self, permit: &mut Permit<'_>) -> Ending {
        let mut next = self.steps.begin();
        loop {
            next = match next {
                NextStep::Claim => self.claim().await,
                NextStep::Dispatch => {
                    let service = &self.asked.service;
                    self.state
                        .pickers
                        .with_budget(service, |budget| budget.earn());
                    permit.note_run();
                    match self.dispatch(&[]).await {
                        Ok(next) => next,
                        Err(ending) => return ending,
                    }
                }
                NextStep::Retry { exclude } => {
                    self.note_retry(&exclude);
                    match self.dispatch(&exclude).await {
                        Ok(next) => next,
                        Err(ending) => return ending,
                    }
                }
                NextStep::Resume { attempt, offset } => match self.resume(attempt, offset).await {
                    Ok(next) => next,
                    Err(ending) => return ending,
                },
                NextStep::AskStatus { attempt } => self.ask(attempt).await,
                NextStep::Replay { outcome } => return self.replay(outcome),
                NextStep::Done => return Ending::Completed,
                NextStep::Fail { outcome } => return Ending::Failed(self.failure(outcome)),
            };
        }
    }

    async fn claim(&mut self) -> NextStep {
        let asked = self.asked;
        let answer = self.claim.ask(
            self.state,
            &asked.tenant,
            &asked.repeatability,
            asked.digest,
        );
        let answer = answer.await;
        self.steps.claim_answered(answer)
    }

    /// Sends the request as a new attempt to an engine that is not excluded.
    async fn dispatch(&mut self, exclude: &[BackendId]) -> Result<NextStep, Ending> {
        let chosen = match self.choose(exclude).await {
            Ok(chosen) => chosen,
            Err(error) => {
                self.note_no_backend(error);
                return Ok(self.steps.no_backend());
            }
        };
        let attempt = self.state.next_attempt();
        let target = chosen.target;
        if !self.steps.dispatched(target.attempt(attempt)) {
            return Ok(self.steps.no_backend());
        }
        let asked = self.asked;
        self.last_attempt = Some(attempt);
        self.in_flight = Some(InFlight::begin(
            self.state,
            &asked.service,
            chosen,
            attempt,
            &asked.prefix_hashes,
            asked.prompt_tokens,
        ));
        let body = asked.engine_body(&self.model);
        let state = self.state.clone();
        let started =
            state
                .engines
                .start(Priority::Online, &target, attempt, asked.form.path(), body);
        let started = match self.unless_gone(started).await {
            Some(started) => started,
            None => return Err(self.caller_gone()),
        };
        self.follow(started, attempt, 0).await
    }

    /// Chooses an engine and records why.
    async fn choose(&mut self, exclude: &[BackendId]) -> Result<ChosenBackend, PickError> {
        let until = self.state.clock.now() + LIMIT_WAIT;
        let asked = self.asked;
        loop {
            let now = self.state.clock.now();
            let request = PickRequest {
                prefix_hashes: &asked.prefix_hashes,
                exclude,
            };
            match self.state.pickers.pick(now, &asked.service, request) {
                Ok(pick) => {
                    self.state.note_pick(&asked.service, &asked.tenant, &pick);
                    let chosen = self.state.chosen(pick.backend);
                    return chosen.ok_or(PickError::NoEngine);
                }
                Err(PickError::AllAtLimit) if now < until => {
                    Timer::after(LIMIT_PAUSE).await;
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Takes the rest of an answer up where it broke.
    async fn resume(&mut self, attempt: AttemptRef, offset: u32) -> Result<NextStep, Ending> {
        // The last token comes again, so that there is one also when only the
        // end of the stream was lost.
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
        let resumed = match self.unless_gone(resumed).await {
            Some(resumed) => resumed,
            None => return Err(self.caller_gone()),
        };
        self.follow(resumed, attempt.attempt, offset).await
    }

    /// Passes the tokens of an answer on to its end.
    async fn follow(
        &mut self,
        answer: Result<AnswerStream, AttemptFailure>,
        attempt: AttemptId,
        offset: u32,
    ) -> Result<NextStep, Ending> {
        let mut answer = match answer {
            Ok(answer) => answer,
            Err(failure) => return self.failed(failure),
        };
        if offset == 0 && self.sink.passed() == 0 {
            self.sink.restart();
        }
        self.sink.name(attempt);
        loop {
            let next = match self.unless_gone(answer.next()).await {
                Some(next) => next,
                None => return Err(self.caller_gone()),
            };
            match next {
                Ok(Some(token)) => {
                    self.note_first_byte();
                    if token.chunk.offset < self.sink.tokens() {
                        continue;
                    }
                    if self.sink.token(token).await.is_err() && self.stops_when_gone() {
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

    fn note_first_byte(&mut self) {
        let Some(in_flight) = &mut self.in_flight else {
            return;
        };
        if in_flight.first_byte().is_some() {
            let since_arrival = self.state.clock.now().since(self.arrived);
            self.state.metrics.first_token(since_arrival);
        }
    }

    /// The attempt, or a try to resume it, failed.
    fn failed(&mut self, failure: AttemptFailure) -> Result<NextStep, Ending> {
        let end = failure.end;
        let final_refusal = failure
            .refusal
            .as_ref()
            .filter(|refusal| refusal.is_final() && self.sink.tokens() == 0)
            .map(|refusal| self.passed_on(refusal));
        if let Some(error) = final_refusal {
            if let Some(in_flight) = self.in_flight.take() {
                in_flight.failed(&failure);
            }
            return Err(Ending::Failed(error));
        }
        self.last_failure = Some(failure);
        let next = self.attempt_ended(end);
        let goes_on = matches!(next, NextStep::Resume { .. } | NextStep::AskStatus { .. });
        if goes_on {
            if let Some(in_flight) = &self.in_flight {
                in_flight.note_broken();
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
            .with_budget(&self.asked.service, |budget| steps.ended(now, end, budget))
    }

    /// Asks the engine what became of an attempt.
    async fn ask(&mut self, attempt: AttemptRef) -> NextStep {
        Timer::after(QUESTION_PAUSE).await;
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
            .with_budget(&self.asked.service, |budget| {
                steps.status(now, answer, budget)
            })
    }

    /// The output of `work`, or `None` once the caller is gone and that stops
    /// the request.
    async fn unless_gone<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let gone = async {
            match &self.presence {
                Some(presence) if self.stops_when_gone() => presence.gone().await,
                _ => futures_lite::future::pending().await,
            }
            None
        };
        futures_lite::future::or(async { Some(work.await) }, gone).await
    }

    /// A request that runs at most once goes on for its record when its caller
    /// leaves, so that the caller can come back for the answer.
    fn stops_when_gone(&self) -> bool {
        !self.claim.is_held()
    }

    /// Stops the attempt of a caller that left.
    fn caller_gone(&mut self) -> Ending {
        if let Some(in_flight) = self.in_flight.take() {
            self.state.metrics.cancelled();
            self.state.events.record(
                EventKind::Refuse,
                format!("request {}", in_flight.attempt),
                "cancelled: its caller left",
                [("engine", in_flight.target().backend.0.into())],
            );
            self.state.abandon_attempt(&in_flight);
        }
        Ending::CallerGone
    }

    fn replay(&mut self, outcome: RunOutcome) -> Ending {
        match self.claim.take_recorded(outcome) {
            Ok(recorded) => Ending::Replayed(recorded),
            Err(error) => Ending::Failed(error),
        }
    }

    /// Records how a claimed request ended.
    async fn settle(&mut self, ending: &Ending) {
        if !self.claim.is_held() {
            return;
        }
        let (outcome, answer) = match ending {
            Ending::Completed => {
                let answer = serde_json::to_vec(&self.sink.plain_answer());
                (RunOutcome::Completed, answer.unwrap_or_default())
            }
            Ending::Failed(error) => (error.outcome, Vec::new()),
            Ending::Replayed(_) => return,
            Ending::CallerGone => (self.steps.outcome(), Vec::new()),
        };
        self.claim.settle(self.state, outcome, answer).await;
    }

    fn cause(&self) -> String {
        let failure = self.last_failure.as_ref();
        failure.map_or_else(|| "no answer".to_owned(), |failure| failure.cause.clone())
    }

    fn note_retry(&self, exclude: &[BackendId]) {
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

    fn note_no_backend(&mut self, error: PickError) {
        let code = RefusalCode::NoBackend;
        let refusal = Refusal::after(code, NO_BACKEND_RETRY);
        let asked = self.asked;
        self.state
            .note_refusal(&asked.tenant, &asked.service, &refusal);
        if self.last_failure.is_none() {
            self.last_failure = Some(AttemptFailure {
                end: AttemptEnd::NotSent,
                cause: error.to_string(),
                refusal: None,
            });
        }
    }

    /// A refusal of an engine that every other one would repeat.
    fn passed_on(&self, refusal: &super::engine_client::BackendRefusal) -> ApiError {
        let status = StatusCode::try_from(refusal.status).unwrap_or(StatusCode::BadRequest);
        let detail = &refusal.detail;
        let error = ApiError::not_run(status, &detail.code, detail.message.clone());
        self.named(error)
    }

    /// What the caller is told after the last step.
    fn failure(&mut self, outcome: RunOutcome) -> ApiError {
        if let Some(error) = self.claim.take_error() {
            return error;
        }
        let cause = self.cause();
        let error = match outcome {
            RunOutcome::NotRun => ApiError::not_run(
                StatusCode::ServiceUnavailable,
                "no_backend",
                format!("no engine took the request: {cause}"),
            )
            .with_retry_after(self.retry_after()),
            _ => ApiError::not_run(
                StatusCode::BadGateway,
                "answer_lost",
                format!("the request may have run and its answer is lost: {cause}"),
            )
            .with_outcome(outcome),
        };
        self.named(error)
    }

    fn retry_after(&self) -> Duration {
        let refusal = self
            .last_failure
            .as_ref()
            .and_then(|last| last.refusal.as_ref());
        let said = refusal.and_then(|refusal| refusal.detail.retry_after_ms);
        said.map_or(NO_BACKEND_RETRY, Duration::from_millis)
    }

    fn named(&self, error: ApiError) -> ApiError {
        ApiError {
            attempt: self.last_attempt.map(|id| id.to_string()),
            ..error
        }
    }
}

impl GatewayState {
    /// Stops an attempt whose answer nobody will read.
    fn abandon_attempt(self: &Arc<Self>, in_flight: &InFlight) {
        let (target, attempt) = (in_flight.target(), in_flight.attempt);
        let state = self.clone();
        self.spawn(async move {
            let online = Priority::Online;
            state.engines.cancel(online, target.address, attempt).await;
        });
    }
}
