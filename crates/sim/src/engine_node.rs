//! An engine process: the emulated engine core and its connections.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_emulator::engine::{
    AnswerText, EngineCore, EngineModel, EngineSettings, Output, Refusal, Submission,
};
use molespan_emulator::faults::EngineFaults;
use molespan_engine_api::{CompletionChunk, FinishReason, RequestState};
use molespan_types::{AttemptId, BackendId, Digest, Incarnation, RunOutcome, Timestamp, digest_of};
use rand::Rng;

use crate::address::Address;
use crate::context::Context;
use crate::fault::AnswerFault;
use crate::history::{OrderTakenRecord, StartRecord};
use crate::message::{AnswerForm, ConnectionId, EngineAnswer, EngineCall, Message};
use crate::node::Node;
use crate::scenario::MODEL;

/// Time that the weight store needs to deliver weights.
const WEIGHTS_DELAY: Duration = Duration::from_millis(300);
/// Slowdown of steps under [`AnswerFault::Slow`].
const SLOW_FACTOR: f64 = 12.0;
/// Incarnation of every engine at the start.
const FIRST_INCARNATION: Incarnation = Incarnation(1);

/// A connection that waits for an answer.
#[derive(Clone, Debug)]
struct Listener {
    connection: ConnectionId,
    gateway: Address,
    form: AnswerForm,
    next: u32,
    fault: Option<AnswerFault>,
}

/// An attempt that is queued or running.
#[derive(Clone, Debug)]
struct Attempt {
    listeners: Vec<Listener>,
    tokens: u32,
    prompt: Digest,
    started: bool,
}

/// An active fault in the answers of an engine.
#[derive(Clone, Copy, Debug)]
struct ActiveFault {
    fault: AnswerFault,
    percent: u32,
}

/// An engine process.
#[derive(Debug)]
pub struct EngineNode {
    number: u32,
    core: EngineCore,
    alive: bool,
    attempts: BTreeMap<String, Attempt>,
    active_faults: BTreeMap<usize, ActiveFault>,
    /// Whether the engine reports that it is leaving.
    leaving: bool,
    weights: Vec<(Timestamp, molespan_emulator::engine::WeightsNeeded)>,
}

impl EngineNode {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(number: u32, seed: u64, context: &mut Context) -> Self {
        let model = EngineModel {
            step_base_micros: 5_000,
            max_running: 6,
            max_waiting: 32,
            // Disabled so that the owner's preemption is tested without help from the
            // engine.
            priority: false,
            ..EngineModel::lab()
        };
        let settings = EngineSettings {
            backend: BackendId(number),
            incarnation: FIRST_INCARNATION,
            model,
            models: vec![MODEL.to_owned()],
        };
        context
            .engine_incarnations
            .insert(number, FIRST_INCARNATION);
        Self {
            number,
            core: EngineCore::new(settings, seed, context.now),
            alive: true,
            attempts: BTreeMap::new(),
            active_faults: BTreeMap::new(),
            leaving: false,
            weights: Vec::new(),
        }
    }

    fn address(&self) -> Address {
        Address::Engine(self.number)
    }

