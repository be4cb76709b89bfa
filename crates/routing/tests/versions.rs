//! Choice of an engine for a stream that only one software version may go on with.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use molespan_routing::dispatch::{
    EngineFacts, EngineTable, Failure, NoEngine, Pick, PromptCost, Standing, WorkClass,
};
use molespan_types::{NodeId, SoftwareVersion, Timestamp};

const CONTROL: NodeId = NodeId(1);
const OTHER_CONTROL: NodeId = NodeId(2);

fn now(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn facts(number: u16, version: Option<&str>) -> EngineFacts {
    EngineFacts {
        id: format!("i-{number}"),
        service: "s".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        zone: "z".into(),
        slots: 2,
        version: version.map(SoftwareVersion::from),
    }
}

/// A table with engines of these versions, numbered from 1.
fn table(versions: &[Option<&str>]) -> EngineTable {
    let mut table = EngineTable::new("z".into(), 7);
    for (place, version) in versions.iter().enumerate() {
        table.add_engine(CONTROL, facts(place as u16 + 1, *version), now(0));
    }
    table
}

fn pick(table: &mut EngineTable, version: &str, tried: &[&str]) -> Result<String, NoEngine> {
    pick_at(table, version, tried, 5_000)
}

fn pick_at(
    table: &mut EngineTable,
    version: &str,
    tried: &[&str],
    at_ms: u64,
) -> Result<String, NoEngine> {
    let tried: BTreeSet<String> = tried.iter().map(|&one| one.to_owned()).collect();
    let pick = Pick {
        service: "s",
        class: WorkClass::Online,
        standing: Standing::Late,
        prompt: PromptCost::default(),
        tried: &tried,
        suspect: false,
        version: Some(&version.into()),
    };
    table.pick(&pick, now(at_ms)).map(|picked| picked.facts.id)
}

#[test]
fn a_stream_goes_on_at_its_version_whatever_room_others_have() {
    let mut table = table(&[Some("v1"), Some("v2"), None]);
    for _ in 0..20 {
        assert_eq!(pick(&mut table, "v1", &[]), Ok("i-1".to_owned()));
    }
    for _ in 0..2 {
        table.started("i-1", WorkClass::Online, 0, now(5_000));
    }
    assert_eq!(pick(&mut table, "v1", &[]), Err(NoEngine::Busy));
    assert_eq!(pick(&mut table, "v2", &[]), Ok("i-2".to_owned()));
}

#[test]
fn an_unknown_version_is_equal_to_none() {
    let mut table = table(&[None, None]);
    assert_eq!(pick(&mut table, "v1", &[]), Err(NoEngine::Version));
    assert_eq!(pick(&mut table, "", &[]), Err(NoEngine::Version));
}

#[test]
fn a_version_is_unknown_while_control_nodes_disagree_on_it() {
    let mut table = table(&[Some("v1")]);
    table.add_engine(OTHER_CONTROL, facts(1, Some("v2")), now(0));
    assert_eq!(pick(&mut table, "v1", &[]), Err(NoEngine::Version));
    assert_eq!(pick(&mut table, "v2", &[]), Err(NoEngine::Version));
    table.add_engine(CONTROL, facts(1, Some("v2")), now(0));
    assert_eq!(pick(&mut table, "v2", &[]), Ok("i-1".to_owned()));
    table.add_engine(CONTROL, facts(1, None), now(0));
    assert_eq!(pick(&mut table, "v2", &[]), Ok("i-1".to_owned()));
    table.remove_report(OTHER_CONTROL, "i-1");
    assert_eq!(pick(&mut table, "v2", &[]), Err(NoEngine::Version));
}

#[test]
fn a_stream_without_an_engine_of_its_version_is_told_so_at_once() {
    let mut table = table(&[Some("v1"), Some("v1"), Some("v2")]);
    assert_eq!(
        pick(&mut table, "v1", &["i-1", "i-2"]),
        Err(NoEngine::Tried)
    );
    table.failed("i-1", Failure::Unreachable, now(5_000));
    assert_eq!(pick(&mut table, "v1", &[]), Ok("i-2".to_owned()));
    table.depart("i-2", now(0));
    assert_eq!(pick(&mut table, "v1", &[]), Err(NoEngine::Version));
    table.succeeded("i-1", now(5_000));
    assert_ne!(pick(&mut table, "v1", &[]), Err(NoEngine::Version));
    table.depart("i-1", now(0));
    assert_eq!(pick(&mut table, "v1", &[]), Err(NoEngine::Version));
}

#[test]
fn a_stream_goes_on_at_an_engine_that_leaves_only_if_no_other_may_and_not_for_long() {
    let mut table = table(&[Some("v1"), Some("v1"), Some("v2")]);
    table.depart("i-1", now(0));
    assert_eq!(pick_at(&mut table, "v1", &[], 100), Ok("i-2".to_owned()));
    assert_eq!(
        pick_at(&mut table, "v1", &["i-2"], 100),
        Ok("i-1".to_owned())
    );
    table.depart("i-2", now(500));
    assert_eq!(pick_at(&mut table, "v1", &[], 600), Ok("i-2".to_owned()));
    assert!(table.may_send("i-2", now(600)));
    assert_eq!(
        pick_at(&mut table, "v1", &["i-2"], 1_000),
        Err(NoEngine::Version)
    );
    assert_eq!(
        pick_at(&mut table, "v1", &[], 1_500),
        Err(NoEngine::Version)
    );
    assert!(!table.may_send("i-2", now(1_500)));
    assert_eq!(pick_at(&mut table, "v2", &[], 600), Ok("i-3".to_owned()));
}

#[test]
fn a_connect_that_is_raced_stays_at_the_version() {
    let mut table = EngineTable::new("a".into(), 7);
    let engines = [("a", "v1"), ("b", "v2"), ("b", "v2"), ("c", "v1")];
    for (place, (zone, version)) in engines.into_iter().enumerate() {
        let engine = EngineFacts {
            address: SocketAddr::from(([127, 0, 0, place as u8 + 1], 1)),
            zone: zone.into(),
            ..facts(place as u16 + 1, Some(version))
        };
        table.add_engine(CONTROL, engine, now(0));
    }
    let tried = BTreeSet::from(["i-1".to_owned()]);
    let mut second = |version: &str| {
        let pick = Pick {
            service: "s",
            class: WorkClass::Online,
            standing: Standing::Late,
            prompt: PromptCost::default(),
            tried: &tried,
            suspect: false,
            version: Some(&version.into()),
        };
        let second = table.pick_alternative(&pick, "i-1", now(1));
        second.map(|picked| picked.facts.id)
    };
    for _ in 0..20 {
        assert_eq!(second("v1"), Some("i-4".to_owned()));
    }
    assert_eq!(second("v3"), None);
}
