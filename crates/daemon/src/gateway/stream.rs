//! Output of an answer's tokens: collected into a plain response, or streamed to the
//! caller as server-sent events.

use async_channel::Sender;
use http_types::StatusCode;
use molespan_engine_api::{
    ATTEMPT_HEADER, ChatMessage, CompletionChoice, CompletionChunk, CompletionResponse,
    FinishReason, OUTCOME_HEADER, Usage,
};
use molespan_http::{EventWriter, Response, ServerEvent, event_response, json_response};
use molespan_types::{AttemptId, RunOutcome, ServiceName};
use serde::Serialize;

use super::answer::Token;
use super::error::ApiError;
use super::validation::CompletionForm;

/// Events buffered for a slow caller.
const STREAM_CAPACITY: usize = 64;
/// Name of the event that ends a stream with an error.
const ERROR_EVENT: &str = "error";

/// The caller disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CallerGone;

/// The destination of an answer's tokens.
#[derive(Debug)]
pub(super) struct AnswerSink {
    form: CompletionForm,
    service: ServiceName,
    attempt: Option<AttemptId>,
    /// Text so far; kept for plain answers and for claimed requests.
    text: Option<String>,
    tokens: u32,
    finish_reason: Option<FinishReason>,
    usage: Option<Usage>,
    live: Option<LiveStream>,
}

/// A caller that receives events as they are generated.
#[derive(Debug)]
struct LiveStream {
    /// Receives the response once, with its head.
    head: Sender<Response>,
    writer: Option<EventWriter>,
}

impl AnswerSink {
    /// Creates a sink that collects a plain answer.
    pub(super) fn plain(form: CompletionForm, service: &ServiceName) -> Self {
        Self {
            form,
            service: service.clone(),
            attempt: None,
            text: Some(String::new()),
            tokens: 0,
            finish_reason: None,
            usage: None,
            live: None,
        }
    }

    /// Creates a sink that streams tokens. The response is sent to `head` with the first
    /// token, so that an earlier failure can set its own status. `keep_text` also collects
    /// the text.
    pub(super) fn streamed(
        form: CompletionForm,
        service: &ServiceName,
        head: Sender<Response>,
        keep_text: bool,
    ) -> Self {
        Self {
            text: keep_text.then(String::new),
            live: Some(LiveStream { head, writer: None }),
            ..Self::plain(form, service)
        }
    }

    /// Number of tokens received; the offset at which an interrupted answer is resumed.
    pub(super) fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Number of tokens passed to the caller. A plain answer is only passed as a whole.
    pub(super) fn passed(&self) -> u32 {
        match self.live {
            Some(_) => self.tokens,
            None => 0,
        }
    }

    /// Sets the attempt that produces the answer.
    pub(super) fn name(&mut self, attempt: AttemptId) {
        self.attempt = Some(attempt);
    }

    /// Discards the received tokens, for an attempt that answers from the start.
    pub(super) fn restart(&mut self) {
        self.tokens = 0;
        if let Some(text) = &mut self.text {
            text.clear();
        }
    }

    /// Processes the next token.
    pub(super) async fn token(&mut self, token: Token) -> Result<(), CallerGone> {
        self.collect(&token.chunk);
        let Some(live) = &mut self.live else {
            return Ok(());
        };
        let writer = match &live.writer {
            Some(writer) => writer,
            None => {
                let (writer, response) = event_response(STREAM_CAPACITY);
                let response = with_attempt(response, self.attempt);
                live.head.try_send(response).map_err(|_| CallerGone)?;
                live.writer.insert(writer)
            }
        };
        let data = chunk_data(self.form, &self.service, &token.chunk);
        let event = ServerEvent::data(data);
        writer.send(&event).await.map_err(|_| CallerGone)
    }

    fn collect(&mut self, chunk: &CompletionChunk) {
        if let Some(text) = &mut self.text {
            text.push_str(&chunk.text);
        }
        self.tokens = chunk.offset + 1;
        self.finish_reason = chunk.finish_reason;
        self.usage = chunk.usage;
    }

    /// Returns the collected answer in its plain form.
    pub(super) fn plain_answer(&self) -> CompletionResponse {
        let text = self.text.clone().unwrap_or_default();
        let (text, message) = match self.form {
            CompletionForm::Text => (Some(text), None),
            CompletionForm::Chat => (None, Some(assistant_message(text))),
        };
        CompletionResponse {
            id: self.attempt.map(|id| id.to_string()).unwrap_or_default(),
            model: self.service.0.clone(),
            choices: vec![CompletionChoice {
                index: 0,
                text,
                message,
                finish_reason: self.finish_reason,
            }],
            usage: self.usage.unwrap_or_default(),
        }
    }

