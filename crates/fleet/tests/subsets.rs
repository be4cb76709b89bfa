//! Updates that a control node sends to the gateways of a large service: each receives
//! its subset, changes of engines go to the gateways that use them, and a configuration
//! is sent once. None of this grows with the size of the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_lite::future::{self, block_on};
use molespan_daemon::boot_clock::BootClock;
use molespan_fleet::control::Hub;
use molespan_fleet::view::{EngineRecord, ViewUpdate};
use molespan_state::control::{ControlCommand, ControlMachine};
use molespan_state::declared::{Declaration, DeclaredCommand, Departure, ServingModel};
use molespan_types::{NodeId, ZoneName};
use molespan_wire::{Response, ViewPosition, WatchView, WatcherKind};

const SILENCE: Duration = Duration::from_secs(10);
const ZONES: usize = 5;

/// A control node with a manually advanced clock, and the gateways that watch it.
struct Fleet {
    hub: Hub,
    skipped: Arc<AtomicU64>,
    positions: BTreeMap<NodeId, ViewPosition>,
    machine: ControlMachine,
}

fn zone(place: usize) -> ZoneName {
    format!("z{}", place % ZONES).as_str().into()
}

fn engine(place: usize) -> EngineRecord {
    EngineRecord {
        id: format!("i-{place:06}"),
        service: "s".to_owned(),
        address: format!("10.0.{}.{}:80", place / 250, place % 250),
        zone: zone(place),
        slots: 8,
        sequence: 1,
        cold_left_ms: 0,
        version: None,
    }
}

fn node(place: usize) -> NodeId {
    NodeId(place as u32 + 1)
}

impl Fleet {
    /// Creates a fleet in which every gateway has received its subset.
    fn settled(gateways: usize, engines: usize) -> Self {
        Self::settled_by(BootClock::by_hand, gateways, engines)
    }

    /// Same as `settled`, with another clock.
    fn settled_by(clock: fn(Arc<AtomicU64>) -> BootClock, gateways: usize, engines: usize) -> Self {
        let skipped = Arc::new(AtomicU64::new(0));
        let clock = clock(skipped.clone());
        let mut fleet = Self {
            hub: Hub::new("z0".into(), SILENCE, clock),
            skipped,
            positions: BTreeMap::new(),
            machine: ControlMachine::new(),
        };
        fleet.send_heartbeats(engines);
        fleet.watch_all(gateways);
        fleet.advance(6, gateways, engines);
        fleet.publish_declared();
        fleet.watch_all(gateways);
        fleet
    }

    fn send_heartbeats(&self, engines: usize) {
        for place in 0..engines {
            self.hub.record_heartbeat(engine(place));
        }
    }

    fn wait(&self, time: Duration) {
        let micros = time.as_micros() as u64;
        self.skipped.fetch_add(micros, Ordering::Relaxed);
    }

    /// Advances the clock by some seconds in which all gateways and engines stay active.
    fn advance(&mut self, seconds: u64, gateways: usize, engines: usize) {
        for _ in 0..seconds / 2 {
            self.wait(Duration::from_secs(2));
            self.send_heartbeats(engines);
            self.watch_all(gateways);
            self.hub.expire();
        }
    }

    /// Returns the update that a gateway receives now, and its size in bytes.
    fn watch(
        &mut self,
        place: usize,
        version: u64,
        other_node_sends_first: bool,
    ) -> (ViewUpdate, usize) {
        let gateway = node(place);
        let watch = WatchView {
            node: gateway,
            kind: WatcherKind::Gateway,
            position: self.positions.get(&gateway).copied().unwrap_or_default(),
            wait_ms: 0,
            zone: Some(zone(place)),
            version: Some(version),
            other_node_sends_first,
        };
        match block_on(self.hub.watch(&watch)) {
            Response::View { position, update } => {
                self.positions.insert(gateway, position);
                let len = update.len();
                (molespan_state::decode(&update).expect("an update"), len)
            }
            other => panic!("{other:?}"),
        }
    }

    fn watch_all(&mut self, gateways: usize) -> Vec<(ViewUpdate, usize)> {
        let places = 0..gateways;
        places.map(|place| self.watch(place, 0, false)).collect()
    }

    fn depart(&mut self, id: &str) {
        let command = DeclaredCommand::Depart {
            engine: id.to_owned(),
            departure: Departure::Draining,
        };
        self.machine.apply(&ControlCommand::Declared(command));
        self.publish_declared();
    }

