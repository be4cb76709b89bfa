//! Running one batch item until it has an outcome.

use std::cell::{Cell, OnceCell, RefCell};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use molespan_daemon::wall_clock::unix_millis;
use molespan_http::h1::Headers;
use molespan_routing::dispatch::{PromptCost, WorkClass};
use molespan_state::batch::{ItemOutcome, ItemToRun, Output};
use molespan_state::declared::{Route, StreamOrigin};
use molespan_types::{SoftwareVersion, Timestamp};
use slog::info;

use super::preemption::RunGuard;
use crate::attempt::{EngineBody, EngineReply, Outbound, version_text};
use crate::dialect::{GatewayDialect, Refusal};
use crate::dispatch::Dispatch;
use crate::events::EventParser;
use crate::silence::InactivityTimer;
use crate::state::{GatewayState, InForce};

/// Maximum time of one run, far longer than an item takes.
const RUN_TIMEOUT: Duration = Duration::from_secs(60);
/// Time without data within a run after which the run is ended and the item goes to another
/// engine.
const INACTIVITY_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of an item's output, in bytes; an engine that sends more sends no answer.
const MAX_OUTPUT_BYTES: u64 = 4 << 20;
/// Pause before a retry after engines rejected an item or failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time for which an item waits for an engine of the version that began its output before it
/// starts anew: longer than a gateway that has just started takes to know all engines.
const VERSION_WAIT: Duration = Duration::from_secs(1);
/// Interval at which an item that no engine may run looks whether it is still to run.
const HELD_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time added to the route's retention, in milliseconds, to allow for clock differences.
const CLOCK_SLACK_MS: u64 = 4_000;

/// The output of an item, shared with the checkpoint task while the item runs.
pub(super) type SharedOutput = Rc<RefCell<Output>>;

/// Service that an item runs or waits at, shared with the count of such items; `None` before
/// that is chosen.
pub(super) type CurrentService = Rc<RefCell<Option<String>>>;

/// How one attempt ended.
enum RunResult {
    Complete,
    Broken,
    /// An engine ran the item and it failed.
    Failed,
    /// No engine can ever run the item.
    Impossible,
    /// An engine sent more than an output may hold.
    TooLong,
    /// No engine has capacity yet, or the run was preempted by online work.
    Deferred,
    /// Engines rejected the item.
    Rejected,
    /// No engine may run the item now, since engines ended under it.
    Barred {
        /// Time until that is decided anew.
        again_in: Duration,
    },
}

/// Returns the route of an item, which is that of its job.
fn item_route<'a>(in_force: &'a InForce, item: &ItemToRun) -> Option<&'a Route> {
    let prefix = item.route_prefix.as_deref();
    in_force
        .model
        .batch_route(&item.host, &item.job_path, prefix)
}

/// Returns the outcome of an item without a route; `None` if this gateway may only lack the
/// route because its configuration is older than the job.
async fn without_route(
    state: &GatewayState,
    item: &ItemToRun,
    version: u64,
    taken_at: Timestamp,
) -> Option<ItemOutcome> {
    if state.is_newest_version(version, taken_at).await {
        return Some(dead_letter(state, item, "its route is gone"));
    }
    info!(state.logger, "item given back, its route is not known here"; "item" => &item.item.id,
        "version" => version);
    None
}

/// Returns the outcome of an item that is to be given up without a run: its route is gone, or
/// its retention is over.
pub(super) async fn inspect_item(state: &GatewayState, item: &ItemToRun) -> Option<ItemOutcome> {
    let taken_at = state.now();
    let in_force = state.in_force()?;
    match item_route(&in_force, item) {
        None => without_route(state, item, in_force.version, taken_at).await,
        Some(route) if is_expired(route, item) => {
            Some(dead_letter(state, item, "its retention expired"))
        }
        Some(_) => None,
    }
}

