//! An emulated application back end: it answers any path with a verifiable echo
//! of the request and reports its load.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use async_lock::Semaphore;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use http_types::{Method, Request, Response, StatusCode};
use molespan_engine_api::{
    ATTEMPT_HEADER, EngineRole, HEALTH_PATH, INCARNATION_HEADER, LOAD_HEADER, LOAD_PATH, LoadReport,
};
use molespan_types::{BackendId, Digest, Incarnation, RunOutcome, Timestamp, digest_of};
use serde::{Deserialize, Serialize};

use crate::engine::{Counts, ExecutionLog, LoadMonitor, Observation};
use crate::faults::{AnswerFault, FaultSettings};
use crate::server::{
    Running, Service, ServiceControls, error_reply, header, json_reply, read_body, start,
};
use crate::switch_api::{ControlledBackend, route_control};

/// Settings of an emulated application back end.
#[derive(Clone, Debug)]
pub struct ApplicationSettings {
    /// Identifier in the platform's machine list.
    pub backend: BackendId,
    /// Incarnation at start; each crash increments it.
    pub incarnation: Incarnation,
    /// Listen address.
    pub listen: SocketAddr,
    /// Concurrency limit; further requests wait.
    pub capacity: u32,
    /// Processing time of each request, without the wait for a slot.
    pub service_time: Duration,
    /// Sampling interval of the load report.
    pub load_interval: Duration,
    /// Minimum age of a load sample when it is served.
    pub load_delay: Duration,
    /// Seed of the random choices.
    pub seed: u64,
    /// Emulated network round-trip time, added to each request.
    pub round_trip: Duration,
    /// Faults active from the start.
    pub faults: FaultSettings,
}

/// Response body of an application back end for any path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EchoBody {
    /// Attempt identifier of the request.
    pub attempt: String,
    /// Back end that answered.
    pub backend: BackendId,
    /// Method of the request.
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// [`echo_digest`] of the request.
    pub digest: Digest,
}

/// Returns the digest of a request, which checkers compare with the response.
#[must_use]
pub fn echo_digest(method: &str, path: &str, body: &[u8]) -> Digest {
    let mut content = format!("{method}\n{path}\n").into_bytes();
    content.extend_from_slice(body);
    digest_of(&content)
}

/// Load samples, execution counts and the latest response.
struct Work {
    monitor: LoadMonitor,
    executions: ExecutionLog,
    last_echo: Option<EchoBody>,
}

/// A running application back end.
pub struct Application {
    settings: ApplicationSettings,
    controls: Arc<ServiceControls>,
    slots: Semaphore,
    work: Mutex<Work>,
    running: AtomicU32,
    waiting: AtomicU32,
    incarnation: AtomicU64,
    clock_start: Instant,
}

