//! A store node: its replica, the items that it hands out while it is the leader, and its
//! view of the cluster.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::{Executor, LocalExecutor};
use async_io::Timer;
use futures_lite::future;
use molespan_daemon::DaemonError;
use molespan_daemon::boot_clock::BootClock;
use molespan_daemon::cluster::Cluster;
use molespan_daemon::replica::{ReplicaOptions, ReplicaRole};
use molespan_daemon::wall_clock::unix_millis;
use molespan_replica::{Discovery, ReplicaStatus};
use molespan_state::batch::{BatchAnswer, BatchCommand, BatchQuery};
use molespan_state::declared::{DeclaredCommand, RegisterStore};
use molespan_telemetry::part_logger;
use molespan_types::{GroupId, NodeId, ZoneName};
use molespan_wire::{Consistency, Request, Server, ServerLimits, WatcherKind};
use slog::{Logger, info, warn};

use super::emptied::ReportedRetirements;
use super::peer::PeerHandler;
use crate::membership::{ClusterAddresses, SEGMENT_BYTES, cluster, replica_options, start_replica};
use crate::view::{Topology, TopologyView, ViewUpdate};
use crate::watch::{ViewSink, ViewWatcher, WatcherIdentity};

/// Interval between rounds of upkeep.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum interval between wakeups of gateways that wait for items. Each wakeup reads
/// the open items again, at a cost that grows with their number.
const MIN_WAKE_INTERVAL: Duration = Duration::from_millis(25);
/// Time for which the first start of a cluster waits for the full number of stores.
const FOUNDING_TIMEOUT: Duration = Duration::from_secs(5);
/// Deadline of a registration.
const REGISTER_DEADLINE: Duration = Duration::from_secs(2);
/// Number of upkeep rounds between two removals of jobs past their retention time.
const ROUNDS_PER_CLEANUP: u32 = 20;

/// Options of a store node.
#[derive(Clone, Debug)]
pub struct StoreOptions {
    /// Addresses of the nodes.
    pub addresses: ClusterAddresses,
    /// Name of the store for operators.
    pub name: String,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Directory of persistent data.
    pub data_folder: PathBuf,
    /// Number of simultaneous machine failures to tolerate.
    pub tolerated_failures: u32,
    /// Retention time of jobs after submission.
    pub keep_jobs_for: Duration,
    /// Time limit for transferring leadership before a planned stop.
    pub hand_over_within: Duration,
    /// Memory limit of the process in bytes; `None` if it is unlimited.
    pub memory: Option<u64>,
}

/// Divisor of the memory limit that gives the size of the log before a snapshot replaces
/// it. The state is in memory too, and a second time while a snapshot is written or read.
const LOG_MEMORY_DIVISOR: u64 = 8;
/// Minimum and maximum size of the log between two snapshots, in bytes.
const SNAPSHOT_BYTES: RangeInclusive<u64> = 2 << 20..=64 << 20;

impl StoreOptions {
    fn replicas(&self) -> u32 {
        2 * self.tolerated_failures + 1
    }

    /// Returns the size of the log, in bytes, after which a snapshot is taken.
    #[must_use]
    pub fn snapshot_bytes(&self) -> u64 {
        let memory = self.memory.unwrap_or(u64::MAX);
        (memory / LOG_MEMORY_DIVISOR).clamp(*SNAPSHOT_BYTES.start(), *SNAPSHOT_BYTES.end())
    }

    fn replica(&self) -> ReplicaOptions {
        let mut members = Discovery::new(GroupId::BATCH);
        members.voters = self.replicas() as usize;
        let ClusterAddresses {
            own, store_port, ..
        } = self.addresses;
        ReplicaOptions {
            hand_over_within: self.hand_over_within,
            segment_bytes: SEGMENT_BYTES.min(self.snapshot_bytes() / 2),
            snapshot_every_bytes: self.snapshot_bytes(),
            ..replica_options(own, members, store_port, self.data_folder.clone())
        }
    }
}

/// A running store node.
pub struct StoreNode {
    options: StoreOptions,
    replica: Arc<ReplicaRole>,
    handler: Arc<PeerHandler>,
    control: Arc<Cluster>,
    topology: RefCell<Topology>,
    topology_view: RefCell<TopologyView>,
    clock: BootClock,
    /// Stores that this node has reported as empty.
    reported_retirements: RefCell<ReportedRetirements>,
    /// Incarnation of the disk that is registered with the control group.
    registered: RefCell<Option<u32>>,
    logger: Logger,
}

impl ViewSink for StoreNode {
    fn update(&self, from: NodeId, update: ViewUpdate) {
        let changed = update.topology.is_some();
        let now = self.clock.now();
        let mut view = self.topology_view.borrow_mut();
        view.record(from, update.topology, now);
        if !changed {
            return;
        }
        let topology = view.current(now);
        if !topology.founders.is_empty() {
            self.replica.found(topology.founders.clone());
        }
        let contacts = topology.stores.clone();
        self.replica
            .set_members(contacts, topology.retiring.clone());
        if !topology.control.is_empty() {
            let control = topology.control.iter().copied().collect();
            self.control.set_replicas(control);
        }
        *self.topology.borrow_mut() = topology;
    }
}

