//! All emulated services of a fleet in one process.

mod settings;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use molespan_engine_api::{Machine, MachineKind, MachineState, WeightManifest};
use molespan_types::{BackendId, Incarnation, ServiceName, ZoneName};

use crate::application::{Application, ApplicationSettings};
use crate::engine::{EngineSettings, ExecutionLog};
use crate::engine_server::{EngineServer, EngineServerSettings};
use crate::faults::FaultSettings;
use crate::platform::{Platform, PlatformSettings};
use crate::server::{Running, ServiceControls};
use crate::switch_api::ControlledBackend;
use crate::weight_store::{WeightStore, WeightStoreSettings};

pub use settings::FleetSettings;

/// Initial incarnation of every machine.
const FIRST_INCARNATION: Incarnation = Incarnation(1);

/// Handle for controlling one back end.
#[derive(Clone)]
pub enum BackendHandle {
    /// An engine.
    Engine(Arc<EngineServer>),
    /// An application back end.
    Application(Arc<Application>),
}

impl BackendHandle {
    /// Replaces the active faults.
    pub fn set_faults(&self, faults: FaultSettings) {
        self.controlled().set_faults(faults);
    }

    /// Crashes the back end and starts its next incarnation after `down`.
    pub fn crash(&self, down: Duration) {
        self.controlled().crash(down);
    }

    /// Returns the execution counts.
    #[must_use]
    pub fn executions(&self) -> ExecutionLog {
        self.controlled().executions()
    }

    fn controlled(&self) -> &dyn ControlledBackend {
        match self {
            Self::Engine(engine) => engine.as_ref(),
            Self::Application(application) => application.as_ref(),
        }
    }
}

/// One back end of a fleet.
#[derive(Clone)]
pub struct Member {
    /// Initial entry in the platform list.
    pub machine: Machine,
    /// Listen address.
    pub address: SocketAddr,
    /// Control handle.
    pub handle: BackendHandle,
}

/// A running fleet; it stops when dropped.
pub struct Fleet {
    /// Engines, then application back ends, ordered by identifier.
    pub members: Vec<Member>,
    /// Address of the platform list.
    pub platform_address: SocketAddr,
    /// Control handle of the platform list.
    pub platform: Arc<Platform>,
    /// Address of the weight store.
    pub weights_address: SocketAddr,
    /// Control handle of the weight store.
    pub weights: Arc<WeightStore>,
    controls: Vec<Arc<ServiceControls>>,
}

impl Fleet {
    /// Starts every emulated service on `executor`.
    ///
    /// # Errors
    /// If an address cannot be bound.
    pub fn start(executor: &Arc<Executor<'static>>, settings: &FleetSettings) -> io::Result<Self> {
        let mut starter = Starter {
            executor,
            settings,
            next_port: settings.first_port,
            next_backend: 1,
            controls: Vec::new(),
            members: Vec::new(),
        };
        let (platform_listen, weights_listen) = (starter.next_address(), starter.next_address());
        let weights = WeightStoreSettings {
            listen: weights_listen,
            weights: settings.weights.clone(),
            bytes_per_second: settings.store_bytes_per_second,
            burst_bytes: settings.store_burst_bytes,
        };
        let (weights, weights_running) = WeightStore::start(executor, weights)?;
        starter.start_backends(weights_running.address)?;
        let machines = starter.machines();
        let platform = PlatformSettings {
            listen: platform_listen,
            lag: Duration::from_millis(settings.platform_lag_ms),
            machines,
        };
        let (platform, platform_running) = Platform::start(executor, platform)?;
        let Starter {
            mut controls,
            members,
            ..
        } = starter;
        controls.push(weights_running.controls);
        controls.push(platform_running.controls);
        Ok(Self {
            members,
            platform_address: platform_running.address,
            platform,
            weights_address: weights_running.address,
            weights,
            controls,
        })
    }

    /// Returns the initial platform list of the back ends.
    #[must_use]
    pub fn machines(&self) -> Vec<Machine> {
        self.members
            .iter()
            .map(|member| member.machine.clone())
            .collect()
    }

    /// Returns the back end with identifier `id`.
    #[must_use]
    pub fn member(&self, id: BackendId) -> Option<&Member> {
        self.members.iter().find(|member| member.machine.id == id)
    }

