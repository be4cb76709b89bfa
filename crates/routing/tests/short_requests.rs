//! Tests short requests of a small service with many gateways, in virtual time: a request
//! ends before the other gateways observe it, and engines reject what they have no capacity
//! for.

mod many_gateways;

use std::collections::BTreeSet;
use std::time::Duration;

use many_gateways::{Engines, Fault, Load, Results, Simulation};
use molespan_routing::dispatch::{
    EngineFacts, EngineTable, Failure, Pick, PromptCost, Shortage, Standing, WorkClass,
};
use molespan_types::{NodeId, Timestamp};

/// Gateways of the service, most of which have few of its callers.
const GATEWAYS: usize = 117;
/// Simulated time in milliseconds: three peak periods.
const SIMULATED_MS: u64 = 17_400;
/// When an engine becomes faulty, in milliseconds.
const FAULT_MS: u64 = 5_000;

/// A service of `engines`, whose callers want `demand` of its slots on average, steadily or
/// in `peaks`.
fn load(engines: usize, demand: f64, peaks: bool) -> Load {
    Load {
        gateways: GATEWAYS,
        engines: Engines::new(engines, 6, 30.0),
        demand,
        peaks,
        demand_reported: false,
    }
}

fn load_with_fault(demand: f64, fault: Fault) -> Load {
    let mut load = load(3, demand, false);
    load.engines.fault = Some((FAULT_MS, fault));
    load
}

fn simulate(load: Load) -> Results {
    let results = Simulation::new(load.clone(), 1).run(SIMULATED_MS);
    println!("{load:?}: {}", results.summary());
    results
}

#[test]
fn load_within_capacity_is_in_time_and_rarely_rejected() {
    // Three engines, and the only one left of them; in peaks up to 0.8 of all slots.
    for (engines, demand, peaks) in [(3, 0.8, false), (1, 0.8, false), (3, 0.43, true)] {
        let results = simulate(load(engines, demand, peaks));
        assert!(results.share_rejected() <= 0.02, "{}", results.summary());
        assert!(results.share_in_time() >= 0.95, "{}", results.summary());
    }
}

#[test]
fn under_overload_what_fits_is_in_time() {
    for engines in [1, 3] {
        let results = simulate(load(engines, 1.3, false));
        // Of 1.3 times the capacity, 1 / 1.3 fits; up to a twentieth of it may be lost to
        // chance.
        let fits = 1.0 / (1.3 * many_gateways::MEAN_WORK);
        assert!(
            results.share_in_time() >= fits * 0.95,
            "{}",
            results.summary()
        );
        assert!(results.share_lost() <= 0.01, "{}", results.summary());
    }
}

#[test]
fn requests_left_over_by_peaks_complete_late_between_them() {
    let results = simulate(load(1, 0.76, true));
    // Peaks bring 0.774 of all requests, and need 0.76 * 1.87 times the slots.
    let fits = 0.774 / (0.76 * 1.87 * many_gateways::MEAN_WORK) + 0.226;
    assert!(
        results.share_in_time() >= fits * 0.95,
        "{}",
        results.summary()
    );
    assert!(results.share_lost() <= 0.01, "{}", results.summary());
}

#[test]
fn faulty_engine_does_not_overload_others() {
    // The engines that remain of three have capacity for all requests.
    let faults = [
        (0.5, Fault::Gone),
        (0.5, Fault::Slow(4.0)),
        (0.5, Fault::Unresponsive),
    ];
    for (demand, fault) in faults {
        let results = simulate(load_with_fault(demand, fault));
        assert!(
            results.share_in_time() >= 0.95,
            "{fault:?} {}",
            results.summary()
        );
        assert!(
            results.share_rejected() <= 0.02,
            "{fault:?} {}",
            results.summary()
        );
    }
}

#[test]
fn few_gateways_with_many_callers_use_all_capacity() {
    let mut load = load(3, 0.8, false);
    load.gateways = 3;
    let results = simulate(load);
    assert!(results.share_rejected() <= 0.02, "{}", results.summary());
    assert!(results.share_in_time() >= 0.95, "{}", results.summary());
}

