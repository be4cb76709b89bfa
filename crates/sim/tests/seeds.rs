//! A fixed set of seeds under every fault class, and the properties of runs.

use molespan_sim::fault::FaultClass;
use molespan_sim::history::Violation;
use molespan_sim::run::{run_in_order, run_scenario};
use molespan_sim::scenario::Scenario;
use molespan_sim::shrink::shrink;

/// Number of seeds with all classes at once.
const SEEDS: u64 = 100;
/// Number of seeds per single class.
const SEEDS_OF_ONE_CLASS: u64 = 2;
const THREADS: usize = 4;

/// Returns the violations of the seeds from 1 on, each with its seed.
fn violations(seeds: u64, classes: &[FaultClass]) -> Vec<(u64, Violation)> {
    let mut found = Vec::new();
    let work = |task: usize| {
        let seed = task as u64 + 1;
        (seed, run_scenario(Scenario::from_seed(seed, classes)))
    };
    run_in_order(seeds as usize, THREADS, work, |_, (seed, outcome)| {
        found.extend(outcome.violations.into_iter().map(|one| (seed, one)));
        true
    });
    found
}

#[test]
fn every_guarantee_holds_under_all_faults() {
    assert_eq!(violations(SEEDS, FaultClass::ALL), Vec::new());
}

#[test]
fn every_guarantee_holds_under_each_class_alone() {
    for class in FaultClass::ALL {
        let found = violations(SEEDS_OF_ONE_CLASS, &[*class]);
        assert_eq!(found, Vec::new(), "faults of class {class}");
    }
}

#[test]
fn every_guarantee_holds_without_faults() {
    assert_eq!(violations(SEEDS_OF_ONE_CLASS, &[]), Vec::new());
}

#[test]
fn seed_determines_the_run() {
    let run = || run_scenario(Scenario::from_seed(7, FaultClass::ALL));
    let first = run();
    assert!(!first.notes.is_empty());
    assert_eq!(first, run());
}

#[test]
fn passing_run_is_not_shrunk() {
    let scenario = Scenario::from_seed(3, &[]);
    let mut small = scenario.clone().only(Some(&[]), Some(&[0, 1]));
    small.work.truncate(2);
    let shrunk = shrink(&small, "exactly-once");
    assert_eq!(shrunk.faults, Vec::<usize>::new());
    assert_eq!(shrunk.work, vec![0, 1]);
}

#[test]
fn fault_classes_parse_from_their_names() {
    for class in FaultClass::ALL {
        assert_eq!(FaultClass::parse(&class.to_string()), Some(*class));
    }
    assert_eq!(FaultClass::parse("weather"), None);
}
