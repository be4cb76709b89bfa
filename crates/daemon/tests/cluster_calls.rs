//! Calls to a leader that may hold requests open, and to nodes that do not answer.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::Timer;
use molespan_daemon::cluster::{Cluster, ClusterLimits, PeerCall, PeerTransport};
use molespan_types::NodeId;
use molespan_wire::{CallError, CallFailure, LeaderHint, Request, Response, TakeItems};

const LEADER: NodeId = NodeId(1);
const OTHER: NodeId = NodeId(2);

/// A leader that holds each `TakeItems` call open for the requested wait. It does not
/// really wait: a call whose timeout does not exceed the wait fails with a timeout.
#[derive(Debug, Default)]
struct HoldingLeader {
    calls: Mutex<Vec<NodeId>>,
}

impl PeerTransport for HoldingLeader {
    fn call(&self, node: NodeId, request: Request, timeout: Duration) -> PeerCall {
        self.calls.lock().unwrap().push(node);
        let Request::TakeItems(ask) = request else {
            panic!("{request:?}");
        };
        let held = Duration::from_millis(u64::from(ask.wait_ms));
        let result = match (node, timeout > held) {
            (LEADER, true) => Ok(Response::Items {
                items: molespan_state::encode(&Vec::<molespan_state::batch::ItemToRun>::new())
                    .into(),
                stop: Vec::new(),
            }),
            (LEADER, false) => Err(CallError::Ambiguous(CallFailure::Timeout)),
            _ => Ok(Response::NotLeader { leader: None }),
        };
        Box::pin(async { result })
    }

    fn send(&self, _node: NodeId, _request: Request) -> bool {
        false
    }

    fn update_address(&self, _node: NodeId, _address: &str) {}
}

#[test]
fn a_long_poll_held_by_the_leader_does_not_time_out() {
    let transport = Arc::new(HoldingLeader::default());
    let limits = ClusterLimits {
        first_call_timeout: Duration::from_millis(300),
        ..ClusterLimits::default()
    };
    let cluster = Cluster::new(transport.clone(), vec![LEADER, OTHER], limits);
    for wait_ms in [0, 250, 900] {
        let ask = TakeItems {
            node: NodeId(9),
            capacity: 1,
            held: Vec::new(),
            wait_ms,
            life: 1,
            number: 1,
            inspects: false,
            rooms: Vec::new(),
        };
        let taken = cluster.take_items(&ask, Duration::from_millis(1_900));
        let taken = async_io::block_on(taken).expect("an answer");
        assert_eq!(taken.items, []);
        let calls = std::mem::take(&mut *transport.calls.lock().unwrap());
        assert_eq!(calls, [LEADER], "held for {wait_ms} ms");
    }
}

/// Nodes that never answer, except for the last one, which leads.
#[derive(Debug, Default)]
struct SilentNodes;

const SILENT: u32 = 8;

impl PeerTransport for SilentNodes {
    fn call(&self, node: NodeId, request: Request, timeout: Duration) -> PeerCall {
        if node == NodeId(SILENT + 1) {
            return HoldingLeader::default().call(LEADER, request, timeout);
        }
        Box::pin(async move {
            Timer::after(timeout).await;
            Err(CallError::Ambiguous(CallFailure::Timeout))
        })
    }

    fn send(&self, _node: NodeId, _request: Request) -> bool {
        false
    }

    fn update_address(&self, _node: NodeId, _address: &str) {}
}

#[test]
fn a_call_skips_the_nodes_that_failed_earlier_calls() {
    let limits = ClusterLimits {
        first_call_timeout: Duration::from_millis(20),
        ..ClusterLimits::default()
    };
    let nodes = (1..=SILENT + 1).map(NodeId).collect();
    let cluster = Cluster::new(Arc::new(SilentNodes), nodes, limits);
    let ask = TakeItems {
        node: NodeId(99),
        capacity: 1,
        held: Vec::new(),
        wait_ms: 0,
        life: 1,
        number: 1,
        inspects: false,
        rooms: Vec::new(),
    };
    // The deadline is too short to try all nodes in one call, on any machine.
    let calls = (0..=SILENT).map(|_| {
        let taken = cluster.take_items(&ask, Duration::from_millis(60));
        async_io::block_on(taken).is_ok()
    });
    assert!(calls.into_iter().any(|answered| answered));
}

/// Three members; the leader falls silent and another member takes over.
#[derive(Debug, Default)]
struct SilentLeader {
    is_silent: AtomicBool,
    calls: Mutex<Vec<NodeId>>,
}

const SILENT_LEADER: NodeId = NodeId(3);

impl SilentLeader {
    fn leader(&self) -> NodeId {
        match self.is_silent.load(Ordering::SeqCst) {
            true => LEADER,
            false => SILENT_LEADER,
        }
    }
}

impl PeerTransport for SilentLeader {
    fn call(&self, node: NodeId, request: Request, timeout: Duration) -> PeerCall {
        self.calls.lock().unwrap().push(node);
        let leader = self.leader();
        if node == leader {
            return HoldingLeader::default().call(LEADER, request, timeout);
        }
        if node == SILENT_LEADER {
            return SilentNodes.call(node, request, timeout);
        }
        let leader = Some(LeaderHint {
            node: leader,
            address: String::new(),
        });
        Box::pin(async { Ok(Response::NotLeader { leader }) })
    }

    fn send(&self, _node: NodeId, _request: Request) -> bool {
        false
    }

    fn update_address(&self, _node: NodeId, _address: &str) {}
}

/// Guards against a call that spends its remaining time on the node that has just timed
/// out, while any other node would name the new leader. Engines could not sign off and
/// callers' jobs were rejected.
#[test]
fn a_silent_node_is_not_retried_before_others() {
    for nodes in [
        [LEADER, OTHER, SILENT_LEADER],
        [LEADER, SILENT_LEADER, OTHER],
        [OTHER, LEADER, SILENT_LEADER],
        [OTHER, SILENT_LEADER, LEADER],
        [SILENT_LEADER, LEADER, OTHER],
        [SILENT_LEADER, OTHER, LEADER],
    ] {
        let transport = Arc::new(SilentLeader::default());
        let limits = ClusterLimits {
            first_call_timeout: Duration::from_millis(20),
            ..ClusterLimits::default()
        };
        let cluster = Cluster::new(transport.clone(), nodes.to_vec(), limits);
        let take = || {
            let ask = TakeItems {
                node: NodeId(99),
                capacity: 1,
                held: Vec::new(),
                wait_ms: 0,
                life: 1,
                number: 1,
                inspects: false,
                rooms: Vec::new(),
            };
            let taken = cluster.take_items(&ask, Duration::from_secs(10));
            async_io::block_on(taken).expect("an answer");
            std::mem::take(&mut *transport.calls.lock().unwrap())
        };
        take();
        transport.is_silent.store(true, Ordering::SeqCst);
        let calls = take();
        let silent = calls.iter().filter(|node| **node == SILENT_LEADER);
        assert_eq!(silent.count(), 1, "{nodes:?}: {calls:?}");
    }
}
