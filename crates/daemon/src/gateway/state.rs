//! What the parts of one gateway share.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

use async_channel::{Receiver, Sender};
use async_executor::{Executor, Task};
use molespan_membership::{
    Directory, DirectorySettings, GatewaySet, GatewaySetSettings, Ownership, OwnershipSettings,
};
use molespan_types::{AttemptId, NodeId, ZoneName};
use slog::Logger;

use super::GatewayContext;
use super::admin::PlanMemory;
use super::admission::AdmissionDesk;
use super::batch_driver::BatchDriver;
use super::clock::Clock;
use super::configuration::ConfigurationDesk;
use super::engine_client::EngineClient;
use super::events::Events;
use super::loads::LoadDesk;
use super::metrics::GatewayMetrics;
use super::options::GatewayOptions;
use super::pick::Pickers;
use super::placement::PlacementDesk;
use crate::cluster::Cluster;

/// Name of the thread of batch work.
const BATCH_THREAD: &str = "gateway-batch";
/// Bits of an attempt's node part that carry the life of the node.
const LIFE_BITS: u32 = 48;

/// What the parts of one gateway share.
#[derive(Debug)]
pub(super) struct GatewayState {
    pub(super) options: GatewayOptions,
    pub(super) executor: Arc<Executor<'static>>,
    pub(super) logger: Logger,
    pub(super) cluster: Arc<Cluster>,
    pub(super) clock: Clock,
    pub(super) events: Events,
    pub(super) metrics: GatewayMetrics,
    pub(super) engines: EngineClient,
    pub(super) configuration: ConfigurationDesk,
    pub(super) admission: AdmissionDesk,
    pub(super) pickers: Pickers,
    pub(super) batch: BatchDriver,
    pub(super) loads: LoadDesk,
    pub(super) placement: PlacementDesk,
    pub(super) plans: PlanMemory,
    /// Set once a planned stop began.
    draining: AtomicBool,
    /// Closed once new requests are refused.
    stopping: (Sender<()>, Receiver<()>),
    /// Holds a message while candidates must be worked out anew.
    stale_engines: (Sender<()>, Receiver<()>),
    /// Runs batch work, on a thread of its own.
    batch_executor: Arc<Executor<'static>>,
    directory: Mutex<Directory>,
    gateways: Mutex<GatewaySet>,
    ownership: Mutex<Ownership>,
    /// Zones of nodes, as they registered.
    zones: Mutex<BTreeMap<NodeId, ZoneName>>,
    last_attempt: AtomicU64,
    tasks: Mutex<Vec<Task<()>>>,
}

impl GatewayState {
    pub(super) fn new(context: GatewayContext) -> Self {
        let options = context.options;
        let ownership = OwnershipSettings {
            lease: options.owner_lease,
        };
        Self {
            executor: context.executor,
            logger: context.logger,
            cluster: context.cluster,
            clock: Clock::new(options.clock.clone()),
            events: Events::new(context.events),
            metrics: GatewayMetrics::new(context.metrics),
            engines: EngineClient::new(&options.timeouts),
            configuration: ConfigurationDesk::new(options.currency_bound),
            admission: AdmissionDesk::new(options.admission.clone()),
            pickers: Pickers::new(
                options.pick.clone(),
                options.zone.clone(),
                u64::from(options.node.0),
            ),
            batch: BatchDriver::new(&options),
            loads: LoadDesk::default(),
            placement: PlacementDesk::default(),
            plans: PlanMemory::default(),
            draining: AtomicBool::new(false),
            stopping: async_channel::bounded(1),
            stale_engines: async_channel::bounded(1),
            batch_executor: Arc::new(Executor::new()),
            directory: Mutex::new(Directory::new(DirectorySettings::default())),
            gateways: Mutex::new(GatewaySet::new(GatewaySetSettings::default())),
            ownership: Mutex::new(Ownership::new(options.node, ownership)),
            zones: Mutex::new(BTreeMap::new()),
            last_attempt: AtomicU64::new(0),
            tasks: Mutex::new(Vec::new()),
            options,
        }
    }

    /// An attempt that no node ever named before.
    pub(super) fn next_attempt(&self) -> AttemptId {
        let life = self.options.incarnation.0 & ((1 << LIFE_BITS) - 1);
        AttemptId {
            node: (u64::from(self.options.node.0) << LIFE_BITS) | life,
            sequence: self.last_attempt.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// Whether a planned stop began.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Notes that a planned stop began.
    pub(super) fn begin_drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Notes that new requests are refused from now on.
    pub(super) fn begin_stopping(&self) {
        self.stopping.0.close();
    }

    /// Resolves once new requests are refused.
    pub(super) async fn stopping(&self) {
        let _closed = self.stopping.1.recv().await;
    }

    /// Asks for candidates to be worked out anew, once for many changes.
    pub(super) fn refresh_engines(&self) {
        // A full channel says it already.
        let _noted = self.stale_engines.0.try_send(());
    }

    /// Resolves once candidates must be worked out anew.
    pub(super) async fn stale_engines(&self) {
        let _noted = self.stale_engines.1.recv().await;
    }

    pub(super) fn directory(&self) -> MutexGuard<'_, Directory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn gateways(&self) -> MutexGuard<'_, GatewaySet> {
        self.gateways.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn ownership(&self) -> MutexGuard<'_, Ownership> {
        self.ownership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn zones(&self) -> MutexGuard<'_, BTreeMap<NodeId, ZoneName>> {
        self.zones.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `work` until it ends or the gateway stops.
    pub(super) fn spawn_background(&self, work: impl Future<Output = ()> + Send + 'static) {
        let task = self.executor.spawn(work);
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.push(task);
    }

    /// Runs `work` to its end, for what is short and bounded.
    pub(super) fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        self.executor.spawn(work).detach();
    }

    /// Runs batch work to its end. It has a thread of its own, so that online
    /// requests wait neither for it nor behind it.
    pub(super) fn spawn_batch(&self, work: impl Future<Output = ()> + Send + 'static) {
        self.batch_executor.spawn(work).detach();
    }

    /// Starts the thread of batch work; it ends once `stopped` is closed.
    ///
    /// # Errors
    /// When the system refuses a thread.
    pub(super) fn start_batch_thread(&self, stopped: Receiver<()>) -> io::Result<()> {
        let executor = self.batch_executor.clone();
        let run = move || {
            let _closed = async_io::block_on(executor.run(stopped.recv()));
        };
        thread::Builder::new()
            .name(BATCH_THREAD.to_owned())
            .spawn(run)
            .map(drop)
    }

    /// Ends every background task.
    pub(super) async fn stop_background(&self) {
        for task in self.take_background() {
            task.cancel().await;
        }
    }

    /// Takes every background task; dropping one ends it.
    pub(super) fn take_background(&self) -> Vec<Task<()>> {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *tasks)
    }
}
