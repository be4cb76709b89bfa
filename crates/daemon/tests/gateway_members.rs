//! Back ends that leave, gateways that stop, and configurations that change.

mod support;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use molespan_emulator::expected_answer;
use molespan_engine_api::MachineState;
use molespan_state::control::{Change, ConfirmReply, Policy};
use serde_json::{Value, json};
use support::client::{complete, get, post, stream};
use support::{RunningGateway, World, small_fleet, wait_for};

/// Concurrent requests to a gateway that has just become ready.
const CONCURRENT_REQUESTS: u32 = 24;

fn backend_state(gateway: &RunningGateway, id: u64) -> String {
    let backends = get(gateway.address, "/admin/backends").json_value();
    let backends = backends.as_array().cloned().unwrap_or_default();
    let found = backends.iter().find(|backend| backend["id"] == id);
    found.map_or(String::new(), |backend| {
        backend["state"].as_str().unwrap_or_default().to_owned()
    })
}

#[test]
fn a_back_end_that_leaves_gets_no_new_work() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let leaving = &world.fleet.members[0];
    world.fleet.platform.with_core(|core, now| {
        core.set_state(now, leaving.machine.id, MachineState::Leaving);
    });
    wait_for("a leaving back end", || {
        backend_state(&gateway, 1) == "leaving"
    });
    let before = leaving.handle.executions().attempts.len();
    for request in 0..12 {
        let answer = complete(gateway.address, &format!("after {request}"), 2);
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    // An older platform list does not revert the state.
    world.fleet.platform.with_core(|core, now| {
        core.set_state(now, leaving.machine.id, MachineState::Live);
    });
    std::thread::sleep(Duration::from_millis(200));
    for request in 0..12 {
        complete(gateway.address, &format!("later {request}"), 2);
    }
    assert_eq!(leaving.handle.executions().attempts.len(), before);
    assert_eq!(backend_state(&gateway, 1), "leaving");
}

#[test]
fn a_ready_gateway_has_its_engines() {
    let world = World::start(&small_fleet());
    for node in 11..19 {
        let gateway = world.unready_gateway(node, |_| {});
        wait_for("a ready gateway", || gateway.gateway.is_ready());
        let address = gateway.address;
        let ask = |number| move || complete(address, &format!("request {number} of {node}"), 2);
        let callers: Vec<_> = (0..CONCURRENT_REQUESTS)
            .map(|number| thread::spawn(ask(number)))
            .collect();
        for caller in callers {
            let answer = caller.join().expect("an answer");
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    }
}

#[test]
fn a_graceful_stop_aborts_nothing() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let address = gateway.address;
    let lines: String = (0..100)
        .map(|item| format!("{{\"prompt\":\"night {item}\",\"max_tokens\":50}}\n"))
        .collect();
    let accepted = post(address, "/v1/batches?service=caption&key=night", &lines);
    let id = accepted.json_value()["id"].as_str().unwrap().to_owned();
    let streams: Vec<_> = (0..8)
        .map(|number| {
            std::thread::spawn(move || {
                let prompt = format!("walkthrough {number}");
                (stream(address, &prompt, 150), expected_answer(&prompt, 150))
            })
        })
        .collect();
    wait_for("requests in flight", || {
        world.fleet.members[0].handle.executions().attempts.len() > 2
    });
    gateway.begin_stop();
    wait_for("an unready gateway", || {
        let ready = get(address, "/ready");
        ready.status == 503 || ready.status == 0
    });
    let report = gateway.stop();
    assert_eq!((report.cut_off, report.left_behind), (0, 0));
    for one in streams {
        let (answer, expected) = one.join().unwrap();
        assert_eq!(answer.streamed_text(), (expected, true), "{answer:?}");
    }
    assert_eq!(complete(address, "afterwards", 2).status, 0);
    let other = world.gateway(12);
    wait_for("a completed job", || {
        let status = get(other.address, &format!("/v1/batches/{id}")).json_value();
        status["state"] == "completed"
    });
}

#[test]
fn a_node_without_confirmation_becomes_unready_and_rejects() {
    let world = World::start(&small_fleet());
    let gateway = world.tuned_gateway(11, |options| {
        options.currency_bound = Duration::from_millis(600);
    });
    assert_eq!(complete(gateway.address, "before", 2).status, 200);
    world.transport.cut.store(true, Ordering::SeqCst);
    wait_for("an unready gateway", || {
        get(gateway.address, "/ready").status == 503
    });
    let refused = complete(gateway.address, "cut off", 2);
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(refused.code(), "configuration_not_current");
    assert_eq!(refused.outcome(), "not-run");
    assert!(refused.header("retry-after").is_some());
    world.transport.cut.store(false, Ordering::SeqCst);
    wait_for("a ready gateway", || {
        get(gateway.address, "/ready").status == 200
    });
    assert_eq!(complete(gateway.address, "after", 2).status, 200);
}

#[test]
fn a_restarted_gateway_starts_from_the_version_on_disk() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    for number in 2..8 {
        let policy = Policy {
            tail_protection: number as u8,
        };
        let reply = world.confirm(number, number - 1, vec![Change::PutPolicy { policy }]);
        assert!(matches!(reply, ConfirmReply::Confirmed { .. }), "{reply:?}");
    }
    wait_for("the newest version", || {
        get(gateway.address, "/ready").json_value()["version"] == 7
    });
    gateway.kill();
    world.transport.cut.store(true, Ordering::SeqCst);
    let again = world.unready_gateway(11, |_| {});
    wait_for("the version on disk", || {
        get(again.address, "/ready").json_value()["version"] == 7
    });
    // The version is not confirmed, so nothing is served with it yet.
    assert_eq!(get(again.address, "/ready").status, 503);
    world.transport.cut.store(false, Ordering::SeqCst);
    wait_for("a ready gateway", || {
        get(again.address, "/ready").status == 200
    });
}

