//! Requests sent to a gateway and the handling of each response.

mod support;

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;

use expect_test::{Expect, expect};
use molespan_http::{Response, ServerEvent, StatusCode, event_response, text_response};
use support::{FakeGateway, molespan, text};
use tempfile::TempDir;

const CONFIGURATION: &str = r#"{"version":12,"services":{},"models":{"caption":{"version":1}},
    "adapters":{},"tenants":{},"policy":{"tail_protection":50}}"#;
const PLAN: &str = r#"{"number":13,"base_version":12,"digest":7,"lines":[
    {"subject":"model caption","action":"update","effects":["version changes from 1 to 2"],
     "warnings":["8 engines load 400 MB each"]}],"problems":[]}"#;
const PROBLEM_PLAN: &str = r#"{"number":13,"base_version":12,"digest":7,"lines":[],
    "problems":[{"change":0,"message":"the model is used"}]}"#;
const JOB: &str = r#"{"id":"job-00000000000000aa","state":"running","items":2,"received":2,
    "completed":0,"failed":0,"unknown":0,"leased":0,"tenant":"hall-1","key":"k",
    "service":"caption","deadline_unix_seconds":9}"#;

/// Starts a gateway that returns a fixed status and body per path.
fn gateway(answers: &'static [(&'static str, u16, &'static str)]) -> FakeGateway {
    FakeGateway::start(move |request, _| {
        let path = request.url().path();
        let found = answers.iter().find(|(known, _, _)| *known == path);
        let (_, status, body) = found.copied().unwrap_or(("", 404, "no such path"));
        let status = StatusCode::try_from(status).expect("a status");
        text_response(status, body)
    })
}

/// Starts a gateway that reads a request and closes the connection without a response.
fn unresponsive_gateway() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut bytes = [0; 1024];
            let _ = stream.and_then(|mut stream| stream.read(&mut bytes));
        }
    });
    address
}

fn run(gateways: &[SocketAddr], arguments: &[&str]) -> (Option<i32>, String, String) {
    let folder = TempDir::new().expect("a folder");
    std::fs::write(
        folder.path().join("items.jsonl"),
        "{\"prompt\":\"a\"}\n{\"prompt\":\"b\"}\n",
    )
    .expect("written");
    let gateways: Vec<String> = gateways.iter().map(SocketAddr::to_string).collect();
    let mut line = arguments.to_vec();
    let list = gateways.join(",");
    line.extend(["--gateway", &list]);
    let output = molespan(folder.path(), &line);
    (
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr),
    )
}

