//! The emulated, rate-limited weight store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_executor::Executor;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use http_types::{Method, Request, Response};
use molespan_engine_api::{HEALTH_PATH, WEIGHTS_PATH, WeightManifest};
use molespan_types::{RunOutcome, Timestamp};

use crate::faults::{AnswerFault, FaultSettings};
use crate::server::{
    Running, Service, ServiceControls, error_reply, json_reply, not_found, read_json, start,
};
use crate::switch_api;

/// `POST` a [`WeightManifest`] to add or replace it.
pub const SET_WEIGHTS_PATH: &str = "/emulator/weights";

/// Result of a fetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fetch {
    /// The fetch is granted.
    Granted(WeightManifest),
    /// The rate limit is reached; retry after this time.
    Limited(Duration),
    /// There are no weights with the given name.
    Unknown,
}

/// The store without a clock, with a token bucket of bytes as its rate limit.
#[derive(Clone, Debug)]
pub struct WeightStoreCore {
    weights: BTreeMap<String, WeightManifest>,
    bytes_per_second: u64,
    burst_bytes: u64,
    /// Bytes available. A fetch may overdraw the budget; further fetches are
    /// limited until it is positive again.
    budget: f64,
    refilled_at: Timestamp,
}

impl WeightStoreCore {
    /// Creates a store with a full budget of `burst_bytes`.
    #[must_use]
    pub fn new(weights: Vec<WeightManifest>, bytes_per_second: u64, burst_bytes: u64) -> Self {
        let by_name = weights.into_iter().map(|entry| (entry.name.clone(), entry));
        Self {
            weights: by_name.collect(),
            bytes_per_second: bytes_per_second.max(1),
            burst_bytes: burst_bytes.max(1),
            budget: burst_bytes.max(1) as f64,
            refilled_at: Timestamp::ZERO,
        }
    }

    /// Adds or replaces weights.
    pub fn set(&mut self, manifest: WeightManifest) {
        self.weights.insert(manifest.name.clone(), manifest);
    }

    /// Fetches weights if the budget is positive.
    pub fn fetch(&mut self, now: Timestamp, name: &str) -> Fetch {
        self.refill(now);
        let Some(manifest) = self.weights.get(name) else {
            return Fetch::Unknown;
        };
        if self.budget <= 0.0 {
            let seconds = (1.0 - self.budget) / self.bytes_per_second as f64;
            return Fetch::Limited(Duration::from_secs_f64(seconds));
        }
        self.budget -= manifest.bytes as f64;
        Fetch::Granted(manifest.clone())
    }

    fn refill(&mut self, now: Timestamp) {
        let seconds = now.since(self.refilled_at).as_secs_f64();
        let refilled = self.budget + seconds * self.bytes_per_second as f64;
        self.budget = refilled.min(self.burst_bytes as f64);
        self.refilled_at = now;
    }
}

/// Settings of an emulated weight store.
#[derive(Clone, Debug)]
pub struct WeightStoreSettings {
    /// Listen address.
    pub listen: SocketAddr,
    /// Initial contents.
    pub weights: Vec<WeightManifest>,
    /// Rate limit, in bytes per second.
    pub bytes_per_second: u64,
    /// Burst size of the rate limit, in bytes.
    pub burst_bytes: u64,
}

/// A running weight store.
pub struct WeightStore {
    core: Mutex<WeightStoreCore>,
    controls: Arc<ServiceControls>,
    clock_start: Instant,
}

impl WeightStore {
    /// Starts a weight store on `executor`.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn start(
        executor: &Arc<Executor<'static>>,
        settings: WeightStoreSettings,
    ) -> io::Result<(Arc<Self>, Running)> {
        let controls = Arc::new(ServiceControls::new(0, Duration::ZERO));
        let (rate, burst) = (settings.bytes_per_second, settings.burst_bytes);
        let store = Arc::new(Self {
            core: Mutex::new(WeightStoreCore::new(settings.weights, rate, burst)),
            controls: controls.clone(),
            clock_start: Instant::now(),
        });
        let running = start(executor, settings.listen, controls, store.clone())?;
        Ok((store, running))
    }

    /// Adds or replaces weights.
    pub fn set(&self, manifest: WeightManifest) {
        self.with_core(|core, _| core.set(manifest));
    }

    async fn route(self: Arc<Self>, mut request: Request) -> http_types::Result<Response> {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Get, HEALTH_PATH) => Ok(json_reply(200, &"ok")),
            (Method::Get, path) if path.starts_with(WEIGHTS_PATH) => {
                let name = path[WEIGHTS_PATH.len()..].trim_start_matches('/');
                Ok(fetch_reply(
                    self.with_core(|core, now| core.fetch(now, name)),
                ))
            }
            (Method::Post, SET_WEIGHTS_PATH) => {
                let manifest: WeightManifest = match read_json(&mut request).await? {
                    Ok(manifest) => manifest,
                    Err(reply) => return Ok(reply),
                };
                self.set(manifest.clone());
                Ok(json_reply(200, &manifest))
            }
            (Method::Post, switch_api::FAULTS_PATH) => {
                let faults: FaultSettings = match read_json(&mut request).await? {
                    Ok(faults) => faults,
                    Err(reply) => return Ok(reply),
                };
                self.controls.set(faults.clone());
                Ok(json_reply(200, &faults))
            }
            _ => Ok(not_found()),
        }
    }

    fn with_core<T>(&self, call: impl FnOnce(&mut WeightStoreCore, Timestamp) -> T) -> T {
        let now = Timestamp(self.clock_start.elapsed().as_micros() as u64);
        let mut core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        call(&mut core, now)
    }
}

impl Service for WeightStore {
    fn accepts_answer_faults(&self, _path: &str) -> bool {
        false
    }

    fn call(
        self: Arc<Self>,
        request: Request,
        _fault: Option<AnswerFault>,
    ) -> Boxed<http_types::Result<Response>> {
        self.route(request).boxed()
    }
}

fn fetch_reply(fetch: Fetch) -> Response {
    match fetch {
        Fetch::Granted(manifest) => json_reply(200, &manifest),
        Fetch::Limited(pause) => {
            let message = "the rate limit of the weight store is reached";
            let millis = pause.as_millis() as u64;
            error_reply(
                429,
                "rate_limited",
                message,
                RunOutcome::NotRun,
                Some(millis),
            )
        }
        Fetch::Unknown => {
            let message = "there are no weights of that name";
            error_reply(404, "unknown_weights", message, RunOutcome::NotRun, None)
        }
    }
}