    /// Returns the current incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.core.incarnation()
    }

    /// Whether the process runs.
    #[must_use]
    pub fn is_alive(&self) -> bool {
        self.alive
    }

    /// Starts injecting a fault into answers.
    pub fn start_fault(
        &mut self,
        context: &mut Context,
        id: usize,
        fault: AnswerFault,
        percent: u32,
    ) {
        self.active_faults
            .insert(id, ActiveFault { fault, percent });
        self.set_speed(context);
    }

    /// Stops injecting a fault into answers.
    pub fn stop_fault(&mut self, context: &mut Context, id: usize) {
        self.active_faults.remove(&id);
        self.set_speed(context);
    }

    fn set_speed(&mut self, context: &mut Context) {
        let slow = |active: &ActiveFault| active.fault == AnswerFault::Slow;
        let slow = self.active_faults.values().any(slow);
        let faults = EngineFaults {
            slow_factor: if slow { SLOW_FACTOR } else { 1.0 },
            ..EngineFaults::default()
        };
        self.core.set_faults(context.now, faults);
    }

    /// Makes the engine report that it is leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Kills the process, which breaks its connections.
    pub fn kill(&mut self, context: &mut Context) {
        if !self.alive {
            return;
        }
        self.alive = false;
        for attempt in std::mem::take(&mut self.attempts).into_values() {
            for listener in attempt.listeners {
                self.answer(context, &listener, EngineAnswer::Broken);
            }
        }
        self.weights.clear();
    }

    /// Starts the process with its next incarnation.
    pub fn start(&mut self, context: &mut Context) {
        if self.alive {
            return;
        }
        self.core.crash(context.now);
        self.alive = true;
        self.leaving = false;
        let life = self.core.incarnation();
        context.engine_incarnations.insert(self.number, life);
    }

    fn answer(&self, context: &mut Context, listener: &Listener, answer: EngineAnswer) {
        let message = Message::EngineAnswer {
            connection: listener.connection,
            answer,
        };
        context.send(self.address(), listener.gateway, message);
    }

    fn draw_fault(&self, context: &mut Context) -> Option<AnswerFault> {
        let mut drawn = None;
        for active in self.active_faults.values() {
            let hit = context.random.random_range(0..100) < active.percent;
            if hit && active.fault != AnswerFault::Slow {
                drawn = Some(active.fault);
            }
        }
        drawn
    }

    fn call(&mut self, context: &mut Context, mut listener: Listener, call: EngineCall) {
        if !self.alive {
            return self.answer(context, &listener, EngineAnswer::ConnectionRefused);
        }
        let now = context.now;
        match call {
            EngineCall::Submit { submission, form } => {
                listener.form = form;
                listener.fault = self.draw_fault(context);
                self.submit(context, listener, submission);
            }
            EngineCall::Fetch {
                attempt,
                offset,
                form,
            } => {
                listener.form = form;
                listener.next = offset;
                listener.fault = self.draw_fault(context);
                self.fetch(context, listener, attempt);
            }
            EngineCall::Status(attempt) => self.status(context, &listener, attempt),
            EngineCall::Pause(attempt) => {
                let _ = self.core.pause(now, &attempt.to_string());
            }
            EngineCall::Resume(attempt) => {
                let _ = self.core.resume(now, &attempt.to_string());
            }
            EngineCall::Cancel(attempt) => {
                let attempt = attempt.to_string();
                let _ = self.core.cancel(now, &attempt);
                self.attempts.remove(&attempt);
            }
        }
    }

    fn submit(&mut self, context: &mut Context, listener: Listener, submission: Submission) {
        let attempt = submission.attempt.to_string();
        match listener.fault {
            Some(AnswerFault::BreakBefore) => {
                return self.answer(context, &listener, EngineAnswer::Broken);
            }
            Some(AnswerFault::Refuse) => {
                return self.refuse(context, &listener, &attempt, &Refusal::Refusing);
            }
            _ => {}
        }
        let tokens = submission.max_tokens.max(1);
        let prompt = digest_of(submission.prompt.as_bytes());
        if let Err(refusal) = self.core.submit(context.now, submission) {
            return self.refuse(context, &listener, &attempt, &refusal);
        }
        let mut listeners = Vec::new();
        if listener.fault == Some(AnswerFault::AcceptThenBreak) {
            self.answer(context, &listener, EngineAnswer::Broken);
        } else {
            listeners.push(listener);
        }
        let queued = Attempt {
            listeners,
            tokens,
            prompt,
            started: false,
        };
        self.attempts.insert(attempt, queued);
    }

    fn refuse(&self, context: &mut Context, listener: &Listener, attempt: &str, refusal: &Refusal) {
        let unknown = matches!(refusal, Refusal::NeverSeen | Refusal::Forgotten);
        let answer = EngineAnswer::Refused {
            attempt: attempt.to_owned(),
            outcome: refusal.outcome(),
            permanent: matches!(refusal, Refusal::TooLarge { .. }),
            unknown_to: unknown.then(|| self.incarnation()),
        };
        self.answer(context, listener, answer);
    }

    fn status(&mut self, context: &mut Context, listener: &Listener, attempt: AttemptId) {
        let attempt = attempt.to_string();
        match self.core.status(context.now, &attempt) {
            Ok(status) => {
                let answer = EngineAnswer::Status {
                    state: status.state,
                    incarnation: status.incarnation,
                };
                self.answer(context, listener, answer);
            }
            Err(refusal) => self.refuse(context, listener, &attempt, &refusal),
        }
    }

    fn fetch(&mut self, context: &mut Context, mut listener: Listener, attempt: AttemptId) {
        let attempt = attempt.to_string();
        let found = match self.core.answer(context.now, &attempt) {
            Ok(found) => found,
            Err(refusal) => return self.refuse(context, &listener, &attempt, &refusal),
        };
        match found.status.state {
            RequestState::Cancelled => {
                let answer = EngineAnswer::Refused {
                    attempt,
                    outcome: RunOutcome::Unknown,
                    permanent: false,
                    unknown_to: None,
                };
                self.answer(context, &listener, answer);
            }
            RequestState::Completed => {
                let tokens = found.max_tokens;
                self.send_tokens(
                    context,
                    &mut listener,
                    &attempt,
                    found.text,
                    (tokens, tokens),
                );
                self.finish(context, &listener, &attempt, found.text, tokens);
            }
            RequestState::Waiting | RequestState::Running | RequestState::Paused => {
                let (generated, tokens) = (found.status.generated, found.max_tokens);
                self.core.announce_tokens(&attempt);
                let range = (generated, tokens);
                self.send_tokens(context, &mut listener, &attempt, found.text, range);
                if let Some(running) = self.attempts.get_mut(&attempt) {
                    running.listeners.push(listener);
                }
            }
        }
    }

    /// Sends the tokens from the listener's next one up to `generated`; the second field is
    /// the total number of tokens.
    fn send_tokens(
        &self,
        context: &mut Context,
        listener: &mut Listener,
        attempt: &str,
        text: AnswerText,
        (generated, tokens): (u32, u32),
    ) {
        if listener.form == AnswerForm::Whole {
            return;
        }
        while listener.next < generated {
            self.send_chunk(context, listener, attempt, text, tokens);
            listener.next += 1;
        }
    }

    fn send_chunk(
        &self,
        context: &mut Context,
        listener: &Listener,
        attempt: &str,
        text: AnswerText,
        tokens: u32,
    ) {
        let offset = listener.next;
        let first_only = listener.form == AnswerForm::FirstThenWhole;
        let cut = listener.fault == Some(AnswerFault::Truncated) && offset >= tokens / 2;
        if (first_only && offset > 0) || (cut && !first_only) {
            return;
        }
        let (id, text) = cross_identity(listener, attempt, text);
        let last = offset + 1 == tokens;
        let chunk = CompletionChunk {
            id,
            offset,
            text: text.token(offset),
            finish_reason: last.then_some(FinishReason::Length),
            usage: None,
        };
        if listener.fault == Some(AnswerFault::Doubled) && offset == tokens / 2 {
            self.answer(context, listener, EngineAnswer::Chunk(chunk.clone()));
        }
        self.answer(context, listener, EngineAnswer::Chunk(chunk));
    }

    fn finish(
        &self,
        context: &mut Context,
        listener: &Listener,
        attempt: &str,
        text: AnswerText,
        tokens: u32,
    ) {
        let truncated = listener.fault == Some(AnswerFault::Truncated);
        if listener.form == AnswerForm::Chunks {
            let end = if truncated {
                EngineAnswer::Closed
            } else {
                EngineAnswer::Terminator
            };
            return self.answer(context, listener, end);
        }
        let (id, text) = cross_identity(listener, attempt, text);
        let whole = text.first(tokens);
        let declared = whole.len() as u64;
        let sent = if truncated {
            whole[..whole.len() / 2].to_owned()
        } else {
            whole
        };
        let answer = EngineAnswer::Whole {
            attempt: id,
            declared,
            text: sent,
        };
        self.answer(context, listener, answer);
    }

    fn step(&mut self, context: &mut Context) {
        if !self.alive {
            return;
        }
        let now = context.now;
        self.take_weights(now);
        for output in self.core.step(now) {
            match output {
                Output::Token { attempt, text, .. } => self.token(context, &attempt, text),
                Output::Completed { attempt, text, .. } => {
                    if let Some(ended) = self.attempts.remove(&*attempt) {
                        self.record_start(context, &ended);
                        for listener in &ended.listeners {
                            self.finish(context, listener, &attempt, text, ended.tokens);
                        }
                    }
                }
                Output::Cancelled { .. } => {}
                Output::FetchWeights(weights) => {
                    self.weights.push((now + WEIGHTS_DELAY, weights));
                }
            }
        }
        self.record_starts(context);
    }

    fn take_weights(&mut self, now: Timestamp) {
        let weights = std::mem::take(&mut self.weights);
        for (at, weights) in weights {
            if at <= now {
                self.core.weights_arrived(&weights);
            } else {
                self.weights.push((at, weights));
            }
        }
    }

    fn token(&mut self, context: &mut Context, attempt: &str, text: AnswerText) {
        let Some(mut running) = self.attempts.remove(attempt) else {
            return;
        };
        for listener in &mut running.listeners {
            if listener.form != AnswerForm::Whole {
                self.send_chunk(context, listener, attempt, text, running.tokens);
                listener.next += 1;
            }
        }
        self.attempts.insert(attempt.to_owned(), running);
    }

    /// Records which attempts have entered the running batch.
    fn record_starts(&mut self, context: &mut Context) {
        let mut attempts = std::mem::take(&mut self.attempts);
        for (key, attempt) in &mut attempts {
            if !attempt.started && self.core.executions().of_attempt(key).started > 0 {
                self.record_start(context, attempt);
                attempt.started = true;
            }
        }
        self.attempts = attempts;
    }

    fn record_start(&self, context: &mut Context, attempt: &Attempt) {
        if !attempt.started {
            context.history.starts.push(StartRecord {
                at: context.now,
                engine: self.number,
                prompt: attempt.prompt,
            });
        }
    }

    /// Returns how many times a prompt entered the running batch of this engine, over all
    /// incarnations.
    #[must_use]
    pub fn started(&self, prompt: Digest) -> u32 {
        self.core.executions().of_prompt(prompt).started
    }
}

