//! Engines that restart under the same name, and rate limiting of logged refusals.

use std::collections::BTreeSet;
use std::time::Duration;

use molespan_daemon::boot_clock::BootClock;
use molespan_fleet::control::{Hub, Registry};
use molespan_fleet::refusals::RefusalLog;
use molespan_fleet::view::EngineRecord;
use molespan_state::control::{ControlCommand, ControlMachine};
use molespan_state::declared::{DeclaredCommand, Departure};
use molespan_types::{EngineIncarnation, Timestamp};

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

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn live_ids(registry: &Registry) -> Vec<String> {
    let records = registry.changed_after(0).into_iter();
    records.map(|record| record.id).collect()
}

#[test]
fn an_engine_id_consists_of_name_and_start_time() {
    let cases = [
        ("i-1", "i-1", None),
        ("i-1#17", "i-1", Some(17)),
        ("i-1#", "i-1#", None),
        ("i-1#x", "i-1#x", None),
    ];
    for (id, name, started_at_ms) in cases {
        let incarnation = EngineIncarnation::of(id);
        assert_eq!(
            (incarnation.name, incarnation.started_at_ms),
            (name, started_at_ms),
            "{id}"
        );
        assert_eq!(incarnation.id(), id);
    }
    assert!(EngineIncarnation::is_name("i-1"));
    assert!(!EngineIncarnation::is_name("i-1#17"));
    assert!(!EngineIncarnation::is_name(""));
}

#[test]
fn a_restarted_engine_replaces_its_earlier_life_and_late_heartbeats_are_ignored() {
    for address in ["1:1", "2:2"] {
        let mut registry = Registry::new(SILENCE);
        assert!(registry.record_heartbeat(record("a#100", "1:1", 900), at(0), 1));
        // The new incarnation numbers its heartbeats from 1 again.
        assert!(registry.record_heartbeat(record("a#200", address, 1), at(10), 2));
        assert_eq!(live_ids(&registry), ["a#200"]);
        assert_eq!(registry.lost_after(1), ["a#100"]);
        for late in [record("a#100", "1:1", 901), record("a", address, 1_000)] {
            assert!(!registry.record_heartbeat(late.clone(), at(20), 3));
            assert!(!registry.record_forwarded(late, at(20), 3));
        }
        registry.remove("a#100");
        assert_eq!(live_ids(&registry), ["a#200"], "a late departure");
        assert!(!registry.record_heartbeat(record("a#200", address, 2), at(30), 3));
        // The new incarnation expires by its own heartbeats.
        assert!(registry.expire(at(10_030), 4));
        assert!(!registry.record_heartbeat(record("a#100", "1:1", 902), at(10_040), 5));
        assert!(live_ids(&registry).is_empty());
        assert!(registry.record_heartbeat(record("a#200", address, 3), at(10_050), 5));
    }
}

#[test]
fn a_forwarded_restart_resets_the_heartbeat_sequence() {
    let mut registry = Registry::new(SILENCE);
    registry.record_forwarded(record("a#100", "1:1", 900), at(0), 1);
    assert!(registry.record_forwarded(record("a#200", "1:1", 1), at(1), 2));
    assert!(!registry.record_forwarded(record("a#200", "1:1", 1), at(2), 3));
    assert_eq!(live_ids(&registry), ["a#200"]);
}

#[test]
fn an_engine_id_without_start_time_has_a_single_life() {
    let mut registry = Registry::new(SILENCE);
    assert!(registry.record_heartbeat(record("a", "1:1", 9), at(0), 1));
    assert!(
        !registry.record_heartbeat(record("a", "2:2", 8), at(1), 2),
        "late heartbeat"
    );
    assert!(registry.record_heartbeat(record("a", "2:2", 10), at(2), 3));
    registry.remove("a#100");
    registry.record_heartbeat(record("b#1", "3:3", 1), at(3), 4);
    registry.remove("b");
    assert_eq!(
        live_ids(&registry),
        ["b#1"],
        "an end applies to the lives before it"
    );
}

/// Creates a hub that has applied these departures.
fn hub_with(departures: &[(&str, Departure)]) -> Hub {
    let mut machine = ControlMachine::default();
    for (engine, departure) in departures {
        machine.apply(&ControlCommand::Declared(DeclaredCommand::Depart {
            engine: (*engine).to_owned(),
            departure: *departure,
        }));
    }
    let hub = Hub::new("z".into(), SILENCE, BootClock::start());
    hub.apply_declared(machine.declared(), BTreeSet::new(), 1);
    hub
}

#[test]
fn a_departure_applies_to_its_life_and_earlier_ones() {
    let hub = hub_with(&[("a#100", Departure::Draining), ("b", Departure::Gone)]);
    for bound in ["a#100", "a#99", "a", "b"] {
        assert!(!hub.record_heartbeat(record(bound, "1:1", 50)), "{bound}");
    }
    assert_eq!(hub.departure("a#100"), Some(Departure::Draining));
    assert_eq!(hub.departure("a#101"), None);
    for (place, later) in ["a#101", "b#1"].into_iter().enumerate() {
        let address = format!("1:{place}");
        assert!(hub.record_heartbeat(record(later, &address, 1)), "{later}");
    }
}

#[test]
fn a_shutdown_without_start_time_applies_to_all_lives_started_before() {
    let hub = hub_with(&[]);
    assert_eq!(
        hub.ended_incarnation("a", 500),
        "a#500",
        "unknown to this node"
    );
    hub.record_heartbeat(record("a", "1:1", 1));
    assert_eq!(
        hub.ended_incarnation("a", 500),
        "a",
        "it reports no start time"
    );
    hub.record_heartbeat(record("a#100", "1:1", 1));
    assert_eq!(hub.ended_incarnation("a", 500), "a#500");
    // The clock of the engine is ahead.
    hub.record_heartbeat(record("a#700", "1:1", 1));
    assert_eq!(hub.ended_incarnation("a", 500), "a#700");
}

#[test]
fn recurring_refusals_are_counted_but_rarely_logged() {
    let mut refusals = RefusalLog::default();
    assert_eq!(refusals.record("a", "no address"), Some(1));
    assert_eq!(refusals.record("a", "no address"), None);
    assert_eq!(refusals.record("a", "no slots"), Some(3));
    let many = (0..1_000_000_u64).map(|number| refusals.record(&number.to_string(), "no address"));
    let logged: Vec<u64> = many.flatten().collect();
    assert!(logged.len() < 300, "{}", logged.len());
    assert_eq!(logged.last(), Some(&(1 << 19)));
}
