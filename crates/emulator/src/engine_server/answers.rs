//! Submission of completions and their responses.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_channel::Receiver;
use http_types::{Body, Request, Response, StatusCode};
use molespan_engine_api::{
    ATTEMPT_HEADER, ChatCompletionRequest, ChatMessage, CompletionChoice, CompletionRequest,
    CompletionResponse, FinishReason, INCARNATION_HEADER, PRIORITY_HEADER, RESUME_OFFSET_HEADER,
};
use molespan_types::{Incarnation, Priority, RunOutcome};

use super::EngineServer;
use super::state::ended_events;
use crate::engine::{Answer, AttemptKey, Refusal, Submission, chat_prompt};
use crate::faults::AnswerFault;
use crate::server::{
    EventBody, StreamEnd, StreamEvent, StreamFaults, error_reply, header, json_reply, read_json,
};

/// Counter for naming attempts without an identifier.
static ANONYMOUS_ATTEMPTS: AtomicU64 = AtomicU64::new(0);

/// Response format of a completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerForm {
    /// Text completion.
    Text,
    /// Chat completion.
    Chat,
}

/// A parsed completion request.
struct ParsedCompletion {
    submission: Submission,
    form: AnswerForm,
    model: String,
}

impl EngineServer {
    /// Runs one completion.
    pub(super) async fn complete(
        self: Arc<Self>,
        mut request: Request,
        form: AnswerForm,
        fault: Option<AnswerFault>,
    ) -> http_types::Result<Response> {
        let attempt = attempt_of(&request);
        let parsed = match read_completion(&mut request, form, &attempt).await? {
            Ok(parsed) => parsed,
            Err(reply) => return Ok(self.add_headers(reply, &attempt)),
        };
        let stream = parsed.submission.stream;
        let max_tokens = parsed.submission.max_tokens.max(1);
        let model = parsed.model.clone();
        let events = match self.submit(parsed.submission) {
            Ok(events) => events,
            Err(refusal) => return Ok(self.refusal_reply(&refusal, &attempt)),
        };
        if fault == Some(AnswerFault::AcceptThenDie) {
            return Err(closed_connection());
        }
        if stream {
            return self.stream_answer(&attempt, events, fault, max_tokens);
        }
        match wait_for_end(&events).await {
            Some(StreamEnd::Completed(_)) => self.plain_answer(&attempt, model, parsed.form, fault),
            Some(StreamEnd::Cancelled(outcome)) => Ok(self.cancelled(&attempt, outcome)),
            // The engine crashed.
            None => Err(closed_connection()),
        }
    }

    /// Streams the answer of an earlier attempt, starting at token `offset`.
    pub(super) fn resume_stream(
        &self,
        attempt: &str,
        offset: u32,
        fault: Option<AnswerFault>,
    ) -> http_types::Result<Response> {
        let now = self.now();
        let resubscribed = self.lock().resubscribe(now, attempt);
        let (answer, events) = match resubscribed {
            Ok(resubscribed) => resubscribed,
            Err(refusal) => return Ok(self.refusal_reply(&refusal, attempt)),
        };
        if answer.status.state == molespan_engine_api::RequestState::Cancelled {
            return Ok(self.cancelled(attempt, RunOutcome::Unknown));
        }
        if offset >= answer.max_tokens {
            let message = "the offset lies behind the end of the answer";
            let reply = error_reply(400, "bad_offset", message, RunOutcome::Unknown, None);
            return Ok(self.add_headers(reply, attempt));
        }
        let faults = stream_faults(fault, answer.max_tokens);
        Ok(self.event_reply(&answer, offset, events, faults))
    }

    /// Returns the error response for a refusal.
    pub(super) fn refusal_reply(&self, refusal: &Refusal, attempt: &str) -> Response {
        let reply = error_reply(
            refusal.status(),
            refusal.code(),
            &refusal.to_string(),
            refusal.outcome(),
            refusal.retry_after_ms(),
        );
        self.add_headers(reply, attempt)
    }

    /// Adds the headers common to all responses.
    pub(super) fn add_headers(&self, mut response: Response, attempt: &str) -> Response {
        let Incarnation(incarnation) = self.lock().core.incarnation();
        response.insert_header(INCARNATION_HEADER, incarnation.to_string());
        if !attempt.is_empty() {
            response.insert_header(ATTEMPT_HEADER, attempt);
        }
        response
    }

    fn submit(&self, submission: Submission) -> Result<Receiver<StreamEvent>, Refusal> {
        let attempt = submission.attempt.clone();
        let mut state = self.lock();
        let before = state.core.next_step_at();
        state.core.submit(self.now(), submission)?;
        let events = state.subscribe(&attempt);
        let changed = before != state.core.next_step_at();
        drop(state);
        if changed {
            let _ = self.wake.try_send(());
        }
        Ok(events)
    }

