//! An emulated engine: an HTTP server around the engine core.

mod answers;
mod driver;
mod routes;
mod state;
mod weights;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::Executor;
use molespan_http::{Pool, PoolLimits};
use molespan_types::Timestamp;

use crate::engine::{EngineCore, EngineSettings, ExecutionLog};
use crate::faults::FaultSettings;
use crate::server::{Running, ServiceControls, start};
use crate::switch_api::ControlledBackend;
use state::EngineState;

/// Settings of an emulated engine server.
#[derive(Clone, Debug)]
pub struct EngineServerSettings {
    /// Settings of the engine core.
    pub engine: EngineSettings,
    /// Listen address.
    pub listen: SocketAddr,
    /// Address of the weight store; without it, weights load immediately.
    pub weights: Option<SocketAddr>,
    /// Rate at which weights are loaded, in bytes per second.
    pub load_bytes_per_second: u64,
    /// Seed of the random choices.
    pub seed: u64,
    /// Emulated network round-trip time, added to each request.
    pub round_trip: Duration,
    /// Faults active from the start.
    pub faults: FaultSettings,
}

/// A running emulated engine.
pub struct EngineServer {
    state: Mutex<EngineState>,
    controls: Arc<ServiceControls>,
    wake: Sender<()>,
    clock_start: Instant,
    weights: Option<SocketAddr>,
    load_bytes_per_second: u64,
    pool: Pool,
}

impl EngineServer {
    /// Starts an engine on `executor`.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn start(
        executor: &Arc<Executor<'static>>,
        settings: EngineServerSettings,
    ) -> io::Result<(Arc<Self>, Running)> {
        let controls = Arc::new(ServiceControls::new(settings.seed, settings.round_trip));
        let core = EngineCore::new(settings.engine, settings.seed, Timestamp::ZERO);
        let (wake, wake_receiver) = async_channel::bounded(1);
        let server = Arc::new(Self {
            state: Mutex::new(EngineState::new(core)),
            controls: controls.clone(),
            wake,
            clock_start: Instant::now(),
            weights: settings.weights,
            load_bytes_per_second: settings.load_bytes_per_second.max(1),
            pool: Pool::new(PoolLimits::default()),
        });
        server.set_faults(settings.faults);
        let running = start(executor, settings.listen, controls, server.clone())?;
        server.spawn_driver(executor, wake_receiver);
        Ok((server, running))
    }

    /// Calls the core. Wakes the driver if the call changed the next step or
    /// produced outputs.
    pub fn with_core<T>(&self, call: impl FnOnce(&mut EngineCore, Timestamp) -> T) -> T {
        let mut state = self.lock();
        let before = state.core.next_step_at();
        let result = call(&mut state.core, self.now());
        let changed = before != state.core.next_step_at() || state.core.has_outputs();
        drop(state);
        if changed {
            // If the channel is full, a wake-up is already pending.
            let _ = self.wake.try_send(());
        }
        result
    }

    fn spawn_driver(
        self: &Arc<Self>,
        executor: &Arc<Executor<'static>>,
        wake_receiver: Receiver<()>,
    ) {
        let driver = driver::drive(self.clone(), executor.clone(), wake_receiver);
        executor.spawn(driver).detach();
    }

    fn now(&self) -> Timestamp {
        Timestamp(self.clock_start.elapsed().as_micros() as u64)
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ControlledBackend for EngineServer {
    fn faults(&self) -> FaultSettings {
        self.controls.faults()
    }

    fn set_faults(&self, faults: FaultSettings) {
        let engine = faults.engine.clone();
        self.controls.set(faults);
        self.with_core(|core, now| core.set_faults(now, engine));
    }

    fn crash(&self, down: Duration) {
        // Connections are closed first, so that none of them observes the next
        // incarnation.
        self.controls.crash(down);
        let now = self.now();
        self.lock().crash(now);
    }

    fn executions(&self) -> ExecutionLog {
        self.lock().core.executions().clone()
    }
}
