//! Gateways that watch five control nodes while configurations come in quick succession.
//!
//! Guards against gateways that get none of them because of the control node that should send
//! first, and against copies from all the others where that one does.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::env;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;
use molespan_daemon::boot_clock::BootClock;
use molespan_daemon::cluster::{PeerCall, PeerTransport};
use molespan_fleet::control::Hub;
use molespan_fleet::view::ViewUpdate;
use molespan_fleet::{ViewSink, ViewWatcher, WatcherIdentity};
use molespan_state::control::{ControlCommand, ControlMachine};
use molespan_state::declared::{
    Declaration, DeclaredCommand, Destination, Route, RouteKind, ServingModel,
};
use molespan_types::NodeId;
use molespan_wire::{CallError, CallFailure, Request, Response, WatcherKind};
use slog::{Discard, Logger, o};

const CONTROL_NODES: u32 = 5;
/// The control node in the zone of the gateway that is looked at.
const OWN: NodeId = NodeId(1);
/// Time between two configurations.
const CHANGE_INTERVAL: Duration = Duration::from_millis(150);
const CHANGES: u64 = 30;
/// Time within which an acknowledged configuration has to be in force.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);
/// Number of gateways, unless `STORM_GATEWAYS` sets another.
const GATEWAYS: u32 = 60;
/// Number of routes in a configuration.
const ROUTES: usize = 20;

/// How a control node serves a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Sound,
    /// Is no member of the control group any more.
    Replaced,
    /// Answers no call.
    Silent,
    /// Gets calls, and its answers are lost.
    CutOneWay,
    /// Its answers arrive this much later.
    Late(Duration),
    /// Has configurations this much later than the other members.
    Behind(Duration),
}

/// Control nodes in this process.
#[derive(Debug)]
struct ControlNodes {
    hubs: BTreeMap<NodeId, (Arc<Hub>, Source)>,
    /// Answers with a configuration, and bytes of all answers.
    copies: Arc<AtomicUsize>,
    bytes: Arc<AtomicUsize>,
    /// Size of the smallest answer with a configuration.
    configuration_len: usize,
}

impl PeerTransport for ControlNodes {
    fn call(&self, node: NodeId, request: Request, timeout: Duration) -> PeerCall {
        let (hub, source) = self.hubs[&node].clone();
        let (copies, bytes) = (self.copies.clone(), self.bytes.clone());
        let configuration_len = self.configuration_len;
        Box::pin(async move {
            let Request::WatchView(watch) = request else {
                panic!("not a watch");
            };
            let late = async {
                Timer::after(timeout).await;
                Err(CallError::Ambiguous(CallFailure::Timeout))
            };
            if source == Source::Silent {
                return late.await;
            }
            let answer = async {
                let answer = hub.watch(&watch).await;
                if let Response::View { update, .. } = &answer {
                    bytes.fetch_add(update.len(), Ordering::Relaxed);
                    let is_copy = update.len() >= configuration_len;
                    copies.fetch_add(usize::from(is_copy), Ordering::Relaxed);
                }
                match source {
                    Source::CutOneWay => future::pending::<()>().await,
                    Source::Late(delay) => {
                        Timer::after(delay).await;
                    }
                    _ => {}
                }
                Ok(answer)
            };
            future::or(answer, late).await
        })
    }

    fn send(&self, _node: NodeId, _request: Request) -> bool {
        false
    }

    fn update_address(&self, _node: NodeId, _address: &str) {}
}

/// A gateway, and when each configuration came into force there.
struct Gateway {
    own: NodeId,
    version: Cell<u64>,
    in_force: RefCell<Vec<(u64, Instant)>>,
}

impl ViewSink for Gateway {
    fn update(&self, _from: NodeId, update: ViewUpdate) {
        let Some(configuration) = update.configuration else {
            return;
        };
        if configuration.version > self.version.get() {
            self.version.set(configuration.version);
            let now = (configuration.version, Instant::now());
            self.in_force.borrow_mut().push(now);
        }
    }