    /// Finishes a complete answer; returns the response of a plain one.
    pub(super) async fn finish(self) -> Option<Response> {
        if self.live.is_none() {
            let response = json_response(StatusCode::Ok, &self.plain_answer());
            let response = with_attempt(response, self.attempt);
            return Some(with_completed(response));
        }
        if let Some(writer) = self.live.and_then(|live| live.writer) {
            let _caller_gone = writer.finish_with_terminator().await;
        }
        None
    }

    /// Ends with an error: as an ordinary error response if no token was streamed yet,
    /// otherwise as an event after which the stream is truncated.
    pub(super) async fn fail(self, error: &ApiError) -> Option<Response> {
        let Some(live) = self.live else {
            return Some(error.response());
        };
        let Some(writer) = live.writer else {
            let _caller_gone = live.head.try_send(error.response());
            return None;
        };
        let event = ServerEvent {
            name: ERROR_EVENT.to_owned(),
            data: serde_json::to_string(&error.body()).unwrap_or_default(),
            ..ServerEvent::default()
        };
        let _caller_gone = writer.send(&event).await;
        let _caller_gone = writer.finish().await;
        None
    }

    /// Sends the recorded answer of an earlier submission.
    pub(super) async fn replay(self, recorded: &[u8]) -> Option<Response> {
        let Some(live) = self.live else {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(recorded.to_vec());
            response.insert_header("content-type", "application/json");
            return Some(with_completed(response));
        };
        let (writer, response) = event_response(STREAM_CAPACITY);
        if live.head.try_send(response).is_ok() {
            if let Some(event) = replayed_event(self.form, recorded) {
                let _caller_gone = writer.send(&event).await;
            }
            let _caller_gone = writer.finish_with_terminator().await;
        }
        None
    }
}

/// Converts a recorded plain answer to a single stream event.
fn replayed_event(form: CompletionForm, recorded: &[u8]) -> Option<ServerEvent> {
    let answer: CompletionResponse = serde_json::from_slice(recorded).ok()?;
    let choice = answer.choices.into_iter().next()?;
    let message = choice.message.map(|message| message.content);
    let chunk = CompletionChunk {
        id: answer.id,
        offset: 0,
        text: choice.text.or(message).unwrap_or_default(),
        finish_reason: choice.finish_reason,
        usage: Some(answer.usage),
    };
    let service = ServiceName(answer.model);
    Some(ServerEvent::data(chunk_data(form, &service, &chunk)))
}

/// One streamed token: the engine's fields, plus those of the OpenAI
/// format.
#[derive(Serialize)]
struct StreamedChunk<'a> {
    object: &'static str,
    model: &'a str,
    choices: [StreamedChoice<'a>; 1],
    #[serde(flatten)]
    chunk: &'a CompletionChunk,
}

/// The choice of a streamed chunk; chats use `delta`, other forms `text`.
#[derive(Serialize)]
struct StreamedChoice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<StreamedDelta<'a>>,
    finish_reason: Option<FinishReason>,
}

/// The addition of a chunk to a chat message.
#[derive(Serialize)]
struct StreamedDelta<'a> {
    content: &'a str,
}

fn chunk_data(form: CompletionForm, service: &ServiceName, chunk: &CompletionChunk) -> String {
    let content = chunk.text.as_str();
    let (object, text, delta) = match form {
        CompletionForm::Text => ("text_completion", Some(content), None),
        CompletionForm::Chat => {
            let delta = StreamedDelta { content };
            ("chat.completion.chunk", None, Some(delta))
        }
    };
    let streamed = StreamedChunk {
        object,
        model: service.as_str(),
        choices: [StreamedChoice {
            index: 0,
            text,
            delta,
            finish_reason: chunk.finish_reason,
        }],
        chunk,
    };
    // Serializing plain fields cannot fail.
    serde_json::to_string(&streamed).unwrap_or_default()
}

fn assistant_message(content: String) -> ChatMessage {
    ChatMessage {
        role: "assistant".to_owned(),
        content,
    }
}

fn with_attempt(mut response: Response, attempt: Option<AttemptId>) -> Response {
    if let Some(attempt) = attempt {
        response.insert_header(ATTEMPT_HEADER, attempt.to_string());
    }
    response
}

fn with_completed(mut response: Response) -> Response {
    response.insert_header(OUTCOME_HEADER, RunOutcome::Completed.to_string());
    response
}
