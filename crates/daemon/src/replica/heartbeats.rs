//! Tracks which nodes are alive from the heartbeats sent to the control leader.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use molespan_types::{Incarnation, NodeId, ZoneName};

/// Maximum number of nodes per zone in an answer. Every node gets the same list, so that
/// all agree on the ownership; nodes beyond the limit own nothing.
const MAX_NODES_PER_ZONE: usize = 16;
/// A node counts as alive for this many heartbeat intervals after its last heartbeat.
const LIVE_HEARTBEATS: u32 = 3;
/// Heartbeat intervals for which a new leader collects heartbeats before it answers.
const WARM_UP_HEARTBEATS: f64 = 1.5;
/// How often the list is rebuilt per heartbeat interval, in addition to rebuilds after
/// changes.
const LIST_REBUILDS_PER_HEARTBEAT: u32 = 4;

/// A live node: its ID, its incarnation and whether it is draining.
pub(super) type LiveNode = (NodeId, Incarnation, bool);

/// A heartbeat of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct NodeHeartbeat {
    pub node: NodeId,
    pub incarnation: Incarnation,
    pub zone: ZoneName,
    pub draining: bool,
}

#[derive(Debug)]
struct ReceivedHeartbeat {
    heartbeat: NodeHeartbeat,
    at: Instant,
}

#[derive(Debug, Default)]
struct State {
    received: HashMap<NodeId, ReceivedHeartbeat>,
    /// The last list that was built; every heartbeat returns it.
    live: Vec<LiveNode>,
    /// When the list must be rebuilt.
    live_until: Option<Instant>,
}

/// Tracks which nodes are alive.
#[derive(Debug)]
pub(super) struct Heartbeats {
    interval: Duration,
    state: Mutex<State>,
}

impl Heartbeats {
    /// Creates a tracker for nodes that send a heartbeat every `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            state: Mutex::default(),
        }
    }

    /// Returns how much longer a leader must collect heartbeats after leading for `led_for`.
    pub fn warm_up_left(&self, led_for: Duration) -> Duration {
        let warm_up = self.interval.mul_f64(WARM_UP_HEARTBEATS);
        warm_up.saturating_sub(led_for)
    }

    /// Records a heartbeat, unless it is of an earlier incarnation.
    pub fn record(&self, heartbeat: NodeHeartbeat) {
        let mut state = self.lock();
        let node = heartbeat.node;
        let known = state.received.get(&node).map(|one| &one.heartbeat);
        if known.is_some_and(|known| known.incarnation > heartbeat.incarnation) {
            return;
        }
        if known != Some(&heartbeat) {
            state.live_until = None;
        }
        let at = Instant::now();
        state
            .received
            .insert(node, ReceivedHeartbeat { heartbeat, at });
    }

    /// Returns the live nodes, ordered by ID.
    pub fn live(&self) -> Vec<LiveNode> {
        let mut state = self.lock();
        let now = Instant::now();
        if state.live_until.is_none_or(|until| until <= now) {
            let limit = self.interval * LIVE_HEARTBEATS;
            state.received.retain(|_, one| one.at.elapsed() < limit);
            state.live = list(state.received.values());
            state.live_until = Some(now + self.interval / LIST_REBUILDS_PER_HEARTBEAT);
        }
        state.live.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the first nodes of each zone.
fn list<'a>(received: impl Iterator<Item = &'a ReceivedHeartbeat>) -> Vec<LiveNode> {
    let mut zones: BTreeMap<&ZoneName, Vec<LiveNode>> = BTreeMap::new();
    for one in received {
        let node = &one.heartbeat;
        let entry = (node.node, node.incarnation, node.draining);
        zones.entry(&node.zone).or_default().push(entry);
    }
    let mut live = Vec::new();
    for mut nodes in zones.into_values() {
        nodes.sort_unstable();
        nodes.truncate(MAX_NODES_PER_ZONE);
        live.extend(nodes);
    }
    live.sort_unstable();
    live
}
