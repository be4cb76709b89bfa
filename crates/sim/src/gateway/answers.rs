//! Engine answers to online requests, and timeouts.

use std::sync::Arc;
use std::time::Duration;

use molespan_engine_api::RequestState as EngineRequestState;
use molespan_membership::WorkResult;
use molespan_routing::batch::BatchInput;
use molespan_routing::pick::Finish;
use molespan_routing::retry::{
    AttemptEnd, AttemptRef, NextStep, StatusAnswer, check_attempt, check_length,
};
use molespan_types::RunOutcome;

use super::online::{Exchange, OnlineId};
use super::process::Process;
use crate::context::Context;
use crate::message::{ClientReply, ConnectionId, EngineAnswer};

/// Idle time after which the connection of an attempt is abandoned.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of a status query about an attempt.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

impl Process {
    pub(super) fn online_answered(
        &mut self,
        context: &mut Context,
        id: OnlineId,
        connection: ConnectionId,
        answer: EngineAnswer,
    ) {
        let now = self.now(context);
        let Some(online) = self.online.get_mut(&id) else {
            return;
        };
        let Some(exchange) = online.exchange.as_mut() else {
            return;
        };
        if exchange.connection != connection {
            return;
        }
        exchange.active = now;
        if exchange.status_query {
            let attempt = exchange.attempt;
            let status = status_answer(attempt, &answer);
            return self.status_answered(context, id, status);
        }
        if let Some(end) = self.attempt_answered(context, id, answer) {
            self.attempt_ended(context, id, end);
        }
    }

    /// Handles an answer on the connection of an attempt. Returns how the attempt ended, if
    /// it did.
    fn attempt_answered(
        &mut self,
        context: &mut Context,
        id: OnlineId,
        answer: EngineAnswer,
    ) -> Option<AttemptEnd> {
        let online = self.online.get_mut(&id)?;
        let exchange = online.exchange.as_mut()?;
        let expected = exchange.attempt;
        match answer {
            EngineAnswer::Chunk(chunk) => {
                if exchange.check.chunk(&chunk).is_err() {
                    return Some(AttemptEnd::Broken);
                }
                online.text.push_str(&chunk.text);
                online.state.passed(chunk.offset + 1);
                let (client, arrival) = (online.client, online.arrival);
                let reply = ClientReply::Chunk {
                    offset: chunk.offset,
                    text: chunk.text,
                };
                self.reply(context, client, arrival, reply);
                self.record_first_answer(context, id);
                None
            }
            EngineAnswer::Terminator => {
                exchange.check.terminator();
                Some(stream_end(exchange))
            }
            EngineAnswer::Closed => Some(stream_end(exchange)),
            EngineAnswer::Whole {
                attempt,
                declared,
                text,
            } => {
                let own = check_attempt(expected.attempt, Some(&attempt));
                let whole = check_length(Some(declared), text.len() as u64, true);
                if own.is_err() || whole.is_err() {
                    return Some(AttemptEnd::Broken);
                }
                online.text = text;
                self.record_first_answer(context, id);
                Some(AttemptEnd::Completed)
            }
            EngineAnswer::Refused {
                attempt, outcome, ..
            } => {
                let own = check_attempt(expected.attempt, Some(&attempt));
                Some(match outcome {
                    _ if own.is_err() => AttemptEnd::Broken,
                    _ if exchange.resumed => AttemptEnd::Lost,
                    RunOutcome::NotRun => AttemptEnd::DeclaredNotRun,
                    RunOutcome::Completed | RunOutcome::Unknown => AttemptEnd::Broken,
                })
            }
            EngineAnswer::ConnectionRefused if !exchange.resumed => Some(AttemptEnd::NotSent),
            EngineAnswer::ConnectionRefused | EngineAnswer::Broken => Some(AttemptEnd::Broken),
            EngineAnswer::Status { .. } => None,
        }
    }

    /// Records the first part of an answer.
    fn record_first_answer(&mut self, context: &mut Context, id: OnlineId) {
        let now = self.now(context);
        let Some(online) = self.online.get_mut(&id) else {
            return;
        };
        let first = !std::mem::replace(&mut online.answered, true);
        let Some((backend, since)) = online.in_flight_on.filter(|_| first) else {
            return;
        };
        let incarnation = online.exchange.as_ref().map(|one| one.attempt.incarnation);
        let after = now.since(since);
        self.batch_input(context, BatchInput::OnlineFirstToken { backend, after });
        if let Some(incarnation) = incarnation {
            self.report_work(context, backend, incarnation, WorkResult::Answered(after));
        }
    }

