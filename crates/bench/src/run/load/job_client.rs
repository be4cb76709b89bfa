//! HTTP client for batch jobs.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use molespan_engine_api::TENANT_HEADER;
use molespan_http::{ClientResponse, Method, Pool, Request, new_request};
use serde::{Deserialize, Serialize};

use super::caller::{error_response_outcome, send_error_outcome};
use crate::run::account::{CallOutcome, JobItems, ResultLine};

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;
/// Timeout after which a call without a response is abandoned and retried.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Tenant of batch jobs.
const TENANT: &str = "clerks";

/// Job status, with the fields that the benchmark uses.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct JobSummary {
    /// Identifier of the job.
    #[serde(alias = "job")]
    pub id: String,
    /// Phase: `submitting`, `running`, `cancelling`, `cancelled` or `completed`.
    #[serde(alias = "phase")]
    pub state: String,
    /// Number of completed items.
    #[serde(default)]
    pub completed: u64,
}

impl JobSummary {
    /// Whether the job has ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        matches!(self.state.as_str(), "completed" | "cancelled")
    }
}

/// An item as a line of a job's body.
#[derive(Serialize)]
struct ItemLine<'a> {
    prompt: &'a str,
    max_tokens: u32,
}

/// Encoded submission of a job.
#[derive(Clone, Debug)]
pub struct JobSubmission {
    path: String,
    body: String,
}

impl JobSubmission {
    /// Encodes `items` for `service` under the idempotency key `key`.
    #[must_use]
    pub fn new(service: &str, key: &str, items: &JobItems) -> Self {
        let repeatable = items.repeatable;
        Self {
            path: format!("/v1/batches?service={service}&key={key}&repeatable={repeatable}"),
            body: job_body(items),
        }
    }
}

/// Submits, polls and cancels jobs.
#[derive(Clone, Debug)]
pub struct JobClient {
    pool: Pool,
}

impl JobClient {
    /// Creates a client that uses `pool`.
    #[must_use]
    pub fn new(pool: Pool) -> Self {
        Self { pool }
    }

    /// Submits a job. Submitting it again is safe.
    ///
    /// # Errors
    ///
    /// Returns the outcome of a failed call.
    pub async fn submit(
        &self,
        gateway: SocketAddr,
        submission: &JobSubmission,
    ) -> Result<JobSummary, CallOutcome> {
        let body = Some(submission.body.clone());
        self.call(Method::Post, gateway, &submission.path, body)
            .await
    }

    /// Returns the status of a job.
    ///
    /// # Errors
    ///
    /// Returns the outcome of a failed call.
    pub async fn status(&self, gateway: SocketAddr, id: &str) -> Result<JobSummary, CallOutcome> {
        let path = format!("/v1/batches/{id}");
        self.call(Method::Get, gateway, &path, None).await
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// Returns the outcome of a failed call.
    pub async fn cancel(&self, gateway: SocketAddr, id: &str) -> Result<JobSummary, CallOutcome> {
        let path = format!("/v1/batches/{id}/cancel");
        self.call(Method::Post, gateway, &path, None).await
    }

    /// Returns all results of a job.
    ///
    /// # Errors
    ///
    /// Returns the outcome of a failed call.
    pub async fn results(
        &self,
        gateway: SocketAddr,
        id: &str,
    ) -> Result<Vec<ResultLine>, CallOutcome> {
        let path = format!("/v1/batches/{id}/results");
        let response = self.send(Method::Get, gateway, &path, None).await?;
        let body = response.bytes(MAX_RESPONSE_BYTES).await;
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
        let summary = response.json(MAX_RESPONSE_BYTES).await;
        summary.map_err(|error| malformed(&error))
    }

    async fn send(
        &self,
        method: Method,
        gateway: SocketAddr,
        path: &str,
        body: Option<String>,
    ) -> Result<ClientResponse, CallOutcome> {
        let request =
            job_request(method, gateway, path, body).map_err(|error| send_error_outcome(&error))?;
        let sending = async {
            let sent = self.pool.send(gateway, request).await;
            sent.map_err(|error| send_error_outcome(&error))
        };
        let timeout = async {
            Timer::after(CALL_TIMEOUT).await;
            Err(lost(&"no answer within the submitter's patience"))
        };
        let response = future::or(sending, timeout).await?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(error_response_outcome(response).await)
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

/// Encodes the items as JSON lines.
fn job_body(items: &JobItems) -> String {
    let mut body = String::new();
    for prompt in &items.prompts {
        let line = ItemLine {
            prompt,
            max_tokens: items.answer_tokens,
        };
        // Serializing plain fields and writing to a string cannot fail.
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