fn intent(number: u64, operator: &str, base: u64, tail_protection: u8) -> String {
    json!({
        "number": number,
        "operator": operator,
        "base_version": base,
        "changes": [{"change": "put_policy", "policy": {"tail_protection": tail_protection}}],
    })
    .to_string()
}

fn confirm(gateway: &RunningGateway, number: u64, body: &str) -> Value {
    let path = format!("/admin/plans/{number}/confirm");
    let answer = post(gateway.address, &path, body);
    assert_eq!(answer.status, 200, "{answer:?}");
    answer.json_value()
}

#[test]
fn nothing_changes_before_a_plan_is_confirmed() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let plan = post(gateway.address, "/admin/plans", &intent(2, "almaz", 1, 80));
    assert_eq!(plan.status, 200, "{plan:?}");
    assert_eq!(plan.json_value()["base_version"], 1);
    assert_eq!(
        get(gateway.address, "/admin/configuration").json_value()["version"],
        1
    );
    assert_eq!(confirm(&gateway, 2, "")["result"], "confirmed");
    let configuration = get(gateway.address, "/admin/configuration").json_value();
    assert_eq!(configuration["version"], 2);
    assert_eq!(configuration["policy"]["tail_protection"], 80);
    wait_for("the version in force", || {
        let versions = get(gateway.address, "/admin/versions").json_value();
        versions[0]["version"] == 2
    });
}

#[test]
fn operators_that_race_get_one_winner_and_resends_the_first_answer() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let other = world.gateway(12);
    let first = intent(2, "almaz", 1, 10);
    let rival = intent(2, "bence", 1, 20);
    let won = confirm(&gateway, 2, &first);
    assert_eq!(
        (won["result"].as_str(), won["version"].as_u64()),
        (Some("confirmed"), Some(2))
    );
    let lost = confirm(&other, 2, &rival);
    assert_eq!(lost["result"], "number_taken");
    assert_eq!(lost["winner"], "almaz");
    assert_eq!(confirm(&other, 2, &first), won);
    let stale = confirm(&other, 3, &intent(3, "bence", 1, 20));
    assert_eq!(stale["result"], "base_moved");
    assert_eq!(stale["current"], 2);
}

#[test]
fn an_invalid_operator_request_states_the_reason() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let good = intent(2, "almaz", 1, 10);
    let table = [
        ("/admin/plans", "", 400, "malformed_body"),
        ("/admin/plans", "{}", 400, "malformed_body"),
        ("/admin/plans/x/confirm", good.as_str(), 400, "bad_number"),
        ("/admin/plans/3/confirm", good.as_str(), 400, "bad_number"),
        ("/admin/plans/9/confirm", "", 404, "unknown_plan"),
        ("/admin/nothing/at/all", "", 404, "unknown_path"),
    ];
    for (path, body, status, code) in table {
        let answer = post(gateway.address, path, body);
        assert_eq!(
            (answer.status, answer.code().as_str()),
            (status, code),
            "{path}: {answer:?}"
        );
    }
    let moved = post(gateway.address, "/admin/plans", &intent(2, "almaz", 7, 10));
    assert_eq!((moved.status, moved.code().as_str()), (409, "base_moved"));
    let kinds = get(gateway.address, "/admin/nothing");
    assert_eq!((kinds.status, kinds.code().as_str()), (404, "unknown_kind"));
    let events = get(gateway.address, "/admin/events?kind=nothing");
    assert_eq!((events.status, events.code().as_str()), (400, "bad_query"));
}

#[test]
fn every_kind_can_be_listed() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    complete(gateway.address, "one", 2);
    let kinds = [
        "configuration",
        "services",
        "models",
        "adapters",
        "tenants",
        "policy",
        "backends",
        "nodes",
        "jobs",
        "versions",
        "orders",
        "placement",
    ];
    for kind in kinds {
        let answer = get(gateway.address, &format!("/admin/{kind}"));
        assert_eq!(answer.status, 200, "{kind}: {answer:?}");
        assert!(!answer.json_value().is_null(), "{kind}: {answer:?}");
    }
    wait_for("a registered node", || {
        let nodes = get(gateway.address, "/admin/nodes").json_value();
        nodes[0]["name"] == "gateway-11" && nodes[0]["roles"][0] == "gateway"
    });
}

#[test]
fn watchers_see_decisions_and_do_not_delay_a_stop() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let address = gateway.address;
    let path = "/admin/events?kind=route&subject=caption&history=10";
    let watching = std::thread::spawn(move || get(address, path));
    let body = "one decision";
    wait_for("a watcher", || {
        complete(address, body, 2);
        get(address, "/metrics")
            .body
            .contains(r#"{end="completed"} 3"#)
    });
    let report = gateway.stop();
    assert_eq!(report.cut_off, 0);
    let watched = watching.join().unwrap();
    assert!(watched.whole, "{watched:?}");
    let events = watched.events();
    assert!(events.len() >= 3, "{watched:?}");
    for event in events {
        let event: Value = serde_json::from_str(event).unwrap();
        assert_eq!(event["event"]["kind"], "route", "{event}");
        assert!(event["event"]["inputs"].is_array(), "{event}");
    }
}
