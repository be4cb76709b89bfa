//! Disabling any mechanism violates an invariant that the exploration detects.

use molespan_state::control::{
    Change, ConfirmIntent, ControlCommand, ControlMachine, ControlReply, IntentNumber, IssueOrder,
    Policy,
};
use molespan_state::explore::{ClaimModel, LeaseModel, Model, explore};
use molespan_types::mechanism::{Mechanism, disable};
use molespan_types::{BackendId, ConfigVersion, FencingToken, Incarnation};

const MAX_STATES: usize = 1_000_000;

/// Returns the invariant that is violated without `mechanism`.
fn violated_invariant(model: &impl Model, mechanism: Mechanism) -> Option<&'static str> {
    disable(Some(mechanism));
    let exploration = explore(model, MAX_STATES);
    disable(None);
    exploration.violation.map(|violation| violation.invariant)
}

#[test]
fn exploration_detects_each_missing_mechanism_of_jobs() {
    let repeatable = LeaseModel { repeatable: true };
    let once = LeaseModel { repeatable: false };
    let cases = [
        (&repeatable, Mechanism::JobKeyDedupe),
        (&repeatable, Mechanism::FirstResultWins),
        (&repeatable, Mechanism::CancelStopsLeasing),
        (&repeatable, Mechanism::CancelWaitsForLeases),
        (&once, Mechanism::NoRetryAfterAmbiguity),
    ];
    for (model, mechanism) in cases {
        let invariant = violated_invariant(model, mechanism);
        println!("without {mechanism}: {invariant:?}");
        assert!(
            invariant.is_some(),
            "no violation found without {mechanism}"
        );
    }
}

#[test]
fn exploration_detects_missing_claims() {
    let invariant = violated_invariant(&ClaimModel, Mechanism::ClaimBeforeDispatch);
    println!("without claims: {invariant:?}");
    assert!(invariant.is_some());
}

#[test]
fn reused_number_is_accepted_without_confirmation_memory() {
    let intent = |base: u64, tail_protection: u8| {
        ControlCommand::Confirm(ConfirmIntent {
            number: IntentNumber(1),
            operator: "abebe".to_owned(),
            base_version: ConfigVersion(base),
            changes: vec![Change::PutPolicy {
                policy: Policy { tail_protection },
            }],
        })
    };
    disable(Some(Mechanism::ConfirmationMemory));
    let mut machine = ControlMachine::new();
    machine.apply(&intent(0, 10));
    machine.apply(&intent(1, 20));
    disable(None);
    assert_eq!(machine.configuration().version, ConfigVersion(2));
}

#[test]
fn tokens_do_not_increase_without_fencing() {
    let order = |action: &str| {
        ControlCommand::Issue(IssueOrder {
            backend: BackendId(1),
            incarnation: Incarnation(1),
            action: action.to_owned(),
            expected_token: FencingToken(0),
        })
    };
    disable(Some(Mechanism::FencingTokens));
    let mut machine = ControlMachine::new();
    let first = machine.apply(&order("load"));
    let second = machine.apply(&order("unload"));
    disable(None);
    let same = ControlReply::OrderIssued {
        token: FencingToken(0),
    };
    assert_eq!((first, second), (same.clone(), same));
}
