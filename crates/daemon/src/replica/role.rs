//! Start and stop of the replica role.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_executor::Task;
use async_io::Timer;
use futures_lite::future;
use molespan_replica::{Input, ReplicaCore, ReplicaError, ReplicaStatus};
use molespan_storage::RealDisk;
use molespan_telemetry::part_logger;
use molespan_types::{GroupId, NodeId};
use molespan_wire::{Request, Response};
use slog::{Logger, error, info, warn};

use super::driver::{Driver, DriverContext};
use super::feed::{ConfigurationFeed, trigger};
use super::heartbeats::Heartbeats;
use super::leaders::Leaders;
use super::metrics::ReplicaMetrics;
use super::orders::{Call, DriverHandle};
use super::outbox::Outbox;
use super::reporter::Reporter;
use super::service::Service;
use super::versions::VersionsInForce;
use super::{ReplicaContext, ReplicaOptions};
use crate::DaemonError;
use crate::boot_clock::BootClock;

/// How long a successor may take before another one is asked.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval between checks whether a leadership has moved.
const HAND_OVER_POLL: Duration = Duration::from_millis(10);

/// Result of handing over leaderships at a graceful stop.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HandOver {
    /// Groups that another replica now leads.
    pub handed_over: Vec<GroupId>,
    /// Groups still led at the end of the time limit; they elect a new leader
    /// after the stop.
    pub kept: Vec<GroupId>,
}

/// A running replica role.
#[derive(Debug)]
pub struct ReplicaRole {
    options: ReplicaOptions,
    driver: DriverHandle,
    leaders: Arc<Leaders>,
    service: Service,
    logger: Logger,
    /// Closed once the thread has ended; contains its error, if any.
    ended: Receiver<ReplicaError>,
    changes: Receiver<()>,
    _feed_task: Task<()>,
}

impl ReplicaRole {
    /// Opens the data folder and starts the thread. Blocks while the log is
    /// replayed.
    ///
    /// # Errors
    /// When the settings are invalid, or the disk reports an error or is damaged.
    pub fn start(context: ReplicaContext) -> Result<Self, DaemonError> {
        let ReplicaContext {
            options,
            executor,
            logger,
            metrics,
            events,
        } = context;
        let logger = part_logger(&logger, "replica");
        let seed = rand::random();
        let clock = BootClock::start();
        let disk = RealDisk::open(&options.data_folder)?;
        let core = ReplicaCore::open(disk, options.core_settings(seed), clock.now())?;
        let outbox = Arc::new(Outbox::new(&options, &executor, seed));
        let leaders = Arc::new(Leaders::new(options.node));
        let (state_changed, changes) = trigger();
        let (trigger, triggered) = trigger();
        let driver_context = DriverContext {
            outbox: outbox.clone(),
            leaders: leaders.clone(),
            trigger,
            state_changed,
            metrics: ReplicaMetrics::new(&metrics),
            reporter: Reporter::new(logger.clone(), events),
        };
        let (driver, handle) = Driver::new(core, clock, driver_context);
        let (feed, feed_task) = ConfigurationFeed::new(handle.clone(), outbox.clone(), triggered);
        let service = Service {
            driver: handle.clone(),
            outbox,
            leaders: leaders.clone(),
            feed,
            heartbeats: Heartbeats::new(options.node_heartbeat),
            versions: VersionsInForce::default(),
        };
        let ended = spawn(driver, &logger)?;
        Ok(Self {
            options,
            driver: handle,
            leaders,
            service,
            logger,
            ended,
            changes,
            _feed_task: executor.spawn(feed_task.run()),
        })
    }

    /// Handles a request of another process.
    pub async fn handle_peer(&self, request: Request) -> Response {
        self.service.handle(request).await
    }

    /// Handles a one-way message. This does not block.
    pub fn notify(&self, request: Request) {
        self.service.notify(request);
    }

    /// Waits until a state machine changed something that watchers wait for. Never resolves
    /// once the replica has ended: a caller that looped on it would monopolize its thread.
    pub async fn changed(&self) {
        if self.changes.recv().await.is_err() {
            future::pending().await
        }
    }

    /// Sets the first voters, when members are discovered.
    pub fn found(&self, founders: BTreeMap<NodeId, u32>) {
        self.driver.input(Input::Found { founders }, 0);
    }