    fn declare(&mut self, version: u64) {
        declare_at(&self.hub, &mut self.machine, version);
    }

    fn publish_declared(&mut self) {
        publish_at(&self.hub, &self.machine);
    }
}

fn declare_at(hub: &Hub, machine: &mut ControlMachine, version: u64) {
    let declaration = Declaration {
        version,
        document: Vec::new().into(),
        model: ServingModel::default(),
    };
    let command = DeclaredCommand::Declare(Box::new(declaration));
    machine.apply(&ControlCommand::Declared(command));
    publish_at(hub, machine);
}

fn publish_at(hub: &Hub, machine: &ControlMachine) {
    let control = BTreeSet::from([NodeId(900_000)]);
    hub.apply_declared(machine.declared(), control, 1);
}

#[test]
fn updates_of_a_gateway_do_not_grow_with_the_fleet() {
    let bytes_at_start = |gateways: usize, engines: usize| {
        let mut fleet = Fleet::settled(gateways, engines);
        fleet.positions.clear();
        let updates = fleet.watch_all(gateways);
        let bytes: usize = updates.iter().map(|(_, bytes)| bytes).sum();
        bytes as f64 / gateways as f64
    };
    let ratio = bytes_at_start(240, 6_000) / bytes_at_start(120, 3_000);
    assert!(
        ratio <= 1.2,
        "growth of the bytes told to a gateway at twice the fleet size: {ratio}"
    );
    let watchers_of_new_engine = |gateways: usize, engines: usize| {
        let mut fleet = Fleet::settled(gateways, engines);
        fleet.hub.record_heartbeat(engine(engines));
        let updates = fleet.watch_all(gateways);
        updates
            .iter()
            .filter(|(update, _)| !update.engines.is_empty())
            .count()
    };
    assert_eq!(
        watchers_of_new_engine(120, 3_000),
        watchers_of_new_engine(240, 6_000)
    );
}

#[test]
fn engines_are_sent_to_some_gateways_and_departures_to_all() {
    let (gateways, engines) = (120, 3_000);
    let mut fleet = Fleet::settled(gateways, engines);
    fleet.positions.clear();
    let updates = fleet.watch_all(gateways);
    let mut known: BTreeMap<String, usize> = BTreeMap::new();
    for record in updates.iter().flat_map(|(update, _)| &update.engines) {
        *known.entry(record.id.clone()).or_default() += 1;
    }
    assert_eq!(known.len(), engines);
    assert!(known.values().all(|users| *users == 32), "{known:?}");
    let leaving = engine(7).id;
    fleet.depart(&leaving);
    for (update, _) in fleet.watch_all(gateways) {
        assert_eq!(update.departures, [(leaving.clone(), Departure::Draining)]);
    }
    assert!(
        !fleet.hub.record_heartbeat(engine(7)),
        "a late heartbeat must not bring it back"
    );
}

/// Returns the number of gateways whose watch is answered immediately.
fn answered_watches(fleet: &mut Fleet, gateways: usize) -> usize {
    let answered = (0..gateways).filter(|&place| {
        let gateway = node(place);
        let watch = WatchView {
            node: gateway,
            kind: WatcherKind::Gateway,
            position: fleet.positions[&gateway],
            wait_ms: 60_000,
            zone: Some(zone(place)),
            version: Some(0),
            other_node_sends_first: true,
        };
        block_on(future::poll_once(fleet.hub.watch(&watch))).is_some()
    });
    answered.count()
}

#[test]
fn a_change_of_an_engine_wakes_only_its_users() {
    let answers_by = |gateways: usize, engines: usize| {
        let mut fleet = Fleet::settled(gateways, engines);
        assert_eq!(answered_watches(&mut fleet, gateways), 0);
        fleet.depart(&engine(7).id);
        let of_departure = answered_watches(&mut fleet, gateways);
        fleet.watch_all(gateways);
        fleet.hub.record_heartbeat(engine(engines));
        let of_new = answered_watches(&mut fleet, gateways);
        fleet.watch_all(gateways);
        // Silent engines are lost, one of them some time before the others.
        fleet.wait(SILENCE / 2);
        (0..engines).filter(|&place| place != 9).for_each(|place| {
            fleet.hub.record_heartbeat(engine(place));
        });
        fleet.watch_all(gateways);
        fleet.wait(SILENCE / 2);
        fleet.watch_all(gateways);
        fleet.hub.expire();
        (of_departure, of_new, answered_watches(&mut fleet, gateways))
    };
    let (of_departure, of_new, of_lost) = answers_by(120, 3_000);
    assert_eq!((of_departure, of_new), (32, 32));
    assert!(of_lost <= 64, "that engine, and the new one: {of_lost}");
    assert_eq!(answers_by(240, 6_000).0, of_departure);
}

