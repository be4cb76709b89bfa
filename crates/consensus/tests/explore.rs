//! Exhaustive exploration of a small group within fixed bounds.

use molespan_consensus::explore::{Bounds, Start, explore};

/// Asserts that every state within the bounds was visited without a violation.
fn assert_holds(bounds: &Bounds) {
    let exploration = explore(bounds);
    println!("{exploration:?}");
    assert_eq!(exploration.violation, None);
    assert!(exploration.exhausted, "{exploration:?}");
}

#[test]
fn two_elections_hold_when_a_voter_restarts_before_its_sync() {
    assert_holds(&Bounds {
        max_depth: 10,
        ..Bounds::default()
    });
}

#[test]
fn commits_hold_when_the_leader_changes_under_a_proposal() {
    assert_holds(&Bounds {
        start: Start::Led,
        ticks: 2,
        proposals: 1,
        slow_disk: false,
        max_depth: 10,
        ..Bounds::default()
    });
}

#[test]
fn pre_votes_hold_when_messages_come_twice() {
    assert_holds(&Bounds {
        ticks: 2,
        restarts: 0,
        repetitions: 1,
        slow_disk: false,
        pre_vote: true,
        max_depth: 10,
        ..Bounds::default()
    });
}

#[test]
fn replacement_holds_when_the_old_voter_stands_for_election() {
    assert_holds(&Bounds {
        start: Start::Repairing,
        restarts: 0,
        slow_disk: false,
        pre_vote: true,
        max_in_flight: 5,
        max_depth: 10,
        ..Bounds::default()
    });
}

#[test]
fn replacement_holds_when_a_disk_is_lost_right_after_it() {
    assert_holds(&Bounds {
        start: Start::Repairing,
        ticks: 1,
        restarts: 1,
        losses: 1,
        slow_disk: false,
        max_in_flight: 3,
        max_depth: 10,
        ..Bounds::default()
    });
}

#[test]
fn exploration_stops_at_its_bound() {
    let bounds = Bounds {
        max_states: 100,
        ..Bounds::default()
    };
    let exploration = explore(&bounds);
    assert!(!exploration.exhausted);
    assert!(exploration.states < 2_000, "{} states", exploration.states);
}
