//! Origins of streams: what is known of them, who holds them, and what a search finds.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_routing::streams::{
    Found, HOLDERS, Holder, HolderAnswer, KnownOrigin, OriginReport, Origins, ReportPace, Search,
    in_order, report_interval,
};
use molespan_state::declared::{StreamKey, StreamOrigin};
use molespan_types::{NodeId, SoftwareVersion, Timestamp};

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

fn version_at(origins: &Origins, id: &str, seconds: u64) -> Option<SoftwareVersion> {
    let known = origins.find(key(id), at(seconds));
    known.map(|known| known.origin.version)
}

fn known(version: &str, seconds: u64) -> KnownOrigin {
    KnownOrigin {
        origin: origin(version),
        age: Duration::from_secs(seconds),
    }
}

#[test]
fn an_origin_is_as_old_as_its_last_report() {
    let mut origins = Origins::default();
    origins.record(key("a"), &origin("v1"), at(1));
    assert_eq!(origins.find(key("a"), at(4)), Some(known("v1", 3)));
    origins.record(key("a"), &origin("v1"), at(5));
    assert_eq!(origins.find(key("a"), at(6)), Some(known("v1", 1)));
}

#[test]
fn an_origin_is_known_for_as_long_as_callers_return_and_forgotten_later() {
    let mut origins = Origins::default();
    origins.record(key("a"), &origin("v1"), at(0));
    for second in 1..=20 {
        origins.record(key(&second.to_string()), &origin("v2"), at(second));
        assert_eq!(
            version_at(&origins, "a", second),
            Some("v1".into()),
            "{second}"
        );
    }
    for second in 21..=60 {
        origins.record(key(&second.to_string()), &origin("v2"), at(second));
    }
    assert_eq!(version_at(&origins, "a", 60), None);
    assert_eq!(version_at(&origins, "60", 60), Some("v2".into()));
}

#[test]
fn an_origin_reported_again_stays_known() {
    let mut origins = Origins::default();
    for second in (0..=100).step_by(2) {
        origins.record(key("a"), &origin("v1"), at(second));
        origins.record(key(&second.to_string()), &origin("v2"), at(second));
    }
    assert_eq!(version_at(&origins, "a", 100), Some("v1".into()));
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
    assert_eq!(version_at(&origins, "a", 0), None);
    assert_eq!(version_at(&origins, "b", 0), None);
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
    let mut search = Search::new(4);
    assert_eq!(search.result(), Found::Open);
    search.record(HolderAnswer::Unknown);
    assert_eq!(search.result(), Found::Open);
    search.record(HolderAnswer::Known(known("v1", 1)));
    search.record(HolderAnswer::Known(known("v1", 2)));
    assert_eq!(search.result(), Found::Known(known("v1", 1)));
    search.record(HolderAnswer::Known(known("v2", 1)));
    assert_eq!(search.result(), Found::Unknown);
    assert_eq!(Search::new(0).result(), Found::Unknown);
    let mut search = Search::new(2);
    search.record(HolderAnswer::None);
    assert_eq!(search.result(), Found::Open);
    search.record(HolderAnswer::None);
    assert_eq!(search.result(), Found::Unknown);
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
        let mut chosen = in_order(NodeId(1_000 + gateway as u32), &zone.into(), &nodes);
        assert_eq!(chosen.len(), 5);
        chosen.truncate(HOLDERS);
        let zones: Vec<&Holder> = chosen
            .iter()
            .map(|node| nodes.iter().find(|holder| holder.node == *node).unwrap())
            .collect();
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
    assert!(in_order(NodeId(9), &"a".into(), &[]).is_empty());
    assert_eq!(in_order(NodeId(9), &"a".into(), &nodes(&["b"])).len(), 1);
    assert_eq!(
        in_order(NodeId(9), &"a".into(), &nodes(&["a", "a"])).len(),
        2
    );
    assert_eq!(
        in_order(NodeId(9), &"a".into(), &nodes(&["", "", ""])).len(),
        3
    );
}

// Guards against streams that are lost with their gateway since they began right behind another.
#[test]
fn a_few_streams_are_reported_without_a_pause_and_many_at_the_mean_rate() {
    const INTERVAL: Duration = Duration::from_millis(20);
    let mut pace = ReportPace::default();
    let start = at(100);
    let mut now = start;
    let mut pauses = Vec::new();
    for _ in 0..108 {
        let pause = pace.pause(INTERVAL, now);
        pauses.push(pause);
        now = now + pause;
    }
    assert_eq!(pauses[..8], [Duration::ZERO; 8]);
    assert_eq!(
        now.since(start),
        INTERVAL * 100,
        "the mean rate of 100 reports more"
    );
    // Behind a pause there are as many again, and no more.
    now = now + INTERVAL * 1_000;
    let pauses: Vec<Duration> = (0..9).map(|_| pace.pause(INTERVAL, now)).collect();
    assert_eq!(pauses[..8], [Duration::ZERO; 8]);
    assert_eq!(pauses[8], INTERVAL);
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
