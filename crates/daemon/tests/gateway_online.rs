//! The API for online requests.

mod support;

use std::io::Write;
use std::net::Shutdown;
use std::time::Duration;

use molespan_emulator::application::EchoBody;
use molespan_emulator::expected_answer;
use molespan_emulator::faults::{AnswerFault, AnswerFaultRule, FaultSettings};
use molespan_state::control::{Change, Service, TenantLimits};
use molespan_types::{TenantId, digest_of};
use serde_json::Value;
use support::client::{
    call, complete, completion, exchange, get, open, post, read_to_end, request_text, stream,
};
use support::{World, caption, completion_service, small_fleet, wait_for};

#[test]
fn plain_and_streamed_completions_are_complete() {
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
    let first: Value = serde_json::from_str(streamed.events()[0]).unwrap();
    assert_eq!(first["object"], "text_completion");
    assert_eq!(first["choices"][0]["text"], first["text"]);
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
fn health_readiness_and_metrics_are_served() {
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

#[test]
fn an_invalid_request_states_the_reason() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let whole = completion("x", 2, false);
    let unknown = whole.replace("caption", "nobody");
    let path = "/v1/completions";
    // Sends only the head of the large request, which is rejected before its body.
    let huge = format!("POST {path} HTTP/1.1\r\nhost: test\r\ncontent-length: 5000000\r\n\r\n");
    let huge = exchange(gateway.address, huge.as_bytes()).unwrap();
    let ask = |body: &str| call(gateway.address, "POST", path, &[], body);
    let with = |name: &str, value: &str| {
        let headers = [(name, value)];
        call(gateway.address, "POST", path, &headers, &whole)
    };
    let item = |rest: &str| ask(&format!(r#"{{"model":"caption"{rest}}}"#));
    let table = [
        (ask(""), 400, "malformed_body"),
        (ask("{"), 400, "malformed_body"),
        (ask("[]"), 400, "malformed_body"),
        (ask("{}"), 400, "missing_field"),
        (item(""), 400, "missing_field"),
        (
            item(r#","prompt":"x","max_tokens":0"#),
            400,
            "bad_max_tokens",
        ),
        (
            item(r#","prompt":"x","max_tokens":-1"#),
            400,
            "bad_max_tokens",
        ),
        (item(r#","prompt":"x","stream":1"#), 400, "malformed_body"),
        (ask(&unknown), 404, "unknown_service"),
        (huge, 413, "body_too_large"),
        (with("x-repeatable", "maybe"), 400, "bad_repeatable"),
        (
            with("x-repeatable", "false"),
            400,
            "missing_idempotency_key",
        ),
        (with("x-tenant", ""), 400, "bad_tenant"),
        (
            post(gateway.address, "/v1/chat/completions", &whole),
            400,
            "missing_field",
        ),
        (get(gateway.address, path), 404, "unknown_path"),
        (
            get(gateway.address, "/services/nobody/x"),
            404,
            "unknown_service",
        ),
    ];
    for (answer, status, code) in table {
        assert_eq!(answer.status, status, "{code}: {answer:?}");
        assert_eq!(answer.code(), code, "{answer:?}");
        assert_eq!(answer.outcome(), "not-run", "{answer:?}");
        assert_eq!(
            answer.header("x-run-outcome"),
            Some("not-run"),
            "{answer:?}"
        );
    }
}

#[test]
fn an_incomplete_request_runs_nothing_and_blocks_no_others() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let body = completion("half sent", 2, false);
    let text = request_text("POST", "/v1/completions", &[], &body);
    for cut in [1, 20, text.len() / 2, text.len() - 1] {
        let stream = open(gateway.address, &text.as_bytes()[..cut]).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        let answer = read_to_end(stream);
        assert_ne!(answer.status, 200, "{answer:?}");
        assert_eq!(complete(gateway.address, "in between", 2).status, 200);
    }
    let digest = digest_of(b"half sent");
    for member in &world.fleet.members {
        assert_eq!(member.handle.executions().of_prompt(digest).started, 0);
    }
}

#[test]
fn a_slowly_sent_request_is_served() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let body = completion("slowly sent", 2, false);
    let text = request_text("POST", "/v1/completions", &[], &body);
    let mut stream = open(gateway.address, b"").unwrap();
    for piece in text.as_bytes().chunks(40) {
        stream.write_all(piece).unwrap();
        std::thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(
        read_to_end(stream).text(),
        expected_answer("slowly sent", 2)
    );
}

#[test]
fn a_caller_that_leaves_frees_its_engine() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let body = completion("left behind", 2_000, true);
    let text = request_text("POST", "/v1/completions", &[], &body);
    let stream = open(gateway.address, text.as_bytes()).unwrap();
    let digest = digest_of(b"left behind");
    let started = || {
        let members = world.fleet.members.iter();
        let counts = members.map(|member| member.handle.executions().of_prompt(digest).started);
        counts.sum::<u32>()
    };
    wait_for("a running request", || started() == 1);
    drop(stream);
    wait_for("a cancelled attempt", || {
        let metrics = get(gateway.address, "/metrics").body;
        metrics.contains("molespan_gateway_cancelled_total 1")
    });
    wait_for("an idle engine", || {
        world.fleet.members.iter().all(|member| {
            let load = get(member.address, "/load").json_value();
            load["online_running"] == 0
        })
    });
}

#[test]
fn an_application_request_is_passed_through_unchanged() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let answer = call(
        gateway.address,
        "PUT",
        "/services/albums/families/7?page=2",
        &[("x-tenant", "kebele-4")],
        "a listing",
    );
    assert_eq!(answer.status, 200, "{answer:?}");
    let echo: EchoBody = serde_json::from_str(&answer.body).unwrap();
    assert_eq!(echo.method, "PUT");
    assert_eq!(echo.path, "/families/7?page=2");
    let digest = molespan_emulator::application::echo_digest("PUT", &echo.path, b"a listing");
    assert_eq!(echo.digest, digest);
}

#[test]
fn a_failed_application_request_is_retried_only_where_that_is_safe() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let application = world.fleet.members.last().unwrap();
    let table = [
        ("GET", AnswerFault::Truncated, "unknown"),
        ("POST", AnswerFault::Truncated, "unknown"),
        ("POST", AnswerFault::Crossed, "unknown"),
        ("POST", AnswerFault::AcceptThenDie, "unknown"),
        ("POST", AnswerFault::DuplicatedAnswer, ""),
        ("POST", AnswerFault::Late { millis: 50 }, ""),
    ];
    for (row, (method, fault, outcome)) in table.into_iter().enumerate() {
        application.handle.set_faults(FaultSettings {
            answers: vec![AnswerFaultRule {
                fault,
                probability: 1.0,
                remaining: Some(1),
            }],
            ..FaultSettings::default()
        });
        let path = format!("/services/albums/row/{row}");
        let answer = call(gateway.address, method, &path, &[], "x");
        assert_eq!(answer.outcome(), outcome, "{fault:?}: {answer:?}");
        let echoed = format!("/row/{row}");
        let digest = molespan_emulator::application::echo_digest(method, &echoed, b"x");
        let count = application.handle.executions().of_prompt(digest);
        assert_eq!(count.started, 1, "{fault:?}");
        world.wait_until_healthy(&gateway);
    }
}

#[test]
fn a_tenant_above_its_rate_is_refused_at_once() {
    let world = World::start(&small_fleet());
    let gateway = world.gateway(11);
    let limits = TenantLimits {
        requests_per_second: 1,
        burst: 2,
        batch_weight: 1,
    };
    let name = TenantId::from("busy");
    world.confirm(2, 1, vec![Change::PutTenant { name, limits }]);
    wait_for("the new version", || {
        get(gateway.address, "/ready").json_value()["version"] == 2
    });
    let body = completion("often", 1, false);
    let headers = [("x-tenant", "busy")];
    let ask = || call(gateway.address, "POST", "/v1/completions", &headers, &body);
    assert_eq!(ask().status, 200);
    assert_eq!(ask().status, 200);
    let refused = ask();
    assert_eq!(refused.status, 429, "{refused:?}");
    assert_eq!(refused.code(), "tenant_rate");
    assert_eq!(refused.outcome(), "not-run");
    assert!(refused.header("retry-after").is_some());
    assert_eq!(complete(gateway.address, "others", 1).status, 200);
}

#[test]
fn a_full_queue_refuses_at_once_and_the_rest_is_served() {
    let settings = small_fleet();
    let world = World::start(&settings);
    let gateway = world.gateway(11);
    let service = Service {
        max_concurrency: 1,
        max_queue: 1,
        queue_timeout_ms: 60_000,
        ..completion_service(&settings)
    };
    let name = caption();
    world.confirm(2, 1, vec![Change::PutService { name, service }]);
    wait_for("the new version", || {
        get(gateway.address, "/ready").json_value()["version"] == 2
    });
    let address = gateway.address;
    let asking: Vec<_> = (0..6)
        .map(|number| std::thread::spawn(move || complete(address, &format!("crowd {number}"), 60)))
        .collect();
    let answers: Vec<_> = asking.into_iter().map(|one| one.join().unwrap()).collect();
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert!(served >= 2, "{answers:?}");
    for refused in answers.iter().filter(|answer| answer.status != 200) {
        assert_eq!(refused.code(), "queue_full", "{refused:?}");
        assert!(refused.header("retry-after").is_some(), "{refused:?}");
    }
    assert!(served < 6, "{answers:?}");
}
