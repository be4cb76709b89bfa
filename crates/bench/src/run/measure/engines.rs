//! Samples the load reports of engines.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use molespan_emulator::engine::ExecutionLog;
use molespan_emulator::switch_api;
use molespan_engine_api::{LOAD_PATH, LoadReport};
use molespan_http::{Method, Pool, json_body, new_request};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Sampling interval per engine.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout for a response of a back end.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;

/// A load sample of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LoadSample {
    taken: Instant,
    online_running: u32,
    online: u32,
    batch_running: u32,
    batch: u32,
    max_running: u32,
}

/// Mean utilization of the engines over a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineUse {
    /// Number of samples.
    pub samples: u64,
    /// Share of engine time in which online work ran or waited.
    pub online_time: f64,
    /// Share of the engines' slots that online work held.
    pub online_slots: f64,
    /// Share of engine time in which batch work ran.
    pub batch_time: f64,
    /// Share of the engines' slots that batch work held.
    pub batch_slots: f64,
}

/// Collects load samples of all engines.
#[derive(Clone, Debug, Default)]
pub struct EngineSampler {
    samples: Arc<Mutex<Vec<LoadSample>>>,
}

impl EngineSampler {
    /// Samples one engine periodically, without end.
    pub async fn watch(&self, pool: &Pool, engine: SocketAddr) {
        let mut due = Instant::now();
        loop {
            if let Some(report) = get::<LoadReport>(pool, engine, LOAD_PATH).await {
                let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
                samples.push(LoadSample::of(&report));
            }
            due += SAMPLE_INTERVAL;
            Timer::at(due.max(Instant::now())).await;
        }
    }

    /// Returns the mean utilization from `from` until `until`.
    #[must_use]
    pub fn mean(&self, from: Instant, until: Instant) -> EngineUse {
        let samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        let within = |sample: &&LoadSample| sample.taken >= from && sample.taken < until;
        let mut total = EngineUse::default();
        for sample in samples.iter().filter(within) {
            total.add(sample);
        }
        total.divided()
    }
}

impl LoadSample {
    fn of(report: &LoadReport) -> Self {
        Self {
            taken: Instant::now(),
            online_running: report.online_running,
            online: report.online_running + report.online_waiting,
            batch_running: report.batch_running,
            batch: report.batch_running + report.batch_waiting,
            max_running: report.max_running,
        }
    }
}

impl EngineUse {
    fn add(&mut self, sample: &LoadSample) {
        let slots = f64::from(sample.max_running.max(1));
        let share = |condition| if condition { 1.0 } else { 0.0 };
        self.samples += 1;
        self.online_time += share(sample.online > 0);
        self.online_slots += f64::from(sample.online_running) / slots;
        self.batch_time += share(sample.batch_running > 0);
        self.batch_slots += f64::from(sample.batch_running) / slots;
    }

    fn divided(self) -> Self {
        let count = self.samples.max(1) as f64;
        Self {
            samples: self.samples,
            online_time: self.online_time / count,
            online_slots: self.online_slots / count,
            batch_time: self.batch_time / count,
            batch_slots: self.batch_slots / count,
        }
    }
}

/// Returns the number of batch sequences that the engines report, or `None` if an
/// engine does not respond.
pub async fn batch_sequences(pool: &Pool, engines: &[SocketAddr]) -> Option<u32> {
    let mut total = 0;
    for engine in engines {
        let report = get::<LoadReport>(pool, *engine, LOAD_PATH).await?;
        total += LoadSample::of(&report).batch;
    }
    Some(total)
}

/// Returns the execution log of a back end, or `None` if it does not respond.
pub async fn execution_log(pool: &Pool, backend: SocketAddr) -> Option<ExecutionLog> {
    get(pool, backend, switch_api::EXECUTIONS_PATH).await
}

/// Posts a control request to an emulator. Returns `false` if it is not accepted.
pub async fn post_control_request(
    pool: &Pool,
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> bool {
    let posting = async {
        let mut request = new_request(Method::Post, address, path).ok()?;
        request.set_body(json_body(body));
        let response = pool.send(address, request).await.ok()?;
        let taken = response.status().is_success();
        response.bytes(MAX_RESPONSE_BYTES).await.ok()?;
        Some(taken)
    };
    with_timeout(posting).await.unwrap_or(false)
}

async fn get<T: DeserializeOwned>(pool: &Pool, address: SocketAddr, path: &str) -> Option<T> {
    let getting = async {
        let request = new_request(Method::Get, address, path).ok()?;
        let response = pool.send(address, request).await.ok()?;
        response.json(MAX_RESPONSE_BYTES).await.ok()
    };
    with_timeout(getting).await
}

async fn with_timeout<T>(call: impl Future<Output = Option<T>>) -> Option<T> {
    let timeout = async {
        Timer::after(RESPONSE_TIMEOUT).await;
        None
    };
    future::or(call, timeout).await
}
