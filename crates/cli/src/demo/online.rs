//! Online step of the demo: plain, streamed, chat and application requests.

use std::time::{Duration, Instant};

use async_executor::Task;
use async_io::Timer;
use molespan_emulator::engine::chat_prompt;
use molespan_emulator::expected_answer;
use molespan_engine_api::{
    CHAT_COMPLETIONS_PATH, COMPLETIONS_PATH, ChatCompletionRequest, ChatMessage, CompletionChunk,
    CompletionRequest, CompletionResponse,
};
use molespan_types::RunOutcome;

use super::fleet::DemoFleet;
use super::guide::Guide;
use super::operator::{ALBUM_SERVICE, CAPTION_SERVICE};
use super::report::DemoReport;
use crate::client::{Call, Client};
use crate::error::CliError;

/// Number of requests per form.
const REQUESTS_PER_FORM: u32 = 10;
/// Number of tokens per response.
const TOKENS: u32 = 32;
/// How long a request that was rejected without being run is retried.
const RETRY_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before a retry if the rejection gives none.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// API form of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Form {
    /// A completion without streaming.
    Plain,
    /// A completion streamed as server-sent events.
    Streamed,
    /// A chat completion without streaming.
    Chat,
}

/// Outcome of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Outcome {
    form: Form,
    /// Rejections before the response.
    refusals: u32,
    /// Whether the response is complete and matches the request.
    correct: bool,
}

impl Outcome {
    /// Whether the response is complete and matches the request.
    pub(super) fn is_correct(&self) -> bool {
        self.correct
    }
}

/// Sends requests of every form to every gateway.
pub(super) async fn serve(
    fleet: &DemoFleet,
    guide: &mut Guide<'_>,
    report: &mut DemoReport,
) -> Result<(), CliError> {
    guide.chapter("Callers send online requests");
    let started = Instant::now();
    let mut tasks = Vec::new();
    for form in [Form::Plain, Form::Streamed, Form::Chat] {
        tasks.extend(send_all(fleet, form, REQUESTS_PER_FORM, "photograph"));
    }
    count(tasks, report).await?;
    guide.print(format!(
        "{} of {} completed through {} gateways in {} ms, {} of them streamed; each answer was \
         compared with the one it must be",
        report.online_completed,
        report.online_requests,
        fleet.gateways.len(),
        started.elapsed().as_millis(),
        report.online_streamed
    ));
    send_application_requests(fleet, report).await?;
    guide.print(format!(
        "{} requests went through to the application service {ALBUM_SERVICE}",
        report.application_completed
    ));
    Ok(())
}

/// Sends `number` concurrent requests, spread over the gateways.
pub(super) fn send_all(
    fleet: &DemoFleet,
    form: Form,
    number: u32,
    subject: &str,
) -> Vec<Task<Result<Outcome, CliError>>> {
    let send = |position: u32| {
        let client = fleet.client_of(position as usize);
        let prompt = format!("{form:?} request about {subject} {position} of the family archive");
        fleet
            .executor
            .spawn(send_with_retries(client, form, prompt, TOKENS))
    };
    (0..number).map(send).collect()
}

/// Waits for the outcomes and adds them to the report. Returns the number of correct responses.
pub(super) async fn count(
    tasks: Vec<Task<Result<Outcome, CliError>>>,
    report: &mut DemoReport,
) -> Result<u32, CliError> {
    let mut correct = 0;
    for task in tasks {
        report.online_requests += 1;
        let outcome = task.await?;
        report.online_refusals += outcome.refusals;
        if !outcome.correct {
            report.online_wrong += 1;
            continue;
        }
        correct += 1;
        report.online_completed += 1;
        if outcome.form == Form::Streamed {
            report.online_streamed += 1;
        }
    }
    Ok(correct)
}