    fn version(&self) -> Option<u64> {
        Some(self.version.get())
    }

    fn same_zone_control_nodes(&self) -> BTreeSet<NodeId> {
        BTreeSet::from([self.own])
    }
}

impl Gateway {
    /// Returns the version in force at a moment.
    fn version_at(&self, at: Instant) -> u64 {
        let in_force = self.in_force.borrow();
        let before = in_force.iter().rev().find(|(_, since)| *since <= at);
        before.map_or(0, |(version, _)| *version)
    }
}

fn route(number: usize) -> Route {
    Route {
        name: format!("route-{number}"),
        host: "h.example".to_owned(),
        path_prefix: format!("/route-{number}/"),
        kind: RouteKind::Safe,
        timeout_ms: 3_000,
        target_latency_ms: 300,
        gap_target_ms: None,
        completion_target_ms: None,
        retention_ms: None,
        priority: 0,
        max_attempts: 3,
        sticky: false,
        resumable: false,
        destinations: vec![Destination {
            service: "llm".to_owned(),
            weight: 1,
        }],
        max_queued_tokens: None,
        anonymous: true,
    }
}

/// A fleet of gateways before five control nodes, in one thread.
struct Fleet {
    executor: Rc<LocalExecutor<'static>>,
    nodes: Arc<ControlNodes>,
    gateways: Vec<Rc<Gateway>>,
    _watchers: Vec<Rc<ViewWatcher<Gateway>>>,
    machine: ControlMachine,
}

impl Fleet {
    /// Starts gateways; the first control node, in the zone of every fifth of them, serves them
    /// in this way.
    fn start(gateways: u32, source: Source) -> Self {
        let executor = Rc::new(LocalExecutor::new());
        let nodes = (1..=CONTROL_NODES).map(NodeId);
        let hubs = nodes.map(|node| {
            let zone = format!("z{}", node.0).as_str().into();
            let hub = Arc::new(Hub::new(zone, Duration::from_secs(10), BootClock::start()));
            let announced = hub.clone();
            executor
                .spawn(async move { announced.announce().await })
                .detach();
            let source = if node == OWN { source } else { Source::Sound };
            (node, (hub, source))
        });
        let nodes = Arc::new(ControlNodes {
            hubs: hubs.collect(),
            copies: Arc::default(),
            bytes: Arc::default(),
            configuration_len: ROUTES * 40,
        });
        let mut fleet = Self {
            executor,
            nodes,
            gateways: Vec::new(),
            _watchers: Vec::new(),
            machine: ControlMachine::new(),
        };
        fleet.declare(1);
        let seeds: Vec<NodeId> = (1..=CONTROL_NODES).map(NodeId).collect();
        for number in 0..gateways {
            let own = NodeId(number % CONTROL_NODES + 1);
            let gateway = Rc::new(Gateway {
                own,
                version: Cell::new(0),
                in_force: RefCell::default(),
            });
            let identity = WatcherIdentity {
                node: NodeId(1_000 + number),
                zone: format!("z{}", own.0).as_str().into(),
                kind: WatcherKind::Gateway,
            };
            let transport: Arc<dyn PeerTransport> = fleet.nodes.clone();
            let logger = Logger::root(Discard, o!());
            fleet._watchers.push(ViewWatcher::start(
                identity,
                &seeds,
                transport,
                &fleet.executor,
                logger,
                gateway.clone(),
            ));
            fleet.gateways.push(gateway);
        }
        fleet
    }

