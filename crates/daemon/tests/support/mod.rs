//! In-process gateways with one local replica and a fleet of emulated back ends.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod client;
pub mod replica;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::{Executor, Task};
use futures_lite::future::block_on;
use molespan_daemon::cluster::{Cluster, ClusterLimits};
use molespan_daemon::gateway::{DrainLimits, DrainReport, Gateway, GatewayContext, GatewayOptions};
use molespan_emulator::fleet::{Fleet, FleetSettings};
use molespan_replica::ReplicaSettings;
use molespan_state::control::{
    Change, ConfirmIntent, ConfirmReply, IntentNumber, Model, Service, ServiceKind,
};
use molespan_telemetry::{EventBuffer, EventFilter, Metrics, Watched, discard_logger};
use molespan_types::{ConfigVersion, Incarnation, ModelName, NodeId, ServiceName};

use replica::{LocalReplica, LocalTransport};

/// Maximum wait for a condition.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// The node that runs the replica.
pub const REPLICA: NodeId = NodeId(1);
/// Executor threads of the gateways, and likewise of the emulated back ends.
const THREADS: usize = 2;

/// Changes the options of a gateway before it starts.
pub type Tune = fn(&mut GatewayOptions);

/// A fleet, a replica, and gateways that are started individually.
pub struct World {
    pub executor: Arc<Executor<'static>>,
    pub fleet: Fleet,
    pub replica: Arc<LocalReplica>,
    pub transport: Arc<LocalTransport>,
    folder: tempfile::TempDir,
    _threads: Sender<()>,
}

/// A serving gateway.
pub struct RunningGateway {
    pub gateway: Gateway,
    pub address: SocketAddr,
    pub events: EventBuffer,
    stop: Sender<()>,
    served: Option<Task<DrainReport>>,
}

impl RunningGateway {
    /// Returns the decisions so far, one per line.
    pub fn decisions(&self) -> String {
        let mut subscription = self.events.subscribe(EventFilter::default(), usize::MAX);
        let mut lines = String::new();
        while let Some(Watched::Event(event)) = subscription.try_next() {
            let inputs = event.inputs.iter();
            let inputs: Vec<String> = inputs
                .map(|input| format!("{}={}", input.name, input.value))
                .collect();
            let (kind, subject) = (event.kind, event.subject);
            let reason = event.reason;
            lines.push_str(&format!(
                "{kind} {subject}: {reason} {}\n",
                inputs.join(" ")
            ));
        }
        lines
    }

    /// Begins a graceful stop.
    pub fn begin_stop(&self) {
        self.stop.close();
    }

    /// Stops gracefully and waits for the report.
    pub fn stop(mut self) -> DrainReport {
        self.stop.close();
        block_on(self.served.take().unwrap())
    }

    /// Stops immediately, as in a crash.
    pub fn kill(mut self) {
        drop(self.served.take());
    }
}

/// A small fleet: two engines and one application back end.
pub fn small_fleet() -> FleetSettings {
    FleetSettings {
        engines: 2,
        applications: 1,
        platform_lag_ms: 0,
        ..FleetSettings::archive()
    }
}

impl World {
    /// Starts a fleet and a replica, and configures the fleet's services.
    pub fn start(settings: &FleetSettings) -> Self {
        Self::tuned(settings, |_| {})
    }

    /// Like [`Self::start`], with changed replica settings.
    pub fn tuned(settings: &FleetSettings, tune: fn(&mut ReplicaSettings)) -> Self {
        let (threads, stopped) = async_channel::bounded::<()>(1);
        let executor = start_threads("gateway", &stopped);
        let fleet = Fleet::start(&start_threads("stand-in", &stopped), settings).unwrap();
        let replica = LocalReplica::tuned(REPLICA, 2, tune);
        let transport = LocalTransport::new(replica.clone());
        let world = Self {
            executor,
            fleet,
            replica,
            transport,
            folder: tempfile::tempdir().unwrap(),
            _threads: threads,
        };
        world.configure(settings);
        world
    }

    /// Creates a client of the replica.
    pub fn cluster(&self) -> Arc<Cluster> {
        let limits = ClusterLimits::default();
        let transport = self.transport.clone();
        Arc::new(Cluster::new(transport, vec![REPLICA], limits))
    }

    fn configure(&self, settings: &FleetSettings) {
        let changes = vec![
            Change::PutModel {
                name: ModelName(settings.model.clone()),
                model: Model { version: 1 },
            },
            Change::PutService {
                name: settings.service.clone(),
                service: completion_service(settings),
            },
            Change::PutService {
                name: settings.application_service.clone(),
                service: application_service(),
            },
        ];
        let reply = self.confirm(1, 0, changes);
        assert!(matches!(reply, ConfirmReply::Confirmed { .. }), "{reply:?}");
    }