    fn attempt_ended(&mut self, context: &mut Context, id: OnlineId, end: AttemptEnd) {
        let now = self.now(context);
        let Some(online) = self.online.get_mut(&id) else {
            return;
        };
        let exchange = online.exchange.take();
        let step = online.state.ended(now, end, &mut self.budget);
        if let Some(exchange) = exchange {
            self.connections.remove(&exchange.connection);
            if end != AttemptEnd::Completed && end != AttemptEnd::DeclaredNotRun {
                let AttemptRef {
                    backend,
                    incarnation,
                    ..
                } = exchange.attempt;
                self.report_work(context, backend, incarnation, WorkResult::Failed);
            }
        }
        if !matches!(step, NextStep::Resume { .. } | NextStep::AskStatus { .. }) {
            self.release_engine(context, id);
        }
        self.apply_step(context, id, step);
    }

    /// Stops counting the request as in flight on its engine.
    fn release_engine(&mut self, context: &mut Context, id: OnlineId) {
        let now = self.now(context);
        let Some(online) = self.online.get_mut(&id) else {
            return;
        };
        online.answered = false;
        let Some((backend, since)) = online.in_flight_on.take() else {
            return;
        };
        let plan = Arc::clone(&online.plan);
        if let Some(picker) = self.pickers.get_mut(&plan.service) {
            picker.finished(now, backend, since, Finish::Other);
        }
        self.batch_input(context, BatchInput::OnlineFinished { backend });
        self.notify_owner(context, &plan, backend, 0);
    }

    fn status_answered(&mut self, context: &mut Context, id: OnlineId, answer: StatusAnswer) {
        let now = self.now(context);
        let Some(online) = self.online.get_mut(&id) else {
            return;
        };
        if let Some(exchange) = online.exchange.take() {
            self.connections.remove(&exchange.connection);
        }
        let step = online.state.status(now, answer, &mut self.budget);
        if !matches!(step, NextStep::Resume { .. } | NextStep::AskStatus { .. }) {
            self.release_engine(context, id);
        }
        self.apply_step(context, id, step);
    }

    pub(super) fn tick_online(&mut self, context: &mut Context) {
        let now = self.now(context);
        let outputs = self.admission.tick(now);
        self.admission_changed(context, outputs);
        let idle: Vec<(OnlineId, bool)> = self
            .online
            .iter()
            .filter_map(|(id, online)| {
                let exchange = online.exchange.as_ref()?;
                let limit = if exchange.status_query {
                    STATUS_TIMEOUT
                } else {
                    IDLE_TIMEOUT
                };
                let idle = now.since(exchange.active) >= limit;
                idle.then_some((*id, exchange.status_query))
            })
            .collect();
        for (id, status_query) in idle {
            if status_query {
                self.status_answered(context, id, StatusAnswer::NoAnswer);
            } else {
                self.attempt_ended(context, id, AttemptEnd::Broken);
            }
        }
    }
}

/// Returns how a stream ended that the engine closed.
fn stream_end(exchange: &Exchange) -> AttemptEnd {
    match exchange.check.end() {
        Ok(()) => AttemptEnd::Completed,
        Err(_) => AttemptEnd::Broken,
    }
}

/// Interprets an engine's answer to a status query about an attempt that was sent
/// to one incarnation.
fn status_answer(attempt: AttemptRef, answer: &EngineAnswer) -> StatusAnswer {
    match answer {
        EngineAnswer::Status { incarnation, .. } if *incarnation != attempt.incarnation => {
            StatusAnswer::OtherLife
        }
        EngineAnswer::Status {
            state: EngineRequestState::Cancelled,
            ..
        } => StatusAnswer::Cancelled,
        EngineAnswer::Status { .. } => StatusAnswer::Present,
        EngineAnswer::Refused {
            unknown_to: Some(life),
            outcome: RunOutcome::NotRun,
            ..
        } => {
            if *life == attempt.incarnation {
                StatusAnswer::NeverSeen
            } else {
                StatusAnswer::OtherLife
            }
        }
        _ => StatusAnswer::NoAnswer,
    }
}
