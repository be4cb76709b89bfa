//! Calls of callers on batch jobs.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use molespan_daemon::cluster::ClusterError;
use molespan_daemon::wall_clock::unix_millis;
use molespan_http::h1::Answer;
use molespan_state::batch::{
    BatchCommand, BatchReply, ItemOutcome, ListedResult, ResultPage, SubmitJob,
};
use molespan_state::declared::Route;
use molespan_types::RunOutcome;
use slog::{info, warn};

use crate::dialect::{BatchCall, BatchOutcome, GatewayDialect, JobResult};
use crate::request::CallerRequest;
use crate::state::GatewayState;
use crate::work_shares::MAX_DIRECT_GATEWAYS;

/// Timeout for committing a job.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between checks whether other nodes are still heard from while a job is
/// submitted.
const ISOLATION_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for reading or ending a job.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum bytes of results in one answer, unless the first result is longer. Each answer
/// is in memory several times on its way, at a leader that serves many callers at once.
const MAX_PAGE_BYTES: u64 = 256 << 10;

/// An election takes about as long as this delay.
const UNAVAILABLE: BatchOutcome = BatchOutcome::Unavailable {
    retry_after: Duration::from_millis(200),
};
/// Some items are done after this delay.
const QUEUE_FULL: BatchOutcome = BatchOutcome::QueueFull {
    retry_after: Duration::from_secs(1),
};

/// Submits a job.
pub(crate) async fn submit<D: GatewayDialect>(
    state: &GatewayState,
    dialect: &D,
    route: &Route,
    tenant: Option<&str>,
    request: &CallerRequest,
) -> Answer {
    let (id, items) = match dialect.submission(&request.head, &request.body) {
        Ok(submission) => submission,
        Err(problems) => {
            info!(state.logger, "malformed job refused"; "problems" => problems.join("; "));
            return dialect.batch_answer(BatchOutcome::Malformed);
        }
    };
    let count = items.len();
    let submitted_ms = unix_millis();
    let command = BatchCommand::Submit(Box::new(SubmitJob {
        id: id.clone(),
        host: request.head.host(),
        path: request.head.path().to_owned(),
        submitted_ms,
        due_ms: route
            .completion_target_ms
            .map(|target| submitted_ms + u64::from(target)),
        items,
        queue: queue_name(route, tenant),
        tenant: tenant.map(str::to_owned),
        max_queued_tokens: route.max_queued_tokens,
    }));
    let outcome = future::or(store(state, &command), wait_until_cut_off(state, route)).await;
    info!(state.logger, "job submitted"; "job" => id, "items" => count, "outcome" => outcome_name(&outcome));
    dialect.batch_answer(outcome)
}

async fn store(state: &GatewayState, command: &BatchCommand) -> BatchOutcome {
    match state.batch.change_batch(command, SUBMIT_TIMEOUT).await {
        Ok(BatchReply::Stored) => BatchOutcome::Accepted,
        Ok(BatchReply::QueueFull) => QUEUE_FULL,
        Ok(_) => UNAVAILABLE,
        Err(error) => change_failed(&error),
    }
}

/// Completes once this gateway considers itself cut off from the other nodes. The job may
/// have been sent; a caller that submits it again elsewhere finds it there or has it
/// stored. With few gateways there is too little traffic to tell, so this never completes.
async fn wait_until_cut_off(state: &GatewayState, route: &Route) -> BatchOutcome {
    let target = Duration::from_millis(u64::from(route.target_latency_ms));
    let began = state.now();
    loop {
        Timer::after(ISOLATION_CHECK_INTERVAL).await;
        let isolation = state.isolation.get();
        if state.gateways() > MAX_DIRECT_GATEWAYS
            && isolation.should_abandon(began, target, state.now())
        {
            return BatchOutcome::Uncertain;
        }
    }
}

/// Returns the name of the queue whose waiting tokens are counted together. The line feed
/// is an unambiguous separator: no header, and so no host, contains one.
fn queue_name(route: &Route, tenant: Option<&str>) -> String {
    let route = format!("{}{}", route.host, route.path_prefix);
    match tenant {
        Some(tenant) => format!("{tenant}\n{route}"),
        None => route,
    }
}