    fn plain_answer(
        &self,
        attempt: &str,
        model: String,
        form: AnswerForm,
        fault: Option<AnswerFault>,
    ) -> http_types::Result<Response> {
        let now = self.now();
        let mut state = self.lock();
        let answer = match fault {
            Some(AnswerFault::Crossed) => state.crossed_answer(attempt),
            _ => state
                .core
                .answer(now, attempt)
                .map_err(|_| closed_connection())?,
        };
        drop(state);
        let body = CompletionResponse {
            id: answer.status.id.clone(),
            model,
            choices: vec![choice(&answer, form)],
            usage: answer.usage,
        };
        Ok(self.add_headers(json_reply(200, &body), &answer.status.id))
    }

    fn stream_answer(
        &self,
        attempt: &str,
        events: Receiver<StreamEvent>,
        fault: Option<AnswerFault>,
        max_tokens: u32,
    ) -> http_types::Result<Response> {
        if fault == Some(AnswerFault::Crossed) {
            let other = self.lock().crossed_answer(attempt);
            let end = ended_events(StreamEnd::Completed(other.usage));
            return Ok(self.event_reply(&other, 0, end, StreamFaults::default()));
        }
        let now = self.now();
        let answer = self.lock().core.answer(now, attempt);
        let answer = answer.map_err(|_| closed_connection())?;
        let faults = stream_faults(fault, max_tokens);
        Ok(self.event_reply(&answer, 0, events, faults))
    }

    fn event_reply(
        &self,
        answer: &Answer,
        offset: u32,
        events: Receiver<StreamEvent>,
        faults: StreamFaults,
    ) -> Response {
        let body = EventBody::new(answer, offset, events, faults);
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(Body::from_reader(body, None));
        response.insert_header("content-type", "text/event-stream");
        response.insert_header(RESUME_OFFSET_HEADER, offset.to_string());
        self.add_headers(response, &answer.status.id)
    }

    fn cancelled(&self, attempt: &str, outcome: RunOutcome) -> Response {
        let message = "the attempt was cancelled";
        let reply = error_reply(409, "cancelled", message, outcome, None);
        self.add_headers(reply, attempt)
    }
}

/// Returns the faults that affect the events of a stream of `tokens` tokens.
fn stream_faults(fault: Option<AnswerFault>, tokens: u32) -> StreamFaults {
    let middle = tokens / 2;
    StreamFaults {
        break_before: (fault == Some(AnswerFault::Truncated)).then_some(middle),
        repeat: (fault == Some(AnswerFault::DuplicatedEvent)).then_some(middle),
    }
}

fn choice(answer: &Answer, form: AnswerForm) -> CompletionChoice {
    let text = answer.text.first(answer.status.generated);
    let (text, message) = match form {
        AnswerForm::Text => (Some(text), None),
        AnswerForm::Chat => (None, Some(assistant_message(text))),
    };
    CompletionChoice {
        index: 0,
        text,
        message,
        finish_reason: Some(FinishReason::Length),
    }
}

fn assistant_message(content: String) -> ChatMessage {
    ChatMessage {
        role: "assistant".to_owned(),
        content,
    }
}

async fn wait_for_end(events: &Receiver<StreamEvent>) -> Option<StreamEnd> {
    loop {
        match events.recv().await {
            Ok(StreamEvent::Generated(_)) => {}
            Ok(StreamEvent::Ended(end)) => return Some(end),
            Err(_) => return None,
        }
    }
}

async fn read_completion(
    request: &mut Request,
    form: AnswerForm,
    attempt: &str,
) -> http_types::Result<Result<ParsedCompletion, Response>> {
    let priority = match header(request, PRIORITY_HEADER).as_deref() {
        Some("batch") => Priority::Batch,
        _ => Priority::Online,
    };
    let body = match form {
        AnswerForm::Text => read_json::<CompletionRequest>(request).await?,
        AnswerForm::Chat => {
            let chat = read_json::<ChatCompletionRequest>(request).await?;
            chat.map(completion_of_chat)
        }
    };
    Ok(body.map(|body| ParsedCompletion {
        model: body.model.clone(),
        form,
        submission: submission(body, priority, attempt.into()),
    }))
}

fn completion_of_chat(chat: ChatCompletionRequest) -> CompletionRequest {
    CompletionRequest {
        model: chat.model,
        prompt: chat_prompt(&chat.messages),
        max_tokens: chat.max_tokens,
        stream: chat.stream,
        adapter: None,
    }
}

fn submission(body: CompletionRequest, priority: Priority, attempt: AttemptKey) -> Submission {
    Submission {
        attempt,
        priority,
        model: body.model,
        adapter: body.adapter,
        prompt: body.prompt,
        max_tokens: body.max_tokens,
        stream: body.stream,
    }
}

fn attempt_of(request: &Request) -> String {
    header(request, ATTEMPT_HEADER).unwrap_or_else(|| {
        let number = ANONYMOUS_ATTEMPTS.fetch_add(1, Ordering::Relaxed);
        format!("anonymous-{number}")
    })
}

/// Returns the error that closes the connection without a response.
fn closed_connection() -> http_types::Error {
    http_types::Error::from_str(StatusCode::InternalServerError, "connection broken")
}
