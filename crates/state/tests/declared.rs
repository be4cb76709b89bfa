//! The declared state: versioned configuration, departures and stores.

use std::collections::BTreeSet;

use molespan_state::control::{
    ControlAnswer, ControlCommand, ControlMachine, ControlQuery, ControlReply,
};
use molespan_state::declared::{
    CallerLimits, Declaration, DeclaredCommand, DeclaredReply, DeclaredState, Departure,
    Destination, RegisterStore, RetireReply, Retirement, Route, RouteKind, ServiceModel,
    ServingModel,
};
use molespan_types::NodeId;
use proptest::prelude::*;

fn apply(machine: &mut ControlMachine, command: DeclaredCommand) -> DeclaredReply {
    match machine.apply(&ControlCommand::Declared(command)) {
        ControlReply::Declared(reply) => reply,
        other => panic!("{other:?}"),
    }
}

fn state(machine: &ControlMachine) -> DeclaredState {
    match machine.query(&ControlQuery::Declared) {
        ControlAnswer::Declared(state) => *state,
        other => panic!("{other:?}"),
    }
}

fn declaration(version: u64, text: &str) -> DeclaredCommand {
    DeclaredCommand::Declare(Box::new(Declaration {
        version,
        document: text.as_bytes().to_vec().into(),
        model: ServingModel::default(),
    }))
}

fn route(host: &str, prefix: &str) -> Route {
    Route {
        anonymous: false,
        max_queued_tokens: None,
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        gap_target_ms: None,
        completion_target_ms: None,
        retention_ms: None,
        priority: 0,
        max_attempts: 1,
        sticky: false,
        resumable: false,
        destinations: vec![Destination {
            service: "s".to_owned(),
            weight: 1,
        }],
    }
}

fn model(routes: Vec<Route>) -> ServingModel {
    ServingModel {
        routes,
        services: vec![ServiceModel {
            name: "s".to_owned(),
            health_path: String::new(),
            max_connections: 1,
            engine: None,
        }],
        limits: CallerLimits::default(),
        tenants: None,
    }
}

fn store(node: u32, zone: &str, replicas: u32, wait_timed_out: bool) -> DeclaredCommand {
    DeclaredCommand::RegisterStore(RegisterStore {
        node: NodeId(node),
        name: format!("store-{node}"),
        zone: zone.into(),
        incarnation: node * 10,
        replicas,
        wait_timed_out,
    })
}

proptest! {
    #[test]
    fn highest_version_is_in_force_with_its_first_content(
        versions in prop::collection::vec((0..20_u64, 0..3_u8), 1..40),
    ) {
        let mut machine = ControlMachine::new();
        let mut held: Option<(u64, String)> = None;
        for (version, content) in versions {
            let text = format!("{version}/{content}");
            let reply = apply(&mut machine, declaration(version, &text));
            if held.as_ref().is_none_or(|(known, _)| version > *known) {
                held = Some((version, text));
            }
            let (known, text) = held.clone().expect("one was declared");
            prop_assert_eq!(reply, DeclaredReply::Version { version: known });
            let state = state(&machine);
            let configuration = state.configuration().expect("one was declared");
            prop_assert_eq!(configuration.version, known);
            prop_assert_eq!(configuration.document.to_vec(), text.into_bytes());
        }
        let restored = ControlMachine::restore(&machine.snapshot()).expect("a snapshot");
        prop_assert_eq!(restored, machine);
    }
}

#[test]
fn departure_never_regresses() {
    let mut machine = ControlMachine::new();
    let cases = [
        (Departure::Draining, Departure::Draining),
        (Departure::Gone, Departure::Gone),
        (Departure::Draining, Departure::Gone),
    ];
    for (departure, known) in cases {
        let engine = "e".to_owned();
        apply(&mut machine, DeclaredCommand::Depart { engine, departure });
        assert_eq!(state(&machine).departures().get("e"), Some(known));
    }
    assert_eq!(state(&machine).departures().get("other"), None);
}

#[test]
fn routes_are_found_by_host_and_longest_prefix() {
    let model = model(vec![
        route("a", "/"),
        route("a", "/x/"),
        route("a", "/x/y/"),
        route("b", "/x/"),
    ]);
    let cases = [
        ("a", "/x/y/z", Some("a/x/y/")),
        ("a", "/x/y", Some("a/x/")),
        ("a", "/", Some("a/")),
        ("b", "/x/1", Some("b/x/")),
        ("b", "/y/1", None),
        ("c", "/x/1", None),
    ];
    for (host, path, expected) in cases {
        let found = model.route(host, path).map(|route| route.name.as_str());
        assert_eq!(found, expected, "{host}{path}");
    }
}

// Guards against taking a job's items from it for a route of another kind.
#[test]
fn the_route_of_a_job_is_the_batch_route_with_the_longest_prefix() {
    let batch = |prefix| Route {
        kind: RouteKind::Batch,
        ..route("a", prefix)
    };
    let model = model(vec![
        route("a", "/"),
        batch("/x/"),
        route("a", "/x/y/"),
        batch("/x/y/z/"),
        route("b", "/x/"),
    ]);
    let cases = [
        ("a", "/x/job", None, Some("a/x/")),
        ("a", "/x/y/job", None, Some("a/x/")),
        ("a", "/x/y/z/job", None, Some("a/x/y/z/")),
        ("a", "/job", None, None),
        ("b", "/x/job", None, None),
        // Accepted before a route with a longer prefix came, or by one that has gone.
        ("a", "/x/y/z/job", Some("/x/"), Some("a/x/")),
        ("a", "/x/y/z/job", Some("/x/y/z/"), Some("a/x/y/z/")),
        ("a", "/x/y/job", Some("/x/y/"), None),
    ];
    for (host, path, accepted_by, expected) in cases {
        let found = model.batch_route(host, path, accepted_by);
        let found = found.map(|route| route.name.as_str());
        assert_eq!(found, expected, "{host}{path}, {accepted_by:?}");
    }
}

