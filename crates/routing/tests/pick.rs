//! Tests the engine choice: zones, load reports that lag, and limits.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_routing::pick::{
    Candidate, Finish, LoadSample, Pick, PickError, PickPolicy, PickRequest, PickRule,
    PickSettings, Picker,
};
use molespan_types::{BackendId, Incarnation, Timestamp, ZoneName};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn zone(number: u32) -> ZoneName {
    ZoneName(format!("zone-{number}"))
}

fn engine(number: u32, in_zone: u32) -> Candidate {
    Candidate {
        backend: BackendId(number),
        incarnation: Incarnation(1),
        zone: zone(in_zone),
        suspect: false,
    }
}

/// Returns `per_zone` engines in each of three zones, numbered 10, 11, … 20, 21, …
fn fleet(per_zone: u32) -> Vec<Candidate> {
    (1..=3)
        .flat_map(|zone| (0..per_zone).map(move |number| engine(10 * zone + number, zone)))
        .collect()
}

fn settings(policy: PickPolicy) -> PickSettings {
    PickSettings {
        policy,
        ..PickSettings::default()
    }
}

fn picker(policy: PickPolicy, candidates: Vec<Candidate>) -> Picker {
    let mut picker = Picker::new(zone(1), settings(policy), 7);
    picker.set_engines(candidates);
    picker
}

fn sample(backend: u32, sequence: u64, observed: u64, online: u32) -> LoadSample {
    LoadSample {
        backend: BackendId(backend),
        incarnation: Incarnation(1),
        sequence,
        observed: at(observed),
        online,
        online_waiting: 0,
        batch: 0,
        batch_running: 0,
        max_running: 32,
        kv_used: 0.1,
        step: Duration::from_millis(5),
    }
}

fn pick(picker: &mut Picker, now: u64) -> Result<Pick, PickError> {
    picker.pick(at(now), PickRequest::default())
}

fn zone_of(pick: &Pick) -> u32 {
    pick.backend.0 / 10
}

#[test]
fn pick_fails_without_usable_engine() {
    let mut nothing = picker(PickPolicy::Affinity, Vec::new());
    assert_eq!(pick(&mut nothing, 0), Err(PickError::NoEngine));
    let mut one = picker(PickPolicy::Affinity, vec![engine(10, 1)]);
    let excluded = PickRequest {
        exclude: &[BackendId(10)],
        ..PickRequest::default()
    };
    assert_eq!(one.pick(at(0), excluded), Err(PickError::AllExcluded));
    let limit = one.limit(BackendId(10)).unwrap();
    one.observe_load(sample(10, 1, 0, limit));
    assert_eq!(pick(&mut one, 0), Err(PickError::AllAtLimit));
}

#[test]
fn own_zone_is_used_until_it_is_loaded() {
    let mut picker = picker(PickPolicy::Affinity, fleet(2));
    for _ in 0..50 {
        let pick = pick(&mut picker, 0).unwrap();
        assert_eq!(zone_of(&pick), 1);
        assert!(!pick.reason.spilled);
    }
    // Both engines of the own zone are at 14 of 16, the others idle.
    for backend in [10, 11] {
        picker.observe_load(sample(backend, 1, 0, 14));
    }
    let picks: Vec<Pick> = (0..50).map(|_| pick(&mut picker, 0).unwrap()).collect();
    assert!(picks.iter().all(|pick| pick.reason.spilled));
    assert!(picks.iter().any(|pick| zone_of(pick) != 1));
    // The other zones are loaded as well: crossing zones gains nothing.
    for backend in [20, 21, 30, 31] {
        picker.observe_load(sample(backend, 1, 0, 13));
    }
    for _ in 0..50 {
        assert_eq!(zone_of(&pick(&mut picker, 0).unwrap()), 1);
    }
}

#[test]
fn other_zones_serve_if_own_zone_has_no_engine() {
    let away = fleet(2).into_iter().filter(|engine| engine.zone != zone(1));
    let mut picker = picker(PickPolicy::Affinity, away.collect());
    assert!(pick(&mut picker, 0).unwrap().reason.spilled);
}

#[test]
fn suspect_engine_is_last_resort() {
    let suspect = Candidate {
        suspect: true,
        ..engine(10, 1)
    };
    let mut both = picker(PickPolicy::Affinity, vec![suspect.clone(), engine(20, 2)]);
    for _ in 0..20 {
        assert_eq!(pick(&mut both, 0).unwrap().backend, BackendId(20));
    }
    let mut alone = picker(PickPolicy::Affinity, vec![suspect]);
    assert_eq!(pick(&mut alone, 0).unwrap().backend, BackendId(10));
}

