//! Calls on batch jobs, as a submitter makes them.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use molespan_engine_api::TENANT_HEADER;
use molespan_http::{ClientResponse, Method, Pool, Request, new_request};
use serde::{Deserialize, Serialize};

use super::caller::{refusal, unsent};
use crate::run::account::{CallOutcome, JobItems, ResultLine};

/// Longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;
/// A call that has no answer by then is given up and made again.
const CALL_PATIENCE: Duration = Duration::from_secs(30);
/// Tenant of batch jobs.
const TENANT: &str = "clerks";

/// Where a job stands, as far as the bench reads it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct JobSummary {
    /// Identifier.
    #[serde(alias = "job")]
    pub id: String,
    /// `submitting`, `running`, `cancelling`, `cancelled` or `completed`.
    #[serde(alias = "phase")]
    pub state: String,
    /// Items that have their answer.
    #[serde(default)]
    pub completed: u64,
}

impl JobSummary {
    /// Whether nothing of the job will run any more.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        matches!(self.state.as_str(), "completed" | "cancelled")
    }
}

/// One line of a job's body.
#[derive(Serialize)]
struct ItemLine<'a> {
    prompt: &'a str,
    max_tokens: u32,
}

/// A job in the form in which it is submitted.
#[derive(Clone, Debug)]
pub struct JobSubmission {
    path: String,
    body: String,
}

impl JobSubmission {
    /// Items for `service`, known by `key`.
    #[must_use]
    pub fn new(service: &str, key: &str, items: &JobItems) -> Self {
        let repeatable = items.repeatable;
        Self {
            path: format!("/v1/batches?service={service}&key={key}&repeatable={repeatable}"),
            body: job_body(items),
        }
    }
}

/// Submits jobs and asks about them.
#[derive(Clone, Debug)]
pub struct JobClient {
    pool: Pool,
}

impl JobClient {
    /// A client over `pool`.
    #[must_use]
    pub fn new(pool: Pool) -> Self {
        Self { pool }
    }

    /// Submits a job; the same submission may be sent again.
    ///
    /// # Errors
    ///
    /// How the call ended otherwise.
    pub async fn submit(
        &self,
        gateway: SocketAddr,
        submission: &JobSubmission,
    ) -> Result<JobSummary, CallOutcome> {
        let body = Some(submission.body.clone());
        self.call(Method::Post, gateway, &submission.path, body)
            .await
    }

    /// Where a job stands.
    ///
    /// # Errors
    ///
    /// How the call ended otherwise.
    pub async fn status(&self, gateway: SocketAddr, id: &str) -> Result<JobSummary, CallOutcome> {
        let path = format!("/v1/batches/{id}");
        self.call(Method::Get, gateway, &path, None).await
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// How the call ended otherwise.
    pub async fn cancel(&self, gateway: SocketAddr, id: &str) -> Result<JobSummary, CallOutcome> {
        let path = format!("/v1/batches/{id}/cancel");
        self.call(Method::Post, gateway, &path, None).await
    }

    /// All results of a job.
    ///
    /// # Errors
    ///
    /// How the call ended otherwise.
    pub async fn results(
        &self,
        gateway: SocketAddr,
        id: &str,
    ) -> Result<Vec<ResultLine>, CallOutcome> {
        let path = format!("/v1/batches/{id}/results");
        let response = self.send(Method::Get, gateway, &path, None).await?;
        let body = response.bytes(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|error| lost(&error))?;
        let lines = body.split(|byte| *byte == b'\n');
        lines
            .filter(|line| !line.is_empty())
            .map(|line| serde_json::from_slice(line).map_err(|error| malformed(&error)))
            .collect()
    }

    async fn call(
        &self,
        method: Method,
        gateway: SocketAddr,
        path: &str,
        body: Option<String>,
    ) -> Result<JobSummary, CallOutcome> {
        let response = self.send(method, gateway, path, body).await?;
        let summary = response.json(MAX_ANSWER_BYTES).await;
        summary.map_err(|error| malformed(&error))
    }

    async fn send(
        &self,
        method: Method,
        gateway: SocketAddr,
        path: &str,
        body: Option<String>,
    ) -> Result<ClientResponse, CallOutcome> {
        let request = job_request(method, gateway, path, body).map_err(|error| unsent(&error))?;
        let sending = async {
            let sent = self.pool.send(gateway, request).await;
            sent.map_err(|error| unsent(&error))
        };
        let patience = async {
            Timer::after(CALL_PATIENCE).await;
            Err(lost(&"no answer within the submitter's patience"))
        };
        let response = future::or(sending, patience).await?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(refusal(response).await)
    }
}

fn job_request(
    method: Method,
    gateway: SocketAddr,
    path: &str,
    body: Option<String>,
) -> Result<Request, molespan_http::SendError> {
    let mut request = new_request(method, gateway, path)?;
    request.insert_header(TENANT_HEADER, TENANT);
    if let Some(body) = body {
        request.set_body(body);
    }
    Ok(request)
}

/// The items as JSON lines.
fn job_body(items: &JobItems) -> String {
    let mut body = String::new();
    for prompt in &items.prompts {
        let line = ItemLine {
            prompt,
            max_tokens: items.answer_tokens,
        };
        // Neither a line of plain fields nor writing to a string can fail.
        let line = serde_json::to_string(&line).unwrap_or_default();
        let _ = writeln!(body, "{line}");
    }
    body
}

fn lost(cause: &impl std::fmt::Display) -> CallOutcome {
    CallOutcome::Lost {
        cause: cause.to_string(),
    }
}

fn malformed(error: &impl std::fmt::Display) -> CallOutcome {
    CallOutcome::Corrupted {
        detail: error.to_string(),
    }
}
