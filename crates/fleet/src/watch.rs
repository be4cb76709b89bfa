//! Following what the control nodes say: a watch at each of them, so that one
//! that is cut off or gone delays nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use molespan_daemon::cluster::PeerTransport;
use molespan_types::{NodeId, ZoneName};
use molespan_wire::{Request, Response, ViewMark, WatchView, WatcherKind};
use slog::{Logger, debug};
use std::cell::RefCell;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::view::ViewUpdate;

/// Longest time that a control node holds a watch open.
const WAIT: Duration = Duration::from_secs(2);
/// Longer than the wait by what an answer may take.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a watch that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Control nodes that hold the group and that a node watches at most; seeds that do not
/// are watched besides.
pub(crate) const MOST_WATCHED: usize = 5;

/// Takes in what a control node said.
pub trait ViewSink: 'static {
    /// Takes in one update of one control node.
    fn update(&self, from: NodeId, update: ViewUpdate);

    /// A control node is not watched any more: it does not hold the control group.
    fn unwatched(&self, _node: NodeId) {}

    /// Version of the newest configuration that it has, if it needs configurations.
    fn version(&self) -> Option<u64> {
        None
    }

    /// Control nodes that stand in its zone, as far as they are known.
    fn near(&self) -> BTreeSet<NodeId> {
        BTreeSet::new()
    }
}

/// Who watches.
#[derive(Clone, Debug)]
pub struct Asker {
    /// This node.
    pub node: NodeId,
    /// Where it stands.
    pub zone: ZoneName,
    /// What it is for.
    pub kind: WatcherKind,
}

/// Watches at the control nodes.
pub struct ViewWatcher<S> {
    asker: Asker,
    seeds: Vec<NodeId>,
    transport: Arc<dyn PeerTransport>,
    executor: Rc<LocalExecutor<'static>>,
    logger: Logger,
    sink: Rc<S>,
    watches: RefCell<BTreeMap<NodeId, Task<()>>>,
}

impl<S: ViewSink> ViewWatcher<S> {
    /// Begins to watch at the `seeds`.
    pub fn start(
        asker: Asker,
        seeds: &[NodeId],
        transport: Arc<dyn PeerTransport>,
        executor: &Rc<LocalExecutor<'static>>,
        logger: Logger,
        sink: Rc<S>,
    ) -> Rc<Self> {
        let watcher = Rc::new(Self {
            asker,
            seeds: seeds.to_vec(),
            transport,
            executor: executor.clone(),
            logger,
            sink,
            watches: RefCell::default(),
        });
        watcher.watch_at(&seeds.iter().copied().collect());
        watcher
    }

    /// Watches at these nodes too, and no more at those that are neither among
    /// them nor seeds.
    fn watch_at(self: &Rc<Self>, control: &BTreeSet<NodeId>) {
        let mut watches = self.watches.borrow_mut();
        watches.retain(|node, _| {
            let stays = control.contains(node) || self.seeds.contains(node);
            if !stays {
                self.sink.unwatched(*node);
            }
            stays
        });
        let mut members = watches.keys().filter(|node| control.contains(node)).count();
        for &node in control {
            if members >= MOST_WATCHED || watches.contains_key(&node) {
                continue;
            }
            members += 1;
            let watcher = self.clone();
            let watch = async move { watcher.watch(node).await };
            watches.insert(node, self.executor.spawn(watch));
        }
    }

    async fn watch(self: Rc<Self>, node: NodeId) {
        let mut mark = ViewMark::default();
        loop {
            let request = Request::WatchView(WatchView {
                node: self.asker.node,
                kind: self.asker.kind,
                mark,
                wait_ms: WAIT.as_millis() as u32,
                zone: Some(self.asker.zone.clone()),
                version: self.sink.version(),
                told_elsewhere: self.tells_first() != Some(node),
            });
            match self.transport.call(node, request, TIMEOUT).await {
                Ok(Response::View {
                    mark: newer,
                    update,
                }) => {
                    mark = newer;
                    self.take(node, &update);
                }
                other => {
                    debug!(self.logger, "no view"; "from" => node.0, "answer" => ?other);
                    Timer::after(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// The control node that tells this one of a new configuration before the others do:
    /// one of the own zone, where there is one. Nodes spread over them.
    fn tells_first(&self) -> Option<NodeId> {
        let near = self.sink.near();
        let watches = self.watches.borrow();
        let watched = watches.keys().copied();
        watched.min_by_key(|node| {
            let draw = xxh3_64_with_seed(&node.0.to_be_bytes(), u64::from(self.asker.node.0));
            (!near.contains(node), draw)
        })
    }

    fn take(self: &Rc<Self>, from: NodeId, bytes: &[u8]) {
        let Ok(update) = molespan_state::decode::<ViewUpdate>(bytes) else {
            return;
        };
        if let Some(topology) = &update.topology
            && !topology.control.is_empty()
        {
            // A watch may end itself here, so it is spawned apart.
            let watcher = self.clone();
            let control = topology.control.clone();
            let follow = async move { watcher.watch_at(&control) };
            self.executor.spawn(follow).detach();
        }
        self.sink.update(from, update);
    }
}
