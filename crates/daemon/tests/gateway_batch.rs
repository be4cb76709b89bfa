//! The batch job API.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_emulator::expected_answer;
use molespan_emulator::faults::{EngineFaults, FaultSettings};
use molespan_emulator::fleet::FleetSettings;
use serde_json::Value;
use support::client::{Answer, complete, get, post};
use support::{World, small_fleet, wait_for};

fn items(count: u32) -> String {
    let lines =
        (0..count).map(|item| format!("{{\"prompt\":\"photo {item}\",\"max_tokens\":3}}\n"));
    lines.collect()
}

fn submit(address: std::net::SocketAddr, key: &str, body: &str) -> Answer {
    let path = format!("/v1/batches?service=caption&key={key}");
    post(address, &path, body)
}

fn state_of(address: std::net::SocketAddr, id: &str) -> String {
    let status = get(address, &format!("/v1/batches/{id}")).json_value();
    status["state"].as_str().unwrap_or_default().to_owned()
}

fn results(address: std::net::SocketAddr, id: &str) -> BTreeMap<u64, String> {
    let answer = get(address, &format!("/v1/batches/{id}/results"));
    assert!(answer.whole, "{answer:?}");
    let mut results = BTreeMap::new();
    for line in answer.body.lines() {
        let line: Value = serde_json::from_str(line).unwrap();
        let item = line["item"].as_u64().unwrap();
        let text = line["text"].as_str().unwrap().to_owned();
        assert_eq!(line["outcome"], "completed", "{line}");
        assert!(results.insert(item, text).is_none(), "item {item} twice");
    }
    results
}

#[test]
fn a_job_completes_and_its_results_are_readable_anywhere() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let other = world.gateway(12);
    let accepted = submit(gateway.address, "album-1", &items(100));
    assert_eq!(accepted.status, 202, "{accepted:?}");
    let id = accepted.json_value()["id"].as_str().unwrap().to_owned();
    wait_for("a completed job", || {
        state_of(other.address, &id) == "completed"
    });
    let results = results(other.address, &id);
    assert_eq!(results.len(), 100);
    for (item, text) in results {
        assert_eq!(text, expected_answer(&format!("photo {item}"), 3));
    }
}

#[test]
fn a_resubmission_anywhere_finds_the_first_job() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let other = world.gateway(12);
    let first = submit(gateway.address, "album-1", &items(20));
    let again = submit(other.address, "album-1", &items(20));
    assert_eq!(again.status, 202, "{again:?}");
    let id = |answer: &Answer| answer.json_value()["id"].clone();
    assert_eq!(id(&again), id(&first));
    let conflict = submit(other.address, "album-1", &items(21));
    assert_eq!(conflict.status, 409, "{conflict:?}");
    assert_eq!(conflict.code(), "key_conflict");
    assert_eq!(conflict.outcome(), "not-run");
    let jobs = get(other.address, "/v1/batches").json_value();
    assert_eq!(jobs.as_array().map(Vec::len), Some(1), "{jobs}");
}

#[test]
fn a_rejected_submission_states_the_reason() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let good = items(1);
    let path = "/v1/batches?service=caption&key=k";
    let too_many = "{\"prompt\":\"x\"}\n".repeat(110_001);
    let table: [(&str, &str, u16, &str); 11] = [
        ("/v1/batches?key=k", &good, 400, "bad_query"),
        ("/v1/batches?service=caption", &good, 400, "bad_query"),
        (
            "/v1/batches?service=nobody&key=k",
            &good,
            404,
            "unknown_service",
        ),
        (
            "/v1/batches?service=albums&key=k",
            &good,
            400,
            "no_batch_service",
        ),
        (
            "/v1/batches?service=caption&key=k&deadline_ms=soon",
            &good,
            400,
            "bad_query",
        ),
        (
            "/v1/batches?service=caption&key=k&repeatable=2",
            &good,
            400,
            "bad_query",
        ),
        (path, "", 400, "no_items"),
        (path, "\n\n", 400, "no_items"),
        (path, "{\"prompt\":1}", 400, "bad_items"),
        (path, "{\"prompt\":\"x\"}\nnonsense\n", 400, "bad_items"),
        (path, &too_many, 413, "too_many_items"),
    ];
    for (path, body, status, code) in table {
        let answer = post(gateway.address, path, body);
        assert_eq!(answer.status, status, "{path}: {answer:?}");
        assert_eq!(answer.code(), code, "{path}: {answer:?}");
        assert_eq!(answer.outcome(), "not-run", "{path}");
    }
    let two = post(gateway.address, path, "nonsense\n{\"prompt\":\"x\"}\n{}");
    let told = two.json_value()["error"]["message"].to_string();
    assert!(told.contains("line 1") && told.contains("line 3"), "{told}");
    for path in [
        "/v1/batches/job-1",
        "/v1/batches/x",
        "/v1/batches/x/results",
    ] {
        let answer = get(gateway.address, path);
        assert_eq!(answer.code(), "unknown_job", "{answer:?}");
    }
    let jobs = get(gateway.address, "/v1/batches").json_value();
    assert_eq!(jobs.as_array().map(Vec::len), Some(0), "{jobs}");
}

