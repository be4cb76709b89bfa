//! Gateway set, ownership, subsets and planned stops under failures.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_membership::{
    DrainInput, DrainOutput, DrainPhase, DrainPlan, DrainSettings, GatewayRecord, GatewaySet,
    GatewaySetSettings, Ownership, OwnershipChange, OwnershipSettings, SubsetBackend,
    SubsetSettings, subset,
};
use molespan_types::{BackendId, Incarnation, NodeId, Timestamp, ZoneName};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ENGINES: u32 = 200;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn zone(number: u32) -> ZoneName {
    ZoneName(format!("zone-{number}"))
}

fn record(node: u32, zones: u32) -> GatewayRecord {
    GatewayRecord {
        node: NodeId(node),
        incarnation: Incarnation(1),
        zone: zone(node % zones),
        draining: false,
    }
}

fn gateways(nodes: impl Iterator<Item = u32>, zones: u32) -> GatewaySet {
    let mut set = GatewaySet::new(GatewaySetSettings::default());
    set.update(at(0), nodes.map(|node| record(node, zones)).collect());
    set
}

fn owners(set: &GatewaySet, zones: u32) -> Vec<Option<NodeId>> {
    (0..ENGINES)
        .map(|engine| set.owner_of(BackendId(engine), &zone(engine % zones)))
        .collect()
}

#[test]
fn losing_a_gateway_moves_only_what_it_owned() {
    let before = owners(&gateways(0..12, 3), 3);
    let after = owners(&gateways((0..12).filter(|node| *node != 4), 3), 3);
    for (old, new) in before.iter().zip(&after) {
        assert!(old == new || *old == Some(NodeId(4)));
        assert_ne!(*new, Some(NodeId(4)));
    }
}

#[test]
fn a_zone_without_gateways_is_owned_by_other_zones() {
    let set = gateways((0..12).filter(|node| node % 3 != 1), 3);
    assert!(set.owner_of(BackendId(1), &zone(1)).is_some());
    let none = GatewaySet::new(GatewaySetSettings::default());
    assert_eq!(none.owner_of(BackendId(1), &zone(1)), None);
}

#[test]
fn only_candidates_own_anything() {
    // Zone 1 has no gateway, so its engines are owned by gateways of other zones.
    let set = gateways((0..12).filter(|node| node % 3 != 1), 3);
    for engine in 0..ENGINES {
        let zone = zone(engine % 3);
        let owner = set.owner_of(BackendId(engine), &zone).unwrap();
        assert!(set.is_candidate(owner, &zone));
    }
    assert!(!set.is_candidate(NodeId(0), &zone(2)));
    assert!(set.is_candidate(NodeId(0), &zone(1)));
}

#[test]
fn a_gateway_owns_the_back_ends_it_is_named_for() {
    let zones: Vec<ZoneName> = (0..ENGINES).map(|engine| zone(engine % 3)).collect();
    let backends = || (0..ENGINES).map(BackendId).zip(&zones);
    let mut set = gateways(0..12, 3);
    let mut own = Ownership::new(NodeId(4), OwnershipSettings::default());
    for (now, gone) in [
        (0, None),
        (10_000, Some(1)),
        (20_000, Some(7)),
        (30_000, Some(10)),
    ] {
        let drained = gone.map(|node| GatewayRecord {
            draining: true,
            ..record(node, 3)
        });
        let live = (0..12).map(|node| record(node, 3)).chain(drained);
        set.update(at(now), live.collect());
        own.heartbeat_answered(at(now));
        own.refresh(at(now), &set, backends());
        own.heartbeat_answered(at(now + 6_000));
        own.tick(at(now + 6_000));
        let named =
            backends().filter(|(backend, zone)| set.owner_of(*backend, zone) == Some(NodeId(4)));
        let named: Vec<BackendId> = named.map(|(backend, _)| backend).collect();
        assert_eq!(own.owned().collect::<Vec<_>>(), named, "{gone:?} gone");
    }
}