#[test]
fn every_problem_of_a_configuration_is_reported_together() {
    assert!(model(vec![route("a", "/x/")]).problems().is_empty());
    let mut unknown = route("a", "/u/");
    unknown.destinations[0].service = "none".to_owned();
    let mut without_weight = route("a", "/w/");
    without_weight.destinations[0].weight = 0;
    let mut without_timeout = route("a", "/t/");
    without_timeout.timeout_ms = 0;
    let routes = vec![
        unknown,
        without_weight,
        without_timeout,
        route("a", "/x/"),
        route("a", "/x/"),
        route("a", "x"),
    ];
    assert_eq!(model(routes).problems().len(), 5);
}

#[test]
fn stores_found_the_group_once_across_zones() {
    let mut machine = ControlMachine::new();
    for (node, zone) in [(1, "a"), (2, "a"), (3, "b")] {
        apply(&mut machine, store(node, zone, 3, false));
        // Losing zone `a` would lose two of the three stores.
        assert!(state(&machine).stores().founders().is_empty());
    }
    apply(&mut machine, store(4, "c", 3, false));
    let founders = state(&machine).stores().founders().clone();
    let nodes: Vec<NodeId> = founders.keys().copied().collect();
    assert_eq!(nodes, [NodeId(1), NodeId(3), NodeId(4)]);
    // Stores that register later do not change the founders.
    apply(&mut machine, store(5, "d", 3, true));
    assert_eq!(*state(&machine).stores().founders(), founders);
    assert_eq!(state(&machine).stores().nodes().len(), 5);
}

#[test]
fn stores_of_a_single_zone_do_not_found_the_group() {
    let mut machine = ControlMachine::new();
    let register = |machine: &mut ControlMachine, node: u32, zone: &str| {
        apply(machine, store(node, zone, 5, false));
        state(machine).stores().founders().clone()
    };
    for node in 1..=5 {
        assert!(register(&mut machine, node, "b").is_empty());
    }
    for node in 6..=7 {
        assert!(register(&mut machine, node, "a").is_empty());
    }
    let founders = register(&mut machine, 8, "c");
    let of_zone = |nodes: std::ops::RangeInclusive<u32>| {
        let there = nodes.filter(|node| founders.contains_key(&NodeId(*node)));
        there.count()
    };
    assert_eq!((of_zone(1..=5), of_zone(6..=7), of_zone(8..=8)), (2, 2, 1));
}

#[test]
fn stores_of_too_few_zones_found_the_group_after_the_wait() {
    let mut machine = ControlMachine::new();
    for (node, zone) in [(1, "a"), (2, "a"), (3, "b")] {
        apply(&mut machine, store(node, zone, 3, false));
    }
    assert!(state(&machine).stores().founders().is_empty());
    apply(&mut machine, store(2, "a", 3, true));
    assert_eq!(state(&machine).stores().founders().len(), 3);
}

#[test]
fn fewer_stores_than_wanted_found_the_group_after_the_wait() {
    let mut machine = ControlMachine::new();
    apply(&mut machine, store(1, "a", 3, false));
    apply(&mut machine, store(1, "a", 3, true));
    assert_eq!(state(&machine).stores().founders().len(), 1);
}

#[test]
fn store_retires_only_if_enough_live_stores_remain() {
    let mut machine = ControlMachine::new();
    for node in 1..=4 {
        apply(&mut machine, store(node, "a", 3, false));
    }
    let retire = |machine: &mut ControlMachine, name: &str, alive: &[u32]| {
        let alive: BTreeSet<NodeId> = alive.iter().copied().map(NodeId).collect();
        let command = DeclaredCommand::Retire {
            name: name.to_owned(),
            replicas: 3,
            alive,
        };
        match apply(machine, command) {
            DeclaredReply::Retire(reply) => reply,
            other => panic!("{other:?}"),
        }
    };
    let taken = |retirement| RetireReply::Taken { retirement };
    assert_eq!(
        retire(&mut machine, "nobody", &[1, 2, 3, 4]),
        RetireReply::Unknown
    );
    assert_eq!(
        retire(&mut machine, "store-1", &[1, 2, 3]),
        RetireReply::TooFew
    );
    assert_eq!(
        retire(&mut machine, "store-1", &[1, 2, 3, 4]),
        taken(Retirement::Active)
    );
    // A repeated request is acknowledged; another store would leave too few.
    assert_eq!(
        retire(&mut machine, "store-1", &[]),
        taken(Retirement::Active)
    );
    assert_eq!(
        retire(&mut machine, "store-2", &[1, 2, 3, 4]),
        RetireReply::TooFew
    );
    for _ in 0..2 {
        let node = NodeId(1);
        apply(&mut machine, DeclaredCommand::RetirementCompleted { node });
        assert_eq!(
            retire(&mut machine, "store-1", &[]),
            taken(Retirement::Completed)
        );
    }
}