    /// Sets which nodes may be members and which must be removed, when members are
    /// discovered.
    pub fn set_members(&self, contacts: BTreeSet<NodeId>, retiring: BTreeSet<NodeId>) {
        self.driver.input(Input::Members { contacts, retiring }, 0);
    }

    /// Returns the leader of a group, as far as this replica knows.
    #[must_use]
    pub fn leader(&self, group: GroupId) -> Option<NodeId> {
        self.leaders.of(group)
    }

    /// Returns the replica's status; `None` once it has stopped.
    pub async fn status(&self) -> Option<ReplicaStatus> {
        self.driver.status().await
    }

    /// Whether the replica votes in each group and knows its leader. A replica that
    /// replaces a lost disk is not ready until the group can tolerate another loss.
    pub async fn is_ready(&self) -> bool {
        let Some(status) = self.status().await else {
            return false;
        };
        let led = status.groups.iter().all(|group| group.leader.is_some());
        let votes = status.votes_in().count() == status.groups.len();
        status.takes_part && led && votes
    }

    /// Returns the groups that this replica leads.
    #[must_use]
    pub fn leads(&self) -> Vec<GroupId> {
        self.leaders.led()
    }

    /// Waits until the thread has ended; returns the error that ended it.
    pub async fn ended(&self) -> Option<ReplicaError> {
        self.ended.recv().await.ok()
    }

    /// Hands over every leadership, within the time limit of the options, and ends
    /// the thread.
    pub async fn stop(&self) -> HandOver {
        let hand_over = self.hand_over().await;
        let driver = self.driver.clone();
        blocking::unblock(move || driver.stop()).await;
        let _closed = self.ended.recv().await;
        info!(self.logger, "stopped";
            "handed_over" => hand_over.handed_over.len(), "kept" => hand_over.kept.len());
        hand_over
    }

    async fn hand_over(&self) -> HandOver {
        let deadline = Instant::now() + self.options.hand_over_within;
        let led = self.leaders.led();
        let mut attempt = 0;
        while !self.leaders.led().is_empty() && Instant::now() < deadline {
            let asked = self.ask_successors(attempt).await;
            if asked == 0 && self.options.peers.len() < 2 {
                break;
            }
            self.wait_for_successors(deadline).await;
            attempt += 1;
        }
        let kept = self.leaders.led();
        let moved = led.iter().copied().filter(|group| !kept.contains(group));
        let handed_over = moved.collect();
        if !kept.is_empty() {
            warn!(self.logger, "some leaderships could not be handed over"; "groups" => kept.len());
        }
        HandOver { handed_over, kept }
    }

    /// Asks one voter of each led group to take over; later attempts ask
    /// other voters. Returns how many were asked.
    async fn ask_successors(&self, attempt: usize) -> usize {
        let Some(status) = self.status().await else {
            return 0;
        };
        let mut asked = 0;
        for group in status.groups.iter().filter(|group| group.leads) {
            let voters = group.voters.iter().map(|&(node, _)| node);
            let others: Vec<NodeId> = voters.filter(|&node| node != status.node).collect();
            if others.is_empty() {
                continue;
            }
            let to = others[(attempt + group.group.0 as usize) % others.len()];
            let group = group.group;
            let call = Call::TransferLeadership { group, to };
            if self.driver.call(call).await.is_ok() {
                asked += 1;
            }
        }
        asked
    }

    async fn wait_for_successors(&self, deadline: Instant) {
        let patience = deadline.min(Instant::now() + SUCCESSOR_TIMEOUT);
        while !self.leaders.led().is_empty() && Instant::now() < patience {
            Timer::after(HAND_OVER_POLL).await;
        }
    }
}

/// Runs the driver on a dedicated thread.
fn spawn(driver: Driver, logger: &Logger) -> Result<Receiver<ReplicaError>, DaemonError> {
    let (sender, ended) = async_channel::bounded(1);
    let logger = logger.clone();
    let work = move || {
        if let Err(failure) = driver.run() {
            error!(logger, "replica thread stopped on an error"; "error" => %failure);
            let _nobody_waits = sender.try_send(failure);
        }
    };
    let builder = thread::Builder::new().name("replica".to_owned());
    builder.spawn(work).map_err(DaemonError::Thread)?;
    Ok(ended)
}
