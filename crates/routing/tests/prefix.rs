//! Tests prefix affinity from cache events that are late and have gaps.

use std::collections::{BTreeMap, BTreeSet};

use molespan_engine_api::{CacheEvent, CacheEventKind, CacheEventPage};
use molespan_routing::pick::{
    Candidate, LoadSample, PickPolicy, PickRequest, PickRule, PickSettings, Picker, PrefixSettings,
};
use molespan_types::{BackendId, Incarnation, Timestamp, ZoneName};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const PROMPT: [u64; 4] = [1, 2, 3, 4];

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn candidates(count: u32) -> Vec<Candidate> {
    (0..count)
        .map(|number| Candidate {
            backend: BackendId(number),
            incarnation: Incarnation(1),
            zone: ZoneName::from("north"),
            suspect: false,
        })
        .collect()
}

fn picker(engines: u32, prefix: PrefixSettings) -> Picker {
    let settings = PickSettings {
        policy: PickPolicy::Affinity,
        prefix,
        ..PickSettings::default()
    };
    let mut picker = Picker::new(ZoneName::from("north"), settings, 1);
    picker.set_engines(candidates(engines));
    picker
}

fn event(sequence: u64, kind: CacheEventKind, prefix_hash: u64) -> CacheEvent {
    CacheEvent {
        sequence,
        kind,
        prefix_hash,
    }
}

fn stored(sequence: u64, prefix_hash: u64) -> CacheEvent {
    event(sequence, CacheEventKind::Stored, prefix_hash)
}

fn evicted(sequence: u64, prefix_hash: u64) -> CacheEvent {
    event(sequence, CacheEventKind::Evicted, prefix_hash)
}

fn page(events: Vec<CacheEvent>) -> CacheEventPage {
    CacheEventPage {
        incarnation: Incarnation(1),
        events,
    }
}

fn busy(backend: u32, online: u32) -> LoadSample {
    LoadSample {
        backend: BackendId(backend),
        incarnation: Incarnation(1),
        sequence: 1,
        observed: at(0),
        online,
        online_waiting: 0,
        batch: 0,
        batch_running: 0,
        max_running: 32,
        kv_used: 0.0,
        step: std::time::Duration::from_millis(5),
    }
}

/// Returns the engine chosen by affinity and the number of blocks it caches, or `None` if
/// another rule decided.
fn pick_by_affinity(picker: &mut Picker, hashes: &[u64]) -> Option<(u32, u32)> {
    let request = PickRequest {
        prefix_hashes: hashes,
        ..PickRequest::default()
    };
    let pick = picker.pick(at(0), request).unwrap();
    let by_affinity = pick.reason.rule == PickRule::Affinity;
    by_affinity.then_some((pick.backend.0, pick.reason.matched_blocks))
}

