//! The view of a control node: engines that register, leave and send delayed heartbeats,
//! and watchers that resume after missing updates.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_lite::future::block_on;
use minicbor::{Decode, Encode};
use molespan_daemon::boot_clock::BootClock;
use molespan_fleet::control::{Hub, Registry};
use molespan_fleet::view::{EngineRecord, Topology, TopologyView, ViewUpdate};
use molespan_state::control::{ControlCommand, ControlMachine};
use molespan_state::declared::{Declaration, DeclaredCommand, Departure, ServingModel};
use molespan_state::{decode, encode};
use molespan_types::{NodeId, Timestamp, ZoneName};
use molespan_wire::{Response, ViewPosition, WatchView, WatcherKind};

const SILENCE: Duration = Duration::from_secs(10);

fn record(id: &str, address: &str, sequence: u64) -> EngineRecord {
    EngineRecord {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: address.to_owned(),
        zone: "z".into(),
        slots: 8,
        sequence,
        cold_left_ms: 0,
        version: None,
    }
}

fn ids(records: &[EngineRecord]) -> Vec<&str> {
    records.iter().map(|record| record.id.as_str()).collect()
}

#[test]
fn repeated_heartbeats_are_not_changes() {
    let mut registry = Registry::new(SILENCE);
    let now = Timestamp::from_millis(0);
    assert!(registry.record_heartbeat(record("a", "1:1", 1), now, 1));
    assert!(!registry.record_heartbeat(record("a", "1:1", 2), now, 2));
    // An older heartbeat with other content is ignored.
    assert!(!registry.record_heartbeat(record("a", "2:2", 1), now, 3));
    assert!(registry.record_heartbeat(record("a", "2:2", 3), now, 4));
    assert_eq!(ids(&registry.changed_after(3)), ["a"]);
    assert!(registry.changed_after(4).is_empty());
}

#[test]
fn silent_engines_are_lost_and_come_back() {
    let mut registry = Registry::new(SILENCE);
    registry.record_heartbeat(record("a", "1:1", 1), Timestamp::from_millis(0), 1);
    registry.record_heartbeat(record("b", "2:2", 1), Timestamp::from_millis(9_000), 2);
    assert!(!registry.expire(Timestamp::from_millis(9_999), 3));
    assert!(registry.expire(Timestamp::from_millis(10_000), 3));
    assert_eq!(registry.lost_after(2), ["a"]);
    assert!(registry.record_heartbeat(record("a", "1:1", 2), Timestamp::from_millis(10_001), 4));
    assert!(registry.lost_after(2).is_empty());
}

#[test]
fn an_engine_is_lost_when_another_takes_its_address() {
    let mut registry = Registry::new(SILENCE);
    let now = Timestamp::from_millis(0);
    registry.record_heartbeat(record("a", "1:1", 1), now, 1);
    registry.record_heartbeat(record("b", "1:1", 1), now, 2);
    assert_eq!(registry.lost_after(1), ["a"]);
    assert_eq!(ids(&registry.changed_after(0)), ["b"]);
}

#[test]
fn a_late_heartbeat_does_not_reclaim_a_taken_address() {
    let mut registry = Registry::new(SILENCE);
    let now = Timestamp::from_millis(0);
    registry.record_heartbeat(record("a", "1:1", 7), now, 1);
    registry.record_heartbeat(record("b", "1:1", 1), now, 2);
    assert!(!registry.record_heartbeat(record("a", "1:1", 8), now, 3));
    assert_eq!(ids(&registry.changed_after(0)), ["b"]);
    assert!(registry.lost_after(2).is_empty());
    // At another address, its heartbeat is accepted.
    assert!(registry.record_heartbeat(record("a", "2:2", 9), now, 4));
    assert_eq!(ids(&registry.changed_after(0)), ["a", "b"]);
}

