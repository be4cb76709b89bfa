//! Confirmations, node registry and orders.

use molespan_state::control::{
    Change, ConfirmIntent, ConfirmReply, ControlAnswer, ControlCommand, ControlMachine,
    ControlQuery, ControlReply, IntentNumber, IssueOrder, Model, RegisterNode, digest_of_changes,
};
use molespan_types::{
    BackendId, ConfigVersion, FencingToken, Incarnation, ModelName, NodeId, ZoneName,
};

/// Creates an intent that puts one model.
fn intent(number: u64, operator: &str, base: u64, version: u32) -> ConfirmIntent {
    ConfirmIntent {
        number: IntentNumber(number),
        operator: operator.to_owned(),
        base_version: ConfigVersion(base),
        changes: vec![Change::PutModel {
            name: ModelName::from("caption"),
            model: Model { version },
        }],
    }
}

/// Confirms an intent.
fn confirm(machine: &mut ControlMachine, intent: ConfirmIntent) -> ConfirmReply {
    match machine.apply(&intent.into()) {
        ControlReply::Confirm(reply) => reply,
        other => panic!("not a reply to a confirmation: {other:?}"),
    }
}

/// Returns the reply that `version` is in force.
fn confirmed(version: u64) -> ConfirmReply {
    let version = ConfigVersion(version);
    ConfirmReply::Confirmed { version }
}

/// Returns the machine restored from its own snapshot.
fn restored(machine: &ControlMachine) -> ControlMachine {
    ControlMachine::restore(&machine.snapshot()).expect("a snapshot just taken")
}

#[test]
fn retried_confirmation_gets_the_first_reply_after_many_changes_and_a_restart() {
    let mut machine = ControlMachine::new();
    let first = intent(1, "abebe", 0, 1);
    assert_eq!(confirm(&mut machine, first.clone()), confirmed(1));
    for later in 1..1_000 {
        let change = intent(later + 1, "ilona", later, later as u32);
        assert_eq!(confirm(&mut machine, change), confirmed(later + 1));
    }
    let mut machine = restored(&machine);
    assert_eq!(confirm(&mut machine, first), confirmed(1));
    assert_eq!(machine.configuration().version, ConfigVersion(1_000));
}

#[test]
fn conflicting_intent_with_a_used_number_gets_the_winner() {
    let mut machine = ControlMachine::new();
    let winner = intent(1, "abebe", 0, 1);
    confirm(&mut machine, winner.clone());
    let taken = ConfirmReply::NumberTaken {
        winner: "abebe".to_owned(),
        version: ConfigVersion(1),
        digest: digest_of_changes(&winner.changes),
    };
    let conflicts = [
        intent(1, "ilona", 0, 2),
        intent(1, "ilona", 0, 1),
        intent(1, "abebe", 0, 2),
        intent(1, "abebe", 1, 1),
    ];
    let mut machine = restored(&machine);
    for conflict in conflicts {
        assert_eq!(confirm(&mut machine, conflict), taken);
    }
    assert_eq!(machine.configuration().version, ConfigVersion(1));
}

#[test]
fn stale_base_changes_nothing() {
    let mut machine = ControlMachine::new();
    confirm(&mut machine, intent(1, "abebe", 0, 1));
    let current = ConfigVersion(1);
    let stale = intent(2, "ilona", 0, 2);
    assert_eq!(
        confirm(&mut machine, stale),
        ConfirmReply::BaseMoved { current }
    );
    let again = intent(2, "ilona", 1, 2);
    assert_eq!(
        confirm(&mut machine, again),
        confirmed(2),
        "number still free"
    );
}

#[test]
fn invalid_intent_takes_neither_number_nor_version() {
    let mut machine = ControlMachine::new();
    let mut empty = intent(1, "abebe", 0, 1);
    empty.changes.clear();
    let reply = confirm(&mut machine, empty);
    assert!(matches!(reply, ConfirmReply::Invalid { .. }), "{reply:?}");
    assert_eq!(
        confirm(&mut machine, intent(1, "ilona", 0, 1)),
        confirmed(1)
    );
}

#[test]
fn number_below_the_retained_range_is_rejected() {
    const MAX_CONFIRMATIONS: u64 = 131_072;
    let mut machine = ControlMachine::new();
    for version in 0..MAX_CONFIRMATIONS + 10 {
        confirm(&mut machine, intent(version + 100, "abebe", version, 1));
    }
    let floor = IntentNumber(110);
    let version = MAX_CONFIRMATIONS + 10;
    let mut machine = restored(&machine);
    let forgotten = confirm(&mut machine, intent(105, "abebe", 5, 1));
    assert_eq!(forgotten, ConfirmReply::TooOld { floor });
    let unused = confirm(&mut machine, intent(7, "ilona", version, 2));
    assert_eq!(unused, ConfirmReply::TooOld { floor });
    let kept = confirm(&mut machine, intent(110, "abebe", 10, 1));
    assert_eq!(kept, confirmed(11));
    assert_eq!(machine.configuration().version, ConfigVersion(version));
}