impl Application {
    /// Starts an application back end on `executor`.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn start(
        executor: &Arc<Executor<'static>>,
        settings: ApplicationSettings,
    ) -> io::Result<(Arc<Self>, Running)> {
        let controls = Arc::new(ServiceControls::new(settings.seed, settings.round_trip));
        controls.set(settings.faults.clone());
        let (interval, delay) = (settings.load_interval, settings.load_delay);
        let work = Work {
            monitor: LoadMonitor::new(interval, delay, Timestamp::ZERO),
            executions: ExecutionLog::default(),
            last_echo: None,
        };
        let application = Arc::new(Self {
            controls: controls.clone(),
            slots: Semaphore::new(settings.capacity.max(1) as usize),
            work: Mutex::new(work),
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            incarnation: AtomicU64::new(settings.incarnation.0),
            clock_start: Instant::now(),
            settings,
        });
        let listen = application.settings.listen;
        let running = start(executor, listen, controls, application.clone())?;
        Ok((application, running))
    }

    async fn route(
        self: Arc<Self>,
        mut request: Request,
        fault: Option<AnswerFault>,
    ) -> http_types::Result<Response> {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Get, LOAD_PATH) => Ok(self.add_headers(json_reply(200, &self.load_report()))),
            (Method::Get, HEALTH_PATH) => Ok(self.add_headers(json_reply(200, &"ok"))),
            (_, path) if path.starts_with(crate::EMULATOR_PATH) => {
                route_control(self.as_ref(), &mut request).await
            }
            _ => self.process(request, fault).await,
        }
    }

    /// Processes an application request, that is, neither a probe nor a control
    /// request.
    async fn process(
        &self,
        mut request: Request,
        fault: Option<AnswerFault>,
    ) -> http_types::Result<Response> {
        let body = read_body(&mut request).await?;
        let attempt = header(&request, ATTEMPT_HEADER).unwrap_or_default();
        let faults = self.controls.engine_faults();
        if faults.refuse {
            return Ok(self.add_attempt_header(refusal(), &attempt));
        }
        let echo = self.echo(&request, attempt, &body);
        if fault == Some(AnswerFault::AcceptThenDie) {
            self.run(&echo, faults.slow_factor).await;
            return Err(closed_connection());
        }
        self.run(&echo, faults.slow_factor).await;
        let answer = self.choose_answer(echo, fault);
        Ok(self.add_attempt_header(json_reply(200, &answer), &answer.attempt))
    }

    fn echo(&self, request: &Request, attempt: String, body: &[u8]) -> EchoBody {
        let url = request.url();
        let path = match url.query() {
            Some(query) => format!("{}?{query}", url.path()),
            None => url.path().to_owned(),
        };
        let method = request.method().to_string();
        EchoBody {
            digest: echo_digest(&method, &path, body),
            attempt,
            backend: self.settings.backend,
            method,
            path,
        }
    }

    /// Waits for a concurrency slot, then for the processing time.
    async fn run(&self, echo: &EchoBody, slow_factor: f64) {
        let attempt = echo.attempt.as_str().into();
        self.observe();
        let waiting = CountGuard::enter(&self.waiting);
        let _slot = self.slots.acquire().await;
        drop(waiting);
        self.observe();
        let _running = CountGuard::enter(&self.running);
        self.with_work(|work| work.executions.started(&attempt, echo.digest));
        let factor = slow_factor.clamp(0.01, 10_000.0);
        Timer::after(self.settings.service_time.mul_f64(factor)).await;
        self.observe();
        self.with_work(|work| work.executions.completed(&attempt, echo.digest));
    }

    fn choose_answer(&self, echo: EchoBody, fault: Option<AnswerFault>) -> EchoBody {
        let other = self.with_work(|work| work.last_echo.replace(echo.clone()));
        if fault != Some(AnswerFault::Crossed) {
            return echo;
        }
        other.unwrap_or_else(|| EchoBody {
            attempt: "0-0".to_owned(),
            digest: Digest(0),
            ..echo
        })
    }

    fn load_report(&self) -> LoadReport {
        self.observe();
        let now = self.now();
        let (sample, age, sequence) = self.with_work(|work| work.monitor.serve(now));
        let scale = self.controls.engine_faults().load_scale;
        let scaled = |count: u32| (f64::from(count) * scale) as u32;
        LoadReport {
            backend: self.settings.backend,
            incarnation: self.incarnation(),
            sequence,
            age_ms: age.as_millis() as u32,
            online_running: scaled(sample.counts.online_running),
            online_waiting: scaled(sample.counts.online_waiting),
            batch_running: 0,
            batch_waiting: 0,
            max_running: self.settings.capacity,
            kv_used: 0.0,
            step_micros: self.settings.service_time.as_micros() as u32,
            models: Vec::new(),
            adapters: Vec::new(),
            role: EngineRole::Mixed,
            leaving: false,
        }
    }

    /// Records a load sample if one is due. Must be called before the counts
    /// change, since the sample describes the time up to now.
    fn observe(&self) {
        let now = self.now();
        let counts = Counts {
            online_running: self.running.load(Ordering::Relaxed),
            online_waiting: self.waiting.load(Ordering::Relaxed),
            ..Counts::default()
        };
        self.with_work(|work| {
            if work.monitor.is_due(now) {
                let observation = Observation {
                    counts,
                    ..Observation::default()
                };
                work.monitor.record(now, observation);
            }
        });
    }

    fn add_attempt_header(&self, response: Response, attempt: &str) -> Response {
        let mut response = self.add_headers(response);
        if !attempt.is_empty() {
            response.insert_header(ATTEMPT_HEADER, attempt);
        }
        response
    }

    fn add_headers(&self, mut response: Response) -> Response {
        let running = self.running.load(Ordering::Relaxed);
        let waiting = self.waiting.load(Ordering::Relaxed);
        let scale = self.controls.engine_faults().load_scale;
        let load = f64::from(running + waiting) / f64::from(self.settings.capacity.max(1));
        let load = (load * scale).clamp(0.0, 1.0);
        response.insert_header(LOAD_HEADER, format!("{load:.3}"));
        response.insert_header(INCARNATION_HEADER, self.incarnation().0.to_string());
        response
    }

    fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation.load(Ordering::Relaxed))
    }

    fn now(&self) -> Timestamp {
        Timestamp(self.clock_start.elapsed().as_micros() as u64)
    }

    fn with_work<T>(&self, call: impl FnOnce(&mut Work) -> T) -> T {
        let mut work = self.work.lock().unwrap_or_else(PoisonError::into_inner);
        call(&mut work)
    }
}

impl ControlledBackend for Application {
    fn faults(&self) -> FaultSettings {
        self.controls.faults()
    }

    fn set_faults(&self, faults: FaultSettings) {
        self.controls.set(faults);
    }

    fn crash(&self, down: Duration) {
        // Connections are closed first, so that none of them observes the next
        // incarnation.
        self.controls.crash(down);
        self.incarnation.fetch_add(1, Ordering::Relaxed);
    }

    fn executions(&self) -> ExecutionLog {
        self.with_work(|work| work.executions.clone())
    }
}

impl Service for Application {
    fn accepts_answer_faults(&self, path: &str) -> bool {
        let probe = path == LOAD_PATH || path == HEALTH_PATH;
        !probe && !path.starts_with(crate::EMULATOR_PATH)
    }

    fn call(
        self: Arc<Self>,
        request: Request,
        fault: Option<AnswerFault>,
    ) -> Boxed<http_types::Result<Response>> {
        self.route(request, fault).boxed()
    }
}

/// Counts one request while the guard exists. The count is also decremented
/// when the request is dropped because its connection broke.
struct CountGuard<'a>(&'a AtomicU32);

impl<'a> CountGuard<'a> {
    fn enter(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn refusal() -> Response {
    let message = "the application refuses work";
    error_reply(503, "refusing", message, RunOutcome::NotRun, Some(1_000))
}

/// Returns the error that closes the connection without a response.
fn closed_connection() -> http_types::Error {
    http_types::Error::from_str(StatusCode::InternalServerError, "connection broken")
}
