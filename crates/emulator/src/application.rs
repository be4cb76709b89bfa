//! An emulated application back end: any path, an answer that can be checked,
//! and a load that is reported.

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
    Running, Service, Switches, error_reply, header, json_reply, read_body, start,
};
use crate::switch_api::{Switched, route_switch};

/// How an application back end is started.
#[derive(Clone, Debug)]
pub struct ApplicationSettings {
    /// Number in the platform's list.
    pub backend: BackendId,
    /// First life.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Requests that it works on at a time; others wait.
    pub capacity: u32,
    /// Time that each request takes.
    pub service_time: Duration,
    /// Interval between two observations for the load report.
    pub load_interval: Duration,
    /// Least age of an observation when it is served.
    pub load_delay: Duration,
    /// Seed of its random choices.
    pub seed: u64,
    /// Time that each request spends on the network, both ways.
    pub round_trip: Duration,
    /// Faults in force from the start.
    pub faults: FaultSettings,
}

/// Answer of an application back end to any path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EchoBody {
    /// Attempt that this answers.
    pub attempt: String,
    /// Who answered.
    pub backend: BackendId,
    /// Method of the request.
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// [`echo_digest`] of the request.
    pub digest: Digest,
}

/// Digest of a request, for checkers to compare with the answer.
#[must_use]
pub fn echo_digest(method: &str, path: &str, body: &[u8]) -> Digest {
    let mut content = format!("{method}\n{path}\n").into_bytes();
    content.extend_from_slice(body);
    digest_of(&content)
}

/// Requests under way and what was observed of them.
struct Work {
    monitor: LoadMonitor,
    executions: ExecutionLog,
    last_echo: Option<EchoBody>,
}

/// An application back end that serves.
pub struct Application {
    settings: ApplicationSettings,
    switches: Arc<Switches>,
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
    /// When the address cannot be bound.
    pub fn start(
        executor: &Arc<Executor<'static>>,
        settings: ApplicationSettings,
    ) -> io::Result<(Arc<Self>, Running)> {
        let switches = Arc::new(Switches::new(settings.seed, settings.round_trip));
        switches.set(settings.faults.clone());
        let (interval, delay) = (settings.load_interval, settings.load_delay);
        let work = Work {
            monitor: LoadMonitor::new(interval, delay, Timestamp::ZERO),
            executions: ExecutionLog::default(),
            last_echo: None,
        };
        let application = Arc::new(Self {
            switches: switches.clone(),
            slots: Semaphore::new(settings.capacity.max(1) as usize),
            work: Mutex::new(work),
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            incarnation: AtomicU64::new(settings.incarnation.0),
            clock_start: Instant::now(),
            settings,
        });
        let listen = application.settings.listen;
        let running = start(executor, listen, switches, application.clone())?;
        Ok((application, running))
    }

    async fn route(
        self: Arc<Self>,
        mut request: Request,
        fault: Option<AnswerFault>,
    ) -> http_types::Result<Response> {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Get, LOAD_PATH) => Ok(self.stamp(json_reply(200, &self.load_report()))),
            (Method::Get, HEALTH_PATH) => Ok(self.stamp(json_reply(200, &"ok"))),
            (_, path) if path.starts_with(crate::EMULATOR_PATH) => {
                route_switch(self.as_ref(), &mut request).await
            }
            _ => self.work_on(request, fault).await,
        }
    }

    /// Answers an ordinary request.
    async fn work_on(
        &self,
        mut request: Request,
        fault: Option<AnswerFault>,
    ) -> http_types::Result<Response> {
        let body = read_body(&mut request).await?;
        let attempt = header(&request, ATTEMPT_HEADER).unwrap_or_default();
        let faults = self.switches.engine_faults();
        if faults.refuse {
            return Ok(self.stamp_attempt(refusal(), &attempt));
        }
        let echo = self.echo(&request, attempt, &body);
        if fault == Some(AnswerFault::AcceptThenDie) {
            self.run(&echo, faults.slow_factor).await;
            return Err(broken());
        }
        self.run(&echo, faults.slow_factor).await;
        let answer = self.choose_answer(echo, fault);
        Ok(self.stamp_attempt(json_reply(200, &answer), &answer.attempt))
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

    /// Waits for a slot, then for the time that the work takes.
    async fn run(&self, echo: &EchoBody, slow_factor: f64) {
        let attempt = echo.attempt.as_str().into();
        self.observe();
        let waiting = Gauge::enter(&self.waiting);
        let _slot = self.slots.acquire().await;
        drop(waiting);
        self.observe();
        let _running = Gauge::enter(&self.running);
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
        let (seen, age, sequence) = self.with_work(|work| work.monitor.serve(now));
        let scale = self.switches.engine_faults().load_scale;
        let scaled = |count: u32| (f64::from(count) * scale) as u32;
        LoadReport {
            backend: self.settings.backend,
            incarnation: self.incarnation(),
            sequence,
            age_ms: age.as_millis() as u32,
            online_running: scaled(seen.counts.online_running),
            online_waiting: scaled(seen.counts.online_waiting),
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

    /// Records what held until now; call it before the counts change.
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

    fn stamp_attempt(&self, response: Response, attempt: &str) -> Response {
        let mut response = self.stamp(response);
        if !attempt.is_empty() {
            response.insert_header(ATTEMPT_HEADER, attempt);
        }
        response
    }

    fn stamp(&self, mut response: Response) -> Response {
        let running = self.running.load(Ordering::Relaxed);
        let waiting = self.waiting.load(Ordering::Relaxed);
        let scale = self.switches.engine_faults().load_scale;
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

impl Switched for Application {
    fn faults(&self) -> FaultSettings {
        self.switches.faults()
    }

    fn set_faults(&self, faults: FaultSettings) {
        self.switches.set(faults);
    }

    fn crash(&self, down: Duration) {
        // Connections end first, so that none of them sees the next life.
        self.switches.crash(down);
        self.incarnation.fetch_add(1, Ordering::Relaxed);
    }

    fn executions(&self) -> ExecutionLog {
        self.with_work(|work| work.executions.clone())
    }
}

impl Service for Application {
    fn is_work(&self, path: &str) -> bool {
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

/// Counts one request for as long as it lives, also when it is dropped because
/// its connection broke.
struct Gauge<'a>(&'a AtomicU32);

impl<'a> Gauge<'a> {
    fn enter(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Gauge<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn refusal() -> Response {
    let message = "the application refuses work";
    error_reply(503, "refusing", message, RunOutcome::NotRun, Some(1_000))
}

/// Closes the connection without an answer.
fn broken() -> http_types::Error {
    http_types::Error::from_str(StatusCode::InternalServerError, "connection broken")
}
