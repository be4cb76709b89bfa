//! Batch jobs as callers see them: submission, status, results, cancel, list.

use std::sync::Arc;
use std::time::Duration;

use http_types::StatusCode;
use molespan_http::{EventWriter, Request, Response, event_response, json_response};
use molespan_routing::batch::BatchInput;
use molespan_state::job::{
    AppendItems, BeginJob, ItemOutcome, ItemRecord, JobPhase, JobReply, JobStatus,
};
use molespan_telemetry::EventKind;
use molespan_types::{Digest, GroupId, ItemIndex, JobId, ServiceName, TenantId, digest_of};
use serde::{Deserialize, Serialize};

use super::clock::unix_millis;
use super::error::ApiError;
use super::state::GatewayState;
use super::validation::{check_item, query_number, query_text, tenant_of};
use crate::cluster::ResultPage;

/// Path of batch jobs.
pub(super) const BATCHES_PATH: &str = "/v1/batches";
/// Longest job key in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Items and bytes in one command of a submission.
const ITEMS_PER_COMMAND: usize = 2_000;
const BYTES_PER_COMMAND: usize = 256 * 1024;
/// Results read at once.
const RESULTS_PER_PAGE: u32 = 500;
/// Pieces of a result listing that wait for a slow caller.
const RESULT_PIECES: usize = 4;
/// Findings about a submission that are told.
const MOST_FINDINGS: usize = 20;
/// Jobs in a listing.
const LISTED_JOBS: u32 = 100;
/// Most jobs in a listing.
const MOST_LISTED_JOBS: u64 = 10_000;
/// Deadline of a job that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(24 * 3_600);
/// When to come back to a submission that could not be finished.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A job as callers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Identifier, for every other call.
    pub id: String,
    /// `submitting`, `running`, `cancelling`, `cancelled` or `completed`.
    pub state: JobPhase,
    /// Items that it will have.
    pub items: u32,
    /// Items received so far.
    pub received: u32,
    /// Items with an answer.
    pub completed: u32,
    /// Items refused for good.
    pub failed: u32,
    /// Items that may have run once and whose answer is lost.
    pub unknown: u32,
    /// Items that engines run now.
    pub leased: u32,
    /// Who submitted it.
    pub tenant: TenantId,
    /// Its key.
    pub key: String,
    /// Service that runs it.
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
    /// Generated text, or the reason of a failure.
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

/// What a submission asks for, besides its items.
struct Submission {
    job: JobId,
    group: GroupId,
    tenant: TenantId,
    key: String,
    service: ServiceName,
    repeatable: bool,
    deadline_unix_seconds: u64,
    digest: Digest,
}

impl Submission {
    fn read(request: &Request, body: &[u8], job_groups: u32) -> Result<Self, ApiError> {
        let tenant = tenant_of(request)?;
        let service = required(request, "service")?;
        let key = required(request, "key")?;
        if key.len() > MAX_KEY_BYTES {
            let message = format!("the query parameter `key` is longer than {MAX_KEY_BYTES} bytes");
            return Err(ApiError::bad_request("bad_query", message));
        }
        let repeatable = match query_text(request, "repeatable").as_deref() {
            None | Some("true") => true,
            Some("false") => false,
            Some(_) => {
                let message = "the query parameter `repeatable` must be true or false";
                return Err(ApiError::bad_request("bad_query", message));
            }
        };
        let within = query_number(request, "deadline_ms")?;
        let within = within.unwrap_or(DEFAULT_DEADLINE.as_millis() as u64);
        let job = JobId::from_key(&tenant, &key);
        let asked = format!("{service}\n{repeatable}\n{}", digest_of(body));
        Ok(Self {
            job,
            group: job.group(job_groups),
            tenant,
            key,
            service: ServiceName(service),
            repeatable,
            deadline_unix_seconds: unix_millis().saturating_add(within) / 1_000,
            digest: digest_of(asked.as_bytes()),
        })
    }

    fn begin(&self, item_count: usize) -> BeginJob {
        BeginJob {
            job: self.job,
            tenant: self.tenant.clone(),
            key: self.key.clone(),
            digest: self.digest,
            service: self.service.clone(),
            item_count: item_count as u32,
            repeatable: self.repeatable,
            deadline_unix_seconds: self.deadline_unix_seconds,
        }
    }
}

fn required(request: &Request, name: &str) -> Result<String, ApiError> {
    query_text(request, name)
        .filter(|value| !value.is_empty())
        .ok_or_else(|| {
            let message = format!("the query parameter `{name}` is missing");
            ApiError::bad_request("bad_query", message)
        })
}

