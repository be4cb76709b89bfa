//! Which nodes are alive, as the control leader knows from their heartbeats.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use molespan_types::{Incarnation, NodeId, ZoneName};

/// Most nodes of one zone in an answer. Every node gets the same list, so that
/// all agree on who owns what; nodes beyond it own nothing.
const MOST_PER_ZONE: usize = 16;
/// A node counts as alive for as many heartbeats after its last one.
const LIVE_HEARTBEATS: u32 = 3;
/// A new leader listens for as many heartbeats before it gives a list.
const WARM_UP_HEARTBEATS: f64 = 1.5;

/// A node that is alive: its number, life and whether it is draining.
pub(super) type LiveNode = (NodeId, Incarnation, bool);

/// A heartbeat of a node.
#[derive(Clone, Debug)]
pub(super) struct NodeHeartbeat {
    pub node: NodeId,
    pub incarnation: Incarnation,
    pub zone: ZoneName,
    pub draining: bool,
}

#[derive(Debug)]
struct Heard {
    heartbeat: NodeHeartbeat,
    at: Instant,
}

/// Which nodes are alive.
#[derive(Debug)]
pub(super) struct Heartbeats {
    interval: Duration,
    heard: Mutex<HashMap<NodeId, Heard>>,
}

impl Heartbeats {
    /// Of nodes that send one in each `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            heard: Mutex::default(),
        }
    }

    /// How much longer a leader must listen that has led for `led_for`.
    pub fn warm_up_left(&self, led_for: Duration) -> Duration {
        let warm_up = self.interval.mul_f64(WARM_UP_HEARTBEATS);
        warm_up.saturating_sub(led_for)
    }

    /// Notes a heartbeat. One of an earlier life is passed over.
    pub fn note(&self, heartbeat: NodeHeartbeat) {
        let mut heard = self.lock();
        let node = heartbeat.node;
        let known = heard.get(&node).map(|one| one.heartbeat.incarnation);
        if known.is_none_or(|known| known <= heartbeat.incarnation) {
            let at = Instant::now();
            heard.insert(node, Heard { heartbeat, at });
        }
    }

    /// The nodes that are alive, in the order of their numbers.
    pub fn live(&self) -> Vec<LiveNode> {
        let mut heard = self.lock();
        let limit = self.interval * LIVE_HEARTBEATS;
        heard.retain(|_, one| one.at.elapsed() < limit);
        let mut zones: BTreeMap<&ZoneName, Vec<LiveNode>> = BTreeMap::new();
        for one in heard.values() {
            let node = &one.heartbeat;
            let entry = (node.node, node.incarnation, node.draining);
            zones.entry(&node.zone).or_default().push(entry);
        }
        let mut live = Vec::new();
        for mut nodes in zones.into_values() {
            nodes.sort_unstable();
            nodes.truncate(MOST_PER_ZONE);
            live.extend(nodes);
        }
        live.sort_unstable();
        live
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NodeId, Heard>> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
