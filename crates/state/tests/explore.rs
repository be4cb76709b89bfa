//! Exhaustive exploration of the models.

use molespan_state::explore::{ClaimModel, Exploration, LeaseModel, explore};

/// Limit that is higher than the number of states of the models.
const MAX_STATES: usize = 1_000_000;

/// Asserts that every state was visited without a violation.
fn assert_holds(exploration: &Exploration) {
    println!("{exploration:?}");
    assert_eq!(exploration.violation, None);
    assert!(exploration.exhausted, "{} states", exploration.states);
}

#[test]
fn leases_of_a_repeatable_job_hold_in_every_state() {
    let model = LeaseModel { repeatable: true };
    assert_holds(&explore(&model, MAX_STATES));
}

#[test]
fn leases_of_a_non_repeatable_job_hold_in_every_state() {
    let model = LeaseModel { repeatable: false };
    assert_holds(&explore(&model, MAX_STATES));
}

#[test]
fn claims_hold_in_every_state() {
    assert_holds(&explore(&ClaimModel, MAX_STATES));
}

#[test]
fn exploration_stops_at_its_bound() {
    let model = LeaseModel { repeatable: true };
    let exploration = explore(&model, 100);
    assert!(!exploration.exhausted);
    assert!(exploration.states < 200, "{} states", exploration.states);
}