impl StoreNode {
    /// Starts a store node that runs on `executor` and `local`.
    ///
    /// # Errors
    /// Returns an error if the data directory or an address cannot be used.
    pub fn start(
        options: StoreOptions,
        executor: &Arc<Executor<'static>>,
        local: &Rc<LocalExecutor<'static>>,
        logger: &Logger,
    ) -> Result<Rc<Self>, DaemonError> {
        let own = options.addresses.own;
        let replica = start_replica(options.replica(), executor, logger)?;
        let handler = Arc::new(PeerHandler::new(own, replica.clone()));
        let server = Server::bind(
            options.addresses.own_store_address(),
            ServerLimits::default(),
        )?;
        executor
            .spawn(server.serve(executor.clone(), handler.clone()))
            .detach();
        let wire = options.addresses.transport(executor);
        let logger = part_logger(logger, "store");
        let node = Rc::new(Self {
            control: cluster(wire.clone(), options.addresses.seeds.clone()),
            replica,
            handler,
            topology: RefCell::default(),
            topology_view: RefCell::default(),
            clock: BootClock::start(),
            reported_retirements: RefCell::default(),
            registered: RefCell::default(),
            logger: logger.clone(),
            options,
        });
        let addresses = &node.options.addresses;
        let seeds = &addresses.seeds;
        let identity = WatcherIdentity {
            node: own,
            zone: node.options.zone.clone(),
            kind: WatcherKind::Store,
        };
        let _watcher = ViewWatcher::start(identity, seeds, wire, local, logger, node.clone());
        let waking = node.clone();
        local.spawn(async move { waking.wake().await }).detach();
        let upkeep = node.clone();
        local.spawn(async move { upkeep.upkeep().await }).detach();
        info!(node.logger, "started"; "node" => own.address().to_string());
        Ok(node)
    }

    /// Wakes gateways that wait for items after changes, batching changes in quick
    /// succession.
    async fn wake(&self) {
        loop {
            self.replica.changed().await;
            self.handler.record_change();
            let deadline = Instant::now() + MIN_WAKE_INTERVAL;
            while self.changes_before(deadline).await {
                self.handler.record_change();
            }
            self.handler.wake().await;
        }
    }

    async fn changes_before(&self, deadline: Instant) -> bool {
        let changed = async {
            self.replica.changed().await;
            true
        };
        let timeout = async {
            Timer::at(deadline).await;
            false
        };
        future::or(changed, timeout).await
    }

    async fn upkeep(&self) {
        let started = Instant::now();
        let mut rounds = 0_u32;
        loop {
            if let Some(status) = self.replica.status().await {
                self.register(&status, started.elapsed()).await;
                if self.handler.update_leadership() {
                    self.report_retirements(&status).await;
                    if rounds.is_multiple_of(ROUNDS_PER_CLEANUP) {
                        self.remove_old_jobs().await;
                    }
                }
            }
            rounds = rounds.wrapping_add(1);
            Timer::after(UPKEEP_INTERVAL).await;
        }
    }

    /// Registers this incarnation of the disk with the control group. After a while it
    /// allows the batch group to be bootstrapped with fewer stores.
    async fn register(&self, status: &ReplicaStatus, waited: Duration) {
        let founded = !self.topology.borrow().founders.is_empty();
        let wait_timed_out = !founded && waited >= FOUNDING_TIMEOUT;
        let known = *self.registered.borrow() == Some(status.incarnation);
        if known && !wait_timed_out {
            return;
        }
        let command = DeclaredCommand::RegisterStore(RegisterStore {
            node: status.node,
            name: self.options.name.clone(),
            zone: self.options.zone.clone(),
            incarnation: status.incarnation,
            replicas: self.options.replicas(),
            wait_timed_out,
        });
        match self
            .control
            .change_declared(command, REGISTER_DEADLINE)
            .await
        {
            Ok(_) => {
                info!(self.logger, "registered"; "incarnation" => status.incarnation);
                *self.registered.borrow_mut() = Some(status.incarnation);
            }
            Err(error) => warn!(self.logger, "could not be registered"; "error" => %error),
        }
    }

    /// Reports each retired store as empty once its node is no longer a member of this
    /// group or the control group.
    async fn report_retirements(&self, status: &ReplicaStatus) {
        let Topology {
            retiring, control, ..
        } = self.topology.borrow().clone();
        let Some(group) = status.groups.first().filter(|group| group.leads) else {
            return;
        };
        let members = group.voters.iter().chain(&group.learners);
        let members = members.map(|(node, _)| *node);
        let group_members: BTreeSet<NodeId> = members.chain(control).collect();
        let due = self
            .reported_retirements
            .borrow_mut()
            .due(&retiring, &group_members);
        if group.voters.len() < self.options.replicas() as usize {
            return;
        }
        for node in due {
            let command = DeclaredCommand::RetirementCompleted { node };
            let noted = self
                .control
                .change_declared(command, REGISTER_DEADLINE)
                .await;
            info!(self.logger, "store is empty"; "node" => node.address().to_string(),
                "noted" => noted.is_ok());
            if noted.is_ok() {
                self.reported_retirements.borrow_mut().mark_reported(node);
            }
        }
    }

    async fn remove_old_jobs(&self) {
        let submission_times = self
            .handler
            .query(&BatchQuery::SubmissionTimes, Consistency::Local)
            .await;
        let Some(BatchAnswer::SubmissionTimes(submission_times)) = submission_times else {
            return;
        };
        let keep = self.options.keep_jobs_for.as_millis() as u64;
        let limit = unix_millis().saturating_sub(keep);
        for (job, submitted_ms) in submission_times {
            if submitted_ms >= limit {
                continue;
            }
            let request = Request::Propose {
                group: GroupId::BATCH,
                command: molespan_state::encode(&BatchCommand::Forget { job }).into(),
            };
            let _retried_next_time = self.replica.handle_peer(request).await;
        }
    }

    /// Completes when the replica fails.
    pub async fn failed(&self) {
        let _error = self.replica.ended().await;
    }

    /// Transfers leadership and stops the replica.
    pub async fn stop(&self) {
        let handover = self.replica.stop().await;
        info!(self.logger, "stopped"; "handed_over" => handover.handed_over.len());
    }
}
