//! Tests engines that restart under the same name: no state of an earlier incarnation
//! applies to a later one, and late messages about an earlier one have no effect.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use molespan_routing::dispatch::{
    EngineFacts, EngineLoad, EngineTable, Failure, NoEngine, Pick, PromptCost, Standing, WorkClass,
    WorkShare,
};
use molespan_routing::suspects::{SuspectTable, engine_key};
use molespan_state::declared::{RequestDigest, RequestParts};
use molespan_types::{NodeId, Timestamp};

const CONTROL: NodeId = NodeId(1);
const OTHER_CONTROL: NodeId = NodeId(2);
const OTHER_GATEWAY: NodeId = NodeId(9);

fn now(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// An incarnation of an engine, at its own address.
fn facts(id: &str, port: u16) -> EngineFacts {
    EngineFacts {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: "z".into(),
        slots: 8,
        version: None,
    }
}

fn pick(table: &mut EngineTable, at: u64) -> Result<String, NoEngine> {
    let pick = Pick {
        service: "s",
        class: WorkClass::Online,
        standing: Standing::Late,
        prompt: PromptCost::default(),
        tried: &BTreeSet::new(),
        suspect: false,
        version: None,
    };
    table.pick(&pick, now(at)).map(|picked| picked.facts.id)
}

fn table_of(id: &str) -> EngineTable {
    let mut table = EngineTable::new("z".into(), 7);
    table.add_engine(CONTROL, facts(id, 1), now(0));
    table
}

#[test]
fn state_of_earlier_incarnation_does_not_apply_to_later_one() {
    for port in [1, 2] {
        let mut table = table_of("e#100");
        for _ in 0..8 {
            table.started("e#100", WorkClass::Online, 5_000, now(0));
        }
        for _ in 0..4 {
            table.failed("e#100", Failure::Broken, now(0));
        }
        assert_eq!(pick(&mut table, 1), Err(NoEngine::Busy));
        table.add_engine(CONTROL, facts("e#200", port), now(1));
        assert_eq!(table.len(), 1, "one incarnation at a time");
        assert_eq!(pick(&mut table, 1).as_deref(), Ok("e#200"));
        assert_eq!(table.occupancy(now(1)), 0.0);
    }
}

#[test]
fn late_messages_about_earlier_incarnation_have_no_effect() {
    let mut table = table_of("e#100");
    table.started("e#100", WorkClass::Online, 0, now(0));
    table.add_engine(CONTROL, facts("e#200", 2), now(1));
    table.started("e#200", WorkClass::Online, 0, now(1));
    // Late messages about it: from an answer, from a control node that was cut off, and
    // from other gateways.
    table.ended("e#100", WorkClass::Online);
    for _ in 0..4 {
        table.failed("e#100", Failure::Unreachable, now(1));
        table.answered("e#100", true, now(1));
    }
    table.displaced("e#100", now(1));
    let load = EngineLoad {
        running: 8,
        waiting: 8,
        slots: 1,
        pace: None,
    };
    table.report("e#100", load, now(1));
    let share = WorkShare {
        engine: "e#100".to_owned(),
        requests: 16,
        unread_tokens: 100_000,
        batch: 0,
        failing: 9,
        answering: 0,
        errors: 500,
        answers: 500,
        paced: 0,
        paces: 0,
    };
    table.note_shares(OTHER_GATEWAY, &[share], now(1));
    table.add_engine(OTHER_CONTROL, facts("e#100", 1), now(2));
    table.add_engine(OTHER_CONTROL, facts("e#100", 2), now(2));
    table.add_engine(OTHER_CONTROL, facts("e", 2), now(2));
    table.remove_report(CONTROL, "e#100");
    table.depart("e#100", now(0));
    assert_eq!(table.len(), 1);
    assert_eq!(table.slots("s"), 8);
    assert_eq!(table.occupancy(now(2)), 1.0 / 8.0);
    assert!(!table.has_departed("e#200"));
    assert_eq!(pick(&mut table, 2).as_deref(), Ok("e#200"));
}

#[test]
fn earlier_incarnation_is_not_added_after_later_one_was_lost() {
    let mut table = table_of("e#100");
    table.add_engine(CONTROL, facts("e#200", 2), now(1));
    table.remove_report(CONTROL, "e#200");
    table.add_engine(OTHER_CONTROL, facts("e#100", 1), now(2));
    assert!(table.is_empty());
    table.add_engine(OTHER_CONTROL, facts("e#200", 2), now(2));
    assert_eq!(pick(&mut table, 2).as_deref(), Ok("e#200"));
}

#[test]
fn departed_engine_serves_again_as_later_incarnation() {
    let mut table = table_of("e#100");
    assert!(table.depart("e#100", now(0)));
    assert!(!table.depart("e#100", now(0)));
    table.add_engine(CONTROL, facts("e#100", 1), now(1));
    assert_eq!(pick(&mut table, 1), Err(NoEngine::None));
    table.add_engine(CONTROL, facts("e#200", 1), now(1));
    assert_eq!(pick(&mut table, 1).as_deref(), Ok("e#200"));
    assert!(table.has_departed("e#100"));
}

#[test]
fn departure_without_start_applies_to_earlier_incarnations() {
    // The departure as dated by a control node, the incarnation, and whether the departure
    // applies to it.
    let cases = [
        ("e#150", "e#100", true),
        ("e#150", "e#150", true),
        ("e#150", "e#151", false),
        ("e#150", "e#99", true),
        ("e#150", "e", true),
        ("e#150", "e2#100", false),
        ("e#150", "e2", false),
        // An engine that reports no start time has a single incarnation.
        ("e", "e", true),
        ("e", "e#100", false),
    ];
    for (end, incarnation, is_bound) in cases {
        let mut before = table_of(incarnation);
        before.depart(end, now(0));
        assert_eq!(before.is_empty(), is_bound, "{incarnation} before {end}");
        let mut after = EngineTable::new("z".into(), 7);
        after.depart(end, now(0));
        after.add_engine(CONTROL, facts(incarnation, 1), now(1));
        assert_eq!(after.is_empty(), is_bound, "{incarnation} after {end}");
        assert_eq!(
            after.has_departed(incarnation),
            is_bound,
            "{incarnation} after {end}"
        );
    }
}

#[test]
fn crashes_are_counted_once_per_incarnation() {
    let request = RequestDigest::of(&RequestParts {
        tenant: None,
        host: "h",
        method: "POST",
        target: "/x",
        body: b"b",
    });
    let mut suspects = SuspectTable::default();
    assert_eq!(
        suspects.blame(request, engine_key("e#100"), now(0)),
        Some(1)
    );
    assert_eq!(suspects.blame(request, engine_key("e#100"), now(1)), None);
    assert_eq!(
        suspects.blame(request, engine_key("e#200"), now(2)),
        Some(2)
    );
}

#[test]
fn service_has_left_until_another_engine_is_listed() {
    let mut table = table_of("e#100");
    table.add_engine(CONTROL, facts("f", 2), now(0));
    assert!(!table.has_left("s"));
    table.depart("e#100", now(0));
    assert!(!table.has_left("s"), "one engine is left");
    table.remove_report(CONTROL, "f");
    assert!(!table.has_left("s"), "it fell silent and may come back");
    table.add_engine(CONTROL, facts("f", 2), now(1));
    table.depart("f", now(0));
    assert!(table.has_left("s"));
    table.add_engine(CONTROL, facts("e#101", 1), now(2));
    assert!(!table.has_left("s"));
    table.set_subset(CONTROL, "s", Some(32), None);
    table.depart("e#101", now(0));
    assert!(
        !table.has_left("s"),
        "other gateways use other engines of it"
    );
}
