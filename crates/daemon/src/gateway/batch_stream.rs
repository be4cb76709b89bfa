//! Execution of one batch item on an engine.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;
use molespan_engine_api::COMPLETIONS_PATH;
use molespan_membership::{DirectoryInput, WorkResult};
use molespan_routing::batch::{BatchInput, ItemEnd, StreamId};
use molespan_routing::retry::{
    AttemptEnd, AttemptRef, ClaimAnswer, NextStep, RequestKind, RequestState, RetryBudget,
    RetryBudgetSettings,
};
use molespan_types::{AttemptId, ItemIndex, JobId, Priority, RunOutcome, ServiceName};

use super::answer::{AnswerStream, AttemptFailure, Target};
use super::options::PreemptionPolicy;
use super::state::GatewayState;
use super::validation::{engine_body, max_tokens_of, parse_fields};

/// Delay before an engine is asked for the status of an attempt.
const STATUS_QUERY_DELAY: Duration = Duration::from_millis(50);
/// Delay before a pause request is repeated to an engine that does not know the stream
/// yet.
const PAUSE_RETRY_DELAY: Duration = Duration::from_millis(3);
/// Progress is reported to the batch owner once per this many tokens of a stream.
const TOKENS_PER_REPORT: u32 = 16;
/// Maximum number of pause requests for one command.
const MAX_PAUSE_ATTEMPTS: u32 = 100;

/// A command of the batch owner to a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamCommand {
    /// Pause the stream.
    Pause,
    /// Resume the stream.
    Resume,
    /// Cancel the stream; its result is discarded.
    Cancel,
}

/// A batch item dispatched to run.
#[derive(Clone, Debug)]
pub(super) struct BatchItem {
    pub(super) stream: StreamId,
    /// The engine to run on; `None` when the engine is no longer known.
    pub(super) target: Option<Target>,
    pub(super) service: ServiceName,
    pub(super) job: JobId,
    pub(super) item: ItemIndex,
    pub(super) repeatable: bool,
    pub(super) input: Vec<u8>,
}

/// How a stream ended, as reported to the owner; `None` after a cancel.
type StreamEnd = Option<ItemEnd>;

impl GatewayState {
    /// Runs an item to completion, unless it is cancelled first.
    pub(super) async fn run_batch_item(
        self: Arc<Self>,
        item: BatchItem,
        commands: Receiver<StreamCommand>,
    ) {
        let Some(end) = self.run_item(&item, &commands).await else {
            self.metrics.batch_item("cancelled");
            return;
        };
        // The stream accepts no further commands.
        commands.close();
        let label = match &end {
            ItemEnd::Completed(_) => "completed",
            ItemEnd::Refused(_) => "refused",
            ItemEnd::NotRun => "not-run",
            ItemEnd::Unknown => "unknown",
        };
        self.metrics.batch_item(label);
        self.batch_input(BatchInput::Ended {
            stream: item.stream,
            end,
        });
    }

    async fn run_item(&self, item: &BatchItem, commands: &Receiver<StreamCommand>) -> StreamEnd {
        let Some(target) = item.target else {
            return Some(ItemEnd::NotRun);
        };
        let fields = match parse_fields(&item.input) {
            Ok(fields) => fields,
            Err(error) => return Some(ItemEnd::Refused(error.message.into_bytes().into())),
        };
        let Ok(model) = self.batch_model(&item.service) else {
            return Some(ItemEnd::NotRun);
        };
        let max_tokens = max_tokens_of(&fields);
        let cancelled = AtomicBool::new(false);
        let mut run = ItemRun {
            state: self,
            item,
            cancelled: &cancelled,
            target,
            attempt: self.next_attempt(),
            body: engine_body(fields, &model),
            text: String::with_capacity(max_tokens.min(4_096) as usize),
            tokens: 0,
        };
        let attempt = run.attempt;
        let running = async { Some(run.steps_until_end().await) };
        let cancelled_by_command = async {
            self.run_commands(target, attempt, commands, &cancelled)
                .await;
            None
        };
        future::or(running, cancelled_by_command).await
    }