/// Runs an item until it has an outcome; returns `None` if another gateway is to run it.
pub(super) async fn run_item<D: GatewayDialect>(
    state: &Rc<GatewayState>,
    dialect: &D,
    item: &ItemToRun,
    output: &SharedOutput,
    current: &CurrentService,
) -> Option<ItemOutcome> {
    let taken_at = state.now();
    let mut failures = 0;
    let mut was_held_back = false;
    loop {
        let in_force = state.in_force()?;
        let Some(route) = item_route(&in_force, item) else {
            return without_route(state, item, in_force.version, taken_at).await;
        };
        let origin = usable_origin(state, route, item, output).await;
        let service = match &origin {
            Some(origin) => Some(origin.service.clone()),
            None => in_force.service(route),
        };
        let Some(service) = service else {
            return without_route(state, item, in_force.version, taken_at).await;
        };
        if is_expired(route, item) {
            return Some(dead_letter(state, item, "its retention expired"));
        }
        *current.borrow_mut() = Some(service.clone());
        let version = origin.map(|origin| origin.version);
        let run = run_once(state, dialect, route, &service, version, item, output).await;
        match run {
            RunResult::Complete => {
                let text = output.borrow().text();
                return Some(ItemOutcome::Completed { text });
            }
            RunResult::Impossible => return Some(dead_letter(state, item, "no engine can run it")),
            RunResult::Barred { again_in } => {
                if !std::mem::replace(&mut was_held_back, true) {
                    info!(state.logger, "item held back"; "item" => &item.item.id,
                        "again_in_ms" => again_in.as_millis() as u64);
                }
                let _held = state.batch_runs.hold_back(state, &service);
                Timer::after(again_in.min(HELD_CHECK_INTERVAL)).await;
            }
            RunResult::Failed => {
                failures += 1;
                if failures >= route.max_attempts.max(1) {
                    return Some(dead_letter(
                        state,
                        item,
                        "it failed the maximum number of times",
                    ));
                }
            }
            RunResult::TooLong => {
                info!(state.logger, "item starts anew, an engine sent without end";
                    "item" => &item.item.id);
                output.borrow_mut().restart(rand::random());
                Timer::after(RETRY_PAUSE).await;
            }
            RunResult::Broken | RunResult::Deferred => {}
            RunResult::Rejected => {
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

fn dead_letter(state: &GatewayState, item: &ItemToRun, reason: &str) -> ItemOutcome {
    info!(state.logger, "item dead-lettered"; "item" => &item.item.id, "reason" => reason);
    ItemOutcome::DeadLettered
}

fn is_expired(route: &Route, item: &ItemToRun) -> bool {
    let Some(retention) = route.retention_ms else {
        return false;
    };
    let deadline = item.submitted_ms + u64::from(retention) + CLOCK_SLACK_MS;
    unix_millis() > deadline
}

/// Returns where the output so far began, if an engine may go on with it. Otherwise the
/// output is discarded and the item starts anew: what two versions write does not fit
/// together.
async fn usable_origin(
    state: &GatewayState,
    route: &Route,
    item: &ItemToRun,
    output: &SharedOutput,
) -> Option<StreamOrigin> {
    let last_event = output.borrow().last_event()?;
    let origin = output.borrow().origin().cloned();
    let leads_there = |origin: &StreamOrigin| {
        let mut destinations = route.destinations.iter();
        destinations.any(|one| one.service == origin.service)
    };
    if let Some(origin) = &origin
        && leads_there(origin)
        && is_version_served(state, origin).await
    {
        return Some(origin.clone());
    }
    info!(state.logger, "item starts anew"; "item" => &item.item.id, "after_event" => last_event,
        "service" => origin.as_ref().map(|origin| origin.service.as_str()),
        "version" => version_text(origin.as_ref().map(|origin| &origin.version)));
    output.borrow_mut().restart(rand::random());
    None
}

/// Whether an engine of a version is known, also shortly after this gateway started, when it
/// does not know all engines yet.
async fn is_version_served(state: &GatewayState, origin: &StreamOrigin) -> bool {
    let lists_version = || {
        let engines = state.engines.borrow();
        engines.lists_version(&origin.service, &origin.version)
    };
    let until = state.now() + VERSION_WAIT;
    while !lists_version() && state.now() < until {
        Timer::after(RETRY_PAUSE).await;
    }
    lists_version()
}

async fn run_once<D: GatewayDialect>(
    state: &Rc<GatewayState>,
    dialect: &D,
    route: &Route,
    service: &str,
    version: Option<SoftwareVersion>,
    item: &ItemToRun,
    output: &SharedOutput,
) -> RunResult {
    let mut headers = Headers::new();
    for (name, value) in &item.item.headers {
        headers.push(name, value.as_bytes());
    }
    headers.set("Host", item.host.as_bytes());
    dialect.item_headers(&mut headers, &item.item);
    if item.tenant.is_some() {
        dialect.replace_key_with_tenant(&mut headers, item.tenant.as_deref());
    }
    let facts = dialect.request_facts(&headers);
    let outbound = Outbound {
        id: item.item.id.clone(),
        service: service.to_owned(),
        tenant: item.tenant.as_deref().map(Into::into),
        host: item.host.clone(),
        method: "POST".to_owned(),
        target: item.item.path.clone(),
        headers,
        body: item.item.body.to_vec(),
        class: WorkClass::Batch,
        expects_events: true,
        resumes: false,
        prompt: facts.prompt.clone(),
        progress: Rc::default(),
        bar_trial: Cell::default(),
        features: OnceCell::new(),
    };
    let deadline = state.now() + RUN_TIMEOUT;
    let chosen = service.to_owned();
    let mut dispatch = Dispatch::new(state, dialect, route, chosen, outbound, facts, deadline);
    let prompt_tokens = PromptCost::of(&dispatch.facts.prompt).tokens;
    let guard = RunGuard::begin(state, service, item.due_ms, prompt_tokens, output);
    let after_event = output.borrow().last_event();
    dispatch.due_ms = item.due_ms;
    dispatch.version = version;
    let run = async {
        let reply = match dispatch.next_reply(after_event).await {
            Ok(reply) => reply,
            Err(Refusal::Barred { retry_after }) => {
                return RunResult::Barred {
                    again_in: retry_after,
                };
            }
            Err(_) if dispatch.rejections + dispatch.runs == 0 => return RunResult::Deferred,
            Err(_) => return RunResult::Rejected,
        };
        let engine = reply.body.engine.clone();
        let version = reply.body.version.clone();
        guard.set_engine(&engine, &dispatch.outbound);
        let origin = version.clone().map(|version| StreamOrigin {
            service: dispatch.service.clone(),
            version,
        });
        output.borrow_mut().continue_from(origin);
        let (run, is_whole) = finish_run(state, reply, output, deadline).await;
        if is_whole {
            state.note_complete(&dispatch.outbound);
        } else {
            note_sound_if_long(state, &dispatch.outbound);
            state.check_engine(&engine, &dispatch.outbound);
            info!(state.logger, "run of an item was broken off by its engine"; "item" => &item.item.id,
                "digest" => %dispatch.outbound.digest(), "engine" => engine,
                "version" => version_text(version.as_ref()));
        }
        run
    };
    let running = async { Some(run.await) };
    let preempted = async {
        guard.preempted().await;
        None
    };
    let Some(result) = future::or(running, preempted).await else {
        note_sound_if_long(state, &dispatch.outbound);
        return RunResult::Deferred;
    };
    result
}

/// Records that a run which got no whole answer has shown that its request ends no engine.
fn note_sound_if_long(state: &GatewayState, request: &Outbound) {
    if request.progress.get().has_written_long() {
        state.note_sound(request);
    }
}

/// Processes the answer of an engine; returns also whether that was whole.
async fn finish_run(
    state: &GatewayState,
    reply: EngineReply,
    output: &SharedOutput,
    deadline: Timestamp,
) -> (RunResult, bool) {
    let failure = match reply.head.status {
        _ if reply.facts.never_executable => Some(RunResult::Impossible),
        200 => None,
        _ => Some(RunResult::Failed),
    };
    if let Some(failure) = failure {
        return (failure, reply.body.discard(state).await);
    }
    let run = read_events(state, reply.body, output, deadline).await;
    let is_whole = matches!(run, RunResult::Complete);
    (run, is_whole)
}

/// Reads events until the stream ends, or the time of the run.
async fn read_events(
    state: &GatewayState,
    mut body: EngineBody,
    output: &SharedOutput,
    deadline: Timestamp,
) -> RunResult {
    let mut time = pin!(state.clock.wait_until(deadline));
    let mut received = output.borrow().bytes();
    let mut parser = EventParser::default();
    let mut inactivity = InactivityTimer::new(Some(INACTIVITY_TIMEOUT));
    loop {
        let piece = async { body.next().await.ok() };
        let silent = async {
            (&mut inactivity).await;
            None
        };
        let late = async {
            (&mut time).await;
            None
        };
        let Some(piece) = future::or(piece, future::or(silent, late)).await else {
            return RunResult::Broken;
        };
        inactivity.reset();
        if let Some(piece) = piece {
            received += piece.len() as u64;
            if received > MAX_OUTPUT_BYTES || !parser.push(&piece) {
                state.note_broken(&body.engine);
                return RunResult::TooLong;
            }
            let mut output = output.borrow_mut();
            while let Some(event) = parser.next() {
                output.push(event.id, event.data);
            }
        } else {
            body.finish(state);
            return RunResult::Complete;
        }
        if body.has_ended() {
            body.finish(state);
            return RunResult::Complete;
        }
    }
}
