//! The engine's HTTP interface and each of its faults.

#[allow(dead_code)]
mod support;

use std::time::Duration;

use molespan_emulator::engine::ExecutionCount;
use molespan_emulator::expected_answer;
use molespan_emulator::faults::{AnswerFault, AnswerFaultRule, EngineFaults, FaultSettings};
use molespan_engine_api::{
    CacheEventPage, CompletionChunk, CompletionResponse, ErrorBody, FinishReason, KvBlockExport,
    LoadReport, OrderReply, RequestState, RequestStatus, block_hashes, token_ends,
};
use molespan_types::RunOutcome;
use support::wait_for;
use support::{RawResponse, TestFleet, call, completion, exchange, request_text, small_settings};

const ONLINE: (&str, &str) = ("x-priority", "online");

fn complete(fleet: &TestFleet, attempt: &str, body: &str) -> RawResponse {
    let headers = [("x-request-id", attempt), ONLINE];
    call(fleet.engine(), "POST", "/v1/completions", &headers, body)
}

fn text_of(response: &RawResponse) -> (String, String) {
    let body: CompletionResponse = response.json();
    let text = body.choices[0].text.clone().unwrap_or_default();
    (body.id, text)
}

fn executions(fleet: &TestFleet, attempt: &str) -> ExecutionCount {
    let path = format!("/emulator/executions?attempt={attempt}");
    call(fleet.engine(), "GET", &path, &[], "").json()
}

fn set_faults(fleet: &TestFleet, faults: &FaultSettings) {
    let body = serde_json::to_string(faults).unwrap();
    let reply = call(fleet.engine(), "POST", "/emulator/faults", &[], &body);
    assert_eq!(reply.status, 200, "{reply:?}");
}

fn once(fault: AnswerFault) -> FaultSettings {
    FaultSettings {
        answers: vec![AnswerFaultRule {
            fault,
            probability: 1.0,
            remaining: Some(1),
        }],
        ..FaultSettings::default()
    }
}

#[test]
fn plain_completion() {
    let fleet = TestFleet::start(&small_settings());
    let response = complete(&fleet, "a-1", &completion("a red barn", 5, false));
    assert_eq!(response.status, 200);
    assert_eq!(response.header("x-request-id"), Some("a-1"));
    assert_eq!(response.header("x-incarnation"), Some("1"));
    let expected = ("a-1".to_owned(), expected_answer("a red barn", 5));
    assert_eq!(text_of(&response), expected);
    let body: CompletionResponse = response.json();
    assert_eq!(body.usage.completion_tokens, 5);
    assert_eq!(body.choices[0].finish_reason, Some(FinishReason::Length));
}

#[test]
fn chat_completion() {
    let fleet = TestFleet::start(&small_settings());
    let body = r#"{"model":"caption","messages":[{"role":"user","content":"hi"}],"max_tokens":3}"#;
    let address = fleet.engine();
    let response = call(address, "POST", "/v1/chat/completions", &[ONLINE], body);
    let body: CompletionResponse = response.json();
    let message = body.choices[0].message.clone().unwrap();
    assert_eq!(message.role, "assistant");
    assert_eq!(message.content, expected_answer("user: hi\n", 3));
}

fn streamed(response: &RawResponse) -> (Vec<u32>, String) {
    let events = response.events();
    let (done, chunks) = events.split_last().unwrap();
    assert_eq!(*done, "[DONE]");
    let chunks: Vec<CompletionChunk> = chunks
        .iter()
        .map(|chunk| serde_json::from_str(chunk).unwrap())
        .collect();
    let last = chunks.last().unwrap();
    assert_eq!(last.finish_reason, Some(FinishReason::Length));
    assert!(last.usage.is_some());
    let offsets = chunks.iter().map(|chunk| chunk.offset).collect();
    (
        offsets,
        chunks.into_iter().map(|chunk| chunk.text).collect(),
    )
}

#[test]
fn streamed_completion_and_resumption() {
    let fleet = TestFleet::start(&small_settings());
    let response = complete(&fleet, "a-1", &completion("p", 6, true));
    let whole = expected_answer("p", 6);
    assert_eq!(streamed(&response), ((0..6).collect(), whole.clone()));
    let path = "/v1/requests/a-1/stream?offset=4";
    let resumed = call(fleet.engine(), "GET", path, &[], "");
    assert_eq!(resumed.header("x-resume-offset"), Some("4"));
    let (offsets, text) = streamed(&resumed);
    assert_eq!(offsets, vec![4, 5]);
    assert!(whole.ends_with(&text));
    assert_eq!(executions(&fleet, "a-1").started, 1);
}

