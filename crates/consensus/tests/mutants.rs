//! Disabling a safety mechanism violates an invariant, and the exploration detects it.

use molespan_consensus::explore::{Bounds, Invariant, Start, explore};
use molespan_types::mechanism::{Mechanism, disable};

/// Returns the invariant violated when `mechanism` is disabled.
fn violated_without(bounds: &Bounds, mechanism: Mechanism) -> Option<Invariant> {
    disable(Some(mechanism));
    let exploration = explore(bounds);
    disable(None);
    let violation = exploration.violation?;
    println!("without {mechanism}: {}", violation.invariant);
    for action in &violation.trace {
        println!("  {action}");
    }
    Some(violation.invariant)
}

#[test]
fn second_leader_is_elected_when_votes_are_forgotten() {
    let invariant = violated_without(&Bounds::default(), Mechanism::DurableVote);
    assert_eq!(invariant, Some(Invariant::ElectionSafety));
}

#[test]
fn log_is_not_whole_when_replies_go_before_the_sync() {
    let invariant = violated_without(&Bounds::default(), Mechanism::SyncBeforeReply);
    assert_eq!(invariant, Some(Invariant::WholeLog));
}

#[test]
fn committed_entry_is_on_one_disk_when_no_quorum_is_asked() {
    let bounds = Bounds {
        start: Start::Led,
        proposals: 1,
        ..Bounds::default()
    };
    let invariant = violated_without(&bounds, Mechanism::QuorumCommit);
    assert_eq!(invariant, Some(Invariant::CommittedStay));
}
