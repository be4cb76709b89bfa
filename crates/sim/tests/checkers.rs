//! Checkers report the violations they exist for, on hand-made records.

use std::sync::Arc;

use molespan_sim::checkers::check_all;
use molespan_sim::history::{
    ArrivalEnd, ArrivalRecord, ConfirmRecord, InForceRecord, OrderRecord, ReadRecord,
};
use molespan_sim::scenario::Scenario;
use molespan_sim::workload::OnlinePlan;
use molespan_sim::world::World;
use molespan_state::control::ConfirmReply;
use molespan_types::{BackendId, ConfigVersion, FencingToken, Incarnation, Timestamp};

/// A world in which no event has happened.
fn world() -> World {
    World::new(Scenario::from_seed(1, &[]).only(Some(&[]), Some(&[])))
}

/// Names of the checkers that report a violation. Liveness is excluded, since no
/// process runs.
fn violated_checkers(world: &World) -> Vec<&'static str> {
    let found = check_all(world).into_iter().map(|one| one.checker);
    let mut found: Vec<&str> = found.filter(|checker| *checker != "liveness").collect();
    found.dedup();
    found
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn arrival(end: ArrivalEnd) -> ArrivalRecord {
    let plan = OnlinePlan {
        tenant: "tenant".into(),
        service: "captions".into(),
        prompt: "a prompt".to_owned(),
        tokens: 3,
        stream: false,
        key: None,
        resend_after: None,
    };
    ArrivalRecord {
        sent: at(1),
        client: 1,
        gateway: 1,
        plan: Arc::new(plan),
        first_token: None,
        end: Some((at(2), end)),
    }
}

fn confirm(number: u64, operator: &str, version: u64, answered: u64) -> ConfirmRecord {
    ConfirmRecord {
        sent: at(0),
        answered: at(answered),
        number,
        operator: operator.to_owned(),
        reply: ConfirmReply::Confirmed {
            version: ConfigVersion(version),
        },
    }
}

fn order(number: u32, token: u64) -> OrderRecord {
    OrderRecord {
        at: at(1),
        backend: BackendId(1),
        incarnation: Incarnation(1),
        token: FencingToken(token),
        order: number,
        reply: None,
    }
}

#[test]
fn empty_history_has_no_violations() {
    assert_eq!(violated_checkers(&world()), Vec::<&str>::new());
}

#[test]
fn incomplete_answer_is_reported() {
    let mut world = world();
    let end = ArrivalEnd::Answered("abc".to_owned());
    world.context.history.arrivals.insert(1, arrival(end));
    assert_eq!(violated_checkers(&world), ["whole-answer"]);
}

#[test]
fn request_cut_by_a_planned_stop_is_reported_unless_counted() {
    let mut world = world();
    let end = ArrivalEnd::Broken { planned_stop: true };
    world.context.history.arrivals.insert(1, arrival(end));
    assert_eq!(violated_checkers(&world), ["planned-stop"]);
    world.context.history.reported_cut_off = 1;
    assert_eq!(violated_checkers(&world), Vec::<&str>::new());
}

#[test]
fn decreasing_version_is_reported() {
    let mut world = world();
    for (millis, version) in [(1, 5), (2, 4)] {
        world.context.history.in_force.push(InForceRecord {
            at: at(millis),
            gateway: 1,
            version: ConfigVersion(version),
        });
    }
    assert_eq!(violated_checkers(&world), ["configuration"]);
}

#[test]
fn two_winners_of_one_intent_are_reported() {
    let mut world = world();
    let confirms = &mut world.context.history.confirms;
    confirms.push(confirm(1, "first", 1, 10));
    confirms.push(confirm(1, "second", 2, 20));
    assert_eq!(violated_checkers(&world), ["committed"]);
}

#[test]
fn stale_read_is_reported() {
    let mut world = world();
    let history = &mut world.context.history;
    history.confirms.push(confirm(1, "first", 1, 10));
    history.reads.push(ReadRecord {
        sent: at(11),
        answered: at(12),
        version: ConfigVersion(0),
    });
    assert_eq!(violated_checkers(&world), ["committed"]);
}

#[test]
fn reused_fencing_token_is_reported() {
    let mut world = world();
    world.context.history.orders.push(order(1, 4));
    world.context.history.orders.push(order(2, 4));
    assert_eq!(violated_checkers(&world), ["fencing"]);
}