/// An event at one engine, with times in milliseconds.
#[derive(Clone, Copy)]
enum Event {
    Start(u64),
    Finish { started: u64, at: u64 },
    Report { observed: u64, online: u32 },
}

#[test]
fn load_is_report_corrected_by_own_requests() {
    use Event::{Finish as End, Report, Start};
    let cases: &[(&str, &[Event], f64)] = &[
        ("no observation", &[], 0.0),
        ("own requests only", &[Start(10), Start(20)], 2.0),
        (
            "report of other requests",
            &[Report {
                observed: 5,
                online: 3,
            }],
            3.0,
        ),
        (
            "started since the report",
            &[
                Report {
                    observed: 5,
                    online: 3,
                },
                Start(10),
            ],
            4.0,
        ),
        (
            "late report without the latest request",
            &[
                Start(10),
                Start(20),
                Report {
                    observed: 15,
                    online: 4,
                },
            ],
            5.0,
        ),
        (
            "included in the report and ended since",
            &[
                Start(10),
                Report {
                    observed: 15,
                    online: 4,
                },
                End {
                    started: 10,
                    at: 30,
                },
            ],
            3.0,
        ),
        (
            "ended before the report",
            &[
                Start(10),
                End {
                    started: 10,
                    at: 12,
                },
                Report {
                    observed: 15,
                    online: 4,
                },
            ],
            4.0,
        ),
        (
            "started and ended since the report",
            &[
                Report {
                    observed: 5,
                    online: 1,
                },
                Start(10),
                End {
                    started: 10,
                    at: 12,
                },
            ],
            1.0,
        ),
        (
            "report that omits own requests",
            &[
                Start(10),
                Report {
                    observed: 15,
                    online: 0,
                },
            ],
            1.0,
        ),
        (
            "too old to count",
            &[
                Report {
                    observed: 5,
                    online: 9,
                },
                Start(2_500),
            ],
            1.0,
        ),
    ];
    for (name, events, expected) in cases {
        let mut picker = picker(PickPolicy::Affinity, vec![engine(10, 1)]);
        let mut now = 0;
        let mut sequence = 0;
        for event in *events {
            match event {
                Start(time) => {
                    now = *time;
                    picker.started(at(now), BackendId(10), &[]);
                }
                End { started, at: ended } => {
                    now = *ended;
                    picker.finished(at(now), BackendId(10), at(*started), Finish::Other);
                }
                Report { observed, online } => {
                    sequence += 1;
                    picker.observe_load(sample(10, sequence, *observed, *online));
                }
            }
        }
        assert_eq!(
            picker.load(at(now), BackendId(10)),
            Some(*expected),
            "{name}"
        );
    }
}

#[test]
fn duplicate_reports_and_other_incarnations_are_ignored() {
    let mut picker = picker(PickPolicy::Affinity, vec![engine(10, 1)]);
    picker.observe_load(sample(10, 5, 0, 3));
    picker.observe_load(sample(10, 4, 0, 9));
    picker.observe_load(sample(10, 5, 0, 9));
    let other_incarnation = LoadSample {
        incarnation: Incarnation(2),
        ..sample(10, 6, 0, 9)
    };
    picker.observe_load(other_incarnation);
    assert_eq!(picker.load(at(0), BackendId(10)), Some(3.0));
}

/// Returns the number of requests that each engine got out of 60 between two reports.
fn requests_by_engine(policy: PickPolicy) -> BTreeMap<BackendId, u32> {
    let candidates = (0..6).map(|number| engine(10 + number, 1)).collect();
    let mut picker = picker(policy, candidates);
    for number in 0..6 {
        // By its last report one engine was idle, the others nearly so.
        picker.observe_load(sample(10 + number, 1, 0, u32::from(number > 0)));
    }
    let mut sent = BTreeMap::new();
    for _ in 0..60 {
        let backend = pick(&mut picker, 1).unwrap().backend;
        picker.started(at(1), backend, &[]);
        *sent.entry(backend).or_insert(0) += 1;
    }
    sent
}

