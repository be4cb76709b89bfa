//! Callers' calls on batch jobs.

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
use crate::work_shares::MOST_DIRECT;

/// Longest time for a job to be committed.
const SUBMIT_DEADLINE: Duration = Duration::from_millis(1_500);
/// Time between two looks whether other nodes are heard while a job is handed in.
const HEARING_LOOK: Duration = Duration::from_millis(50);
/// Longest time for a read or an end.
const CALL_DEADLINE: Duration = Duration::from_millis(900);
/// Bytes of results in one answer, unless the first one is longer. Each answer is
/// in memory several times on its way, at a leader that many ask at once.
const MAX_PAGE_BYTES: u64 = 256 << 10;

/// An election takes about as long.
const UNAVAILABLE: BatchOutcome = BatchOutcome::Unavailable {
    retry_after: Duration::from_millis(200),
};
/// By then some items are done.
const QUEUE_FULL: BatchOutcome = BatchOutcome::QueueFull {
    retry_after: Duration::from_secs(1),
};

/// Takes a job.
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
            info!(state.logger, "job refused"; "problems" => problems.join("; "));
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
        queue: queue(route, tenant),
        tenant: tenant.map(str::to_owned),
        max_queued_tokens: route.max_queued_tokens,
    }));
    let outcome = future::or(keep(state, &command), cut_off(state, route)).await;
    info!(state.logger, "job"; "job" => id, "items" => count, "outcome" => name(&outcome));
    dialect.batch_answer(outcome)
}

async fn keep(state: &GatewayState, command: &BatchCommand) -> BatchOutcome {
    match state.batch.change_batch(command, SUBMIT_DEADLINE).await {
        Ok(BatchReply::Kept) => BatchOutcome::Kept,
        Ok(BatchReply::QueueFull) => QUEUE_FULL,
        Ok(_) => UNAVAILABLE,
        Err(error) => failed(&error),
    }
}

/// Ends once this gateway takes itself for cut off. The job may have been sent; whoever
/// hands it in again elsewhere finds it, or has it kept there. Among few gateways too
/// little is heard to tell.
async fn cut_off(state: &GatewayState, route: &Route) -> BatchOutcome {
    let target = Duration::from_millis(u64::from(route.target_latency_ms));
    let began = state.now();
    loop {
        Timer::after(HEARING_LOOK).await;
        let hearing = state.hearing.get();
        if state.gateways() > MOST_DIRECT && hearing.gives_up(began, target, state.now()) {
            return BatchOutcome::Uncertain;
        }
    }
}

/// Names the queue whose waiting tokens are counted together. No header, and so no
/// host, has a line feed in it.
fn queue(route: &Route, tenant: Option<&str>) -> String {
    let route = format!("{}{}", route.host, route.path_prefix);
    match tenant {
        Some(tenant) => format!("{tenant}\n{route}"),
        None => route,
    }
}

/// Carries out a call of a tenant that names one of its jobs.
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
        .batch_results(tenant, id, after, MAX_PAGE_BYTES, CALL_DEADLINE);
    match page.await {
        Ok(Some(page)) => unpacked(state, id, after, page),
        Ok(None) => BatchOutcome::Unknown,
        Err(error) => unreadable(state, &error),
    }
}

fn unpacked(state: &GatewayState, id: &str, after: u32, page: ResultPage) -> BatchOutcome {
    let results: Option<Vec<JobResult>> = page.results.into_iter().map(unpack).collect();
    match results {
        Some(results) => BatchOutcome::Results {
            after,
            total: page.total,
            results,
        },
        None => {
            warn!(state.logger, "a result cannot be unpacked"; "job" => id);
            UNAVAILABLE
        }
    }
}

fn unpack(result: ListedResult) -> Option<JobResult> {
    let output = match result.outcome {
        ItemOutcome::Completed { text } => Some(text.unpack()?),
        ItemOutcome::DeadLettered => None,
    };
    Some(JobResult {
        item: result.id,
        output,
    })
}

async fn body(state: &GatewayState, tenant: Option<&str>, id: &str, item: &str) -> BatchOutcome {
    let body = state.batch.batch_body(tenant, id, item, CALL_DEADLINE);
    match body.await {
        Ok(Some(body)) => BatchOutcome::Body(body),
        Ok(None) => BatchOutcome::Unknown,
        Err(error) => unreadable(state, &error),
    }
}

async fn end(state: &GatewayState, tenant: Option<&str>, id: String) -> BatchOutcome {
    let command = BatchCommand::End {
        id: id.clone(),
        tenant: tenant.map(str::to_owned),
    };
    let outcome = match state.batch.change_batch(&command, CALL_DEADLINE).await {
        Ok(BatchReply::Ended) => BatchOutcome::Ended,
        Ok(BatchReply::Unknown) => BatchOutcome::Unknown,
        Ok(_) => UNAVAILABLE,
        Err(error) => failed(&error),
    };
    info!(state.logger, "job ended"; "job" => id, "outcome" => name(&outcome));
    outcome
}

fn unreadable(state: &GatewayState, error: &ClusterError) -> BatchOutcome {
    warn!(state.logger, "job not readable"; "error" => %error);
    UNAVAILABLE
}

/// A change that may have been committed must not be called undone.
fn failed(error: &ClusterError) -> BatchOutcome {
    match error {
        ClusterError::Unavailable {
            outcome: RunOutcome::NotRun,
            ..
        } => UNAVAILABLE,
        _ => BatchOutcome::Uncertain,
    }
}

fn name(outcome: &BatchOutcome) -> &'static str {
    match outcome {
        BatchOutcome::Kept => "kept",
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