/// A table of one engine with 8 slots, at which a request took `took`.
fn table(took: Option<Duration>) -> EngineTable {
    let mut table = EngineTable::new("near".into(), 1);
    let facts = EngineFacts {
        id: "e1".to_owned(),
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "near".into(),
        slots: 8,
        version: None,
    };
    table.add_engine(NodeId(1), facts, Timestamp::ZERO);
    if let Some(took) = took {
        table.record_time_at_engine("e1", took, Timestamp::ZERO);
    }
    table
}

fn finds_an_engine(table: &mut EngineTable, left: Duration, at_ms: u64) -> bool {
    let pick = Pick {
        service: "s",
        class: WorkClass::Online,
        standing: Standing::InTime { left },
        prompt: PromptCost::default(),
        tried: &BTreeSet::new(),
        suspect: false,
        version: None,
    };
    table.pick(&pick, Timestamp::from_millis(at_ms)).is_ok()
}

#[test]
fn full_engine_backs_off_two_slot_times_and_longer_each_time() {
    let left = Duration::from_secs(1);
    let mut table = table(Some(Duration::from_millis(10)));
    let mut now_ms = 0;
    // Shortest and longest backoff; jitter spreads it by half.
    for (shortest, longest) in [(10, 30), (20, 60), (40, 120), (80, 200), (160, 200)] {
        table.failed("e1", Failure::Full, Timestamp::from_millis(now_ms));
        assert!(!finds_an_engine(&mut table, left, now_ms + shortest - 1));
        assert!(finds_an_engine(&mut table, left, now_ms + longest));
        now_ms += longest;
    }
    table.succeeded("e1", Timestamp::from_millis(now_ms));
    table.failed("e1", Failure::Full, Timestamp::from_millis(now_ms));
    assert!(finds_an_engine(&mut table, left, now_ms + 30));
}

#[test]
fn long_requests_are_not_limited_by_engine_queues() {
    // Nothing was measured yet, or slots are held for longer than reports take.
    for took in [None, Some(Duration::from_secs(1))] {
        let left = Duration::from_secs(1);
        let mut table = table(took);
        for _ in 0..5 {
            table.failed("e1", Failure::Full, Timestamp::ZERO);
        }
        assert!(!finds_an_engine(&mut table, left, 99));
        assert!(finds_an_engine(&mut table, left, 100));
        // Half as many again as there are slots.
        for _ in 0..12 {
            assert!(finds_an_engine(&mut table, left, 100));
            table.started("e1", WorkClass::Online, 0, Timestamp::from_millis(100));
        }
        assert!(!finds_an_engine(&mut table, left, 100));
    }
}

#[test]
fn engine_gets_only_requests_it_can_start_in_time() {
    // At 10 ms each, 8 slots start 8 more requests every 10 ms.
    let mut table = table(Some(Duration::from_millis(10)));
    let left = Duration::from_millis(20);
    for _ in 0..24 {
        assert!(finds_an_engine(&mut table, left, 0));
        table.started("e1", WorkClass::Online, 0, Timestamp::ZERO);
    }
    assert!(!finds_an_engine(&mut table, left, 0));
    assert!(finds_an_engine(&mut table, left * 2, 0));
}

#[test]
fn service_is_short_of_capacity_while_engines_reject_requests() {
    let mut shortage = Shortage::default();
    let mut changes = Vec::new();
    for at_ms in (0..10_000).step_by(50) {
        let rejected = (1_000..2_000).contains(&at_ms);
        let now = Timestamp::from_millis(at_ms);
        changes.extend(shortage.note(rejected, now).map(|short| (at_ms, short)));
    }
    assert_eq!(changes.len(), 2, "{changes:?}");
    assert!(changes[0].1 && changes[0].0 < 2_000, "{changes:?}");
    assert!(!changes[1].1 && changes[1].0 < 6_000, "{changes:?}");
}

#[test]
fn single_rejections_are_no_shortage() {
    let mut shortage = Shortage::default();
    for second in 0..60 {
        let now = Timestamp::from_millis(second * 1_000);
        assert_eq!(shortage.note(true, now), None);
    }
}