#[test]
fn own_requests_prevent_herding_to_idle_engine() {
    let by_affinity = requests_by_engine(PickPolicy::Affinity);
    assert_eq!(by_affinity.len(), 6);
    assert!(
        by_affinity.values().all(|sent| *sent <= 15),
        "{by_affinity:?}"
    );
    let by_report = requests_by_engine(PickPolicy::LeastReported);
    assert!(by_report[&BackendId(10)] >= 15, "{by_report:?}");
}

#[test]
fn limit_decreases_while_requests_wait() {
    let mut picker = picker(PickPolicy::Affinity, vec![engine(10, 1)]);
    let initial = picker.limit(BackendId(10)).unwrap();
    for sequence in 1..=8 {
        picker.observe_load(LoadSample {
            online_waiting: 4,
            ..sample(10, sequence, 300 * sequence, 12)
        });
    }
    let overloaded_limit = picker.limit(BackendId(10)).unwrap();
    assert!(
        overloaded_limit < initial / 2,
        "{overloaded_limit} of {initial}"
    );
    for sequence in 9..=60 {
        picker.observe_load(sample(10, sequence, 300 * sequence, overloaded_limit));
    }
    let recovered = picker.limit(BackendId(10)).unwrap();
    assert!(recovered > overloaded_limit, "{recovered}");
    // The engine's own maximum bounds the adaptive limit.
    assert!(recovered <= 32);
}

#[test]
fn burst_of_rejections_decreases_limit_once() {
    let mut picker = picker(PickPolicy::Affinity, vec![engine(10, 1)]);
    let initial = picker.limit(BackendId(10)).unwrap();
    for _ in 0..10 {
        picker.started(at(1_000), BackendId(10), &[]);
    }
    for _ in 0..10 {
        picker.finished(at(1_001), BackendId(10), at(1_000), Finish::Overloaded);
    }
    let limit = picker.limit(BackendId(10)).unwrap();
    assert!(
        limit < initial && limit > initial / 2,
        "{limit} of {initial}"
    );
}

/// Returns the limit after 400 answers, of which every fourth has a prompt of 250 blocks
/// that takes `long_millis` to its first byte.
fn limit_after(long_millis: u64) -> u32 {
    let short = [1, 2];
    let mut picker = picker(PickPolicy::Affinity, vec![engine(10, 1)]);
    for number in 0..400 {
        let prompt = number % 4 == 0;
        let long: Vec<u64> = (0..250).map(|block| 1_000 * number + block).collect();
        let (hashes, first_byte) = if prompt {
            (&long[..], if number < 40 { 80 } else { long_millis })
        } else {
            (&short[..], 10)
        };
        let started = at(100 * number);
        let ended = at(100 * number + first_byte);
        picker.started(started, BackendId(10), hashes);
        let first_byte = Duration::from_millis(first_byte);
        picker.finished(
            ended,
            BackendId(10),
            started,
            Finish::Answered { first_byte },
        );
        picker.observe_load(sample(10, number + 1, 100 * number, 0));
    }
    picker.limit(BackendId(10)).unwrap()
}

#[test]
fn long_prompts_among_short_ones_are_no_overload() {
    let initial = PickSettings::default().limit.initial;
    assert_eq!(limit_after(80), initial);
    // Ten times slower than the same prompts were before is a sign of overload.
    assert!(limit_after(800) < initial);
}

#[test]
fn capacity_is_sum_of_headroom_below_limits() {
    let mut picker = picker(PickPolicy::Affinity, vec![engine(10, 1), engine(20, 2)]);
    assert_eq!(picker.capacity(at(0)), 32);
    picker.observe_load(sample(20, 1, 0, 10));
    assert_eq!(picker.capacity(at(0)), 22);
    picker.started(at(1), BackendId(10), &[]);
    // The gateway's own request is part of the capacity that it uses.
    assert_eq!(picker.capacity(at(1)), 22);
    picker.set_engines(Vec::new());
    assert_eq!(picker.capacity(at(1)), 0);
}

#[test]
fn request_on_ejected_engine_still_counts() {
    let mut picker = picker(PickPolicy::Affinity, vec![engine(10, 1), engine(11, 1)]);
    picker.started(at(1), BackendId(10), &[]);
    picker.set_engines(vec![engine(11, 1)]);
    assert_eq!(picker.own_in_flight(BackendId(10)), 1);
    assert_eq!(picker.load(at(2), BackendId(10)), None);
    picker.set_engines(vec![engine(10, 1), engine(11, 1)]);
    assert_eq!(picker.load(at(2), BackendId(10)), Some(1.0));
    picker.set_engines(vec![engine(11, 1)]);
    picker.finished(at(3), BackendId(10), at(1), Finish::Other);
    assert_eq!(picker.own_in_flight(BackendId(10)), 0);
    // The next incarnation starts without it.
    let next_incarnation = Candidate {
        incarnation: Incarnation(2),
        ..engine(11, 1)
    };
    picker.started(at(4), BackendId(11), &[]);
    picker.set_engines(vec![next_incarnation]);
    assert_eq!(picker.load(at(4), BackendId(11)), Some(0.0));
}