#[test]
fn a_replica_that_lags_does_not_undo_a_planned_stop() {
    let mut set = gateways(0..2, 1);
    let draining = GatewayRecord {
        draining: true,
        ..record(1, 1)
    };
    set.update(at(10), vec![draining]);
    set.update(at(20), vec![record(1, 1)]);
    assert_eq!(set.nodes().collect::<Vec<_>>(), [NodeId(0)]);
    let next_life = GatewayRecord {
        incarnation: Incarnation(2),
        ..record(1, 1)
    };
    assert!(set.update(at(30), vec![next_life]));
    assert_eq!(set.nodes().count(), 2);
    // Reports of the previous incarnation have no effect.
    set.update(at(40), vec![record(1, 1)]);
    assert_eq!(
        set.record(NodeId(1)).map(|r| r.incarnation),
        Some(Incarnation(2))
    );
}

#[test]
fn a_silent_gateway_drops_out() {
    let mut set = gateways(0..2, 1);
    set.update(at(2_000), vec![record(0, 1)]);
    assert!(set.expire(at(3_500)));
    assert_eq!(set.nodes().collect::<Vec<_>>(), [NodeId(0)]);
}

/// An old and a new owner, each with its own state, to detect times at which both own.
struct Pair {
    old: Ownership,
    new: Ownership,
}

impl Pair {
    fn engines() -> Vec<(BackendId, ZoneName)> {
        (0..20).map(|engine| (BackendId(engine), zone(0))).collect()
    }

    fn refresh(side: &mut Ownership, now: Timestamp, set: &GatewaySet) -> Vec<OwnershipChange> {
        let engines = Self::engines();
        side.refresh(now, set, engines.iter().map(|(id, zone)| (*id, zone)))
    }

    /// The old gateway owns everything; the new one owns nothing.
    fn start() -> Self {
        let mut old = Ownership::new(NodeId(0), OwnershipSettings::default());
        let new = Ownership::new(NodeId(1), OwnershipSettings::default());
        let set = gateways(0..1, 1);
        old.heartbeat_answered(at(0));
        Self::refresh(&mut old, at(0), &set);
        old.heartbeat_answered(at(5_000));
        assert_eq!(old.tick(at(5_000)).len(), 20);
        Self { old, new }
    }
}

#[test]
fn an_owner_that_is_cut_off_stops_before_the_next_one_begins() {
    let mut pair = Pair::start();
    // The old gateway is cut off after the heartbeat at second 5. The others remove it 3
    // s later, and the new one becomes the owner.
    let set = gateways(1..2, 1);
    let mut begins = None;
    let mut ends = None;
    for millis in (5_000..20_000).step_by(10) {
        let now = at(millis);
        if !pair.old.tick(now).is_empty() {
            ends.get_or_insert(millis);
        }
        pair.new.heartbeat_answered(now);
        if millis == 8_000 {
            Pair::refresh(&mut pair.new, now, &set);
        }
        if !pair.new.tick(now).is_empty() {
            begins.get_or_insert(millis);
        }
        let both = pair.old.owned().count() > 0 && pair.new.owned().count() > 0;
        assert!(!both, "two owners at {millis} ms");
    }
    assert_eq!((ends, begins), (Some(8_000), Some(13_000)));
}

#[test]
fn an_owner_that_releases_hands_over_at_once() {
    let mut pair = Pair::start();
    let both = gateways(0..2, 1);
    pair.new.heartbeat_answered(at(5_100));
    assert!(Pair::refresh(&mut pair.new, at(5_100), &both).is_empty());
    let released = Pair::refresh(&mut pair.old, at(5_110), &both);
    assert!(!released.is_empty());
    for change in &released {
        let OwnershipChange::Released { backend, next } = change else {
            panic!("{change:?}");
        };
        assert_eq!(*next, Some(NodeId(1)));
        pair.new.released_elsewhere(at(5_120), *backend);
    }
    assert_eq!(pair.new.tick(at(5_120)).len(), released.len());
}

#[test]
fn every_engine_is_covered_and_subsets_stay_bounded() {
    let zones = 4;
    let set = gateways(0..80, zones);
    let backends: Vec<SubsetBackend> = (0..1_000)
        .map(|id| SubsetBackend {
            id: BackendId(id),
            zone: zone(id % zones),
        })
        .collect();
    let settings = SubsetSettings::default();
    let mut cover: BTreeMap<BackendId, usize> = BTreeMap::new();
    for node in 0..80 {
        let own = zone(node % zones);
        let chosen = subset(NodeId(node), &own, &set, &backends, &settings);
        assert!(chosen.len() >= settings.size && chosen.len() <= settings.size * 2);
        let far = chosen.iter().filter(|id| id.0 % zones != node % zones);
        assert_eq!(far.count(), settings.spill);
        for backend in chosen {
            *cover.entry(backend).or_default() += 1;
        }
    }
    assert_eq!(cover.len(), backends.len());
    assert!(cover.values().all(|gateways| *gateways >= settings.cover));
}