    /// Puts a configuration into force at the control nodes; at one that is behind, later.
    fn declare(&mut self, version: u64) {
        let declaration = Declaration {
            version,
            document: Vec::new().into(),
            model: ServingModel {
                routes: (0..ROUTES).map(route).collect(),
                ..ServingModel::default()
            },
        };
        let command = DeclaredCommand::Declare(Box::new(declaration));
        self.machine.apply(&ControlCommand::Declared(command));
        let members = (1..=CONTROL_NODES).map(NodeId);
        let members: BTreeSet<NodeId> = match self.nodes.hubs[&OWN].1 {
            Source::Replaced => members.filter(|node| *node != OWN).collect(),
            _ => members.collect(),
        };
        for (hub, source) in self.nodes.hubs.values() {
            if *source == Source::Replaced {
                hub.set_member(false);
            }
            let (hub, members) = (hub.clone(), members.clone());
            let declared = self.machine.declared().clone();
            let publish = move || hub.apply_declared(&declared, members, version);
            match *source {
                Source::Behind(delay) => self
                    .executor
                    .spawn(async move {
                        Timer::after(delay).await;
                        publish();
                    })
                    .detach(),
                _ => publish(),
            }
        }
    }

    /// Lets the fleet run.
    fn run(&self, time: Duration) {
        let over = async {
            Timer::after(time).await;
        };
        future::block_on(self.executor.run(over));
    }

    /// Makes changes at an interval; returns when each version was in force at the control nodes.
    fn change(&mut self, changes: u64, interval: Duration) -> Vec<(u64, Instant)> {
        let first = self.machine.declared().version() + 1;
        let versions = first..first + changes;
        versions
            .map(|version| {
                self.declare(version);
                let acknowledged = (version, Instant::now());
                self.run(interval);
                acknowledged
            })
            .collect()
    }

    /// Returns the copies of configurations, and the bytes of all answers, since the last call.
    fn take_traffic(&self) -> (usize, usize) {
        let copies = self.nodes.copies.swap(0, Ordering::Relaxed);
        (copies, self.nodes.bytes.swap(0, Ordering::Relaxed))
    }
}

fn check_in_force(source: Source) {
    let mut fleet = Fleet::start(1, source);
    fleet.run(Duration::from_secs(1));
    let acknowledged = fleet.change(CHANGES, CHANGE_INTERVAL);
    fleet.run(IN_FORCE_WITHIN);
    for (version, at) in acknowledged {
        let in_force = fleet.gateways[0].version_at(at + IN_FORCE_WITHIN);
        assert!(
            in_force >= version,
            "{source:?}: {in_force} for {version}, {IN_FORCE_WITHIN:?} later"
        );
    }
}

// Guards against gateways that get no configuration, or late, for what their own zone's control
// node does.
#[test]
fn each_configuration_is_in_force_in_time_whatever_the_own_control_node_does() {
    thread::scope(|scope| {
        for source in [
            Source::Sound,
            Source::Replaced,
            Source::Silent,
            Source::CutOneWay,
            Source::Late(Duration::from_millis(900)),
            Source::Late(Duration::from_millis(2_500)),
            Source::Behind(Duration::from_millis(1_500)),
            Source::Behind(Duration::from_secs(60)),
        ] {
            scope.spawn(move || check_in_force(source));
        }
    });
}

// Guards against a copy from each control node: the traffic of a large fleet would be as many
// times as large.
#[test]
fn each_gateway_gets_a_configuration_about_once_in_a_storm_and_in_a_calm() {
    let gateways = env::var("STORM_GATEWAYS").ok();
    let gateways = gateways.map_or(GATEWAYS, |text| text.parse().expect("a number"));
    let mut fleet = Fleet::start(gateways, Source::Sound);
    fleet.run(Duration::from_secs(2));
    fleet.take_traffic();
    for (name, changes, interval) in [
        ("storm", 20, Duration::from_millis(200)),
        ("calm", 3, Duration::from_secs(2)),
    ] {
        fleet.change(changes, interval);
        fleet.run(Duration::from_secs(1));
        let (copies, bytes) = fleet.take_traffic();
        let most = gateways as usize * changes as usize;
        println!("{name}: {changes} changes, {copies} copies, {bytes} bytes to {gateways}");
        assert!(copies <= most + most / 10, "{name}: {copies} of {most}");
        let newest = fleet.machine.declared().version();
        let in_force = fleet.gateways.iter().map(|gateway| gateway.version.get());
        assert!(in_force.min() == Some(newest), "{name}");
    }
}
