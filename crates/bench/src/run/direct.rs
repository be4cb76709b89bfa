//! Overhead of a gateway: compares calls made directly and through a gateway, in turn.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_executor::Executor;
use molespan_engine_api::MachineKind;
use molespan_settings::Role;
use serde::{Deserialize, Serialize};

use super::account::{CallOutcome, FinishedCall};
use super::fleet::Fleet;
use super::load::call::{ApplicationCall, CallRecord, CompletionCall};
use super::load::caller::Caller;
use super::load::prompts::Prompts;
use super::measure::latency::{Durations, Quantiles};
use super::measure::machine::processor_seconds;
use super::profile::Profile;

/// Index of the zone whose gateway and back ends are measured.
const MEASURED_ZONE: usize = 0;
/// Share of the time for pairs of completions, and again for pairs of application calls.
const PAIRS_SHARE: f64 = 0.35;
/// Share of the time for the saturation measurement.
const SATURATION_SHARE: f64 = 0.3;
/// Calls kept in flight during the saturation measurement. Fewer than a gateway
/// allows initially, so that none is rejected.
const SATURATION_CONCURRENCY: usize = 32;
/// Number of tokens in each prompt or body.
const PROMPT_TOKENS: u32 = 8;
/// Tenant of the calls.
const TENANT: &str = "residents";

/// Times of the same kind of call, direct and through a gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PairFigures {
    /// Times of direct calls.
    pub direct: Quantiles,
    /// Times of calls through the gateway.
    pub through: Quantiles,
    /// Difference of the medians, in milliseconds.
    pub added_p50_ms: f64,
    /// Difference of the 99th percentiles, in milliseconds.
    pub added_p99_ms: f64,
}

/// Overhead and throughput of a gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DirectFigures {
    /// Time to first token of completions.
    pub completion: PairFigures,
    /// Time to the complete response of application calls.
    pub application: PairFigures,
    /// Calls per second while the gateway is saturated.
    pub busy_requests_per_second: f64,
    /// Calls per second of the gateway's processor time.
    pub requests_per_core_second: f64,
}

/// Resources of the direct arm.
#[derive(Clone)]
pub struct DirectContext {
    /// Executor that runs the calls.
    pub executor: Arc<Executor<'static>>,
    /// Client that makes the calls.
    pub caller: Caller,
    /// Prompt generator.
    pub prompts: Prompts,
    /// Fleet and load profile.
    pub profile: Profile,
    /// Number of calls made so far.
    pub next_number: Arc<AtomicU64>,
}

/// Figures of the direct arm with the underlying calls.
pub struct DirectReport {
    /// Computed figures.
    pub figures: DirectFigures,
    /// Completion calls.
    pub completions: Vec<FinishedCall>,
    /// Application calls.
    pub applications: Vec<FinishedCall>,
}

/// Addresses of the measured gateway and back ends.
#[derive(Clone, Copy, Debug)]
pub struct Targets {
    gateway: SocketAddr,
    gateway_process: u32,
    engine: SocketAddr,
    application: SocketAddr,
}

/// Runs the measurement for `length`. Returns empty figures without targets.
pub async fn measure(
    context: &DirectContext,
    targets: Option<Targets>,
    length: Duration,
) -> DirectReport {
    let mut report = DirectReport {
        figures: DirectFigures::default(),
        completions: Vec::new(),
        applications: Vec::new(),
    };
    let Some(targets) = targets else {
        return report;
    };
    let pairs = length.mul_f64(PAIRS_SHARE);
    let calls = completion_pairs(context, &targets, pairs).await;
    report.figures.completion = pair_figures(&calls, |call| call.first_token);
    report.completions = finished_calls(calls);
    let calls = application_pairs(context, &targets, pairs).await;
    report.figures.application = pair_figures(&calls, |call| Some(call.whole));
    report.applications = finished_calls(calls);
    let saturation = saturate_gateway(context, &targets, length.mul_f64(SATURATION_SHARE)).await;
    report.figures.busy_requests_per_second = saturation.per_second;
    report.figures.requests_per_core_second = saturation.per_core_second;
    report.applications.extend(saturation.calls);
    report
}

/// Returns a gateway and back ends of the measured zone.
#[must_use]
pub fn targets(fleet: &Fleet) -> Option<Targets> {
    let mut gateways = fleet.nodes_of(Role::Gateway);
    let gateway = gateways.find(|node| node.place.zone == MEASURED_ZONE)?;
    let backend = |kind| {
        let mut backends = fleet.backends.iter();
        backends.find(|backend| backend.machine.kind == kind && backend.zone == MEASURED_ZONE)
    };
    Some(Targets {
        gateway: gateway.place.http,
        gateway_process: gateway.process.id(),
        engine: backend(MachineKind::Engine)?.address,
        application: backend(MachineKind::Application)?.address,
    })
}

