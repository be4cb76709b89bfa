//! HTTP API of batch jobs: status, results, cancellation and listing.

use std::sync::Arc;

use http_types::StatusCode;
use molespan_http::{EventWriter, Request, Response, event_response, json_response};
use molespan_state::job::{ItemOutcome, ItemRecord, JobPhase, JobReply, JobStatus};
use molespan_telemetry::EventKind;
use molespan_types::{GroupId, ItemIndex, JobId, ServiceName, TenantId};
use serde::{Deserialize, Serialize};

use super::batch_submission::unfinished;
use super::error::ApiError;
use super::state::GatewayState;
use super::validation::query_number;
use crate::cluster::ResultPage;

/// Path of the batch job API.
pub(super) const BATCHES_PATH: &str = "/v1/batches";
/// Results read from the group per page.
const RESULTS_PER_PAGE: u32 = 500;
/// Result pages buffered for a slow caller.
const RESULT_BUFFER: usize = 4;
/// Default number of jobs in a listing.
const LISTED_JOBS: u32 = 100;
/// Maximum number of jobs in a listing.
const MAX_LISTED_JOBS: u64 = 10_000;

/// A job as shown to callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Identifier used in every other call.
    pub id: String,
    /// `submitting`, `running`, `cancelling`, `cancelled` or `completed`.
    pub state: JobPhase,
    /// Total number of items.
    pub items: u32,
    /// Items received so far.
    pub received: u32,
    /// Items that completed with an answer.
    pub completed: u32,
    /// Items that were permanently rejected.
    pub failed: u32,
    /// Items that may have run once and whose answer was lost.
    pub unknown: u32,
    /// Items currently leased to run on engines.
    pub leased: u32,
    /// Tenant that submitted the job.
    pub tenant: TenantId,
    /// The idempotency key of the submission.
    pub key: String,
    /// Service that runs the job.
    pub service: ServiceName,
    /// Deadline in seconds since the Unix epoch.
    pub deadline_unix_seconds: u64,
}

impl From<JobStatus> for JobView {
    fn from(status: JobStatus) -> Self {
        Self {
            id: status.job.to_string(),
            state: status.phase,
            items: status.item_count,
            received: status.received,
            completed: status.completed,
            failed: status.failed,
            unknown: status.unknown,
            leased: status.leased,
            tenant: status.tenant,
            key: status.key,
            service: status.service,
            deadline_unix_seconds: status.deadline_unix_seconds,
        }
    }
}

/// One line of a result listing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultLine {
    /// Position of the item in its job, from 0.
    pub item: u32,
    /// `completed`, `failed` or `unknown`.
    pub outcome: String,
    /// Generated text, or the reason for a failure.
    pub text: String,
}

impl From<ItemRecord> for ResultLine {
    fn from(record: ItemRecord) -> Self {
        let outcome = match record.outcome {
            ItemOutcome::Completed => "completed",
            ItemOutcome::Failed => "failed",
            ItemOutcome::Unknown => "unknown",
        };
        Self {
            item: record.item.0,
            outcome: outcome.to_owned(),
            text: String::from_utf8_lossy(&record.payload).into_owned(),
        }
    }
}

pub(super) fn job_status(reply: JobReply) -> Result<JobStatus, ApiError> {
    match reply {
        JobReply::Job(status) => Ok(status),
        JobReply::KeyConflict { .. } => Err(ApiError::not_run(
            StatusCode::Conflict,
            "key_conflict",
            "the job key was used for another submission",
        )),
        JobReply::UnknownJob => Err(unknown_job()),
        JobReply::WrongPhase { phase, .. } => Err(ApiError::not_run(
            StatusCode::Conflict,
            "wrong_phase",
            format!("the job is {phase}"),
        )),
        other => Err(unfinished(&format!("unexpected reply {other:?}"))),
    }
}

fn unknown_job() -> ApiError {
    ApiError::not_found("unknown_job", "there is no such job")
}