/// Takes a job. It is accepted once a quorum synced every item of it; a
/// resubmission under the same key finds the first one.
pub(super) async fn submit(
    state: &Arc<GatewayState>,
    request: &Request,
    body: &[u8],
) -> Result<Response, ApiError> {
    let submission = Submission::read(request, body, state.options.job_groups)?;
    let service = state
        .service_in_force(&submission.service)
        .map_err(ApiError::from)?;
    if service.model.is_none() || !service.batch {
        let message = format!("the service {} takes no batch work", submission.service);
        return Err(ApiError::bad_request("no_batch_service", message));
    }
    let items = items_of(body, state.options.intake.max_job_items)?;
    let status = state.submit_job(&submission, &items).await?;
    state.events.record(
        EventKind::Job,
        format!("{}", status.job),
        "accepted by a quorum",
        [
            ("tenant", status.tenant.as_str().into()),
            ("items", status.item_count.into()),
            ("phase", status.phase.to_string().into()),
        ],
    );
    state.batch_input(BatchInput::WorkAvailable(submission.service));
    Ok(json_response(StatusCode::Accepted, &JobView::from(status)))
}

/// The lines of a submission, all checked; findings are told together.
fn items_of(body: &[u8], most: usize) -> Result<Vec<&[u8]>, ApiError> {
    let lines = body.split(|byte| *byte == b'\n');
    let mut items = Vec::new();
    let mut findings = Vec::new();
    for (number, line) in lines.enumerate() {
        let line = line.trim_ascii();
        if line.is_empty() {
            continue;
        }
        items.push(line);
        if let Err(problem) = check_item(line)
            && findings.len() < MOST_FINDINGS
        {
            findings.push(format!("line {}: {problem}", number + 1));
        }
    }
    if items.len() > most {
        let message = format!("{} items; a job may have {most}", items.len());
        let status = StatusCode::PayloadTooLarge;
        return Err(ApiError::not_run(status, "too_many_items", message));
    }
    if items.is_empty() {
        return Err(ApiError::bad_request("no_items", "the job has no items"));
    }
    if !findings.is_empty() {
        return Err(ApiError::bad_request("bad_items", findings.join("; ")));
    }
    Ok(items)
}

impl GatewayState {
    /// Opens the job, adds what it lacks and accepts it. Each command may be
    /// sent again, by this gateway or another one.
    async fn submit_job(
        &self,
        submission: &Submission,
        items: &[&[u8]],
    ) -> Result<JobStatus, ApiError> {
        let group = submission.group;
        let begin = submission.begin(items.len());
        let mut status = job_status(self.cluster.begin_job(group, begin).await?)?;
        if status.phase != JobPhase::Submitting {
            return Ok(status);
        }
        while (status.received as usize) < items.len() {
            let first = status.received as usize;
            let append = AppendItems {
                job: submission.job,
                first: ItemIndex(first as u32),
                inputs: next_inputs(&items[first..]),
            };
            status = job_status(self.cluster.append_items(group, append).await?)?;
            if status.phase != JobPhase::Submitting {
                return Ok(status);
            }
            if status.received as usize <= first {
                return Err(unfinished("the job takes no further items"));
            }
        }
        job_status(self.cluster.accept_job(group, submission.job).await?)
    }
}

/// As many items as fit into one command; at least one.
fn next_inputs(items: &[&[u8]]) -> Vec<minicbor::bytes::ByteVec> {
    let mut inputs = Vec::new();
    let mut bytes = 0;
    for item in items.iter().take(ITEMS_PER_COMMAND) {
        bytes += item.len();
        if bytes > BYTES_PER_COMMAND && !inputs.is_empty() {
            break;
        }
        inputs.push(item.to_vec().into());
    }
    inputs
}

fn job_status(reply: JobReply) -> Result<JobStatus, ApiError> {
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

fn unfinished(reason: &str) -> ApiError {
    ApiError::not_run(
        StatusCode::ServiceUnavailable,
        "submission_unfinished",
        format!("{reason}; submit it again under the same key"),
    )
    .with_retry_after(RETRY_AFTER)
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

/// Lists jobs of all groups, newest first within each.
pub(super) async fn list(
    state: &Arc<GatewayState>,
    request: &Request,
) -> Result<Response, ApiError> {
    let limit = query_number(request, "limit")?.unwrap_or(u64::from(LISTED_JOBS));
    let limit = limit.min(MOST_LISTED_JOBS) as u32;
    let jobs = state.list_jobs(limit).await?;
    Ok(json_response(StatusCode::Ok, &jobs))
}

impl GatewayState {
    /// The newest jobs of every group.
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

/// Streams results as JSON lines, page by page.
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
    // The first page comes before the head, so that a failure has its status.
    let limit = RESULTS_PER_PAGE;
    let page = state.cluster.job_results(group, job, from, limit).await?;
    let (writer, mut response) = event_response(RESULT_PIECES);
    response.insert_header("content-type", "application/jsonl");
    let streaming = state.clone();
    state.spawn(async move {
        streaming.stream_results(writer, group, job, page).await;
    });
    Ok(response)
}

impl GatewayState {
    /// Writes page after page. When a later one cannot be read, the response
    /// is cut, so that the caller sees that it is not whole.
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
        // Lines of plain fields always serialize.
        let line = serde_json::to_vec(&ResultLine::from(record)).unwrap_or_default();
        lines.extend_from_slice(&line);
        lines.push(b'\n');
    }
    lines
}