/// Makes the first calls through a gateway. Returns the label of a failed outcome, or
/// `None` if both calls completed.
pub async fn first_calls(
    caller: &Caller,
    gateway: SocketAddr,
    prompts: &Prompts,
    profile: &Profile,
    number: u64,
) -> Option<String> {
    let fleet = &profile.fleet;
    let completion = CompletionCall {
        model: fleet.service.as_str().to_owned(),
        prompt: prompts.single("completion", number, PROMPT_TOKENS),
        max_tokens: 1,
        tenant: TENANT.to_owned(),
        idempotency_key: None,
    };
    let application = ApplicationCall {
        prefix: format!("/services/{}", fleet.application_service),
        path: "/first".to_owned(),
        body: prompts.single("application", number, PROMPT_TOKENS),
        tenant: TENANT.to_owned(),
    };
    let completed = caller.stream(gateway, &completion, Instant::now()).await;
    let answered = caller
        .application(gateway, &application, Instant::now())
        .await;
    let mut outcomes = [completed.outcome, answered.outcome].into_iter();
    let missing = outcomes.find(|outcome| *outcome != CallOutcome::Completed);
    missing.map(|outcome| outcome.label())
}

/// A call and whether it went through the gateway.
struct PairedCall {
    through: bool,
    record: CallRecord,
}

async fn completion_pairs(
    context: &DirectContext,
    targets: &Targets,
    length: Duration,
) -> Vec<PairedCall> {
    let fleet = &context.profile.fleet;
    let end = Instant::now() + length;
    let mut calls = Vec::new();
    while Instant::now() < end {
        for through in [false, true] {
            let number = context.next_number.fetch_add(1, Ordering::Relaxed);
            let (address, model) = match through {
                true => (targets.gateway, fleet.service.as_str()),
                false => (targets.engine, fleet.model.as_str()),
            };
            let call = CompletionCall {
                model: model.to_owned(),
                prompt: context.prompts.single("pair", number, PROMPT_TOKENS),
                max_tokens: 1,
                tenant: TENANT.to_owned(),
                idempotency_key: None,
            };
            let record = context.caller.stream(address, &call, Instant::now()).await;
            calls.push(PairedCall { through, record });
        }
    }
    calls
}

async fn application_pairs(
    context: &DirectContext,
    targets: &Targets,
    length: Duration,
) -> Vec<PairedCall> {
    let end = Instant::now() + length;
    let mut calls = Vec::new();
    while Instant::now() < end {
        for through in [false, true] {
            let address = match through {
                true => targets.gateway,
                false => targets.application,
            };
            let call = application_call(context, through);
            let calling = context.caller.application(address, &call, Instant::now());
            let record = calling.await;
            calls.push(PairedCall { through, record });
        }
    }
    calls
}

fn application_call(context: &DirectContext, through: bool) -> ApplicationCall {
    let number = context.next_number.fetch_add(1, Ordering::Relaxed);
    let service = context.profile.fleet.application_service.as_str();
    ApplicationCall {
        prefix: match through {
            true => format!("/services/{service}"),
            false => String::new(),
        },
        path: format!("/albums/{number}"),
        body: context.prompts.single("pair", number, PROMPT_TOKENS),
        tenant: TENANT.to_owned(),
    }
}

fn pair_figures(
    calls: &[PairedCall],
    time: impl Fn(&CallRecord) -> Option<Duration>,
) -> PairFigures {
    let quantiles = |through| {
        let calls = calls.iter().filter(|call| call.through == through);
        let completed = calls.filter(|call| call.record.outcome == CallOutcome::Completed);
        Durations::of(completed.filter_map(|call| time(&call.record))).quantiles()
    };
    let (direct, through) = (quantiles(false), quantiles(true));
    PairFigures {
        added_p50_ms: through.p50_ms - direct.p50_ms,
        added_p99_ms: through.p99_ms - direct.p99_ms,
        direct,
        through,
    }
}

/// Result of the saturation measurement.
struct Saturation {
    per_second: f64,
    per_core_second: f64,
    calls: Vec<FinishedCall>,
}

async fn saturate_gateway(
    context: &DirectContext,
    targets: &Targets,
    length: Duration,
) -> Saturation {
    let start = Instant::now();
    let processor = processor_seconds(targets.gateway_process);
    let end = start + length;
    let mut lanes = Vec::with_capacity(SATURATION_CONCURRENCY);
    for _ in 0..SATURATION_CONCURRENCY {
        let lane = call_until(context.clone(), targets.gateway, end);
        lanes.push(context.executor.spawn(lane));
    }
    let mut calls = Vec::new();
    for lane in lanes {
        calls.extend(lane.await);
    }
    let used = processor_seconds(targets.gateway_process) - processor;
    let completed = calls.iter();
    let completed = completed.filter(|call| call.outcome == CallOutcome::Completed);
    let completed = completed.count() as f64;
    Saturation {
        per_second: completed / start.elapsed().as_secs_f64(),
        per_core_second: if used > 0.0 { completed / used } else { 0.0 },
        calls,
    }
}

/// Makes successive calls until `end`.
async fn call_until(
    context: DirectContext,
    gateway: SocketAddr,
    end: Instant,
) -> Vec<FinishedCall> {
    let mut calls = Vec::new();
    while Instant::now() < end {
        let call = application_call(&context, true);
        let calling = context.caller.application(gateway, &call, Instant::now());
        calls.push(finished_call(calling.await));
    }
    calls
}

fn finished_calls(calls: Vec<PairedCall>) -> Vec<FinishedCall> {
    calls
        .into_iter()
        .map(|call| finished_call(call.record))
        .collect()
}

fn finished_call(record: CallRecord) -> FinishedCall {
    FinishedCall {
        prompt: record.prompt,
        repeatable: true,
        outcome: record.outcome,
    }
}