/// Sends a request and retries it while it is rejected without being run.
pub(super) async fn send_with_retries(
    client: Client,
    form: Form,
    prompt: String,
    tokens: u32,
) -> Result<Outcome, CliError> {
    let started = Instant::now();
    let mut refusals = 0;
    loop {
        match send_once(&client, form, &prompt, tokens).await {
            Ok(correct) => {
                return Ok(Outcome {
                    form,
                    refusals,
                    correct,
                });
            }
            Err(CliError::Refused(detail))
                if detail.outcome == RunOutcome::NotRun && started.elapsed() < RETRY_TIMEOUT =>
            {
                refusals += 1;
                let wait = detail.retry_after_ms.map(Duration::from_millis);
                Timer::after(wait.unwrap_or(DEFAULT_RETRY_DELAY)).await;
            }
            Err(error) => return Err(error),
        }
    }
}

/// Sends one request and compares the response with the expected one.
async fn send_once(
    client: &Client,
    form: Form,
    prompt: &str,
    tokens: u32,
) -> Result<bool, CliError> {
    match form {
        Form::Plain => send_plain(client, prompt, tokens).await,
        Form::Streamed => send_streamed(client, prompt, tokens).await,
        Form::Chat => send_chat(client, prompt, tokens).await,
    }
}

fn completion(prompt: &str, tokens: u32, stream: bool) -> Result<Call, CliError> {
    let request = CompletionRequest {
        model: CAPTION_SERVICE.to_owned(),
        prompt: prompt.to_owned(),
        max_tokens: tokens,
        stream,
        adapter: None,
    };
    let body = serde_json::to_vec(&request).map_err(std::io::Error::from)?;
    Ok(Call::post(COMPLETIONS_PATH, body))
}

async fn send_plain(client: &Client, prompt: &str, tokens: u32) -> Result<bool, CliError> {
    let call = completion(prompt, tokens, false)?;
    let response: CompletionResponse = client.json(&call).await?;
    let text = response
        .choices
        .first()
        .and_then(|choice| choice.text.as_deref());
    Ok(text == Some(expected_answer(prompt, tokens).as_str()))
}

async fn send_streamed(client: &Client, prompt: &str, tokens: u32) -> Result<bool, CliError> {
    let call = completion(prompt, tokens, true)?;
    let mut events = client.send(&call).await?.events();
    let broken = |what: String| CliError::Unexpected {
        gateway: "the gateway".to_owned(),
        what,
    };
    let mut text = String::new();
    while let Some(event) = events
        .next()
        .await
        .map_err(|error| broken(error.to_string()))?
    {
        let chunk: CompletionChunk = serde_json::from_str(&event.data)
            .map_err(|error| broken(format!("{error} in {}", event.data)))?;
        text.push_str(&chunk.text);
    }
    Ok(text == expected_answer(prompt, tokens))
}

async fn send_chat(client: &Client, prompt: &str, tokens: u32) -> Result<bool, CliError> {
    let request = ChatCompletionRequest {
        model: CAPTION_SERVICE.to_owned(),
        messages: vec![ChatMessage {
            role: "user".to_owned(),
            content: prompt.to_owned(),
        }],
        max_tokens: tokens,
        stream: false,
    };
    let body = serde_json::to_vec(&request).map_err(std::io::Error::from)?;
    let call = Call::post(CHAT_COMPLETIONS_PATH, body);
    let response: CompletionResponse = client.json(&call).await?;
    let choice = response.choices.first();
    let message = choice.and_then(|choice| choice.message.as_ref());
    let expected = expected_answer(&chat_prompt(&request.messages), tokens);
    Ok(message.is_some_and(|message| message.content == expected))
}

/// Sends a request to the application service through every gateway.
async fn send_application_requests(
    fleet: &DemoFleet,
    report: &mut DemoReport,
) -> Result<(), CliError> {
    for number in 0..fleet.gateways.len() {
        let path = format!("/services/{ALBUM_SERVICE}/albums/{number}");
        fleet.client_of(number).text(&Call::get(path)).await?;
        report.application_completed += 1;
    }
    Ok(())
}