/// Returns the attempt identifier and text of an answer, replaced by those of
/// another request under [`AnswerFault::Crossed`].
fn cross_identity(listener: &Listener, attempt: &str, text: AnswerText) -> (String, AnswerText) {
    if listener.fault == Some(AnswerFault::Crossed) {
        let other = format!("{attempt}0");
        return (other, AnswerText::of_prompt("another request"));
    }
    (attempt.to_owned(), text)
}

impl Node for EngineNode {
    fn receive(&mut self, context: &mut Context, from: Address, message: Message) {
        let now = context.now;
        match message {
            Message::Engine { connection, call } => {
                let listener = Listener {
                    connection,
                    gateway: from,
                    form: AnswerForm::Whole,
                    next: 0,
                    fault: None,
                };
                self.call(context, listener, call);
            }
            Message::LoadRequest { sent } if self.alive => {
                let mut report = self.core.load_report(now);
                report.leaving |= self.leaving;
                context.send(self.address(), from, Message::Load { sent, report });
            }
            Message::Order(order) if self.alive => {
                let (token, incarnation) = (order.token, order.incarnation);
                let reply = self.core.order(order);
                if reply.accepted {
                    context.history.orders_taken.push(OrderTakenRecord {
                        at: now,
                        backend: BackendId(self.number),
                        incarnation,
                        token,
                    });
                }
                context.send(self.address(), from, Message::OrderReply(reply));
            }
            _ => {}
        }
        self.step(context);
    }

    fn wake(&mut self, context: &mut Context) {
        self.step(context);
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        if !self.alive {
            return None;
        }
        let weights = self.weights.iter().map(|(at, _)| *at);
        self.core.next_step_at().into_iter().chain(weights).min()
    }
}
