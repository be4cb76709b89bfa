//! Injects scheduled faults under load.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_io::Timer;
use molespan_emulator::platform::{SET_STATE_PATH, StateChange};
use molespan_emulator::switch_api::{CRASH_PATH, CrashRequest};
use molespan_engine_api::MachineState;
use molespan_http::Pool;
use molespan_types::BackendId;
use serde::{Deserialize, Serialize};

use super::fleet::Fleet;
use super::measure::engines::{execution_log, post_control_request};

/// Times of the faults, as shares of the measured time.
const ENGINE_KILLED_AT: f64 = 0.10;
const ENGINE_LEAVES_AT: f64 = 0.25;
const GATEWAY_STOPS_AT: f64 = 0.45;
const ZONE_CUT_AT: f64 = 0.70;
/// Time until a killed engine restarts.
const ENGINE_DOWN: Duration = Duration::from_secs(3);
/// Duration of the partition of a zone.
const ZONE_CUT_DURATION: Duration = Duration::from_secs(4);
/// Indexes of the zones affected by the faults.
const KILLED_ENGINE_ZONE: usize = 0;
const LEAVING_ENGINE_ZONE: usize = 1;
const STOPPED_GATEWAY_ZONE: usize = 1;
const CUT_ZONE: usize = 2;
/// Timeout for a gateway to stop after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(75);
/// Interval between polls of a leaving engine's executions.
const LEAVING_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a leaving engine is polled.
const LEAVING_POLL_DURATION: Duration = Duration::from_secs(8);
/// Interval between checks whether a gateway has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Figures of the injected faults.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FaultFigures {
    /// Time from the platform's notice that an engine is leaving to the last request
    /// that the engine started, in seconds. The notice is visible in the list only
    /// after the lag of the list.
    pub leaving_last_request_s: Option<f64>,
    /// Requests that the leaving engine started while it was polled.
    pub leaving_requests: u64,
    /// Duration of the planned stop of a gateway, in seconds.
    pub gateway_stop_s: Option<f64>,
    /// Whether the gateway exited in time and successfully.
    pub gateway_stop_clean: bool,
    /// Faults that could not be injected.
    pub problems: Vec<String>,
}

/// Injects the faults.
pub struct FaultDriver {
    fleet: Arc<Mutex<Fleet>>,
    pool: Pool,
    start: Instant,
    length: Duration,
    figures: Mutex<FaultFigures>,
}

impl FaultDriver {
    /// Creates a driver that injects the faults within `length` from `start`.
    #[must_use]
    pub fn new(fleet: Arc<Mutex<Fleet>>, pool: Pool, start: Instant, length: Duration) -> Self {
        Self {
            fleet,
            pool,
            start,
            length,
            figures: Mutex::default(),
        }
    }

    /// Injects every fault at its time and waits for its end.
    pub async fn run(&self) -> FaultFigures {
        let engines = futures_lite::future::zip(self.kill_engine(), self.mark_engine_leaving());
        let nodes = futures_lite::future::zip(self.stop_gateway(), self.cut_zone());
        futures_lite::future::zip(engines, nodes).await;
        let figures = self.figures.lock().unwrap_or_else(PoisonError::into_inner);
        figures.clone()
    }

    async fn wait_until(&self, share: f64) {
        Timer::at(self.start + self.length.mul_f64(share)).await;
    }

    /// Crashes an engine. Its execution log survives the restart.
    async fn kill_engine(&self) {
        self.wait_until(ENGINE_KILLED_AT).await;
        let Some((_, engine)) = self.engine_in(KILLED_ENGINE_ZONE, 0) else {
            return self.record_problem("no engine to kill");
        };
        let crash = CrashRequest {
            down_ms: ENGINE_DOWN.as_millis() as u64,
        };
        // The response is lost with the connection.
        post_control_request(&self.pool, engine, CRASH_PATH, &crash).await;
    }

    /// Marks an engine as leaving in every platform list and polls its executions.
    async fn mark_engine_leaving(&self) {
        self.wait_until(ENGINE_LEAVES_AT).await;
        let Some((id, engine)) = self.engine_in(LEAVING_ENGINE_ZONE, 0) else {
            return self.record_problem("no engine to leave");
        };
        let change = StateChange {
            id,
            state: MachineState::Leaving,
        };
        let marked = Instant::now();
        for platform in self.platforms() {
            if !post_control_request(&self.pool, platform, SET_STATE_PATH, &change).await {
                self.record_problem("a platform list did not take the change");
            }
        }
        self.poll_leaving_engine(engine, marked).await;
    }

    async fn poll_leaving_engine(&self, engine: SocketAddr, marked: Instant) {
        let mut first = None;
        let mut last = 0;
        let mut last_at = Duration::ZERO;
        while marked.elapsed() < LEAVING_POLL_DURATION {
            if let Some(log) = execution_log(&self.pool, engine).await {
                let started = log.attempts.len() as u64;
                first.get_or_insert(started);
                if started > last {
                    last = started;
                    last_at = marked.elapsed();
                }
            }
            Timer::after(LEAVING_POLL_INTERVAL).await;
        }
        let mut figures = self.lock();
        figures.leaving_last_request_s = first.map(|_| last_at.as_secs_f64());
        figures.leaving_requests = last - first.unwrap_or(last);
    }

    /// Stops a gateway gracefully, waits for its end and restarts it.
    async fn stop_gateway(&self) {
        self.wait_until(GATEWAY_STOPS_AT).await;
        let asked = Instant::now();
        let sent = self.with_fleet(|fleet| fleet.terminate_gateway(STOPPED_GATEWAY_ZONE));
        if let Err(error) = sent {
            return self.record_problem(&error.to_string());
        }
        while asked.elapsed() < STOP_TIMEOUT {
            let exit = self.with_fleet(|fleet| fleet.gateway_exit(STOPPED_GATEWAY_ZONE));
            if let Some(clean) = exit {
                let mut figures = self.lock();
                figures.gateway_stop_s = Some(asked.elapsed().as_secs_f64());
                figures.gateway_stop_clean = clean;
                break;
            }
            Timer::after(EXIT_POLL_INTERVAL).await;
        }
        let restarted = self.with_fleet(|fleet| fleet.restart_gateway(STOPPED_GATEWAY_ZONE));
        if let Err(error) = restarted {
            self.record_problem(&error.to_string());
        }
    }

    /// Partitions a zone from the others for [`ZONE_CUT_DURATION`].
    async fn cut_zone(&self) {
        self.wait_until(ZONE_CUT_AT).await;
        self.with_fleet(|fleet| fleet.network.set_cut(CUT_ZONE, true));
        Timer::after(ZONE_CUT_DURATION).await;
        self.with_fleet(|fleet| fleet.network.set_cut(CUT_ZONE, false));
    }

    /// Returns the engine at `position` within a zone.
    fn engine_in(&self, zone: usize, position: usize) -> Option<(BackendId, SocketAddr)> {
        self.with_fleet(|fleet| {
            let engines = fleet.engines().filter(|engine| engine.zone == zone);
            let mut engines = engines.map(|engine| (engine.machine.id, engine.address));
            engines.nth(position)
        })
    }

    fn platforms(&self) -> Vec<SocketAddr> {
        self.with_fleet(|fleet| fleet.platforms.clone())
    }

    fn with_fleet<T>(&self, call: impl FnOnce(&mut Fleet) -> T) -> T {
        let mut fleet = self.fleet.lock().unwrap_or_else(PoisonError::into_inner);
        call(&mut fleet)
    }

    fn record_problem(&self, text: &str) {
        self.lock().problems.push(text.to_owned());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, FaultFigures> {
        self.figures.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
