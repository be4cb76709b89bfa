//! Subsets of large services: every engine and gateway is covered, load is balanced,
//! membership changes reassign little, and neither the size of a gateway's subset nor the
//! cost of one change grows with the fleet.

use std::collections::{BTreeMap, BTreeSet};

use molespan_routing::subset::{Breadth, SubsetUpdate, Subsets};
use molespan_types::{NodeId, ZoneName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVICE: &str = "s";
const ZONES: usize = 5;

fn zone(place: usize) -> ZoneName {
    format!("z{}", place % ZONES).as_str().into()
}

fn engine(place: usize) -> String {
    format!("i-{place:06}")
}

fn gateways(count: usize) -> BTreeMap<NodeId, Option<ZoneName>> {
    let nodes = (0..count).map(|place| (NodeId(place as u32 + 1), Some(zone(place))));
    nodes.collect()
}

/// Returns the subsets for these numbers of gateways and engines, as a control node computes
/// them once the number of gateways is known.
fn subsets(gateway_count: usize, engines: usize) -> Subsets {
    let mut subsets = Subsets::default();
    for place in 0..engines {
        subsets.insert(SERVICE, &engine(place), &zone(place), 1);
    }
    subsets.plan(&gateways(gateway_count), true, 2);
    subsets
}

fn used_by(subsets: &Subsets, gateway: NodeId) -> usize {
    subsets.subset_len(gateway, SERVICE)
}

#[test]
fn engines_have_equally_many_users_and_gateways_similarly_many_engines() {
    let subsets = subsets(836, 9_713);
    let (Breadth::Few(users), _) = subsets.breadth(SERVICE) else {
        panic!("{:?}", subsets.breadth(SERVICE));
    };
    for place in 0..9_713 {
        let of_engine = subsets.users(SERVICE, &engine(place)).expect("few");
        assert_eq!(of_engine.len(), users);
    }
    let sizes = (1..=836).map(|node| used_by(&subsets, NodeId(node)));
    let sizes: Vec<usize> = sizes.collect();
    assert!(
        sizes.iter().all(|size| (250..500).contains(size)),
        "{sizes:?}"
    );
}

#[test]
fn subset_size_and_cost_of_a_change_do_not_grow_with_the_fleet() {
    let mean = |gateways: usize, engines: usize| {
        let subsets = subsets(gateways, engines);
        let sizes = (1..=gateways as u32).map(|node| used_by(&subsets, NodeId(node)));
        sizes.sum::<usize>() as f64 / gateways as f64
    };
    let ratio = mean(800, 10_000) / mean(400, 5_000);
    assert!(
        ratio <= 1.2,
        "engines used by a gateway at twice the fleet size: {ratio}"
    );
    let informed = |gateways: usize, engines: usize| {
        let mut subsets = subsets(gateways, engines);
        subsets.insert(SERVICE, "new", &zone(0), 3);
        let news = (1..=gateways as u32).filter(|node| {
            let update = subsets.changes_after(NodeId(*node), SERVICE, 2);
            !update.engines.is_empty()
        });
        news.count()
    };
    assert_eq!(
        informed(400, 5_000),
        informed(800, 10_000),
        "gateways that are informed of one engine"
    );
    let ranked = |gateways: usize, engines: usize| {
        let mut subsets = subsets(gateways, engines);
        let before = subsets.ranks_computed();
        let mut more = self::gateways(gateways);
        more.insert(NodeId(90_000), Some(zone(1)));
        subsets.plan(&more, true, 3);
        (subsets.ranks_computed() - before) as f64
    };
    let ratio = ranked(800, 10_000) / ranked(400, 5_000);
    assert!(
        ratio <= 2.2,
        "work of a control node for one added gateway: {ratio}"
    );
}

/// Returns the load of the busiest engine relative to the mean, when gateways with different
/// request rates send evenly to the engines of their subset in their own zone.
fn busiest_over_mean(gateway_count: usize, engines: usize, seed: u64) -> f64 {
    let subsets = subsets(gateway_count, engines);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut load = vec![0.0; engines];
    let mut parts: BTreeMap<NodeId, Vec<usize>> = BTreeMap::new();
    for place in 0..engines {
        for user in subsets.users(SERVICE, &engine(place)).expect("few") {
            parts.entry(*user).or_default().push(place);
        }
    }
    for (gateway, part) in parts {
        // A uniform distribution with a standard deviation of a third of the mean.
        let sent = random.random_range(1.0 - 0.577..1.0 + 0.577);
        let own = zone(gateway.0 as usize - 1);
        let near: Vec<usize> = part
            .iter()
            .copied()
            .filter(|&one| zone(one) == own)
            .collect();
        for &place in &near {
            load[place] += sent / near.len() as f64;
        }
    }
    let mean = load.iter().sum::<f64>() / engines as f64;
    load.iter().copied().fold(0.0, f64::max) / mean
}

#[test]
fn load_is_balanced_over_the_engines() {
    for seed in 0..3 {
        let ratio = busiest_over_mean(836, 9_713, seed);
        assert!(ratio <= 1.3, "{ratio}");
    }
}

#[test]
fn adding_or_removing_a_member_reassigns_few_engines() {
    let mut subsets = subsets(400, 5_000);
    let users = |subsets: &Subsets| -> Vec<BTreeSet<NodeId>> {
        let engines = (0..5_000).map(engine);
        let users = engines.map(|one| {
            let users = subsets.users(SERVICE, &one).expect("few");
            users.iter().copied().collect()
        });
        users.collect()
    };
    let before = users(&subsets);
    let mut fewer = gateways(400);
    fewer.remove(&NodeId(7));
    subsets.plan(&fewer, true, 3);
    let after = users(&subsets);
    for (before, after) in before.iter().zip(&after) {
        let went: Vec<&NodeId> = before.difference(after).collect();
        assert!(went.is_empty() || went == [&NodeId(7)], "{went:?}");
    }
    subsets.plan(&gateways(400), true, 4);
    assert_eq!(
        users(&subsets),
        before,
        "the gateway uses its engines again"
    );
    subsets.remove(SERVICE, &engine(3), 5);
    subsets.insert(SERVICE, "new", &zone(3), 6);
    for (place, held) in before.iter().enumerate().filter(|(place, _)| *place != 3) {
        let users = subsets.users(SERVICE, &engine(place)).expect("few");
        assert_eq!(&users.iter().copied().collect::<BTreeSet<_>>(), held);
    }
}

#[test]
fn incremental_additions_give_the_same_users_as_one_update() {
    let mut incremental = subsets(100, 4_000);
    for count in 101..=130 {
        incremental.plan(&gateways(count), true, count as u64);
    }
    let mut at_once = Subsets::default();
    at_once.plan(&gateways(100), true, 1);
    for place in 0..4_000 {
        at_once.insert(SERVICE, &engine(place), &zone(place), 2);
    }
    at_once.plan(&gateways(100), true, 3);
    at_once.plan(&gateways(130), true, 4);
    for place in 0..4_000 {
        let engine = engine(place);
        assert_eq!(
            incremental.users(SERVICE, &engine),
            at_once.users(SERVICE, &engine)
        );
    }
}

#[test]
fn no_gateway_is_without_engines_and_no_engine_without_gateways() {
    // All engines are in two of the five zones, and most gateways are in the others.
    let mut subsets = Subsets::default();
    for place in 0..6_000 {
        subsets.insert(SERVICE, &engine(place), &zone(place % 2), 1);
    }
    subsets.plan(&gateways(500), true, 2);
    for node in 1..=500 {
        assert!(used_by(&subsets, NodeId(node)) >= 60, "{node}");
    }
    // Half of the engines of one zone and all gateways of another are removed.
    for place in (0..6_000).step_by(4) {
        subsets.remove(SERVICE, &engine(place), 3);
    }
    let mut remaining = gateways(500);
    remaining.retain(|_, at| *at != Some(zone(1)));
    subsets.plan(&remaining, true, 4);
    for node in remaining.keys() {
        assert!(used_by(&subsets, *node) >= 40, "{node:?}");
    }
    for place in (0..6_000).filter(|place| place % 4 != 0) {
        assert!(subsets.users(SERVICE, &engine(place)).expect("few").len() >= 32);
    }
}

#[test]
fn small_services_are_used_by_all_gateways() {
    for (gateways, engines) in [(8, 5_000), (250, 168), (836, 287)] {
        let subsets = subsets(gateways, engines);
        assert_eq!(
            subsets.breadth(SERVICE).0,
            Breadth::All,
            "{gateways} {engines}"
        );
        assert_eq!(subsets.users(SERVICE, &engine(1)), None);
    }
}

#[test]
fn a_large_service_has_no_users_until_the_gateways_are_known() {
    let mut subsets = Subsets::default();
    let some = gateways(3);
    for place in 0..2_000 {
        subsets.insert(SERVICE, &engine(place), &zone(place), place as u64 + 1);
        let informed = subsets.changes_after(NodeId(1), SERVICE, 0).engines.len();
        let used_by_all = subsets.breadth(SERVICE).0 == Breadth::All;
        assert!(informed == 0 && (!used_by_all || place < 257), "{place}");
        if place % 500 == 0 {
            subsets.plan(&some, false, place as u64 + 1);
        }
    }
    assert_eq!(subsets.breadth(SERVICE).0, Breadth::Unknown);
    // Gateways that know engines from before keep them.
    assert_eq!(
        subsets.changes_after(NodeId(1), SERVICE, 0),
        SubsetUpdate::default()
    );
    subsets.plan(&gateways(200), true, 3_000);
    assert!(matches!(subsets.breadth(SERVICE).0, Breadth::Few(_)));
    let update = subsets.changes_after(NodeId(1), SERVICE, 2_999);
    assert!(!update.engines.is_empty());
    // The update contains the complete subset, which replaces all engines known before.
    let complete = update.complete.map(|complete| complete.len());
    assert_eq!(
        complete,
        Some(update.engines.len()),
        "what else was told is taken back"
    );
}

#[test]
fn a_gateway_receives_only_changes_to_its_subset() {
    let mut subsets = subsets(400, 5_000);
    let gateway = NodeId(5);
    assert!(!subsets.has_changes(gateway, 2));
    let user_of = |subsets: &Subsets, place: usize| {
        let users = subsets.users(SERVICE, &engine(place)).expect("few");
        users.contains(&gateway)
    };
    let used = (0..5_000)
        .find(|&place| user_of(&subsets, place))
        .expect("one");
    let other = (0..5_000)
        .find(|&place| !user_of(&subsets, place))
        .expect("one");
    subsets.remove(SERVICE, &engine(other), 3);
    assert!(!subsets.has_changes(gateway, 2));
    subsets.remove(SERVICE, &engine(used), 4);
    let update = subsets.changes_after(gateway, SERVICE, 2);
    assert_eq!(update.removed, [engine(used).as_str().into()]);
    assert_eq!((update.engines.len(), update.complete), (0, None));
    // New gateways take over some of its engines, so it receives its complete subset.
    let mut more = gateways(400);
    for node in 401..440 {
        more.insert(NodeId(node), Some(zone(4)));
    }
    subsets.plan(&more, true, 5);
    let update = subsets.changes_after(gateway, SERVICE, 4);
    assert_eq!(
        update.complete.map(|complete| complete.len()),
        Some(used_by(&subsets, gateway))
    );
}

#[test]
fn a_gateway_whose_zone_becomes_known_gets_engines_in_it() {
    let mut subsets = Subsets::default();
    for place in 0..4_000 {
        subsets.insert(SERVICE, &engine(place), &zone(place), 1);
    }
    let mut before = gateways(300);
    before.insert(NodeId(9), None);
    subsets.plan(&before, true, 2);
    subsets.plan(&gateways(300), true, 3);
    let part = subsets.changes_after(NodeId(9), SERVICE, 0);
    assert_eq!(part.engines.len(), used_by(&subsets, NodeId(9)));
    let near = (0..4_000)
        .filter(|&place| zone(place) == zone(8))
        .filter(|&place| {
            let users = subsets.users(SERVICE, &engine(place)).expect("few");
            users.contains(&NodeId(9))
        });
    assert!(
        near.count() * 2 >= part.engines.len(),
        "at least half of the engines are in its zone"
    );
}
