//! The callers' interface for online requests.

mod support;

use molespan_emulator::expected_answer;
use support::client::{complete, get, post, stream};
use support::{World, small_fleet};

#[test]
fn a_plain_and_a_streamed_completion_are_whole() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let expected = expected_answer("a family at the lake", 12);

    let plain = complete(gateway.address, "a family at the lake", 12);
    assert_eq!(plain.status, 200, "{plain:?}");
    assert_eq!(plain.text(), expected);
    assert_eq!(plain.header("x-run-outcome"), Some("completed"));

    let streamed = stream(gateway.address, "a family at the lake", 12);
    assert_eq!(streamed.status, 200, "{streamed:?}");
    assert_eq!(streamed.streamed_text(), (expected, true));
}

#[test]
fn a_chat_completion_answers_with_a_message() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let body =
        r#"{"model":"caption","messages":[{"role":"user","content":"hello"}],"max_tokens":4}"#;
    let answer = post(gateway.address, "/v1/chat/completions", body);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.text(), expected_answer("user: hello\n", 4));
}

#[test]
fn health_readiness_and_metrics_are_there() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    complete(gateway.address, "one", 2);
    assert_eq!(get(gateway.address, "/health").status, 200);
    let ready = get(gateway.address, "/ready");
    assert_eq!(ready.status, 200, "{ready:?}");
    assert_eq!(ready.json_value()["version"], 1);
    let metrics = get(gateway.address, "/metrics").body;
    assert!(
        metrics.contains(r#"molespan_gateway_requests_total{end="completed"} 1"#),
        "{metrics}"
    );
}
