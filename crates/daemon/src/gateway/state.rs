//! What the parts of one gateway share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

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
    pub(super) draining: AtomicBool,
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
            clock: Clock::new(),
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
