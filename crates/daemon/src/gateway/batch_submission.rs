//! Submission of a batch job.

use std::sync::Arc;
use std::time::Duration;

use http_types::StatusCode;
use molespan_http::{Request, Response, json_response};
use molespan_routing::batch::BatchInput;
use molespan_state::job::{AppendItems, BeginJob, JobPhase, JobStatus};
use molespan_telemetry::EventKind;
use molespan_types::{Digest, GroupId, ItemIndex, JobId, ServiceName, TenantId, digest_of};

use super::batch_api::{JobView, job_status};
use super::error::ApiError;
use super::state::GatewayState;
use super::validation::{check_item, query_number, query_text, tenant_of};
use crate::wall_clock::unix_millis;

/// Maximum length of a job key in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Maximum number of problems reported for one submission.
const MAX_REPORTED_FINDINGS: usize = 20;
/// Default deadline of a job.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(24 * 3_600);
/// Maximum items and bytes in one append command.
const ITEMS_PER_COMMAND: usize = 2_000;
const BYTES_PER_COMMAND: usize = 256 * 1024;
/// Retry delay reported for a submission that could not be completed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Parameters of a submission, without its items.
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

/// Submits a job. It is accepted once a quorum has persisted every item; a
/// resubmission with the same key returns the first job.
pub(super) async fn submit(
    state: &Arc<GatewayState>,
    request: &Request,
    body: &[u8],
) -> Result<Response, ApiError> {
    let submission = Submission::read(request, body, state.options.job_groups)?;
    let service = state
        .active_service(&submission.service)
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

/// Parses and validates the lines of a submission; reports all problems together.
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
            && findings.len() < MAX_REPORTED_FINDINGS
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
    /// Creates the job, appends its missing items and accepts it. Each command is
    /// idempotent and may be repeated by this gateway or another one.
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

/// Returns as many items as fit into one command, and at least one.
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

pub(super) fn unfinished(reason: &str) -> ApiError {
    ApiError::not_run(
        StatusCode::ServiceUnavailable,
        "submission_unfinished",
        format!("{reason}; submit it again under the same key"),
    )
    .with_retry_after(RETRY_AFTER)
}
