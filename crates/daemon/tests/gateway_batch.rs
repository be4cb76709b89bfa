//! The callers' interface for batch jobs.

mod support;

use std::collections::BTreeMap;

use molespan_emulator::expected_answer;
use serde_json::Value;
use support::client::{Answer, get, post};
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
