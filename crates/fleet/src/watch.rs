//! Follows the view of the control nodes. Each of them is watched separately, so that one
//! that is partitioned or gone causes no delay.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use molespan_daemon::cluster::PeerTransport;
use molespan_types::{NodeId, ZoneName};
use molespan_wire::{Request, Response, ViewPosition, WatchView, WatcherKind};
use slog::{Logger, debug, info};
use std::cell::RefCell;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::view::{Topology, ViewUpdate};

/// Longest time for which a control node holds a watch open.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Timeout of a watch request: the wait time plus time for the response.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before a failed watch is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time for which a control node is not relied on after it failed to answer, or after another
/// one sent a configuration first: longer than a node takes to join the group or catch up.
const UNRELIABLE_TIME: Duration = Duration::from_secs(10);
/// Maximum number of control group members that a node watches. Seeds that are not
/// members are watched in addition.
pub(crate) const MAX_WATCHED_NODES: usize = 5;

/// Receives the updates of control nodes.
pub trait ViewSink: 'static {
    /// Applies an update of a control node.
    fn update(&self, from: NodeId, update: ViewUpdate);

    /// Called when a control node is no longer watched because it left the control group.
    fn on_unwatched(&self, _node: NodeId) {}

    /// Returns the version of the newest configuration that this node has; `None` if it
    /// needs no configuration.
    fn version(&self) -> Option<u64> {
        None
    }

    /// Returns the known control nodes in the zone of this node.
    fn same_zone_control_nodes(&self) -> BTreeSet<NodeId> {
        BTreeSet::new()
    }
}

/// Identity of a watching node.
#[derive(Clone, Debug)]
pub struct WatcherIdentity {
    /// Identifier of the node.
    pub node: NodeId,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Role of the node.
    pub kind: WatcherKind,
}

/// Watches the control nodes and passes their updates to a sink.
pub struct ViewWatcher<S> {
    identity: WatcherIdentity,
    seeds: Vec<NodeId>,
    transport: Arc<dyn PeerTransport>,
    executor: Rc<LocalExecutor<'static>>,
    logger: Logger,
    sink: Rc<S>,
    watches: RefCell<BTreeMap<NodeId, Task<()>>>,
    /// Members of the control group, by the node that had applied the most, and how much.
    members: RefCell<(u64, BTreeSet<NodeId>)>,
    /// Nodes that did not send what they should have, and until when they are not relied on.
    unreliable: RefCell<BTreeMap<NodeId, Instant>>,
}

impl<S: ViewSink> ViewWatcher<S> {
    /// Starts to watch the `seeds`.
    pub fn start(
        identity: WatcherIdentity,
        seeds: &[NodeId],
        transport: Arc<dyn PeerTransport>,
        executor: &Rc<LocalExecutor<'static>>,
        logger: Logger,
        sink: Rc<S>,
    ) -> Rc<Self> {
        let watcher = Rc::new(Self {
            identity,
            seeds: seeds.to_vec(),
            transport,
            executor: executor.clone(),
            logger,
            sink,
            watches: RefCell::default(),
            members: RefCell::default(),
            unreliable: RefCell::default(),
        });
        watcher.watch_nodes(&seeds.iter().copied().collect());
        watcher
    }

    /// Starts watches of new members of `control` and ends those of nodes that are
    /// neither members nor seeds.
    fn watch_nodes(self: &Rc<Self>, control: &BTreeSet<NodeId>) {
        let mut watches = self.watches.borrow_mut();
        watches.retain(|node, _| {
            let keep = control.contains(node) || self.seeds.contains(node);
            if !keep {
                self.sink.on_unwatched(*node);
            }
            keep
        });
        let mut members = watches.keys().filter(|node| control.contains(node)).count();
        for &node in control {
            if members >= MAX_WATCHED_NODES || watches.contains_key(&node) {
                continue;
            }
            members += 1;
            let watcher = self.clone();
            let watch = async move { watcher.watch(node).await };
            watches.insert(node, self.executor.spawn(watch));
        }
    }

    /// Keeps the members that the node which has applied the most reports: one that was replaced
    /// reports those of its time.
    fn note_members(&self, topology: &Topology) {
        let mut members = self.members.borrow_mut();
        if topology.applied >= members.0 {
            *members = (topology.applied, topology.control.clone());
        }
    }

    fn note_unreliable(&self, node: NodeId, reason: &str) {
        let until = Instant::now() + UNRELIABLE_TIME;
        let known = self.unreliable.borrow_mut().insert(node, until);
        if known.is_none_or(|until| until <= Instant::now()) {
            info!(self.logger, "control node not relied on"; "node" => node.0, "reason" => reason);
        }
    }

    async fn watch(self: Rc<Self>, node: NodeId) {
        let mut position = ViewPosition::default();
        loop {
            let request = Request::WatchView(WatchView {
                node: self.identity.node,
                kind: self.identity.kind,
                position,
                wait_ms: WATCH_WAIT.as_millis() as u32,
                zone: Some(self.identity.zone.clone()),
                version: self.sink.version(),
                other_node_sends_first: self.preferred_source() != Some(node),
            });
            match self.transport.call(node, request, WATCH_TIMEOUT).await {
                Ok(Response::View {
                    position: new_position,
                    update,
                }) => {
                    position = new_position;
                    self.apply_update(node, &update);
                }
                other => {
                    debug!(self.logger, "cannot fetch view"; "from" => node.0, "answer" => ?other);
                    self.note_unreliable(node, "no answer");
                    Timer::after(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Returns the control node that should send a new configuration first: a member of the
    /// group that is relied on, in the same zone if possible. A node that is no member sends
    /// no configuration. Watchers are distributed over the candidates by hash.
    fn preferred_source(&self) -> Option<NodeId> {
        let same_zone = self.sink.same_zone_control_nodes();
        let watches = self.watches.borrow();
        let watched = watches.keys().copied();
        let (_, members) = &*self.members.borrow();
        let unreliable = self.unreliable.borrow();
        let now = Instant::now();
        watched.min_by_key(|node| {
            let hash = xxh3_64_with_seed(&node.0.to_be_bytes(), u64::from(self.identity.node.0));
            let is_relied_on = unreliable.get(node).is_none_or(|until| *until <= now);
            let is_member = members.is_empty() || members.contains(node);
            (!is_member, !is_relied_on, !same_zone.contains(node), hash)
        })
    }

    fn apply_update(self: &Rc<Self>, from: NodeId, bytes: &[u8]) {
        let Ok(update) = molespan_state::decode::<ViewUpdate>(bytes) else {
            return;
        };
        if let Some(topology) = &update.topology
            && !topology.control.is_empty()
        {
            // Spawned separately, because `watch_nodes` may end the watch that is running
            // this code.
            let watcher = self.clone();
            let control = topology.control.clone();
            self.note_members(topology);
            let follow = async move { watcher.watch_nodes(&control) };
            self.executor.spawn(follow).detach();
        }
        self.note_first_source(from, &update);
        self.sink.update(from, update);
    }

    /// Stops relying on the preferred source if another node sends a newer configuration
    /// before it.
    fn note_first_source(&self, from: NodeId, update: &ViewUpdate) {
        let Some(sent) = &update.configuration else {
            return;
        };
        let known = self.sink.version().unwrap_or_default();
        let preferred = self.preferred_source().filter(|node| *node != from);
        if let Some(preferred) = preferred
            && known > 0
            && sent.version > known
        {
            self.note_unreliable(preferred, "another node sent a configuration first");
        }
    }
}