#[test]
fn an_engine_that_takes_an_address_replaces_the_other_at_its_users() {
    let gateways = 120;
    let mut fleet = Fleet::settled(gateways, 3_000);
    let users = fleet
        .hub
        .users_of(&[&engine(5).id])
        .remove(0)
        .expect("assigned users");
    let replacing = EngineRecord {
        id: "i-new".to_owned(),
        ..engine(5)
    };
    fleet.hub.record_heartbeat(replacing);
    let new_users = fleet
        .hub
        .users_of(&["i-new"])
        .remove(0)
        .expect("assigned users");
    for place in 0..gateways {
        let (update, _) = fleet.watch(place, 0, false);
        let received = update.engines.iter().any(|record| record.id == "i-new");
        assert_eq!(received, new_users.contains(&node(place)));
        assert_eq!(
            update.lost.contains(&engine(5).id),
            users.contains(&node(place))
        );
    }
}

#[test]
fn engines_of_a_lost_gateway_are_reassigned_only_after_time_for_a_restart() {
    let gateways = 120;
    let mut fleet = Fleet::settled(gateways, 3_000);
    let engines: Vec<String> = (0..3_000).map(|place| engine(place).id).collect();
    let engines: Vec<&str> = engines.iter().map(String::as_str).collect();
    let before = fleet.hub.users_of(&engines);
    fleet.advance(6, 90, 3_000);
    assert_eq!(fleet.hub.users_of(&engines), before);
    fleet.advance(32, 90, 3_000);
    for users in fleet.hub.users_of(&engines) {
        let users = users.expect("assigned users");
        assert!(users.iter().all(|user| user.0 <= 90), "{users:?}");
        assert_eq!(users.len(), 32);
    }
}

#[test]
fn a_restarted_control_node_revokes_no_engines() {
    let gateways = 120;
    let mut fleet = Fleet::settled(gateways, 3_000);
    let skipped = Arc::new(AtomicU64::new(0));
    let clock = BootClock::by_hand(skipped.clone());
    fleet.hub = Hub::new("z0".into(), SILENCE, clock);
    fleet.skipped = skipped;
    fleet.publish_declared();
    for count in [100, 1_000, 2_000] {
        fleet.send_heartbeats(count);
        fleet.hub.expire();
        for (update, _) in fleet.watch_all(gateways) {
            let lists = update
                .subsets
                .iter()
                .filter(|subset| subset.engines.is_some());
            assert_eq!(lists.count(), 0, "{count}: {:?}", update.subsets);
            assert_eq!(update.lost, Vec::<String>::new());
        }
        fleet.wait(Duration::from_secs(1));
    }
    // The gateways know engines and are notified at once of one that leaves.
    fleet.watch_all(gateways);
    fleet.depart(&engine(7).id);
    assert_eq!(answered_watches(&mut fleet, gateways), gateways);
    fleet.positions.clear();
    fleet.advance(6, gateways, 3_000);
    fleet.positions.clear();
    for (update, _) in fleet.watch_all(gateways) {
        let listed = update.subsets[0].engines.as_ref().map(Vec::len);
        assert_eq!(listed, Some(update.engines.len()));
    }
}

#[test]
fn a_resumed_control_node_reassigns_no_engines_before_it_is_settled() {
    let gateways = 120;
    let mut fleet = Fleet::settled(gateways, 3_000);
    let engines: Vec<String> = (0..3_000).map(|place| engine(place).id).collect();
    let engines: Vec<&str> = engines.iter().map(String::as_str).collect();
    let before = fleet.hub.users_of(&engines);
    fleet.wait(Duration::from_secs(60));
    fleet.send_heartbeats(3_000);
    fleet.watch_all(3);
    fleet.hub.expire();
    assert_eq!(fleet.hub.users_of(&engines), before);
    fleet.advance(6, gateways, 3_000);
    assert_eq!(fleet.hub.users_of(&engines), before);
}