#[test]
fn a_cancelled_job_stops() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let lines: String = (0..400)
        .map(|item| format!("{{\"prompt\":\"memorial {item}\",\"max_tokens\":300}}\n"))
        .collect();
    let accepted = submit(gateway.address, "memorial", &lines);
    let id = accepted.json_value()["id"].as_str().unwrap().to_owned();
    wait_for("leased items", || {
        let status = get(gateway.address, &format!("/v1/batches/{id}")).json_value();
        status["leased"].as_u64().unwrap_or(0) > 0
    });
    let cancelled = post(gateway.address, &format!("/v1/batches/{id}/cancel"), "");
    assert_eq!(cancelled.status, 200, "{cancelled:?}");
    wait_for("a cancelled job", || {
        state_of(gateway.address, &id) == "cancelled"
    });
    wait_for("idle engines", || {
        world.fleet.members.iter().all(|member| {
            let load = get(member.address, "/load").json_value();
            load["batch_running"] == 0 && load["batch_waiting"] == 0
        })
    });
    let decisions = gateway.decisions();
    let mut changes = decisions
        .lines()
        .filter(|line| line.starts_with("membership backend"));
    let held_against_engine = changes.find(|line| line.contains("failed"));
    assert_eq!(
        held_against_engine, None,
        "cancelled streams are no failures"
    );
    let again = post(gateway.address, &format!("/v1/batches/{id}/cancel"), "");
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(again.json_value()["state"], "cancelled");
}

#[test]
fn the_largest_job_is_accepted() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let body = items(110_000);
    let accepted = submit(gateway.address, "largest", &body);
    assert_eq!(accepted.status, 202, "{accepted:?}");
    assert_eq!(accepted.json_value()["items"], 110_000);
    let id = accepted.json_value()["id"].as_str().unwrap().to_owned();
    post(gateway.address, &format!("/v1/batches/{id}/cancel"), "");
}

#[test]
fn items_of_an_owner_that_dies_run_elsewhere_once() {
    let world = World::start(&FleetSettings {
        engines: 2,
        ..small_fleet()
    });
    let gateway = world.gateway(11);
    let accepted = submit(gateway.address, "dying", &items(300));
    let id = accepted.json_value()["id"].as_str().unwrap().to_owned();
    wait_for("leased items", || {
        let status = get(gateway.address, &format!("/v1/batches/{id}")).json_value();
        status["leased"].as_u64().unwrap_or(0) > 0
    });
    gateway.kill();
    let other = world.gateway(12);
    wait_for("a completed job", || {
        state_of(other.address, &id) == "completed"
    });
    assert_eq!(results(other.address, &id).len(), 300);
}

#[test]
fn an_engine_that_dies_loses_no_item() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let accepted = submit(gateway.address, "crash", &items(300));
    let id = accepted.json_value()["id"].as_str().unwrap().to_owned();
    wait_for("leased items", || {
        let status = get(gateway.address, &format!("/v1/batches/{id}")).json_value();
        status["leased"].as_u64().unwrap_or(0) > 0
    });
    let first = &world.fleet.members[0];
    first.handle.crash(Duration::from_millis(300));
    wait_for("a completed job", || {
        state_of(gateway.address, &id) == "completed"
    });
    assert_eq!(results(gateway.address, &id).len(), 300);
}

#[test]
fn batch_work_yields_to_requests_at_either_gateway() {
    let world = World::start(&FleetSettings {
        engines: 1,
        ..small_fleet()
    });
    let gateway = world.gateway(11);
    let other = world.gateway(12);
    let lines: String = (0..200)
        .map(|item| format!("{{\"prompt\":\"night {item}\",\"max_tokens\":100}}\n"))
        .collect();
    submit(gateway.address, "night", &lines);
    let engine = world.fleet.members[0].address;
    let running = || get(engine, "/load").json_value()["batch_running"].as_u64();
    wait_for("running batch work", || running().unwrap_or(0) > 2);
    for address in [gateway.address, other.address] {
        let answer = complete(address, "at the counter", 60);
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let decisions = gateway.decisions() + &other.decisions();
    assert!(decisions.contains("batch streams make way"), "{decisions}");
}

#[test]
fn items_leave_an_engine_that_freezes() {
    let world = World::start(&small_fleet());
    let gateway = world.tuned_gateway(11, |options| {
        options.timeouts.control = Duration::from_millis(200);
    });
    let accepted = submit(gateway.address, "frozen", &items(300));
    let id = accepted.json_value()["id"].as_str().unwrap().to_owned();
    wait_for("leased items", || {
        let status = get(gateway.address, &format!("/v1/batches/{id}")).json_value();
        status["leased"].as_u64().unwrap_or(0) > 0
    });
    let frozen = FaultSettings {
        engine: EngineFaults {
            frozen: true,
            ..EngineFaults::default()
        },
        ..FaultSettings::default()
    };
    world.fleet.members[0].handle.set_faults(frozen);
    wait_for("a completed job", || {
        state_of(gateway.address, &id) == "completed"
    });
    assert_eq!(results(gateway.address, &id).len(), 300);
}