/// Creates the registration of an incarnation of node 1.
fn register(incarnation: u64) -> ControlCommand {
    ControlCommand::Register(RegisterNode {
        node: NodeId(1),
        incarnation: Incarnation(incarnation),
        name: "gateway-1".to_owned(),
        zone: ZoneName::from("hall-a"),
        internal_address: "127.0.0.1:1".to_owned(),
        http_address: "127.0.0.1:2".to_owned(),
        roles: Vec::new(),
    })
}

/// Creates a drain command for an incarnation of node 1.
fn drain(incarnation: u64) -> ControlCommand {
    ControlCommand::Drain {
        node: NodeId(1),
        incarnation: Incarnation(incarnation),
    }
}

/// Creates a remove command for an incarnation of node 1.
fn remove(incarnation: u64) -> ControlCommand {
    ControlCommand::Remove {
        node: NodeId(1),
        incarnation: Incarnation(incarnation),
    }
}

/// Returns the incarnation and drain flag of each registered node.
fn nodes(machine: &ControlMachine) -> Vec<(u64, bool)> {
    match machine.query(&ControlQuery::Nodes) {
        ControlAnswer::Nodes(nodes) => nodes
            .iter()
            .map(|record| (record.registration.incarnation.0, record.draining))
            .collect(),
        other => panic!("not the nodes: {other:?}"),
    }
}

#[test]
fn late_commands_for_an_earlier_incarnation_are_rejected() {
    let mut machine = ControlMachine::new();
    let registered = Incarnation(3);
    let stale = ControlReply::NodeStale { registered };
    assert_eq!(machine.apply(&register(3)), ControlReply::NodeAccepted);
    for late in [register(2), drain(2), remove(2)] {
        assert_eq!(machine.apply(&late), stale);
    }
    assert_eq!(machine.apply(&drain(4)), ControlReply::NodeUnknown);
    assert_eq!(nodes(&machine), [(3, false)]);
}

#[test]
fn repeated_registration_keeps_the_drain_flag_and_a_new_incarnation_clears_it() {
    let mut machine = ControlMachine::new();
    machine.apply(&register(3));
    machine.apply(&drain(3));
    machine.apply(&register(3));
    assert_eq!(nodes(&machine), [(3, true)]);
    machine.apply(&register(4));
    assert_eq!(nodes(&machine), [(4, false)]);
}

#[test]
fn earlier_incarnation_cannot_register_after_a_removal() {
    let mut machine = ControlMachine::new();
    machine.apply(&register(3));
    assert_eq!(machine.apply(&remove(3)), ControlReply::NodeAccepted);
    assert_eq!(
        machine.apply(&remove(3)),
        ControlReply::NodeAccepted,
        "resent"
    );
    let registered = Incarnation(3);
    let mut machine = restored(&machine);
    assert_eq!(
        machine.apply(&register(2)),
        ControlReply::NodeStale { registered }
    );
    assert_eq!(
        machine.apply(&register(3)),
        ControlReply::NodeAccepted,
        "reconnected after a partition"
    );
    assert_eq!(nodes(&machine), [(3, false)]);
}

/// Creates an order to a back end.
fn order(backend: u32, action: &str, expected_token: u64) -> ControlCommand {
    ControlCommand::Issue(IssueOrder {
        backend: BackendId(backend),
        incarnation: Incarnation(1),
        action: action.to_owned(),
        expected_token: FencingToken(expected_token),
    })
}

/// Returns the reply with an issued token.
fn issued(token: u64) -> ControlReply {
    let token = FencingToken(token);
    ControlReply::OrderIssued { token }
}

#[test]
fn tokens_increase_across_back_ends_and_are_unique() {
    let mut machine = ControlMachine::new();
    assert_eq!(machine.apply(&order(1, "load", 0)), issued(1));
    assert_eq!(machine.apply(&order(2, "load", 0)), issued(2));
    let mut machine = restored(&machine);
    assert_eq!(machine.apply(&order(1, "unload", 1)), issued(3));
}

#[test]
fn retried_order_keeps_its_token_and_a_concurrent_order_conflicts() {
    let mut machine = ControlMachine::new();
    machine.apply(&order(1, "load", 0));
    assert_eq!(machine.apply(&order(1, "load", 0)), issued(1));
    let current = FencingToken(1);
    let conflict = ControlReply::OrderConflict { current };
    assert_eq!(machine.apply(&order(1, "unload", 0)), conflict);
    machine.apply(&order(1, "unload", 1));
    let current = FencingToken(2);
    let superseded = ControlReply::OrderConflict { current };
    assert_eq!(machine.apply(&order(1, "load", 0)), superseded);
}
