//! Detects whether an engine that broke a request off has ended, and which requests it was
//! running.
//!
//! A connection that ends without an answer may have been reset, cut, or closed by an
//! engine that lost the answer. An engine counts as ended if its port refuses connections
//! twice, or if the control nodes report another engine at its address or none. An engine
//! that announced its departure ends as planned, and one that still answers is alive. A
//! machine that stops responding does not break connections off, so its requests are not
//! blamed.
//!
//! An answer without a length also ends with its connection when it is whole, so that its
//! end is checked before the caller is told of it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use molespan_http::h1::{self, Connection, SocketOptions};
use molespan_routing::suspects::{FeatureDigest, Features, Progress, Shared, engine_key};
use molespan_types::Timestamp;
use slog::{info, warn};

use crate::attempt::Outbound;
use crate::state::GatewayState;

/// Pauses before the checks of an engine's port. Two refused connections mean that the
/// engine ended: a single one may come from an engine at its connection limit. The later
/// checks cover a network cut that hides the port at first.
const CHECK_DELAYS: [Duration; 5] = [
    Duration::from_millis(20),
    Duration::from_millis(100),
    Duration::from_millis(250),
    Duration::from_millis(500),
    Duration::from_millis(1_000),
];
/// Pauses before the checks of an engine whose answer ended with its connection. The end of
/// the answer waits for them, so the first is made at once.
const ANSWER_END_CHECK_DELAYS: [Duration; 2] = [Duration::ZERO, Duration::from_millis(20)];
/// Number of checks that must find the port refusing connections.
const DEAD_CHECKS: u32 = 2;
/// Timeout for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time within which answers arrive that were in flight when the engine broke off.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(50);
/// How long after the end of an engine a request that breaks off is still blamed for it:
/// longer than a gateway starved of processor time takes to read the end of a connection.
const BLAME_PERIOD: Duration = Duration::from_secs(10);

/// Maximum number of broken-off requests that wait for a check; several times as many as
/// all engines of a service run.
const MAX_WAITING: usize = 4_096;

/// A request that an engine broke off.
#[derive(Clone, Debug)]
struct BrokenRequest {
    /// Identifier of the engine's incarnation.
    engine: String,
    /// Address of the engine, if still known.
    address: Option<SocketAddr>,
    /// Identifies the request when it is sent again, and what it has in common with others.
    features: Features,
    /// How far its answer had got.
    progress: Progress,
    /// Identifier of the request in this attempt.
    id: String,
}

/// Requests that engines broke off, until it is known whether the engines ended.
pub(crate) struct BrokenRequests {
    waiting: (Sender<BrokenRequest>, Receiver<BrokenRequest>),
    /// Number of open checks by the request that broke off, and by the parts of its prompt.
    checks: RefCell<BTreeMap<FeatureDigest, usize>>,
}

impl Default for BrokenRequests {
    fn default() -> Self {
        Self {
            waiting: async_channel::bounded(MAX_WAITING),
            checks: RefCell::default(),
        }
    }
}

impl BrokenRequests {
    /// Returns the number of open checks of engines that broke off requests with this digest
    /// or with this part of their prompts; `feature` is computed only if there are any.
    pub fn open_checks(&self, feature: impl FnOnce() -> FeatureDigest) -> usize {
        let checks = self.checks.borrow();
        match checks.is_empty() {
            true => 0,
            false => checks.get(&feature()).copied().unwrap_or_default(),
        }
    }

    /// Records that a check has started.
    fn start_check(&self, features: &Features) {
        let mut checks = self.checks.borrow_mut();
        for feature in checked_features(features) {
            *checks.entry(*feature).or_default() += 1;
        }
    }

    /// Records that a check has ended.
    fn end_check(&self, features: &Features) {
        let mut checks = self.checks.borrow_mut();
        for feature in checked_features(features) {
            let Some(open) = checks.get_mut(feature) else {
                continue;
            };
            *open -= 1;
            if *open == 0 {
                checks.remove(feature);
            }
        }
    }
}

fn checked_features(features: &Features) -> impl Iterator<Item = &FeatureDigest> {
    [&features.request]
        .into_iter()
        .chain(&features.shared.parts)
}

impl GatewayState {
    /// Starts a check whether an engine that broke a request off has ended.
    pub fn check_engine(&self, engine: &str, request: &Outbound) {
        let progress = request.progress.get();
        let mut features = request.features().clone();
        if progress.has_begun() {
            features.shared.parts.clear();
        }
        let broken = BrokenRequest {
            engine: engine.to_owned(),
            address: self.engines.borrow().address(engine),
            features: features.clone(),
            progress,
            id: request.id.clone(),
        };
        if self.broken_requests.waiting.0.try_send(broken).is_err() {
            warn!(self.logger, "too many broken-off requests; skipping the check of an engine";
                "request" => &request.id, "engine" => engine);
            return;
        }
        self.broken_requests.start_check(&features);
    }

    /// Whether an engine whose answer ended with its connection has itself ended, so that the
    /// answer may be cut. One that cannot be asked counts as alive.
    pub async fn has_ended_with_answer(&self, engine: &str) -> bool {
        let address = self.engines.borrow().address(engine);
        let answer_ended_at = self.now();
        for pause in ANSWER_END_CHECK_DELAYS {
            Timer::after(pause).await;
            match check(self, engine, address, answer_ended_at).await {
                CheckResult::Dead => {}
                CheckResult::Ended => return true,
                CheckResult::NotCrashed | CheckResult::Reached | CheckResult::Inconclusive => {
                    return false;
                }
            }
        }
        true
    }
}

