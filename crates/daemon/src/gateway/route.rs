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
use super::claims::ClaimHold;
use super::dispatch::InFlight;
use super::error::ApiError;
use super::state::GatewayState;
use super::stream::AnswerSink;
use super::validation::{CompletionAsked, Repeatability};

/// How a completion ended.
pub(super) enum Ending {
    Completed,
    Replayed(Vec<u8>),
    Failed(ApiError),
    CallerGone,
}

impl Ending {
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

/// The execution of one completion.
pub(super) struct Run<'a> {
    pub(super) state: &'a Arc<GatewayState>,
    pub(super) asked: &'a CompletionAsked,
    pub(super) presence: Option<ClientPresence>,
    pub(super) sink: AnswerSink,
    pub(super) steps: RequestState,
    pub(super) claim: ClaimHold,
    /// Name under which engines know the model.
    pub(super) model: String,
    pub(super) in_flight: Option<InFlight>,
    pub(super) last_failure: Option<AttemptFailure>,
    pub(super) last_attempt: Option<AttemptId>,
    pub(super) arrived: Timestamp,
}

impl Run<'_> {
    /// Checks the service, waits for admission and runs the request.
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

    /// Awaits `work`; returns `None` if the caller disconnects first and that stops
    /// the request.
    pub(super) async fn unless_gone<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let gone = async {
            match &self.presence {
                Some(presence) if self.stops_when_gone() => presence.gone().await,
                _ => futures_lite::future::pending().await,
            }
            None
        };
        futures_lite::future::or(async { Some(work.await) }, gone).await
    }

    /// Whether the request stops when its caller disconnects. A claimed request goes on
    /// until its outcome is recorded, so that the caller can fetch the answer later.
    pub(super) fn stops_when_gone(&self) -> bool {
        !self.claim.is_held()
    }

    /// Cancels the attempt of a caller that has disconnected.
    pub(super) fn caller_gone(&mut self) -> Ending {
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

    /// Records the outcome of a claimed request.
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
}
