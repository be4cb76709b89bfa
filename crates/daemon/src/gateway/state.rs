//! State shared by the modules of one gateway.

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
use super::admin::RecentPlans;
use super::admission::AdmissionQueues;
use super::batch_driver::BatchDriver;
use super::clock::Clock;
use super::configuration::ActiveConfiguration;
use super::engine_client::EngineClient;
use super::events::Events;
use super::loads::LoadPolls;
use super::metrics::GatewayMetrics;
use super::options::GatewayOptions;
use super::pick::Pickers;
use super::placement::PlacementState;
use crate::cluster::Cluster;

/// Name of the thread that runs batch work.
const BATCH_THREAD: &str = "gateway-batch";
/// Low bits of an attempt ID's node part that carry the node's incarnation.
const INCARNATION_BITS: u32 = 48;

/// State shared by the modules of one gateway.
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
    pub(super) configuration: ActiveConfiguration,
    pub(super) admission: AdmissionQueues,
    pub(super) pickers: Pickers,
    pub(super) batch: BatchDriver,
    pub(super) loads: LoadPolls,
    pub(super) placement: PlacementState,
    pub(super) plans: RecentPlans,
    /// Set once a graceful stop has begun.
    draining: AtomicBool,
    /// Closed once new requests are refused.
    stopping: (Sender<()>, Receiver<()>),
    /// Contains a message while the candidates are stale.
    candidates_stale: (Sender<()>, Receiver<()>),
    /// Executor of batch work, on a dedicated thread.
    batch_executor: Arc<Executor<'static>>,
    directory: Mutex<Directory>,
    gateways: Mutex<GatewaySet>,
    ownership: Mutex<Ownership>,
    /// Registered zones of the nodes.
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
            configuration: ActiveConfiguration::new(options.currency_bound),
            admission: AdmissionQueues::new(options.admission.clone()),
            pickers: Pickers::new(
                options.pick.clone(),
                options.zone.clone(),
                u64::from(options.node.0),
            ),
            batch: BatchDriver::new(&options),
            loads: LoadPolls::default(),
            placement: PlacementState::default(),
            plans: RecentPlans::default(),
            draining: AtomicBool::new(false),
            stopping: async_channel::bounded(1),
            candidates_stale: async_channel::bounded(1),
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

    /// Returns an attempt ID that no node has used before.
    pub(super) fn next_attempt(&self) -> AttemptId {
        let incarnation = self.options.incarnation.0 & ((1 << INCARNATION_BITS) - 1);
        AttemptId {
            node: (u64::from(self.options.node.0) << INCARNATION_BITS) | incarnation,
            sequence: self.last_attempt.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// Whether a graceful stop has begun.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Marks the beginning of a graceful stop.
    pub(super) fn begin_drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Marks that new requests are refused from now on.
    pub(super) fn begin_stopping(&self) {
        self.stopping.0.close();
    }

    /// Resolves once new requests are refused.
    pub(super) async fn stopping(&self) {
        let _closed = self.stopping.1.recv().await;
    }

    /// Marks the candidates as stale; many changes cause a single update.
    pub(super) fn mark_candidates_stale(&self) {
        // A full channel already marks them as stale.
        let _result = self.candidates_stale.0.try_send(());
    }

    /// Resolves once the candidates are stale.
    pub(super) async fn candidates_stale(&self) {
        let _result = self.candidates_stale.1.recv().await;
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

    /// Runs `work` until it completes or the gateway stops.
    pub(super) fn spawn_background(&self, work: impl Future<Output = ()> + Send + 'static) {
        let task = self.executor.spawn(work);
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.push(task);
    }

    /// Runs `work` to completion; meant for short, bounded work.
    pub(super) fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        self.executor.spawn(work).detach();
    }

    /// Runs batch work to completion. It has a dedicated thread, so that online
    /// requests do not wait for it.
    pub(super) fn spawn_batch(&self, work: impl Future<Output = ()> + Send + 'static) {
        self.batch_executor.spawn(work).detach();
    }

    /// Starts the batch thread; it ends once `stopped` is closed.
    ///
    /// # Errors
    /// When the operating system cannot create a thread.
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

    /// Cancels every background task.
    pub(super) async fn stop_background(&self) {
        for task in self.take_background() {
            task.cancel().await;
        }
    }

    /// Takes every background task; dropping a task cancels it.
    pub(super) fn take_background(&self) -> Vec<Task<()>> {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *tasks)
    }
}