#[test]
fn pause_resume_cancel_and_status() {
    let fleet = TestFleet::start(&small_settings());
    let address = fleet.engine();
    let body = completion("p", 20_000, false);
    let waiting = std::thread::spawn(move || {
        let headers = [("x-request-id", "a-1"), ("x-priority", "batch")];
        call(address, "POST", "/v1/completions", &headers, &body)
    });
    let status = || call(address, "GET", "/v1/requests/a-1", &[], "");
    wait_for("start", || {
        let response = status();
        (response.status == 200).then_some(())
    });
    let paused: RequestStatus = call(address, "POST", "/v1/requests/a-1/pause", &[], "").json();
    assert_eq!(paused.state, RequestState::Paused);
    let resumed: RequestStatus = call(address, "POST", "/v1/requests/a-1/resume", &[], "").json();
    assert_ne!(resumed.state, RequestState::Paused);
    let cancelled: RequestStatus = call(address, "DELETE", "/v1/requests/a-1", &[], "").json();
    assert_eq!(cancelled.state, RequestState::Cancelled);
    let answer = waiting.join().unwrap();
    assert_eq!(answer.status, 409);
    assert_eq!(answer.json::<ErrorBody>().error.code, "cancelled");
    let later: RequestStatus = status().json();
    assert_eq!(later.generated, cancelled.generated);
}

/// A request that is rejected, with the expected status and error.
struct Refused {
    name: &'static str,
    path: &'static str,
    body: String,
    status: u16,
    code: &'static str,
    outcome: RunOutcome,
}

#[test]
fn refusals_are_typed() {
    let fleet = TestFleet::start(&small_settings());
    complete(&fleet, "done", &completion("p", 1, false));
    let refused = |name, body: &str, status, code, outcome| Refused {
        name,
        path: "/v1/completions",
        body: body.to_owned(),
        status,
        code,
        outcome,
    };
    let cases = [
        refused("malformed", "{", 400, "malformed", RunOutcome::NotRun),
        refused(
            "other model",
            r#"{"model":"other","prompt":"p"}"#,
            404,
            "model_not_loaded",
            RunOutcome::NotRun,
        ),
        refused(
            "other adapter",
            r#"{"model":"caption","prompt":"p","adapter":"x"}"#,
            404,
            "adapter_not_loaded",
            RunOutcome::NotRun,
        ),
        refused(
            "too large",
            &completion("p", 4_000_000, false),
            413,
            "too_large",
            RunOutcome::NotRun,
        ),
        refused(
            "done",
            &completion("p", 1, false),
            409,
            "duplicate_attempt",
            RunOutcome::Completed,
        ),
    ];
    for case in cases {
        let headers = [("x-request-id", case.name), ONLINE];
        let response = call(fleet.engine(), "POST", case.path, &headers, &case.body);
        assert_eq!(response.status, case.status, "{}", case.name);
        assert_eq!(
            response.header("x-run-outcome"),
            Some(case.outcome.to_string().as_str())
        );
        let error = response.json::<ErrorBody>().error;
        assert_eq!(
            (error.code.as_str(), error.outcome),
            (case.code, case.outcome)
        );
    }
    let unknown = call(fleet.engine(), "GET", "/v1/requests/never", &[], "");
    assert_eq!(unknown.status, 404);
    let error = unknown.json::<ErrorBody>().error;
    assert_eq!(error.outcome, RunOutcome::NotRun);
}