/// Serves a path below [`BATCHES_PATH`]: `ID`, `ID/results`, `ID/cancel`.
pub(super) async fn on_job(
    state: &Arc<GatewayState>,
    request: &Request,
    rest: &str,
) -> Result<Response, ApiError> {
    let (id, action) = rest.split_once('/').unwrap_or((rest, ""));
    let job = JobId::parse(id).ok_or_else(unknown_job)?;
    let group = job.group(state.options.job_groups);
    match (request.method(), action) {
        (http_types::Method::Get, "") => {
            let status = state.cluster.job_status(group, job).await?;
            let status = status.ok_or_else(unknown_job)?;
            Ok(json_response(StatusCode::Ok, &JobView::from(status)))
        }
        (http_types::Method::Get, "results") => results(state, request, group, job).await,
        (http_types::Method::Post, "cancel") => {
            let status = job_status(state.cluster.cancel_job(group, job).await?)?;
            state.events.record(
                EventKind::Job,
                job.to_string(),
                "cancelled by its caller",
                [("phase", status.phase.to_string().into())],
            );
            Ok(json_response(StatusCode::Ok, &JobView::from(status)))
        }
        _ => Err(ApiError::not_found("unknown_path", "there is no such path")),
    }
}

/// Lists jobs of all groups, newest first within each group.
pub(super) async fn list(
    state: &Arc<GatewayState>,
    request: &Request,
) -> Result<Response, ApiError> {
    let limit = query_number(request, "limit")?.unwrap_or(u64::from(LISTED_JOBS));
    let limit = limit.min(MAX_LISTED_JOBS) as u32;
    let jobs = state.list_jobs(limit).await?;
    Ok(json_response(StatusCode::Ok, &jobs))
}

impl GatewayState {
    /// Returns the newest jobs of every group.
    pub(super) async fn list_jobs(&self, limit: u32) -> Result<Vec<JobView>, ApiError> {
        let mut jobs = Vec::new();
        for group in 1..=self.options.job_groups {
            let found = self.cluster.list_jobs(GroupId(group), limit).await?;
            jobs.extend(found.into_iter().map(JobView::from));
        }
        jobs.truncate(limit as usize);
        Ok(jobs)
    }
}

/// Streams results as JSON lines, one page at a time.
async fn results(
    state: &Arc<GatewayState>,
    request: &Request,
    group: GroupId,
    job: JobId,
) -> Result<Response, ApiError> {
    let from = query_number(request, "from")?.unwrap_or(0);
    let from = ItemIndex(u32::try_from(from).unwrap_or(u32::MAX));
    if state.cluster.job_status(group, job).await?.is_none() {
        return Err(unknown_job());
    }
    // Reads the first page before sending the head, so that a failure sets the status.
    let limit = RESULTS_PER_PAGE;
    let page = state.cluster.job_results(group, job, from, limit).await?;
    let (writer, mut response) = event_response(RESULT_BUFFER);
    response.insert_header("content-type", "application/jsonl");
    let streaming = state.clone();
    state.spawn(async move {
        streaming.stream_results(writer, group, job, page).await;
    });
    Ok(response)
}

impl GatewayState {
    /// Writes all pages. If a later page cannot be read, the response is truncated, so
    /// that the caller can tell that it is incomplete.
    async fn stream_results(
        &self,
        writer: EventWriter,
        group: GroupId,
        job: JobId,
        mut page: ResultPage,
    ) {
        loop {
            if writer.send_bytes(json_lines(page.results)).await.is_err() {
                return;
            }
            let Some(next) = page.next else {
                let _caller_gone = writer.finish().await;
                return;
            };
            let limit = RESULTS_PER_PAGE;
            page = match self.cluster.job_results(group, job, next, limit).await {
                Ok(page) => page,
                Err(_) => return,
            };
        }
    }
}

fn json_lines(records: Vec<ItemRecord>) -> Vec<u8> {
    let mut lines = Vec::new();
    for record in records {
        // Serializing plain fields cannot fail.
        let line = serde_json::to_vec(&ResultLine::from(record)).unwrap_or_default();
        lines.extend_from_slice(&line);
        lines.push(b'\n');
    }
    lines
}
