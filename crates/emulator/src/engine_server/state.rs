//! The engine core and the subscribers to its outputs.

use std::collections::{HashMap, VecDeque};

use async_channel::{Receiver, Sender};
use molespan_engine_api::{RequestState, RequestStatus, Usage};
use molespan_types::{RunOutcome, Timestamp};

use crate::engine::{Answer, AnswerText, AttemptKey, EngineCore, Output, Refusal, WeightsNeeded};
use crate::server::{StreamEnd, StreamEvent};

/// Number of recent answers kept for the `crossed` fault.
const MAX_RECENT_ANSWERS: usize = 8;
/// Attempt identifier in a crossed answer when no other attempt has completed yet.
const PLACEHOLDER_ATTEMPT: &str = "0-0";

/// Mutable state of an engine server.
pub struct EngineState {
    /// The engine core.
    pub core: EngineCore,
    subscribers: HashMap<AttemptKey, Vec<Sender<StreamEvent>>>,
    recent: VecDeque<Answer>,
}

impl EngineState {
    /// Creates a state without subscribers.
    pub fn new(core: EngineCore) -> Self {
        Self {
            core,
            subscribers: HashMap::new(),
            recent: VecDeque::new(),
        }
    }

    /// Crashes the core and drops all subscribers.
    pub fn crash(&mut self, now: Timestamp) {
        self.core.crash(now);
        self.subscribers.clear();
    }

    /// Advances the core and notifies the subscribers. Returns the weights to
    /// fetch.
    pub fn advance(&mut self, now: Timestamp) -> Vec<WeightsNeeded> {
        let mut weights = Vec::new();
        for output in self.core.step(now) {
            match output {
                Output::Token {
                    attempt, offset, ..
                } => self.notify(&attempt, StreamEvent::Generated(offset + 1)),
                Output::Completed { attempt, usage, .. } => {
                    self.retain_recent(now, &attempt);
                    self.notify_end(&attempt, StreamEnd::Completed(usage));
                }
                Output::Cancelled { attempt, outcome } => {
                    self.notify_end(&attempt, StreamEnd::Cancelled(outcome));
                }
                Output::FetchWeights(needed) => weights.push(needed),
            }
        }
        weights
    }

    /// Subscribes to the events of an attempt that was just submitted.
    pub fn subscribe(&mut self, attempt: &AttemptKey) -> Receiver<StreamEvent> {
        let (sender, receiver) = async_channel::unbounded();
        let subscribers = self.subscribers.entry(attempt.clone()).or_default();
        subscribers.push(sender);
        receiver
    }

    /// Returns the answer of an attempt and subscribes to its further events.
    /// The attempt may have ended.
    ///
    /// # Errors
    /// If there is no record of the attempt.
    pub fn resubscribe(
        &mut self,
        now: Timestamp,
        attempt: &str,
    ) -> Result<(Answer, Receiver<StreamEvent>), Refusal> {
        let answer = self.core.answer(now, attempt)?;
        let attempt: AttemptKey = attempt.into();
        if let Some(end) = stream_end(&answer) {
            return Ok((answer, ended_events(end)));
        }
        self.core.announce_tokens(&attempt);
        let events = self.subscribe(&attempt);
        if let Some(sender) = self.subscribers.get(&attempt).and_then(|list| list.last()) {
            let _ = sender.try_send(StreamEvent::Generated(answer.status.generated));
        }
        Ok((answer, events))
    }

    /// Returns the whole answer of an attempt other than `attempt`: the most
    /// recent one, or a made-up answer if there is none.
    pub fn crossed_answer(&self, attempt: &str) -> Answer {
        let other = self
            .recent
            .iter()
            .rev()
            .find(|answer| answer.status.id != attempt);
        other.cloned().unwrap_or_else(|| self.placeholder_answer())
    }

    fn placeholder_answer(&self) -> Answer {
        let usage = Usage {
            prompt_tokens: 1,
            completion_tokens: 4,
            cached_tokens: 0,
        };
        Answer {
            text: AnswerText::of_prompt(PLACEHOLDER_ATTEMPT),
            status: RequestStatus {
                id: PLACEHOLDER_ATTEMPT.to_owned(),
                state: RequestState::Completed,
                generated: usage.completion_tokens,
                incarnation: self.core.incarnation(),
            },
            max_tokens: usage.completion_tokens,
            usage,
        }
    }

    fn retain_recent(&mut self, now: Timestamp, attempt: &str) {
        let Ok(answer) = self.core.answer(now, attempt) else {
            return;
        };
        self.recent.push_back(answer);
        if self.recent.len() > MAX_RECENT_ANSWERS {
            self.recent.pop_front();
        }
    }

    fn notify(&mut self, attempt: &AttemptKey, event: StreamEvent) {
        if let Some(subscribers) = self.subscribers.get_mut(attempt) {
            // Drops the subscribers whose receiver was dropped.
            subscribers.retain(|subscriber| subscriber.try_send(event.clone()).is_ok());
        }
    }

    fn notify_end(&mut self, attempt: &AttemptKey, end: StreamEnd) {
        for subscriber in self.subscribers.remove(attempt).unwrap_or_default() {
            let _ = subscriber.try_send(StreamEvent::Ended(end));
        }
    }
}

/// Returns how an attempt ended, if it has ended.
fn stream_end(answer: &Answer) -> Option<StreamEnd> {
    match answer.status.state {
        RequestState::Completed => Some(StreamEnd::Completed(answer.usage)),
        RequestState::Cancelled => Some(StreamEnd::Cancelled(RunOutcome::Unknown)),
        _ => None,
    }
}

/// Returns an event stream that consists of `end` only.
pub fn ended_events(end: StreamEnd) -> Receiver<StreamEvent> {
    let (sender, receiver) = async_channel::bounded(1);
    let _ = sender.try_send(StreamEvent::Ended(end));
    receiver
}