#[test]
fn forwarded_heartbeats_do_not_keep_a_silent_engine_alive() {
    let skipped = Arc::new(AtomicU64::new(0));
    let hub = || Hub::new("a".into(), SILENCE, BootClock::with_offset(skipped.clone()));
    let hubs = [hub(), hub(), hub()];
    hubs[0].record_heartbeat(record("a", "1:1", 1));
    let mut since = [Timestamp::ZERO; 3];
    for _ in 0..20 {
        let now = [0, 1, 2].map(|place: usize| hubs[place].now());
        let forwarded = [0, 1, 2].map(|place| hubs[place].heartbeats_since(since[place]));
        since = now;
        for (sender, records) in forwarded.iter().enumerate() {
            let others = hubs
                .iter()
                .enumerate()
                .filter(|(place, _)| *place != sender);
            for (_, other) in others {
                other.record_forwarded(records.clone());
            }
        }
        hubs.iter().for_each(Hub::expire);
        skipped.fetch_add(1_000_000, Ordering::Relaxed);
    }
    for hub in &hubs {
        let (_, update) = watch(hub, WatcherKind::Gateway, ViewPosition::default());
        assert_eq!(ids(&update.engines), Vec::<&str>::new());
    }
}

#[test]
fn a_control_node_forwards_only_heartbeats_sent_to_it() {
    let hub = Hub::new("a".into(), SILENCE, BootClock::start());
    hub.record_heartbeat(record("a", "1:1", 1));
    hub.record_forwarded(vec![record("b", "2:2", 1)]);
    assert_eq!(ids(&hub.heartbeats_since(Timestamp::ZERO)), ["a"]);
    // An engine that switches to another control node is forwarded by that node.
    hub.record_forwarded(vec![record("a", "1:1", 2)]);
    assert_eq!(
        ids(&hub.heartbeats_since(Timestamp::ZERO)),
        Vec::<&str>::new()
    );
    hub.record_heartbeat(record("b", "2:2", 2));
    assert_eq!(ids(&hub.heartbeats_since(Timestamp::ZERO)), ["b"]);
}

fn watch(hub: &Hub, kind: WatcherKind, position: ViewPosition) -> (ViewPosition, ViewUpdate) {
    let watch = WatchView {
        node: NodeId(7),
        kind,
        position,
        wait_ms: 0,
        zone: None,
        version: None,
        other_node_sends_first: false,
    };
    match block_on(hub.watch(&watch)) {
        Response::View { position, update } => (
            position,
            molespan_state::decode(&update).expect("an update"),
        ),
        other => panic!("{other:?}"),
    }
}

fn declared(machine: &mut ControlMachine, version: u64) {
    let declaration = Declaration {
        version,
        document: Vec::new().into(),
        model: ServingModel::default(),
    };
    let command = DeclaredCommand::Declare(Box::new(declaration));
    machine.apply(&ControlCommand::Declared(command));
}

#[test]
fn a_watcher_receives_exactly_the_changes_it_missed() {
    let hub = Hub::new("a".into(), SILENCE, BootClock::start());
    let mut machine = ControlMachine::new();
    declared(&mut machine, 3);
    hub.apply_declared(machine.declared(), BTreeSet::from([NodeId(1)]), 1);
    hub.record_heartbeat(record("a", "1:1", 1));
    let kind = WatcherKind::Gateway;
    let (position, update) = watch(&hub, kind, ViewPosition::default());
    assert_eq!(update.configuration.map(|current| current.version), Some(3));
    assert_eq!(ids(&update.engines), ["a"]);
    let (position, update) = watch(&hub, kind, position);
    assert_eq!(update, ViewUpdate::default());
    let engine = "a".to_owned();
    let departure = Departure::Draining;
    machine.apply(&ControlCommand::Declared(DeclaredCommand::Depart {
        engine,
        departure,
    }));
    hub.apply_declared(machine.declared(), BTreeSet::from([NodeId(1)]), 1);
    let (_, update) = watch(&hub, kind, position);
    assert_eq!(update.departures, [("a".to_owned(), Departure::Draining)]);
    assert_eq!(update.configuration, None);
    // A delayed heartbeat does not bring the engine back.
    assert!(!hub.record_heartbeat(record("a", "1:1", 9)));
    // The position of another session is invalid: everything is sent.
    let other = ViewPosition {
        session: position.session.wrapping_add(1),
        revision: position.revision,
    };
    let (_, update) = watch(&hub, kind, other);
    assert_eq!(update.configuration.map(|current| current.version), Some(3));
}

