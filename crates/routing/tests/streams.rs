//! Origins of streams: what is known of them, who holds them, and what a search finds.

use std::collections::BTreeMap;

use molespan_routing::streams::{
    Found, Holder, HolderAnswer, OriginReport, Origins, Search, holders, report_interval,
};
use molespan_state::declared::{StreamKey, StreamOrigin};
use molespan_types::{NodeId, Timestamp};

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn key(id: &str) -> StreamKey {
    StreamKey::of(None, id)
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "s".to_owned(),
        version: version.into(),
    }
}

#[test]
fn an_origin_is_known_for_as_long_as_callers_return_and_forgotten_later() {
    let mut origins = Origins::default();
    origins.record(key("a"), &origin("v1"), at(0));
    for second in 1..=20 {
        origins.record(key(&second.to_string()), &origin("v2"), at(second));
        assert_eq!(origins.find(key("a")), Some(&origin("v1")), "{second}");
    }
    for second in 21..=60 {
        origins.record(key(&second.to_string()), &origin("v2"), at(second));
    }
    assert_eq!(origins.find(key("a")), None);
    assert_eq!(origins.find(key("60")), Some(&origin("v2")));
}

#[test]
fn an_origin_reported_again_stays_known() {
    let mut origins = Origins::default();
    for second in (0..=100).step_by(2) {
        origins.record(key("a"), &origin("v1"), at(second));
        origins.record(key(&second.to_string()), &origin("v2"), at(second));
    }
    assert_eq!(origins.find(key("a")), Some(&origin("v1")));
}

#[test]
fn a_stream_reported_with_two_origins_is_unknown_from_then_on() {
    let mut origins = Origins::default();
    for version in ["v1", "v1", "v2", "v1"] {
        let report = OriginReport {
            origin: origin(version),
            streams: vec![key("a"), key("b")],
        };
        origins.record_report(&report, at(0));
    }
    assert_eq!(origins.find(key("a")), None);
    assert_eq!(origins.find(key("b")), None);
}

#[test]
fn a_tenant_cannot_name_the_stream_of_another() {
    let keys = [
        StreamKey::of(None, "a"),
        StreamKey::of(Some(""), "a"),
        StreamKey::of(Some("t"), "a"),
        StreamKey::of(Some("ta"), ""),
        StreamKey::of(None, "ta"),
    ];
    for (place, key) in keys.iter().enumerate() {
        assert!(!keys[..place].contains(key));
    }
}

#[test]
fn one_holder_that_knows_is_enough_and_silence_is_never_taken_for_knowledge() {
    let mut search = Search::new(3);
    assert_eq!(search.result(), Found::Open);
    search.record(HolderAnswer::Unknown);
    assert_eq!(search.result(), Found::Open);
    search.record(HolderAnswer::Known(origin("v1")));
    assert_eq!(search.result(), Found::Known(origin("v1")));
    search.record(HolderAnswer::Known(origin("v2")));
    assert_eq!(search.result(), Found::Unknown);
    assert_eq!(Search::new(0).result(), Found::Unanswered);
    let mut search = Search::new(2);
    search.record(HolderAnswer::None);
    assert_eq!(search.result(), Found::Open);
    search.record(HolderAnswer::None);
    assert_eq!(search.result(), Found::Unanswered);
    let mut search = Search::new(2);
    search.record(HolderAnswer::None);
    search.record(HolderAnswer::Unknown);
    assert_eq!(search.result(), Found::Unknown);
}

fn nodes(zones: &[&str]) -> Vec<Holder> {
    let nodes = zones.iter().enumerate();
    nodes
        .map(|(number, &zone)| Holder {
            node: NodeId(number as u32 + 1),
            zone: (!zone.is_empty()).then(|| zone.into()),
        })
        .collect()
}

#[test]
fn a_gateway_has_a_holder_in_its_zone_and_one_elsewhere() {
    let nodes = nodes(&["a", "a", "b", "b", "c"]);
    let mut load: BTreeMap<NodeId, u32> = BTreeMap::new();
    for gateway in 0..600 {
        let zone = ["a", "b", "c"][gateway % 3];
        let chosen = holders(NodeId(1_000 + gateway as u32), &zone.into(), &nodes);
        let zones: Vec<&Holder> = chosen
            .iter()
            .map(|node| nodes.iter().find(|holder| holder.node == *node).unwrap())
            .collect();
        assert_eq!(chosen.len(), 2);
        assert_eq!(zones[0].zone, Some(zone.into()));
        assert_ne!(zones[1].zone, zones[0].zone);
        for node in chosen {
            *load.entry(node).or_default() += 1;
        }
    }
    assert_eq!(load.len(), 5);
}

#[test]
fn few_or_unknown_holders_are_used_as_they_are() {
    assert!(holders(NodeId(9), &"a".into(), &[]).is_empty());
    assert_eq!(holders(NodeId(9), &"a".into(), &nodes(&["b"])).len(), 1);
    assert_eq!(
        holders(NodeId(9), &"a".into(), &nodes(&["a", "a"])).len(),
        2
    );
    assert_eq!(
        holders(NodeId(9), &"a".into(), &nodes(&["", "", ""])).len(),
        2
    );
}

#[test]
fn reports_stay_within_a_holders_budget_at_the_target_size() {
    for (gateways, nodes) in [(8, 3), (117, 5), (836, 5), (1_800, 5)] {
        let interval = report_interval(gateways, nodes).as_secs_f64();
        let per_holder = f64::from(gateways) * 2.0 / nodes as f64 / interval;
        assert!(per_holder <= 1_601.0, "{gateways}: {per_holder}");
        assert!(interval <= 0.5, "{gateways}: {interval}");
    }
}