#[test]
fn a_configuration_is_sent_once_with_fallback_to_another_node() {
    let mut fleet = Fleet::settled(1, 0);
    fleet.declare(7);
    let sent_version = |fleet: &mut Fleet, version, other_node_sends_first| {
        let (update, _) = fleet.watch(0, version, other_node_sends_first);
        update.configuration.map(|current| current.version)
    };
    assert_eq!(sent_version(&mut fleet, 0, true), None);
    assert_eq!(
        sent_version(&mut fleet, 7, true),
        None,
        "the gateway has it already"
    );
    assert_eq!(sent_version(&mut fleet, 0, false), Some(7));
    // A gateway that still lacks it receives it here after the delay, however often it
    // asks.
    assert_eq!(sent_version(&mut fleet, 0, true), None);
    fleet.wait(Duration::from_millis(300));
    assert_eq!(sent_version(&mut fleet, 0, true), None);
    fleet.wait(Duration::from_millis(200));
    assert_eq!(sent_version(&mut fleet, 0, true), Some(7));
    fleet.wait(Duration::from_secs(1));
    assert_eq!(sent_version(&mut fleet, 7, false), None);
}

// Guards against a delay that begins anew with each change, so that it never ends while changes
// come faster than it is long.
#[test]
fn a_gateway_whose_source_sends_nothing_gets_configurations_while_changes_go_on() {
    const STEP: Duration = Duration::from_millis(100);
    let mut fleet = Fleet::settled(1, 0);
    let (mut newest, mut known) = (7, 7);
    fleet.declare(newest);
    fleet.watch(0, known, true);
    let mut behind = Duration::ZERO;
    for step in 1..100 {
        fleet.wait(STEP);
        if step % 2 == 0 {
            newest += 3;
            fleet.declare(newest);
        }
        let (update, _) = fleet.watch(0, known, true);
        behind = match update.configuration {
            Some(sent) => {
                assert_eq!(sent.version, newest);
                known = sent.version;
                Duration::ZERO
            }
            None if known < newest => behind + STEP,
            None => Duration::ZERO,
        };
        assert!(behind < Duration::from_secs(1), "step {step}: {behind:?}");
    }
    assert!(known > 7);
}

// Guards against a second copy for a gateway that got the configuration from its source while
// it waited here.
#[test]
fn a_gateway_that_its_source_keeps_up_to_date_gets_no_second_copy() {
    // Waits need a clock that advances by itself.
    let mut fleet = Fleet::settled_by(BootClock::with_offset, 1, 0);
    fleet.declare(1);
    let mut watch = WatchView {
        node: node(0),
        kind: WatcherKind::Gateway,
        position: fleet.positions[&node(0)],
        wait_ms: 2_000,
        zone: Some(zone(0)),
        version: Some(1),
        other_node_sends_first: true,
    };
    let mut copies = 0;
    for newest in 2..8 {
        // The change comes while this watch waits. Until it is answered, the source has sent it.
        let hub = &fleet.hub;
        let machine = &mut fleet.machine;
        let answer = block_on(future::zip(hub.watch(&watch), async {
            async_io::Timer::after(Duration::from_millis(50)).await;
            declare_at(hub, machine, newest);
            // Wakes the watch, as `Hub::announce` does.
            future::or(hub.announce(), async {
                async_io::Timer::after(Duration::from_millis(10)).await;
            })
            .await;
        }));
        let Response::View { position, update } = answer.0 else {
            panic!("no view");
        };
        let update: ViewUpdate = molespan_state::decode(&update).expect("an update");
        copies += usize::from(update.configuration.is_some());
        watch.position = position;
        watch.version = Some(newest);
    }
    assert_eq!(copies, 0);
}

#[test]
fn stores_receive_only_the_topology() {
    let mut fleet = Fleet::settled(3, 100);
    fleet.declare(3);
    let watch = WatchView {
        node: NodeId(50_000),
        kind: WatcherKind::Store,
        position: ViewPosition::default(),
        wait_ms: 0,
        zone: None,
        version: None,
        other_node_sends_first: false,
    };
    let Response::View { update, .. } = block_on(fleet.hub.watch(&watch)) else {
        panic!("no view");
    };
    let update: ViewUpdate = molespan_state::decode(&update).expect("an update");
    assert!(update.topology.is_some());
    assert_eq!(
        ViewUpdate {
            topology: None,
            ..update
        },
        ViewUpdate::default()
    );
}

#[test]
fn a_non_member_sends_only_the_group_members() {
    let mut fleet = Fleet::settled(2, 100);
    fleet.declare(3);
    fleet.hub.set_member(false);
    fleet.positions.clear();
    let (update, _) = fleet.watch(0, 0, false);
    let control = update
        .topology
        .as_ref()
        .map(|topology| topology.control.clone());
    assert_eq!(control, Some(BTreeSet::from([NodeId(900_000)])));
    assert_eq!(
        ViewUpdate {
            topology: None,
            ..update
        },
        ViewUpdate::default()
    );
    // Once it is a member, a watcher receives what was withheld before.
    fleet.hub.set_member(true);
    let (update, _) = fleet.watch(0, 0, false);
    assert_eq!(update.configuration.map(|current| current.version), Some(3));
    assert_eq!(update.engines.len(), 100);
}