#[test]
fn a_configuration_is_never_replaced_by_an_older_one() {
    let hub = Hub::new("a".into(), SILENCE, BootClock::start());
    let (mut newer, mut older) = (ControlMachine::new(), ControlMachine::new());
    declared(&mut newer, 9);
    declared(&mut older, 8);
    hub.apply_declared(newer.declared(), BTreeSet::new(), 1);
    hub.apply_declared(older.declared(), BTreeSet::new(), 1);
    let (_, update) = watch(&hub, WatcherKind::Gateway, ViewPosition::default());
    assert_eq!(update.configuration.map(|current| current.version), Some(9));
}

#[test]
fn watchers_are_counted_by_role() {
    let hub = Hub::new("a".into(), SILENCE, BootClock::start());
    watch(&hub, WatcherKind::Store, ViewPosition::default());
    assert_eq!(hub.live_stores(), BTreeSet::from([NodeId(7)]));
    watch(&hub, WatcherKind::Gateway, ViewPosition::default());
    hub.expire();
    let (_, update) = watch(&hub, WatcherKind::Gateway, ViewPosition::default());
    let topology = update.topology.expect("a changed topology");
    assert_eq!(topology.gateways, BTreeSet::from([NodeId(7)]));
}

fn topology(applied: u64, stores: &[u32], gateways: &[u32]) -> Topology {
    let nodes = |numbers: &[u32]| numbers.iter().copied().map(NodeId).collect();
    Topology {
        stores: nodes(stores),
        gateways: nodes(gateways),
        applied,
        ..Topology::default()
    }
}

#[test]
fn a_restarted_control_node_removes_no_gateways() {
    let mut view = TopologyView::default();
    let start = Timestamp::ZERO;
    view.record(NodeId(1), Some(topology(7, &[4, 5], &[8, 9])), start);
    // It has counted no gateway yet and has applied less.
    view.record(NodeId(2), Some(topology(3, &[4], &[])), start);
    assert_eq!(view.current(start), topology(7, &[4, 5], &[8, 9]));
    // A node that has not applied any entries contributes gateways only.
    view.record(NodeId(3), Some(topology(0, &[], &[9, 10])), start);
    assert_eq!(view.current(start), topology(7, &[4, 5], &[8, 9, 10]));
    view.record(NodeId(2), Some(topology(8, &[4, 5, 6], &[8])), start);
    assert_eq!(view.current(start), topology(8, &[4, 5, 6], &[8, 9, 10]));
}

#[test]
fn control_nodes_report_their_zone() {
    let start = Timestamp::ZERO;
    let mut view = TopologyView::default();
    for (node, zone) in [(1, "a"), (2, "b"), (3, "a")] {
        let hub = Hub::new(zone.into(), SILENCE, BootClock::start());
        watch(&hub, WatcherKind::Gateway, ViewPosition::default());
        hub.expire();
        let (_, update) = watch(&hub, WatcherKind::Gateway, ViewPosition::default());
        view.record(NodeId(node), update.topology, start);
    }
    // An older version does not report its zone.
    view.record(NodeId(4), Some(topology(1, &[], &[])), start);
    assert_eq!(
        view.control_nodes_in_zone(&"a".into()),
        [1, 3].map(NodeId).into()
    );
    assert_eq!(view.control_nodes_in_zone(&"c".into()), BTreeSet::new());
    assert_eq!(view.current(start).zone, None);
}

#[test]
fn gateways_of_a_silent_control_node_are_ignored() {
    let mut view = TopologyView::default();
    let start = Timestamp::ZERO;
    let later = start + Duration::from_secs(6);
    view.record(NodeId(1), Some(topology(7, &[4], &[8, 9])), start);
    view.record(NodeId(2), Some(topology(6, &[], &[8])), start);
    view.record(NodeId(2), None, later);
    assert_eq!(view.current(later), topology(7, &[4], &[8]));
}