#[test]
fn orders_are_fenced() {
    let mut settings = small_settings();
    settings.load_bytes_per_second = u64::MAX;
    let fleet = TestFleet::start(&settings);
    let load = r#""action":"load_model","model":"summary","version":1"#;
    let leave = r#""action":"leave""#;
    // Columns: token, incarnation, action, status, highest token afterwards.
    let cases = [
        (5, 1, load, 200, 5),
        (5, 1, load, 200, 5),
        (5, 1, leave, 409, 5),
        (4, 1, leave, 409, 5),
        (6, 2, leave, 409, 5),
        (6, 1, leave, 200, 6),
        (5, 1, load, 200, 6),
    ];
    for (token, incarnation, action, status, highest) in cases {
        let body = format!(r#"{{"token":{token},"incarnation":{incarnation},{action}}}"#);
        let response = call(fleet.engine(), "POST", "/orders", &[], &body);
        assert_eq!(response.status, status, "{body}");
        let reply: OrderReply = response.json();
        assert_eq!(reply.accepted, status == 200, "{body}");
        assert_eq!(reply.highest_token.0, highest, "{body}");
    }
    wait_for("loaded model", || {
        let report: LoadReport = call(fleet.engine(), "GET", "/load", &[], "").json();
        let loaded = report.models.contains(&"summary".to_owned());
        (loaded && report.leaving).then_some(())
    });
    let refused = complete(&fleet, "late", &completion("p", 1, false));
    assert_eq!(refused.status, 503);
    assert_eq!(refused.json::<ErrorBody>().error.code, "leaving");
}

#[test]
fn cache_events_and_blocks() {
    let mut settings = small_settings();
    settings.engine.cache_event_loss = 0.0;
    let fleet = TestFleet::start(&settings);
    let prompt = "one two three four five six seven ".repeat(4);
    complete(&fleet, "a", &completion(&prompt, 1, false));
    let hashes = block_hashes(&prompt, &token_ends(&prompt));
    let page = wait_for("cache events", || {
        let page: CacheEventPage =
            call(fleet.engine(), "GET", "/cache/events?after=0", &[], "").json();
        (page.events.len() == hashes.len()).then_some(page)
    });
    let last = page.events.last().unwrap();
    let path = format!("/cache/events?after={}", last.sequence);
    let rest: CacheEventPage = call(fleet.engine(), "GET", &path, &[], "").json();
    assert_eq!(rest.events, vec![]);
    let path = format!("/kv/export?prefix={}", last.prefix_hash);
    let export: KvBlockExport = call(fleet.engine(), "GET", &path, &[], "").json();
    assert_eq!(export.prefix_hashes, hashes);

    let other = TestFleet::start(&settings);
    let body = serde_json::to_string(&export).unwrap();
    let import = call(other.engine(), "POST", "/kv/import", &[], &body);
    assert_eq!(import.body, format!(r#"{{"stored":{}}}"#, hashes.len()));
    let warm = complete(&other, "b", &completion(&prompt, 1, false));
    assert!(warm.json::<CompletionResponse>().usage.cached_tokens > 0);
}

/// An answer fault and its effect on the client.
struct FaultCase {
    fault: AnswerFault,
    stream: bool,
    /// Whether the engine runs the request.
    runs: bool,
    check: fn(&RawResponse),
}

#[test]
fn answer_faults() {
    let cases = [
        FaultCase {
            fault: AnswerFault::Late { millis: 30 },
            stream: false,
            runs: true,
            check: |response| assert!(response.is_whole()),
        },
        FaultCase {
            fault: AnswerFault::Crossed,
            stream: false,
            runs: true,
            check: |response| {
                assert!(response.is_whole());
                let (id, text) = text_of(response);
                assert_eq!(response.header("x-request-id"), Some(id.as_str()));
                assert!(id.starts_with("other-"));
                assert_eq!(text, expected_answer("q", 4));
            },
        },
        FaultCase {
            fault: AnswerFault::Crossed,
            stream: true,
            runs: true,
            check: |response| {
                assert!(response.body.contains(r#""id":"other-"#));
                assert_eq!(streamed(response).1, expected_answer("q", 4));
            },
        },
        FaultCase {
            fault: AnswerFault::Truncated,
            stream: false,
            runs: true,
            check: |response| {
                assert_eq!(response.status, 200);
                assert!(!response.is_whole() && !response.body.is_empty());
            },
        },
        FaultCase {
            fault: AnswerFault::Truncated,
            stream: true,
            runs: true,
            check: |response| {
                assert_eq!(response.events().len(), 2);
                assert!(!response.is_whole());
            },
        },
        FaultCase {
            fault: AnswerFault::DuplicatedEvent,
            stream: true,
            runs: true,
            check: |response| {
                assert_eq!(streamed(response).0, vec![0, 1, 2, 2, 3]);
            },
        },
        FaultCase {
            fault: AnswerFault::DuplicatedAnswer,
            stream: false,
            runs: true,
            check: |response| {
                assert_eq!(response.body.matches("HTTP/1.1 200").count(), 1);
            },
        },
        FaultCase {
            fault: AnswerFault::CutRequest { bytes: 0 },
            stream: false,
            runs: false,
            check: |response| assert_eq!(response.status, 0),
        },
        FaultCase {
            fault: AnswerFault::CutRequest { bytes: 170 },
            stream: false,
            runs: false,
            check: |response| assert_eq!(response.status, 0),
        },
        FaultCase {
            fault: AnswerFault::CutResponse { bytes: 0 },
            stream: false,
            runs: true,
            check: |response| assert_eq!((response.status, response.body.len()), (0, 0)),
        },
        FaultCase {
            fault: AnswerFault::CutResponse { bytes: 40 },
            stream: false,
            runs: true,
            check: |response| assert_eq!((response.status, response.body.len()), (0, 40)),
        },
        FaultCase {
            fault: AnswerFault::AcceptThenDie,
            stream: false,
            runs: true,
            check: |response| assert_eq!(response.status, 0),
        },
    ];
    let fleet = TestFleet::start(&small_settings());
    for (number, case) in cases.iter().enumerate() {
        let other = format!("other-{number}");
        complete(&fleet, &other, &completion("q", 4, false));
        set_faults(&fleet, &once(case.fault));
        let attempt = format!("a-{number}");
        let response = complete(&fleet, &attempt, &completion("p", 4, case.stream));
        (case.check)(&response);
        if case.runs {
            wait_for("execution", || {
                let count = executions(&fleet, &attempt);
                (count.started == 1 && count.completed == 1).then_some(())
            });
        } else {
            assert_eq!(executions(&fleet, &attempt).started, 0, "{:?}", case.fault);
        }
    }
}

#[test]
fn a_request_cut_at_any_byte_does_not_run() {
    let fleet = TestFleet::start(&small_settings());
    let headers = [("x-request-id", "cut"), ONLINE];
    let length = request_text(
        "POST",
        "/v1/completions",
        &headers,
        &completion("p", 1, false),
    )
    .len();
    for bytes in (0..length as u64).step_by(7) {
        set_faults(&fleet, &once(AnswerFault::CutRequest { bytes }));
        let response = complete(&fleet, "cut", &completion("p", 1, false));
        assert_eq!(response.status, 0, "cut after {bytes}");
    }
    assert_eq!(executions(&fleet, "cut").started, 0);
    set_faults(&fleet, &FaultSettings::default());
    assert_eq!(
        complete(&fleet, "cut", &completion("p", 1, false)).status,
        200
    );
}

#[test]
fn refuse_and_recover() {
    let fleet = TestFleet::start(&small_settings());
    let refuse = FaultSettings {
        engine: EngineFaults {
            refuse: true,
            ..EngineFaults::default()
        },
        ..FaultSettings::default()
    };
    set_faults(&fleet, &refuse);
    let refused = complete(&fleet, "a", &completion("p", 1, false));
    assert_eq!(refused.status, 503);
    assert_eq!(refused.header("retry-after"), Some("1"));
    assert_eq!(refused.header("x-run-outcome"), Some("not-run"));
    set_faults(&fleet, &FaultSettings::default());
    assert_eq!(
        complete(&fleet, "a", &completion("p", 1, false)).status,
        200
    );
}

#[test]
fn a_frozen_engine_answers_once_unfrozen() {
    let fleet = TestFleet::start(&small_settings());
    let frozen = FaultSettings {
        engine: EngineFaults {
            frozen: true,
            ..EngineFaults::default()
        },
        ..FaultSettings::default()
    };
    set_faults(&fleet, &frozen);
    let address = fleet.engine();
    let waiting = std::thread::spawn(move || {
        call(
            address,
            "POST",
            "/v1/completions",
            &[ONLINE],
            &completion("p", 1, false),
        )
    });
    std::thread::sleep(Duration::from_millis(100));
    assert!(!waiting.is_finished());
    set_faults(&fleet, &FaultSettings::default());
    assert_eq!(waiting.join().unwrap().status, 200);
}

#[test]
fn a_crash_closes_connections_and_starts_a_new_incarnation() {
    let fleet = TestFleet::start(&small_settings());
    let address = fleet.engine();
    let waiting = std::thread::spawn(move || {
        let headers = [("x-request-id", "lost")];
        let body = completion("p", 20_000, true);
        call(address, "POST", "/v1/completions", &headers, &body)
    });
    wait_for("start", || {
        let status = call(address, "GET", "/v1/requests/lost", &[], "");
        (status.status == 200).then_some(())
    });
    call(address, "POST", "/emulator/crash", &[], r#"{"down_ms":50}"#);
    let broken = waiting.join().unwrap();
    assert!(!broken.is_whole());
    let report: LoadReport = wait_for("restart", || {
        let request = request_text("GET", "/load", &[], "");
        let reply = exchange(address, &request).ok()?;
        (reply.status == 200).then(|| reply.json())
    });
    assert_eq!(report.incarnation.0, 2);
    let status = call(address, "GET", "/v1/requests/lost", &[], "");
    assert_eq!(status.status, 404);
    assert_eq!(
        executions(&fleet, "lost").started,
        1,
        "execution counts survive a crash"
    );
}

#[test]
fn load_reports_can_be_scaled() {
    let fleet = TestFleet::start(&small_settings());
    let address = fleet.engine();
    let scaled_load = FaultSettings {
        engine: EngineFaults {
            load_scale: 0.0,
            ..EngineFaults::default()
        },
        ..FaultSettings::default()
    };
    let body = completion("p", 20_000, false);
    std::thread::spawn(move || call(address, "POST", "/v1/completions", &[ONLINE], &body));
    let running = || {
        let report: LoadReport = call(address, "GET", "/load", &[], "").json();
        report.online_running
    };
    wait_for("load", || (running() == 1).then_some(()));
    set_faults(&fleet, &scaled_load);
    assert_eq!(running(), 0);
}