#[test]
fn a_plan_is_shown_and_changes_nothing() {
    let gateway = gateway(&[
        ("/admin/configuration", 200, CONFIGURATION),
        ("/admin/plans", 200, PLAN),
    ]);
    let (code, stdout, stderr) = run(
        &[gateway.address],
        &["plan", "--set", "model.caption.version=2"],
    );
    assert_eq!(code, Some(0), "{stderr}");
    expect![[r#"
        Plan 13 against version 12
          update model caption
              version changes from 1 to 2
              warning: 8 engines load 400 MB each
        Nothing has changed. To put it in force: molespan apply 13
    "#]]
    .assert_eq(&stdout);
    expect![[r#"
        GET /admin/configuration
        POST /admin/plans"#]]
    .assert_eq(&gateway.requests().join("\n"));
}

#[test]
fn a_plan_with_problems_exits_with_3() {
    let gateway = gateway(&[
        ("/admin/configuration", 200, CONFIGURATION),
        ("/admin/plans", 200, PROBLEM_PLAN),
    ]);
    let (code, stdout, _) = run(&[gateway.address], &["plan", "--delete", "model.caption"]);
    assert_eq!(code, Some(3));
    expect![[r#"
        Plan 13 against version 12
          problem in change 0: the model is used
    "#]]
    .assert_eq(&stdout);
}

/// Checks the exit code and the output for one response to a confirmation.
fn check_confirmation(status: u16, body: &'static str, code: i32, expected: &Expect) {
    let gateway = FakeGateway::start(move |_, _| {
        text_response(StatusCode::try_from(status).expect("a status"), body)
    });
    let (found, stdout, stderr) = run(&[gateway.address], &["apply", "13"]);
    let printed = format!("{stdout}{stderr}");
    expected.assert_eq(&printed.replace(&gateway.address.to_string(), "GATEWAY"));
    assert_eq!(found, Some(code), "{body}");
    assert_eq!(gateway.requests(), ["POST /admin/plans/13/confirm"]);
}

#[test]
fn each_reply_to_a_confirmation_has_its_exit_code() {
    check_confirmation(
        200,
        r#"{"result":"confirmed","version":13}"#,
        0,
        &expect![[r#"
            Plan 13 is in force as version 13.
        "#]],
    );
    check_confirmation(
        200,
        r#"{"result":"number_taken","winner":"berhane","version":13,"digest":7}"#,
        1,
        &expect![[r#"
            Refused: number 13 was taken by berhane, in force as version 13. Plan again under another number.
        "#]],
    );
    check_confirmation(
        200,
        r#"{"result":"base_moved","current":14}"#,
        1,
        &expect![[r#"
            Refused: the configuration has moved on to version 14. Plan again.
        "#]],
    );
    check_confirmation(
        200,
        r#"{"result":"invalid","problems":[{"change":0,"message":"the model is used"}]}"#,
        3,
        &expect![[r#"
            Refused: the model is used.
        "#]],
    );
    check_confirmation(
        200,
        r#"{"result":"too_old","floor":20}"#,
        1,
        &expect![[r#"
        Refused: number 13 is too old to be remembered. Numbers from 20 on are.
    "#]],
    );
    check_confirmation(
        404,
        r#"{"error":{"code":"unknown_plan","message":"no such plan","outcome":"not-run"}}"#,
        1,
        &expect![[r#"
            molespan: no such plan (code unknown_plan, outcome not-run)
        "#]],
    );
    check_confirmation(
        503,
        r#"{"error":{"code":"state_unavailable","message":"no majority","outcome":"unknown",
            "retry_after_ms":500}}"#,
        5,
        &expect![[r#"
            molespan: no majority (code state_unavailable, outcome unknown); try again in 500 ms
        "#]],
    );
    check_confirmation(
        502,
        "bad gateway",
        5,
        &expect![[r#"
        molespan: unexpected answer from GATEWAY: status 502 without a readable reason: unexpected content: expected value at line 1 column 1
    "#]],
    );
}

#[test]
fn the_next_gateway_is_asked_when_one_is_away_or_loses_the_answer() {
    let closed = TcpListener::bind("127.0.0.1:0").expect("an address");
    let away = closed.local_addr().expect("an address");
    drop(closed);
    let silent = unresponsive_gateway();
    let gateway = gateway(&[("/admin/models", 200, r#"{"caption":{"version":1}}"#)]);
    let (code, stdout, _) = run(&[away, silent, gateway.address], &["get", "models"]);
    assert_eq!(code, Some(0));
    assert_eq!(stdout, "NAME     VERSION\ncaption  1\n");
    let (code, _, _) = run(&[away], &["get", "models"]);
    assert_eq!(code, Some(4), "nothing was sent");
    let (code, _, _) = run(&[away, silent], &["get", "models"]);
    assert_eq!(code, Some(5), "the answer was lost");
}

#[test]
fn a_job_is_submitted_with_its_key_and_items() {
    let gateway = FakeGateway::start(|request, body| {
        assert_eq!(body, "{\"prompt\":\"a\"}\n{\"prompt\":\"b\"}\n");
        let tenant = request
            .header("x-tenant")
            .map(|values| values.as_str().to_owned());
        assert_eq!(tenant.as_deref(), Some("hall-1"));
        text_response(StatusCode::Accepted, JOB)
    });
    let line = [
        "jobs",
        "--tenant",
        "hall-1",
        "submit",
        "items.jsonl",
        "--service",
        "caption",
        "--key",
        "display & more",
        "--deadline",
        "30min",
        "--not-repeatable",
    ];
    let (code, stdout, stderr) = run(&[gateway.address], &line);
    assert_eq!(code, Some(0), "{stderr}");
    expect![[r#"
        job-00000000000000aa: running, 0 of 2 items completed
    "#]]
    .assert_eq(&stdout);
    expect![
        "POST /v1/batches?service=caption&key=display+%26+more&deadline_ms=1800000&repeatable=false"
    ]
    .assert_eq(&gateway.requests().join("\n"));
}

/// Checks the exit code of waiting for a job whose state changes between polls.
fn check_wait(last_state: &'static str, completed: u32, code: i32) {
    let looks = AtomicU32::new(0);
    let gateway = FakeGateway::start(move |_, _| {
        let ended = looks.fetch_add(1, Ordering::Relaxed) >= 2;
        let state = if ended { last_state } else { "running" };
        let done = if ended { completed } else { 0 };
        let job = JOB.replace("running", state);
        text_response(
            StatusCode::Ok,
            job.replace("\"completed\":0", &format!("\"completed\":{done}")),
        )
    });
    let line = ["jobs", "status", "job-00000000000000aa", "--wait"];
    let (found, stdout, stderr) = run(&[gateway.address], &line);
    assert_eq!(found, Some(code), "{stdout}{stderr}");
    assert!(stdout.contains(last_state), "{stdout}");
    assert!(stderr.contains("running"), "progress is told: {stderr}");
}

#[test]
fn waiting_ends_with_the_job() {
    check_wait("completed", 2, 0);
    check_wait("completed", 1, 6);
    check_wait("cancelled", 0, 6);
}

#[test]
fn results_that_are_cut_short_are_an_error() {
    let gateway = FakeGateway::start(|_, _| {
        let (writer, response) = event_response(4);
        let line = b"{\"item\":0,\"outcome\":\"completed\",\"text\":\"a\"}\n".to_vec();
        // Dropping the writer truncates the response.
        async_io::block_on(writer.send_bytes(line)).expect("room for one line");
        response
    });
    let (code, _, stderr) = run(
        &[gateway.address],
        &["jobs", "results", "job-00000000000000aa"],
    );
    assert_eq!(code, Some(5), "{stderr}");
}

/// Starts a gateway whose event stream breaks after one event per connection.
fn gateway_with_breaking_stream() -> FakeGateway {
    let opened = AtomicU32::new(0);
    FakeGateway::start(move |_, _| -> Response {
        let sequence = 3 * opened.fetch_add(1, Ordering::Relaxed);
        let (writer, response) = event_response(4);
        let event = ServerEvent {
            name: "event".to_owned(),
            id: sequence.to_string(),
            data: format!(
                r#"{{"event":{{"sequence":{sequence},"at_unix_ms":45296789,"node":4,"kind":"route",
                "subject":"service caption","reason":"prefix is cached","inputs":[
                {{"name":"backend","value":3}},{{"name":"load","value":0.5}}]}}}}"#
            )
            .replace('\n', " "),
        };
        let gap = ServerEvent {
            name: "gap".to_owned(),
            id: String::new(),
            data: format!(
                r#"{{"gap":{{"first":{},"last":{}}}}}"#,
                sequence + 1,
                sequence + 2
            ),
        };
        for event in [&event, &gap] {
            async_io::block_on(writer.send(event)).expect("room for two events");
        }
        response
    })
}

#[test]
fn a_watch_shows_gaps_and_goes_on_after_a_break() {
    let gateway = gateway_with_breaking_stream();
    let line = [
        "watch",
        "--kind",
        "route",
        "--kind",
        "refuse",
        "--subject",
        "a b",
        "--history",
        "9",
        "--count",
        "2",
    ];
    let (code, stdout, stderr) = run(&[gateway.address], &line);
    assert_eq!(code, Some(0), "{stderr}");
    expect![[r#"
        12:34:56.789 node 4 route         service caption: prefix is cached [backend=3 load=0.5]
        ---- gap: 2 events of GATEWAY were lost ----
        12:34:56.789 node 4 route         service caption: prefix is cached [backend=3 load=0.5]
    "#]]
    .assert_eq(&stdout.replace(&gateway.address.to_string(), "GATEWAY"));
    assert!(stderr.contains("events may be missing"), "{stderr}");
    expect![[r#"
        GET /admin/events?kind=route%2Crefuse&subject=a+b&history=9
        GET /admin/events?kind=route%2Crefuse&subject=a+b&history=9"#]]
    .assert_eq(&gateway.requests().join("\n"));
}

#[test]
fn a_watch_as_json_has_an_object_a_line() {
    let gateway = gateway_with_breaking_stream();
    let (code, stdout, stderr) = run(&[gateway.address], &["watch", "--count", "2", "--json"]);
    assert_eq!(code, Some(0), "{stderr}");
    let mut keys = Vec::new();
    for line in stdout.lines() {
        let value: serde_json::Value = serde_json::from_str(line).expect("JSON");
        let fields = value.as_object().expect("an object").keys().cloned();
        keys.push(fields.collect::<Vec<String>>().join(" "));
    }
    expect![[r#"
        connected gateway
        event gateway
        gap gateway lost
        disconnected gateway
        connected gateway
        event gateway"#]]
    .assert_eq(&keys.join("\n"));
}