#[test]
fn a_waiting_watch_does_not_spin() {
    // Waits need a clock that advances by itself.
    let mut fleet = Fleet::settled_by(BootClock::with_offset, 1, 10);
    fleet.declare(3);
    for kind in [WatcherKind::Store, WatcherKind::Gateway] {
        for version in [None, Some(0), Some(3)] {
            let mut watch = WatchView {
                node: NodeId(50_000),
                kind,
                position: ViewPosition::default(),
                wait_ms: 0,
                zone: None,
                version,
                other_node_sends_first: true,
            };
            if let Response::View { position, .. } = block_on(fleet.hub.watch(&watch)) {
                watch.position = position;
            }
            watch.wait_ms = 100;
            let mut polls = 0;
            let mut waiting = Box::pin(fleet.hub.watch(&watch));
            block_on(std::future::poll_fn(|context| {
                polls += 1;
                waiting.as_mut().poll(context)
            }));
            assert!(polls <= 5, "{kind:?} {version:?}: {polls}");
        }
    }
}

#[test]
fn a_gateway_without_zone_or_version_is_served() {
    let mut fleet = Fleet::settled(120, 3_000);
    fleet.declare(3);
    let watch = WatchView {
        node: NodeId(70_000),
        kind: WatcherKind::Gateway,
        position: ViewPosition::default(),
        wait_ms: 0,
        zone: None,
        version: None,
        other_node_sends_first: false,
    };
    let _first = block_on(fleet.hub.watch(&watch));
    fleet.hub.expire();
    let Response::View { update, position } = block_on(fleet.hub.watch(&watch)) else {
        panic!("no view");
    };
    let update: ViewUpdate = molespan_state::decode(&update).expect("an update");
    assert_eq!(update.configuration.map(|current| current.version), Some(3));
    assert!(!update.engines.is_empty());
    let again = WatchView { position, ..watch };
    let Response::View { update, .. } = block_on(fleet.hub.watch(&again)) else {
        panic!("no view");
    };
    let update: ViewUpdate = molespan_state::decode(&update).expect("an update");
    assert_eq!(update, ViewUpdate::default());
}

/// Guards against a gateway serving no requests for four seconds when it starts together
/// with all control nodes: it knows no engines from before, and received none until the
/// engines were assigned to gateways.
#[test]
fn a_gateway_that_starts_with_all_control_nodes_receives_engines_at_once() {
    let (gateways, engines) = (120, 3_000);
    let mut fleet = Fleet::settled(gateways, engines);
    let skipped = Arc::new(AtomicU64::new(0));
    fleet.hub = Hub::new("z0".into(), SILENCE, BootClock::by_hand(skipped.clone()));
    fleet.skipped = skipped;
    fleet.publish_declared();
    // Engines register before any gateway sends a request, and in between.
    fleet.send_heartbeats(engines / 2);
    fleet.hub.expire();
    let established = fleet.watch(0, 0, false).0;
    assert_eq!(
        established.engines,
        [],
        "it keeps the engines known from before"
    );
    fleet.positions.clear();
    let mut known: BTreeMap<String, usize> = BTreeMap::new();
    for _ in 0..2 {
        for (update, _) in fleet.watch_all(gateways) {
            let count = update.engines.len();
            assert!((1..=engines / 10).contains(&count), "{count} engines told");
            assert_eq!(update.subsets.len(), 1);
            assert_eq!(update.subsets[0].engines, None, "no engines are taken back");
            for engine in update.engines {
                *known.entry(engine.id).or_default() += 1;
            }
        }
        fleet.send_heartbeats(engines);
        fleet.wait(Duration::from_millis(500));
    }
    // As in the settled state, with fewer users per engine for a while.
    assert!(known.len() > engines * 9 / 10, "{} known", known.len());
    assert!(known.values().all(|users| *users <= 32), "{known:?}");
    fleet.advance(6, gateways, engines);
    for (update, _) in fleet.watch_all(gateways) {
        let subset = update
            .subsets
            .iter()
            .find(|subset| subset.engines.is_some());
        assert_eq!(subset.and_then(|subset| subset.users), Some(32));
    }
}