/// Carries out a tenant's call on one of its jobs.
pub(crate) async fn call<D: GatewayDialect>(
    state: &GatewayState,
    dialect: &D,
    call: BatchCall,
    tenant: Option<&str>,
) -> Answer {
    let outcome = match call {
        BatchCall::Results { id, after } => results(state, tenant, &id, after).await,
        BatchCall::Body { id, item } => body(state, tenant, &id, &item).await,
        BatchCall::End { id } => end(state, tenant, id).await,
    };
    dialect.batch_answer(outcome)
}

async fn results(state: &GatewayState, tenant: Option<&str>, id: &str, after: u32) -> BatchOutcome {
    let page = state
        .batch
        .batch_results(tenant, id, after, MAX_PAGE_BYTES, CALL_TIMEOUT);
    match page.await {
        Ok(Some(page)) => results_outcome(state, id, after, page),
        Ok(None) => BatchOutcome::Unknown,
        Err(error) => read_failed(state, &error),
    }
}

fn results_outcome(state: &GatewayState, id: &str, after: u32, page: ResultPage) -> BatchOutcome {
    let results: Option<Vec<JobResult>> = page.results.into_iter().map(unpack).collect();
    match results {
        Some(results) => BatchOutcome::Results {
            after,
            total: page.total,
            results,
        },
        None => {
            warn!(state.logger, "cannot decompress a batch result"; "job" => id);
            UNAVAILABLE
        }
    }
}

fn unpack(result: ListedResult) -> Option<JobResult> {
    let output = match result.outcome {
        ItemOutcome::Completed { text } => Some(text.decompress()?),
        ItemOutcome::DeadLettered => None,
    };
    Some(JobResult {
        item: result.id,
        output,
    })
}

async fn body(state: &GatewayState, tenant: Option<&str>, id: &str, item: &str) -> BatchOutcome {
    let body = state.batch.batch_body(tenant, id, item, CALL_TIMEOUT);
    match body.await {
        Ok(Some(body)) => BatchOutcome::Body(body),
        Ok(None) => BatchOutcome::Unknown,
        Err(error) => read_failed(state, &error),
    }
}

async fn end(state: &GatewayState, tenant: Option<&str>, id: String) -> BatchOutcome {
    let command = BatchCommand::End {
        id: id.clone(),
        tenant: tenant.map(str::to_owned),
    };
    let outcome = match state.batch.change_batch(&command, CALL_TIMEOUT).await {
        Ok(BatchReply::Ended) => BatchOutcome::Ended,
        Ok(BatchReply::Unknown) => BatchOutcome::Unknown,
        Ok(_) => UNAVAILABLE,
        Err(error) => change_failed(&error),
    };
    info!(state.logger, "caller asked for the job to be ended"; "job" => id, "outcome" => outcome_name(&outcome));
    outcome
}

fn read_failed(state: &GatewayState, error: &ClusterError) -> BatchOutcome {
    warn!(state.logger, "cannot read job"; "error" => %error);
    UNAVAILABLE
}

/// Maps an error of a change; a change that may have been committed must not be reported as
/// not done.
fn change_failed(error: &ClusterError) -> BatchOutcome {
    match error {
        ClusterError::Unavailable {
            outcome: RunOutcome::NotRun,
            ..
        } => UNAVAILABLE,
        _ => BatchOutcome::Uncertain,
    }
}

fn outcome_name(outcome: &BatchOutcome) -> &'static str {
    match outcome {
        BatchOutcome::Accepted => "kept",
        BatchOutcome::QueueFull { .. } => "queue full",
        BatchOutcome::Results { .. } => "results",
        BatchOutcome::Body(_) => "body",
        BatchOutcome::Ended => "ended",
        BatchOutcome::Unknown => "unknown",
        BatchOutcome::Malformed => "malformed",
        BatchOutcome::Unavailable { .. } => "unavailable",
        BatchOutcome::Uncertain => "uncertain",
    }
}