    /// Returns the model of a service, whether or not this node may accept new work:
    /// leased items have already been accepted.
    fn batch_model(&self, service: &ServiceName) -> Result<String, ()> {
        let configuration = self.configuration.in_force().ok_or(())?;
        let service = configuration.services.get(service).ok_or(())?;
        let model = service.model.as_ref().ok_or(())?;
        Ok(model.0.clone())
    }

    /// Executes commands in order; returns after a cancel.
    async fn run_commands(
        &self,
        target: Target,
        attempt: AttemptId,
        commands: &Receiver<StreamCommand>,
        cancelled: &AtomicBool,
    ) {
        // A closed channel means that the owner dropped the stream, which equals a cancel.
        while let Ok(command) = commands.recv().await {
            match command {
                StreamCommand::Pause => self.set_paused(target, attempt, true, commands).await,
                StreamCommand::Resume => self.set_paused(target, attempt, false, commands).await,
                StreamCommand::Cancel => break,
            }
        }
        cancelled.store(true, Ordering::Relaxed);
        let batch = Priority::Batch;
        self.engines.cancel(batch, target.address, attempt).await;
    }

    /// Asks the engine to pause or resume a stream. A pause that gets no answer or a 404 is
    /// retried, because the stream may still be on its way to the engine, until the owner
    /// sends another command.
    async fn set_paused(
        &self,
        target: Target,
        attempt: AttemptId,
        paused: bool,
        commands: &Receiver<StreamCommand>,
    ) {
        for _ in 0..MAX_PAUSE_ATTEMPTS {
            let status = self
                .engines
                .set_paused(target.address, attempt, paused)
                .await;
            let settled = status.is_some_and(|status| status != 404);
            if settled || !commands.is_empty() || !paused {
                return;
            }
            Timer::after(PAUSE_RETRY_DELAY).await;
        }
    }
}

/// The execution of one batch item.
struct ItemRun<'a> {
    state: &'a GatewayState,
    item: &'a BatchItem,
    /// Set before the engine is asked to cancel: the stream then breaks, which does not
    /// count as a failure of the engine.
    cancelled: &'a AtomicBool,
    target: Target,
    attempt: AttemptId,
    body: Vec<u8>,
    text: String,
    tokens: u32,
}