#[test]
fn cache_events_update_index() {
    type Case = (&'static str, Vec<CacheEvent>, Option<(u32, u32)>);
    let cases: &[Case] = &[
        ("nothing", vec![], None),
        (
            "whole prompt",
            vec![stored(1, 1), stored(2, 2), stored(3, 3), stored(4, 4)],
            Some((2, 4)),
        ),
        (
            "leading part",
            vec![stored(1, 1), stored(2, 2)],
            Some((2, 2)),
        ),
        ("evicted", vec![stored(1, 1), evicted(2, 1)], None),
        (
            "end evicted",
            vec![stored(1, 1), stored(2, 2), evicted(3, 2)],
            Some((2, 1)),
        ),
        (
            "event delivered twice",
            vec![stored(1, 1), evicted(2, 1), stored(1, 1)],
            None,
        ),
        (
            "first event has a late sequence number",
            vec![stored(700, 1)],
            Some((2, 1)),
        ),
        (
            "gap that may have evicted it",
            vec![stored(1, 1), stored(9, 50)],
            None,
        ),
        (
            "small gap",
            (1..40)
                .map(|n| stored(n, n))
                .chain([stored(41, 90)])
                .collect(),
            Some((2, 4)),
        ),
    ];
    for (name, events, expected) in cases {
        let mut picker = picker(4, PrefixSettings::default());
        picker.observe_cache(BackendId(2), &page(events.clone()));
        assert_eq!(pick_by_affinity(&mut picker, &PROMPT), *expected, "{name}");
    }
}

#[test]
fn events_of_earlier_incarnation_are_ignored() {
    let mut picker = picker(4, PrefixSettings::default());
    let old = CacheEventPage {
        incarnation: Incarnation(0),
        events: vec![stored(1, 1)],
    };
    picker.observe_cache(BackendId(2), &old);
    assert_eq!(pick_by_affinity(&mut picker, &PROMPT), None);
}

#[test]
fn restart_clears_cache_entries() {
    let mut picker = picker(4, PrefixSettings::default());
    picker.observe_cache(BackendId(2), &page(vec![stored(1, 1)]));
    let mut restarted = candidates(4);
    restarted[2].incarnation = Incarnation(2);
    picker.set_engines(restarted);
    assert_eq!(pick_by_affinity(&mut picker, &PROMPT), None);
    assert_eq!(picker.indexed_prefixes(), 0);
    // Its sequence numbers start over.
    let next_incarnation = CacheEventPage {
        incarnation: Incarnation(2),
        events: vec![stored(1, 1)],
    };
    picker.observe_cache(BackendId(2), &next_incarnation);
    assert_eq!(pick_by_affinity(&mut picker, &PROMPT), Some((2, 1)));
}

#[test]
fn routing_adds_expected_entries_before_events() {
    let mut picker = picker(4, PrefixSettings::default());
    picker.started(at(0), BackendId(3), &PROMPT);
    assert_eq!(pick_by_affinity(&mut picker, &PROMPT), Some((3, 4)));
}

#[test]
fn gap_drops_expected_entries() {
    let mut picker = picker(4, PrefixSettings::default());
    let confirmed: Vec<CacheEvent> = (1..40)
        .map(|number| stored(number, 1_000 + number))
        .collect();
    picker.observe_cache(BackendId(3), &page(confirmed));
    picker.started(at(0), BackendId(3), &PROMPT);
    picker.observe_cache(BackendId(3), &page(vec![stored(41, 5_000)]));
    assert_eq!(pick_by_affinity(&mut picker, &PROMPT), None);
    assert_eq!(pick_by_affinity(&mut picker, &[1_001]), Some((3, 1)));
}

#[test]
fn loaded_holder_is_skipped() {
    let mut picker = picker(4, PrefixSettings::default());
    picker.observe_cache(BackendId(2), &page(vec![stored(1, 1)]));
    picker.observe_load(busy(2, 2));
    assert_eq!(pick_by_affinity(&mut picker, &PROMPT), Some((2, 1)));
    let mut overloaded = busy(2, 8);
    overloaded.sequence = 2;
    picker.observe_load(overloaded);
    assert_eq!(pick_by_affinity(&mut picker, &PROMPT), None);
}

#[test]
fn shorter_prefix_on_available_engine_beats_longer_one_on_loaded_engine() {
    let mut picker = picker(4, PrefixSettings::default());
    let whole = vec![stored(1, 1), stored(2, 2), stored(3, 3), stored(4, 4)];
    picker.observe_cache(BackendId(2), &page(whole));
    picker.observe_cache(BackendId(1), &page(vec![stored(1, 1), stored(2, 2)]));
    assert_eq!(pick_by_affinity(&mut picker, &PROMPT), Some((2, 4)));
    picker.observe_load(busy(2, 8));
    assert_eq!(pick_by_affinity(&mut picker, &PROMPT), Some((1, 2)));
    // An engine that is gone does not hide the others either.
    let without = candidates(4)
        .into_iter()
        .filter(|engine| engine.backend.0 != 2);
    picker.set_engines(without.collect());
    assert_eq!(pick_by_affinity(&mut picker, &PROMPT), Some((1, 2)));
}

#[test]
fn index_is_bounded_and_keeps_used_prefixes() {
    let settings = PrefixSettings {
        max_prefixes: 100,
        ..PrefixSettings::default()
    };
    let mut picker = picker(2, settings);
    picker.observe_cache(BackendId(0), &page(vec![stored(1, 1)]));
    for number in 2..2_000 {
        assert_eq!(pick_by_affinity(&mut picker, &[1]), Some((0, 1)));
        picker.observe_cache(BackendId(0), &page(vec![stored(number, number)]));
        assert!(picker.indexed_prefixes() <= 100);
    }
}

/// A change in the cache of one engine.
#[derive(Clone, Debug)]
struct Change {
    backend: u32,
    store: bool,
    hash: u64,
    lost: bool,
}

fn change(loss: f64) -> impl Strategy<Value = Change> {
    let lost = proptest::bool::weighted(loss);
    (0..3_u32, any::<bool>(), 0..30_u64, lost).prop_map(|(backend, store, hash, lost)| Change {
        backend,
        store,
        hash,
        lost,
    })
}

type Caches = BTreeMap<u32, BTreeSet<u64>>;

/// Applies the changes to the actual caches and, unless lost, to the picker.
fn replay(picker: &mut Picker, changes: &[Change]) -> Caches {
    let mut caches = Caches::new();
    let mut sequences: BTreeMap<u32, u64> = BTreeMap::new();
    for change in changes {
        let cache = caches.entry(change.backend).or_default();
        let changed = match change.store {
            true => cache.insert(change.hash),
            false => cache.remove(&change.hash),
        };
        if !changed {
            continue;
        }
        let sequence = sequences.entry(change.backend).or_default();
        *sequence += 1;
        let kind = match change.store {
            true => CacheEventKind::Stored,
            false => CacheEventKind::Evicted,
        };
        if !change.lost {
            let page = page(vec![event(*sequence, kind, change.hash)]);
            picker.observe_cache(BackendId(change.backend), &page);
        }
    }
    caches
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(29),
        ..ProptestConfig::default()
    })]

    /// Without gaps the index matches the caches.
    #[test]
    fn index_matches_caches_without_gaps(
        changes in prop::collection::vec(change(0.0), 0..200),
    ) {
        let mut picker = picker(3, PrefixSettings::default());
        let caches = replay(&mut picker, &changes);
        for hash in 0..30 {
            let held = caches.values().any(|cache| cache.contains(&hash));
            let found = pick_by_affinity(&mut picker, &[hash]);
            prop_assert_eq!(found.is_some(), held);
            if let Some((backend, _)) = found {
                prop_assert!(caches[&backend].contains(&hash));
            }
        }
    }

    /// With gaps, no more entries are wrong than the tolerated share and the missed events,
    /// and the memory bound holds.
    #[test]
    fn gaps_leave_few_wrong_entries(
        changes in prop::collection::vec(change(0.2), 0..200),
    ) {
        let settings = PrefixSettings::default();
        let mut picker = picker(3, settings.clone());
        let caches = replay(&mut picker, &changes);
        let lost = changes.iter().filter(|change| change.lost).count();
        let mut wrong = 0;
        for hash in 0..30 {
            if let Some((backend, _)) = pick_by_affinity(&mut picker, &[hash]) {
                wrong += usize::from(!caches[&backend].contains(&hash));
            }
        }
        prop_assert!(wrong <= lost);
        prop_assert!(picker.indexed_prefixes() <= 30);
    }
}
