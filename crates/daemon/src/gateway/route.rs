//! Execution of an online completion. The retry core decides each step; this module
//! executes the steps.

use std::sync::Arc;

use http_types::StatusCode;
use molespan_http::{ClientPresence, Response};
use molespan_routing::retry::{NextStep, RequestKind, RequestState};
use molespan_telemetry::EventKind;
use molespan_types::{AttemptId, RunOutcome, Timestamp};

use super::admission::{NotAdmitted, Permit};
use super::answer::AttemptFailure;
use super::claims::RequestClaim;
use super::dispatch::InFlight;
use super::error::ApiError;
use super::state::GatewayState;
use super::stream::AnswerSink;
use super::validation::{CompletionRequest, Repeatability};

/// How a completion ended.
pub(super) enum RunEnd {
    Completed,
    Replayed(Vec<u8>),
    Failed(ApiError),
    CallerGone,
}

impl RunEnd {
    /// Returns the metric label.
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

/// Serves a completion; a streamed response begins with its first
/// token.
pub(super) async fn serve_completion(
    state: &Arc<GatewayState>,
    completion: CompletionRequest,
    presence: Option<ClientPresence>,
) -> Response {
    if !completion.stream {
        let sink = AnswerSink::plain(completion.form, &completion.service);
        let response = run(state, &completion, presence, sink).await;
        return response.unwrap_or_else(|| gone().response());
    }
    let (head, response) = async_channel::bounded(1);
    let keep_text = completion.repeatability != Repeatability::Repeatable;
    let sink = AnswerSink::streamed(completion.form, &completion.service, head, keep_text);
    let runner = state.clone();
    state.spawn(async move {
        run(&runner, &completion, presence, sink).await;
    });
    let response = response.recv().await;
    response.unwrap_or_else(|_| gone().response())
}

/// The answer to a caller that has disconnected; nobody reads it.
fn gone() -> ApiError {
    ApiError::not_run(
        StatusCode::ServiceUnavailable,
        "caller_gone",
        "the caller went away",
    )
    .with_outcome(RunOutcome::Unknown)
}

/// Runs a completion and finishes its answer; returns the response of a plain one.
async fn run(
    state: &Arc<GatewayState>,
    completion: &CompletionRequest,
    presence: Option<ClientPresence>,
    sink: AnswerSink,
) -> Option<Response> {
    let mut run = Run {
        state,
        completion,
        presence,
        sink,
        steps: RequestState::new(RequestKind {
            repeatable: completion.repeatability == Repeatability::Repeatable,
            resumable: true,
        }),
        claim: RequestClaim::default(),
        model: String::new(),
        in_flight: None,
        last_failure: None,
        last_attempt: None,
        arrived: state.clock.now(),
    };
    let ending = run.admitted().await;
    state.metrics.request_ended(ending.label());
    match ending {
        RunEnd::Completed => run.sink.finish().await,
        RunEnd::Replayed(recorded) => run.sink.replay(&recorded).await,
        RunEnd::Failed(error) => run.sink.fail(&error).await,
        RunEnd::CallerGone => None,
    }
}

/// The execution of one completion.
pub(super) struct Run<'a> {
    pub(super) state: &'a Arc<GatewayState>,
    pub(super) completion: &'a CompletionRequest,
    pub(super) presence: Option<ClientPresence>,
    pub(super) sink: AnswerSink,
    pub(super) steps: RequestState,
    pub(super) claim: RequestClaim,
    /// Name under which engines know the model.
    pub(super) model: String,
    pub(super) in_flight: Option<InFlight>,
    pub(super) last_failure: Option<AttemptFailure>,
    pub(super) last_attempt: Option<AttemptId>,
    pub(super) arrived: Timestamp,
}

impl Run<'_> {
    /// Checks the service, waits for admission and runs the request.
    async fn admitted(&mut self) -> RunEnd {
        let model = match self.state.model_of(&self.completion.service) {
            Ok(model) => model,
            Err(refusal) => {
                let completion = self.completion;
                self.state
                    .record_refusal(&completion.tenant, &completion.service, &refusal);
                return RunEnd::Failed(refusal.into());
            }
        };
        self.model = model;
        let state = self.state.clone();
        let admitted = state.admit(
            &self.completion.tenant,
            &self.completion.service,
            self.presence.as_ref(),
        );
        match admitted.await {
            Ok(mut permit) => {
                let ending = self.steps_until_end(&mut permit).await;
                self.settle(&ending).await;
                ending
            }
            Err(NotAdmitted::Refused(refusal)) => RunEnd::Failed(refusal.into()),
            Err(NotAdmitted::CallerGone) => RunEnd::CallerGone,
        }
    }

    async fn steps_until_end(&mut self, permit: &mut Permit<'_>) -> RunEnd {
        let mut next = self.steps.begin();
        loop {
            next = match next {
                NextStep::Claim => self.claim().await,
                NextStep::Dispatch => {
                    let service = &self.completion.service;
                    self.state
                        .pickers
                        .with_budget(service, |budget| budget.earn());
                    permit.record_run();
                    match self.dispatch(&[]).await {
                        Ok(next) => next,
                        Err(ending) => return ending,
                    }
                }
                NextStep::Retry { exclude } => {
                    self.record_retry(&exclude);
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
                NextStep::Done => return RunEnd::Completed,
                NextStep::Fail { outcome } => return RunEnd::Failed(self.failure(outcome)),
            };
        }
    }

    async fn claim(&mut self) -> NextStep {
        let completion = self.completion;
        let answer = self.claim.ask(
            self.state,
            &completion.tenant,
            &completion.repeatability,
            completion.digest,
        );
        let answer = answer.await;
        self.steps.claim_answered(answer)
    }

    /// Awaits `work`; returns `None` if the caller disconnects first and that stops
    /// the request.
    pub(super) async fn unless_disconnected<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let gone = async {
            match &self.presence {
                Some(presence) if self.stops_on_disconnect() => presence.gone().await,
                _ => futures_lite::future::pending().await,
            }
            None
        };
        futures_lite::future::or(async { Some(work.await) }, gone).await
    }

    /// Whether the request stops when its caller disconnects. A claimed request goes on
    /// until its outcome is recorded, so that the caller can fetch the answer later.
    pub(super) fn stops_on_disconnect(&self) -> bool {
        !self.claim.is_held()
    }

    /// Cancels the attempt of a caller that has disconnected.
    pub(super) fn caller_gone(&mut self) -> RunEnd {
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
        RunEnd::CallerGone
    }

    fn replay(&mut self, outcome: RunOutcome) -> RunEnd {
        match self.claim.take_recorded(outcome) {
            Ok(recorded) => RunEnd::Replayed(recorded),
            Err(error) => RunEnd::Failed(error),
        }
    }

    /// Records the outcome of a claimed request.
    async fn settle(&mut self, ending: &RunEnd) {
        if !self.claim.is_held() {
            return;
        }
        let (outcome, answer) = match ending {
            RunEnd::Completed => {
                let answer = serde_json::to_vec(&self.sink.plain_answer());
                (RunOutcome::Completed, answer.unwrap_or_default())
            }
            RunEnd::Failed(error) => (error.outcome, Vec::new()),
            RunEnd::Replayed(_) => return,
            RunEnd::CallerGone => (self.steps.outcome(), Vec::new()),
        };
        self.claim.settle(self.state, outcome, answer).await;
    }
}