impl ItemRun<'_> {
    async fn steps_until_end(&mut self) -> ItemEnd {
        let mut steps = RequestState::new(RequestKind {
            repeatable: self.item.repeatable,
            resumable: true,
        });
        // Disables retries: only the owner decides to run an item elsewhere.
        let mut budget = RetryBudget::new(RetryBudgetSettings {
            ratio: 0.0,
            reserve_per_second: 0.0,
            max_tokens: 0.0,
        });
        let mut next = steps.begin();
        loop {
            let now = self.state.clock.now();
            next = match next {
                // The lease on the item serves as its claim.
                NextStep::Claim => steps.claim_answered(ClaimAnswer::Granted),
                NextStep::Dispatch => {
                    let attempt = self.target.attempt(self.attempt);
                    if !steps.dispatched(attempt) {
                        return ItemEnd::NotRun;
                    }
                    let started = self.start().await;
                    match self.follow(started).await {
                        Ok(end) => steps.ended(self.state.clock.now(), end, &mut budget),
                        Err(reason) => return ItemEnd::Refused(reason.into_bytes().into()),
                    }
                }
                NextStep::Resume { attempt, .. } => {
                    let resumed = self.resume(attempt).await;
                    match self.follow(resumed).await {
                        Ok(end) => steps.ended(self.state.clock.now(), end, &mut budget),
                        Err(_) => steps.ended(now, AttemptEnd::Lost, &mut budget),
                    }
                }
                NextStep::AskStatus { attempt } => {
                    Timer::after(STATUS_QUERY_DELAY).await;
                    let address = self.target.address;
                    let answer = self.state.engines.status(address, &attempt).await;
                    steps.status(self.state.clock.now(), answer, &mut budget)
                }
                NextStep::Done => {
                    let text = std::mem::take(&mut self.text);
                    return ItemEnd::Completed(text.into_bytes().into());
                }
                NextStep::Retry { .. } | NextStep::Replay { .. } => return ItemEnd::NotRun,
                NextStep::Fail { outcome } => {
                    return match outcome {
                        RunOutcome::NotRun => ItemEnd::NotRun,
                        _ => ItemEnd::Unknown,
                    };
                }
            };
        }
    }

    async fn start(&self) -> Result<AnswerStream, AttemptFailure> {
        let priority = match self.state.options.policy.preemption {
            PreemptionPolicy::None => Priority::Online,
            _ => Priority::Batch,
        };
        let path = COMPLETIONS_PATH;
        let body = self.body.clone();
        let engines = &self.state.engines;
        let started = engines.start(priority, &self.target, self.attempt, path, body);
        self.unless_given_up(started).await
    }

    async fn resume(&self, attempt: AttemptRef) -> Result<AnswerStream, AttemptFailure> {
        self.state.metrics.resumed();
        // Requests the last token again, so that the answer has at least one token even if
        // only the end of the stream was lost.
        let offset = self.tokens.saturating_sub(1);
        let address = self.target.address;
        self.state.engines.resume(address, &attempt, offset).await
    }

    /// Collects the answer; an error is the reason for a permanent rejection.
    async fn follow(
        &mut self,
        answer: Result<AnswerStream, AttemptFailure>,
    ) -> Result<AttemptEnd, String> {
        let ended = match answer {
            Ok(mut answer) => self.collect(&mut answer).await,
            Err(failure) => Err(failure),
        };
        match ended {
            Ok(()) => Ok(AttemptEnd::Completed),
            Err(failure) => self.failed(failure),
        }
    }

    async fn collect(&mut self, answer: &mut AnswerStream) -> Result<(), AttemptFailure> {
        while let Some(token) = self.unless_given_up(answer.next()).await? {
            if token.chunk.offset < self.tokens {
                continue;
            }
            self.text.push_str(&token.chunk.text);
            self.tokens = token.chunk.offset + 1;
            // The owner needs the first token exactly; for later ones an estimate is enough.
            if self.tokens % TOKENS_PER_REPORT == 1 {
                self.state.batch_input(BatchInput::Progress {
                    stream: self.item.stream,
                    tokens: self.tokens,
                });
            }
        }
        Ok(())
    }

    /// Awaits `work`. A repeatable item stops waiting when its engine has been given
    /// up.
    async fn unless_given_up<T>(
        &self,
        work: impl Future<Output = Result<T, AttemptFailure>>,
    ) -> Result<T, AttemptFailure> {
        let given_up = async {
            if !self.item.repeatable {
                return future::pending().await;
            }
            self.state.until_given_up(&self.target).await;
            let (address, attempt) = (self.target.address, self.attempt);
            let batch = Priority::Batch;
            self.state.engines.cancel(batch, address, attempt).await;
            Err(AttemptFailure::lost("the engine was given up"))
        };
        future::or(work, given_up).await
    }

    fn failed(&self, failure: AttemptFailure) -> Result<AttemptEnd, String> {
        let refusal = failure.refusal.as_ref();
        if refusal.is_some_and(|refusal| refusal.is_final() && self.tokens == 0) {
            return Err(failure.cause);
        }
        if refusal.is_none() && !self.cancelled.load(Ordering::Relaxed) {
            self.state.record_batch_failure(&self.target);
        }
        slog::debug!(self.state.logger, "batch stream failed";
            "job" => %self.item.job, "item" => self.item.item.0, "cause" => failure.cause);
        Ok(failure.end)
    }
}

impl GatewayState {
    /// Records a batch stream failure that the engine did not report itself.
    fn record_batch_failure(&self, target: &Target) {
        let input = DirectoryInput::Work {
            backend: target.backend,
            incarnation: target.incarnation,
            result: WorkResult::Failed,
        };
        if let Some(state) = self.batch.gateway() {
            state.directory_input(input);
        }
    }
}