    /// Confirms an intent directly at the replica.
    pub fn confirm(&self, number: u64, base: u64, changes: Vec<Change>) -> ConfirmReply {
        let intent = ConfirmIntent {
            number: IntentNumber(number),
            operator: "test".to_owned(),
            base_version: ConfigVersion(base),
            changes,
        };
        block_on(self.cluster().confirm_intent(intent)).unwrap()
    }

    /// Starts a gateway and waits until it is ready.
    pub fn gateway(&self, node: u32) -> RunningGateway {
        self.tuned_gateway(node, |_| {})
    }

    /// Like [`Self::gateway`], with changed options.
    pub fn tuned_gateway(
        &self,
        node: u32,
        tune: impl FnOnce(&mut GatewayOptions),
    ) -> RunningGateway {
        let gateway = self.unready_gateway(node, tune);
        wait_for("a ready gateway", || gateway.gateway.is_ready());
        self.wait_until_healthy(&gateway);
        gateway
    }

    /// Waits until a gateway considers every back end healthy.
    pub fn wait_until_healthy(&self, gateway: &RunningGateway) {
        let members = self.fleet.members.len();
        wait_for("healthy back ends", || {
            let backends = client::get(gateway.address, "/admin/backends").json_value();
            let backends = backends.as_array().cloned().unwrap_or_default();
            let ready = backends.iter().filter(|backend| {
                let engine = backend["kind"] == "engine";
                let models = backend["models"].as_array();
                let loaded = models.is_some_and(|all| !all.is_empty());
                backend["state"] == "healthy" && (!engine || loaded)
            });
            ready.count() >= members
        });
    }

    /// Starts a gateway without waiting until it is ready.
    pub fn unready_gateway(
        &self,
        node: u32,
        tune: impl FnOnce(&mut GatewayOptions),
    ) -> RunningGateway {
        let node = NodeId(node);
        let mut options = GatewayOptions::new(
            node,
            Incarnation(self.replica.next_incarnation()),
            self.fleet.members[0].machine.zone.clone(),
            self.folder.path().join(format!("node-{node}")),
            self.fleet.platform_address,
        );
        options.job_groups = self.replica.job_groups;
        options.item_lease = replica::LEASE;
        options.owner_lease = Duration::from_millis(400);
        options.heartbeat = Duration::from_millis(40);
        options.list_poll = Duration::from_millis(40);
        options.load_poll = Duration::from_millis(20);
        options.drain = DrainLimits {
            unready_wait: Duration::from_millis(100),
            ..DrainLimits::default()
        };
        tune(&mut options);
        let events = EventBuffer::new(node, 65_536);
        let bound = Gateway::bind(GatewayContext {
            options,
            executor: self.executor.clone(),
            logger: discard_logger(),
            metrics: Metrics::default(),
            cluster: self.cluster(),
            events: events.clone(),
        })
        .unwrap();
        let gateway = bound.gateway();
        self.transport.add_gateway(node, gateway.clone());
        let address = bound.address();
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let served = self.executor.spawn(bound.serve(async move {
            let _closed = stopped.recv().await;
        }));
        RunningGateway {
            gateway,
            address,
            events,
            stop,
            served: Some(served),
        }
    }
}

/// Starts an executor with threads called `name` that run until `stopped` is closed.
fn start_threads(name: &str, stopped: &Receiver<()>) -> Arc<Executor<'static>> {
    let executor = Arc::new(Executor::new());
    for _ in 0..THREADS {
        let executor = executor.clone();
        let stopped = stopped.clone();
        let run = move || {
            let _closed = async_io::block_on(executor.run(stopped.recv()));
        };
        let builder = std::thread::Builder::new().name(name.to_owned());
        builder.spawn(run).unwrap();
    }
    executor
}

/// Returns the completion service of a fleet.
pub fn completion_service(settings: &FleetSettings) -> Service {
    Service {
        kind: ServiceKind::Completion,
        model: Some(ModelName(settings.model.clone())),
        adapters: Vec::new(),
        max_concurrency: 256,
        max_queue: 256,
        queue_timeout_ms: 5_000,
        batch: true,
        replicas: settings.engines,
    }
}

/// Returns an application service.
pub fn application_service() -> Service {
    Service {
        kind: ServiceKind::Application,
        model: None,
        adapters: Vec::new(),
        max_concurrency: 64,
        max_queue: 64,
        queue_timeout_ms: 5_000,
        batch: false,
        replicas: 0,
    }
}

/// Returns the name of the completion service.
pub fn caption() -> ServiceName {
    ServiceName::from("caption")
}

/// Waits until `check` holds; panics after [`PATIENCE`].
pub fn wait_for(what: &str, mut check: impl FnMut() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !check() {
        assert!(Instant::now() < deadline, "no {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