    /// Stops every emulated service.
    pub fn stop(&self) {
        for controls in &self.controls {
            controls.stop();
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Assigns addresses and identifiers to back ends and starts them.
struct Starter<'a> {
    executor: &'a Arc<Executor<'static>>,
    settings: &'a FleetSettings,
    next_port: u16,
    next_backend: u32,
    controls: Vec<Arc<ServiceControls>>,
    members: Vec<Member>,
}

impl Starter<'_> {
    fn start_backends(&mut self, weights: SocketAddr) -> io::Result<()> {
        for position in 0..self.settings.engines {
            self.start_engine(position, weights)?;
        }
        for position in 0..self.settings.applications {
            self.start_application(position)?;
        }
        Ok(())
    }

    /// Returns the next address of the port range, or one with port 0 if the
    /// ports are chosen by the system.
    fn next_address(&mut self) -> SocketAddr {
        let port = self.next_port;
        if port != 0 {
            self.next_port = port.saturating_add(1);
        }
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    fn next_backend_id(&mut self) -> BackendId {
        let id = BackendId(self.next_backend);
        self.next_backend += 1;
        id
    }

    fn zone(&self, position: u32) -> ZoneName {
        let zones = &self.settings.zones;
        let position = position as usize % zones.len().max(1);
        zones.get(position).cloned().unwrap_or_default()
    }

    fn seed(&self, backend: BackendId) -> u64 {
        self.settings.seed.wrapping_add(u64::from(backend.0))
    }

    fn start_engine(&mut self, position: u32, weights: SocketAddr) -> io::Result<()> {
        let backend = self.next_backend_id();
        let settings = EngineServerSettings {
            engine: EngineSettings {
                backend,
                incarnation: FIRST_INCARNATION,
                model: self.settings.engine.clone(),
                models: vec![self.settings.model.clone()],
            },
            listen: self.next_address(),
            weights: Some(weights),
            load_bytes_per_second: self.settings.load_bytes_per_second,
            seed: self.seed(backend),
            round_trip: self.round_trip(),
            faults: FaultSettings::default(),
        };
        let (engine, running) = EngineServer::start(self.executor, settings)?;
        let service = self.settings.service.clone();
        let handle = BackendHandle::Engine(engine);
        self.add(
            backend,
            MachineKind::Engine,
            position,
            service,
            running,
            handle,
        );
        Ok(())
    }

    fn start_application(&mut self, position: u32) -> io::Result<()> {
        let backend = self.next_backend_id();
        let settings = ApplicationSettings {
            backend,
            incarnation: FIRST_INCARNATION,
            listen: self.next_address(),
            capacity: self.settings.application_capacity,
            service_time: Duration::from_micros(self.settings.application_micros),
            load_interval: Duration::from_micros(self.settings.engine.load_interval_micros),
            load_delay: Duration::from_micros(self.settings.engine.load_delay_micros),
            seed: self.seed(backend),
            round_trip: self.round_trip(),
            faults: FaultSettings::default(),
        };
        let (application, running) = Application::start(self.executor, settings)?;
        let service = self.settings.application_service.clone();
        let handle = BackendHandle::Application(application);
        let kind = MachineKind::Application;
        self.add(backend, kind, position, service, running, handle);
        Ok(())
    }

    fn round_trip(&self) -> Duration {
        Duration::from_micros(2 * self.settings.one_way_micros)
    }

    fn add(
        &mut self,
        id: BackendId,
        kind: MachineKind,
        position: u32,
        service: ServiceName,
        running: Running,
        handle: BackendHandle,
    ) {
        let machine = Machine {
            id,
            incarnation: FIRST_INCARNATION,
            kind,
            address: running.address.to_string(),
            zone: self.zone(position),
            service,
            state: MachineState::Live,
        };
        self.controls.push(running.controls);
        self.members.push(Member {
            machine,
            address: running.address,
            handle,
        });
    }

    fn machines(&self) -> Vec<Machine> {
        self.members
            .iter()
            .map(|member| member.machine.clone())
            .collect()
    }
}

/// Returns the weight store's manifest of a model or adapter.
#[must_use]
pub fn model_weights(name: &str, version: u32, bytes: u64) -> WeightManifest {
    WeightManifest {
        name: name.to_owned(),
        version,
        bytes,
    }
}