#[test]
fn a_resumed_control_node_treats_its_view_as_outdated() {
    let skipped = Arc::new(AtomicU64::new(0));
    let hub = Hub::new("a".into(), SILENCE, BootClock::with_offset(skipped.clone()));
    hub.record_heartbeat(record("a", "1:1", 1));
    watch(&hub, WatcherKind::Store, ViewPosition::default());
    assert!(!hub.store_list_is_complete(), "it has just started");
    skipped.fetch_add(2_000_000, Ordering::Relaxed);
    watch(&hub, WatcherKind::Store, ViewPosition::default());
    skipped.fetch_add(2_000_000, Ordering::Relaxed);
    watch(&hub, WatcherKind::Store, ViewPosition::default());
    assert!(hub.store_list_is_complete());
    // Eight seconds that a monotonic clock does not count while suspended.
    skipped.fetch_add(8_000_000, Ordering::Relaxed);
    assert_eq!(hub.live_stores(), BTreeSet::new());
    assert!(
        !hub.store_list_is_complete(),
        "after a suspension it cannot tell that they are gone"
    );
    watch(&hub, WatcherKind::Store, ViewPosition::default());
    assert!(
        !hub.store_list_is_complete(),
        "the other stores have not asked yet"
    );
    hub.expire();
    assert_eq!(
        hub.heartbeats_since(Timestamp::ZERO),
        [],
        "the engine has not sent a heartbeat yet"
    );
}

#[test]
fn a_resumed_node_does_not_treat_its_view_as_current() {
    let skipped = Arc::new(AtomicU64::new(0));
    let clock = BootClock::with_offset(skipped.clone());
    let mut view = TopologyView::default();
    let reported = Topology {
        control: BTreeSet::from([NodeId(1)]),
        ..Topology::default()
    };
    view.record(NodeId(1), Some(reported), clock.now());
    let limit = Duration::from_secs(5);
    assert!(view.is_current(limit, clock.now()));
    skipped.fetch_add(8_000_000, Ordering::Relaxed);
    assert!(!view.is_current(limit, clock.now()));
}

#[test]
fn gateways_are_counted_by_zone() {
    let hub = Hub::new("a".into(), SILENCE, BootClock::start());
    for (node, zone) in [(1, Some("a")), (2, Some("b")), (3, Some("b")), (4, None)] {
        let watch = WatchView {
            node: NodeId(node),
            kind: WatcherKind::Gateway,
            position: ViewPosition::default(),
            wait_ms: 0,
            zone: zone.map(Into::into),
            version: None,
            other_node_sends_first: false,
        };
        block_on(hub.watch(&watch));
    }
    hub.expire();
    assert_eq!(hub.gateway_count(), 4);
    assert_eq!(hub.gateway_count_outside(&BTreeSet::new()), 4);
    // A gateway without a zone may be on either side.
    assert_eq!(hub.gateway_count_outside(&BTreeSet::from(["b".into()])), 2);
    assert_eq!(hub.zone_of(NodeId(2)), Some("b".into()));
    assert_eq!(hub.zone_of(NodeId(4)), None);
    assert_eq!(hub.own_zone(), Some("a".into()));
}

/// An engine record as builds without software versions encode and decode it.
#[derive(Debug, PartialEq, Eq, Encode, Decode)]
struct OlderRecord {
    #[n(0)]
    id: String,
    #[n(1)]
    service: String,
    #[n(2)]
    address: String,
    #[n(3)]
    zone: ZoneName,
    #[n(4)]
    slots: u32,
    #[n(5)]
    sequence: u64,
    #[n(6)]
    cold_left_ms: u32,
}

#[test]
fn a_record_of_an_older_build_has_an_unknown_version_and_an_older_build_reads_the_new() {
    let newer = EngineRecord {
        version: Some("v1".into()),
        ..record("e", "10.0.0.1:1", 3)
    };
    let older: OlderRecord = decode(&encode(&newer)).expect("a newer record");
    assert_eq!((older.id.as_str(), older.sequence), ("e", 3));
    let read: EngineRecord = decode(&encode(&older)).expect("an older record");
    assert_eq!(read.version, None);
    let as_older = EngineRecord {
        version: None,
        ..newer
    };
    assert_eq!(read, as_older);
}

#[test]
fn a_control_node_of_an_older_build_holds_no_streams() {
    let mut view = TopologyView::default();
    let holds = |holds_streams| Topology {
        control: [NodeId(1), NodeId(2)].into(),
        holds_streams,
        ..Topology::default()
    };
    view.record(NodeId(1), Some(holds(false)), Timestamp::ZERO);
    view.record(NodeId(2), Some(holds(true)), Timestamp::ZERO);
    let holders = view.stream_holders(Timestamp::ZERO);
    assert_eq!(holders.len(), 1);
    assert_eq!(holders[0].node, NodeId(2));
    let later = Timestamp::from_millis(60_000);
    assert!(view.stream_holders(later).is_empty(), "a silent node");
}