#[derive(Clone, Debug)]
enum Step {
    Members(Vec<bool>),
    Pick { prompt: u64, exclude: u32 },
    Finish(usize),
    Report { backend: u32, online: u32 },
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => prop::collection::vec(any::<bool>(), 6).prop_map(Step::Members),
        8 => (0..4_u64, 0..8_u32).prop_map(|(prompt, exclude)| Step::Pick { prompt, exclude }),
        4 => any::<usize>().prop_map(Step::Finish),
        3 => (0..6_u32, 0..20_u32).prop_map(|(backend, online)| Step::Report { backend, online }),
        2 => (1..500_u64).prop_map(Step::Pass),
    ]
}

fn any_policy() -> impl Strategy<Value = PickPolicy> {
    prop_oneof![
        Just(PickPolicy::Affinity),
        Just(PickPolicy::BetterOfTwo),
        Just(PickPolicy::RoundRobin),
        Just(PickPolicy::LeastReported),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(23),
        ..ProptestConfig::default()
    })]

    /// An engine that left, is excluded or is at its limit is never chosen, whatever the
    /// policy, and this gateway's own requests are counted exactly.
    #[test]
    fn only_eligible_engines_are_chosen(
        policy in any_policy(),
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let all: Vec<Candidate> = (0..6).map(|number| engine(number, number % 3)).collect();
        let mut picker = picker(policy, all.clone());
        let mut present: Vec<BackendId> = all.iter().map(|engine| engine.backend).collect();
        let mut in_flight: Vec<(BackendId, Timestamp)> = Vec::new();
        let (mut now, mut sequence) = (0, 0);
        for step in steps {
            match step {
                Step::Members(mask) => {
                    let kept = all.iter().zip(&mask).filter(|(_, kept)| **kept);
                    let kept: Vec<Candidate> = kept.map(|(engine, _)| engine.clone()).collect();
                    present = kept.iter().map(|engine| engine.backend).collect();
                    picker.set_engines(kept);
                }
                Step::Pick { prompt, exclude } => {
                    let exclude = [BackendId(exclude)];
                    let hashes = [prompt, 100 + prompt];
                    let request = PickRequest { prefix_hashes: &hashes, exclude: &exclude };
                    if let Ok(pick) = picker.pick(at(now), request) {
                        prop_assert!(present.contains(&pick.backend));
                        prop_assert!(!exclude.contains(&pick.backend));
                        let load = picker.load(at(now), pick.backend).unwrap();
                        let limit = picker.limit(pick.backend).unwrap();
                        prop_assert!(load < f64::from(limit));
                        prop_assert_eq!(pick.reason.considered[0].backend, pick.backend);
                        picker.started(at(now), pick.backend, &hashes);
                        in_flight.push((pick.backend, at(now)));
                    }
                }
                Step::Finish(number) => {
                    if let Some(position) = number.checked_rem(in_flight.len()) {
                        let (backend, started) = in_flight.remove(position);
                        picker.finished(at(now), backend, started, Finish::Other);
                    }
                }
                Step::Report { backend, online } => {
                    sequence += 1;
                    picker.observe_load(sample(backend, sequence, now.saturating_sub(50), online));
                }
                Step::Pass(passed) => now += passed,
            }
            for engine in &all {
                let own = in_flight.iter().filter(|(backend, _)| *backend == engine.backend);
                prop_assert_eq!(picker.own_in_flight(engine.backend) as usize, own.count());
            }
        }
    }
}

#[test]
fn reason_contains_rule_and_inputs() {
    let mut picker = picker(PickPolicy::BetterOfTwo, fleet(1));
    picker.observe_load(sample(10, 1, 0, 2));
    let pick = pick(&mut picker, 0).unwrap();
    assert_eq!(pick.reason.rule, PickRule::OnlyEngine);
    assert_eq!(pick.reason.open, 1);
    assert_eq!(pick.reason.considered[0].load, 2.0);
    assert_eq!(pick.reason.considered[0].limit, 16);
}