#[test]
fn a_gateway_routes_to_every_engine_of_a_small_fleet() {
    let set = gateways(0..3, 3);
    let backends: Vec<SubsetBackend> = (0..13)
        .map(|id| SubsetBackend {
            id: BackendId(id),
            zone: zone(id % 3),
        })
        .collect();
    let chosen = subset(
        NodeId(1),
        &zone(1),
        &set,
        &backends,
        &SubsetSettings::default(),
    );
    assert_eq!(chosen.len(), 13);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_new_engine_changes_no_more_than_one_place_of_a_subset(
        node in 0_u32..40,
        added in 5_000_u32..6_000,
    ) {
        let set = gateways(0..40, 2);
        let settings = SubsetSettings { cover: 0, ..SubsetSettings::default() };
        let mut backends: Vec<SubsetBackend> = (0..400)
            .map(|id| SubsetBackend { id: BackendId(id), zone: zone(id % 2) })
            .collect();
        let before = subset(NodeId(node), &zone(node % 2), &set, &backends, &settings);
        backends.push(SubsetBackend { id: BackendId(added), zone: zone(added % 2) });
        let after = subset(NodeId(node), &zone(node % 2), &set, &backends, &settings);
        let moved = before.iter().filter(|id| !after.contains(id)).count();
        prop_assert!(moved <= 1);
    }
}

fn plan() -> DrainPlan {
    DrainPlan::new(DrainSettings {
        unready_wait: Duration::from_secs(2),
        finish_within: Duration::from_secs(30),
        hand_over_within: Duration::from_secs(5),
    })
}

#[test]
fn a_stop_under_load_waits_for_what_is_in_flight() {
    let mut plan = plan();
    plan.handle(at(0), DrainInput::InFlight(2));
    plan.handle(at(0), DrainInput::Held(3));
    assert_eq!(
        plan.handle(at(0), DrainInput::Begin),
        [DrainOutput::SayUnready, DrainOutput::ReturnBatchItems]
    );
    assert_eq!(plan.handle(at(1_999), DrainInput::Tick), []);
    assert_eq!(
        plan.handle(at(2_000), DrainInput::Tick),
        [DrainOutput::RefuseNew]
    );
    assert_eq!(plan.handle(at(9_000), DrainInput::InFlight(1)), []);
    assert_eq!(
        plan.handle(at(9_500), DrainInput::InFlight(0)),
        [DrainOutput::HandOver]
    );
    assert_eq!(
        plan.handle(at(9_600), DrainInput::Held(0)),
        [DrainOutput::Exit]
    );
    assert_eq!(plan.phase(), DrainPhase::Stopped);
}

#[test]
fn a_second_stop_during_the_first_changes_nothing() {
    let mut plan = plan();
    plan.handle(at(0), DrainInput::InFlight(1));
    plan.handle(at(0), DrainInput::Begin);
    plan.handle(at(2_000), DrainInput::Tick);
    assert_eq!(plan.handle(at(2_500), DrainInput::Begin), []);
    assert_eq!(plan.phase(), DrainPhase::Finishing);
}

#[test]
fn a_stream_longer_than_the_bound_is_reported_as_cut_off() {
    let mut plan = plan();
    plan.handle(at(0), DrainInput::InFlight(4));
    plan.handle(at(0), DrainInput::Held(1));
    plan.handle(at(0), DrainInput::Begin);
    plan.handle(at(2_000), DrainInput::Tick);
    assert_eq!(
        plan.handle(at(32_000), DrainInput::Tick),
        [DrainOutput::CutOff { in_flight: 4 }, DrainOutput::HandOver]
    );
    assert_eq!(
        plan.handle(at(37_000), DrainInput::Tick),
        [DrainOutput::LeftBehind { held: 1 }, DrainOutput::Exit]
    );
}

#[test]
fn an_idle_node_stops_as_soon_as_balancers_noticed() {
    let mut plan = plan();
    plan.handle(at(0), DrainInput::Begin);
    assert_eq!(
        plan.handle(at(2_000), DrainInput::Tick),
        [
            DrainOutput::RefuseNew,
            DrainOutput::HandOver,
            DrainOutput::Exit
        ]
    );
}