/// Result of one check of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CheckResult {
    /// The port refuses connections.
    Dead,
    /// The engine has certainly ended.
    Ended,
    /// The engine has answered since, or ended as planned.
    NotCrashed,
    /// The port accepts connections.
    Reached,
    /// The check is inconclusive.
    Inconclusive,
}

/// Engines that recently broke requests off.
#[derive(Default)]
struct EngineEnds {
    /// Broken-off requests by the engine being checked.
    open: RefCell<BTreeMap<String, Vec<BrokenRequest>>>,
    /// When engines were found to have ended.
    ended: RefCell<BTreeMap<String, Timestamp>>,
}

/// Checks whether engines that broke requests off have ended. Runs until dropped.
pub(crate) async fn watch_engine_ends(state: Rc<GatewayState>, local: Rc<LocalExecutor<'static>>) {
    let ends = Rc::new(EngineEnds::default());
    while let Ok(broken) = state.broken_requests.waiting.1.recv().await {
        let now = state.now();
        let mut ended = ends.ended.borrow_mut();
        ended.retain(|_, at| now.since(*at) < BLAME_PERIOD);
        if ended.contains_key(&broken.engine) {
            state.broken_requests.end_check(&broken.features);
            blame(&state, &[broken]);
            continue;
        }
        drop(ended);
        let mut open = ends.open.borrow_mut();
        if let Some(known) = open.get_mut(&broken.engine) {
            known.push(broken);
            continue;
        }
        let engine = broken.engine.clone();
        let address = broken.address;
        open.insert(engine.clone(), vec![broken]);
        let check = check_and_blame(state.clone(), ends.clone(), engine, address);
        local.spawn(check).detach();
    }
}

async fn check_and_blame(
    state: Rc<GatewayState>,
    ends: Rc<EngineEnds>,
    engine: String,
    address: Option<SocketAddr>,
) {
    let ended = has_ended(&state, &engine, address).await;
    let broken = ends.open.borrow_mut().remove(&engine).unwrap_or_default();
    broken
        .iter()
        .for_each(|one| state.broken_requests.end_check(&one.features));
    if !ended {
        info!(state.logger, "engine broke requests off but did not end"; "engine" => engine,
            "requests" => broken.len());
        return;
    }
    ends.ended.borrow_mut().insert(engine, state.now());
    blame(&state, &broken);
}

async fn has_ended(state: &GatewayState, engine: &str, address: Option<SocketAddr>) -> bool {
    let broke_at = state.now();
    let mut dead = 0;
    for pause in CHECK_DELAYS {
        Timer::after(pause).await;
        match check(state, engine, address, broke_at).await {
            CheckResult::Dead => dead += 1,
            CheckResult::Ended => return true,
            CheckResult::NotCrashed => return false,
            CheckResult::Reached if dead == 0 => return false,
            // If the port refused before, another incarnation is there now, and the control
            // nodes report it soon.
            CheckResult::Reached | CheckResult::Inconclusive => {}
        }
        if dead >= DEAD_CHECKS {
            return true;
        }
    }
    false
}

async fn check(
    state: &GatewayState,
    engine: &str,
    address: Option<SocketAddr>,
    broke_at: Timestamp,
) -> CheckResult {
    {
        let engines = state.engines.borrow();
        let answered = engines.answered_after(engine, broke_at + IN_FLIGHT_TIME);
        if answered || engines.has_departed(engine) {
            return CheckResult::NotCrashed;
        }
        if !engines.is_present(engine) {
            return CheckResult::Ended;
        }
    }
    let Some(address) = address else {
        return CheckResult::Inconclusive;
    };
    let connected = h1::connect(address, CONNECT_TIMEOUT, SocketOptions::default()).await;
    match connected.map_err(|error| error.kind()) {
        Ok(stream) => {
            let connection = Connection::new(stream);
            state.pool.put(engine, connection.into(), None, state.now());
            CheckResult::Reached
        }
        Err(ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset) => CheckResult::Dead,
        Err(_) => CheckResult::Inconclusive,
    }
}

/// Returns the digests of the parts that a prompt shares with others, as they are logged.
fn parts_text(shared: &Shared) -> String {
    let parts: Vec<String> = shared.parts.iter().map(ToString::to_string).collect();
    parts.join(",")
}

/// Blames the requests that an engine was running when it ended.
fn blame(state: &GatewayState, broken: &[BrokenRequest]) {
    let now = state.now();
    for one in broken {
        let engine = engine_key(&one.engine);
        let mut suspects = state.suspects.borrow_mut();
        let Features { request, shared } = &one.features;
        let Some(crashes) = suspects.blame_within(&one.features, engine, one.progress, now) else {
            continue;
        };
        info!(state.logger, "engine ended under a request"; "request" => &one.id,
            "digest" => %request, "parts" => parts_text(shared), "engine" => &one.engine,
            "resumed_after" => one.progress.resumed_after, "events" => one.progress.events,
            "written_ms" => one.progress.written_ms,
            "crashes" => crashes, "requests_there" => broken.len());
    }
    state.request_report();
    state.bars.request_check();
}
