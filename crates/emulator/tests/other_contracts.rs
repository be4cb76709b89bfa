//! HTTP interfaces and faults of application back ends, the platform list and the
//! weight store.

#[allow(dead_code)]
mod support;

use std::time::Duration;

use molespan_emulator::application::{EchoBody, echo_digest};
use molespan_emulator::engine::ExecutionCount;
use molespan_emulator::faults::{AnswerFault, AnswerFaultRule, EngineFaults, FaultSettings};
use molespan_emulator::fleet::{FleetSettings, model_weights};
use molespan_emulator::platform::PlatformCore;
use molespan_emulator::weight_store::{Fetch, WeightStoreCore};
use molespan_engine_api::{
    ErrorBody, LoadReport, Machine, MachineKind, MachineList, MachineState, WeightManifest,
};
use molespan_types::{BackendId, Incarnation, RunOutcome, Timestamp};
use support::{RawResponse, TestFleet, call, small_settings, wait_for};

fn set_application_faults(fleet: &TestFleet, faults: &FaultSettings) {
    let body = serde_json::to_string(faults).unwrap();
    let address = fleet.application();
    let reply = call(address, "POST", "/emulator/faults", &[], &body);
    assert_eq!(reply.status, 200, "{reply:?}");
}

fn application_executions(fleet: &TestFleet, attempt: &str) -> ExecutionCount {
    let path = format!("/emulator/executions?attempt={attempt}");
    call(fleet.application(), "GET", &path, &[], "").json()
}

#[test]
fn an_application_echoes_any_path_and_reports_its_load() {
    let fleet = TestFleet::start(&small_settings());
    let headers = [("x-request-id", "a-1")];
    let address = fleet.application();
    let response = call(address, "POST", "/albums/7?page=2", &headers, "body");
    assert_eq!(response.status, 200);
    assert_eq!(response.header("x-request-id"), Some("a-1"));
    let load: f64 = response.header("x-load").unwrap().parse().unwrap();
    assert!((0.0..=1.0).contains(&load));
    let echo: EchoBody = response.json();
    assert_eq!(echo.attempt, "a-1");
    assert_eq!(
        echo.digest,
        echo_digest("POST", "/albums/7?page=2", b"body")
    );
    let report: LoadReport = call(address, "GET", "/load", &[], "").json();
    assert_eq!(report.backend, BackendId(2));
    assert_eq!(application_executions(&fleet, "a-1").completed, 1);
}

/// An answer fault of an application back end and its effect on the client.
struct FaultCase {
    fault: AnswerFault,
    started: u32,
    check: fn(&RawResponse),
}

#[test]
fn application_answer_faults() {
    let cases = [
        FaultCase {
            fault: AnswerFault::Crossed,
            started: 1,
            check: |response| {
                let echo: EchoBody = response.json();
                assert_eq!(echo.attempt, "other");
                assert_eq!(response.header("x-request-id"), Some("other"));
            },
        },
        FaultCase {
            fault: AnswerFault::Truncated,
            started: 1,
            check: |response| assert!(!response.is_whole()),
        },
        FaultCase {
            fault: AnswerFault::DuplicatedAnswer,
            started: 1,
            check: |response| assert!(response.body.contains("HTTP/1.1 200")),
        },
        FaultCase {
            fault: AnswerFault::CutRequest { bytes: 30 },
            started: 0,
            check: |response| assert_eq!(response.status, 0),
        },
        FaultCase {
            fault: AnswerFault::AcceptThenDie,
            started: 1,
            check: |response| assert_eq!(response.status, 0),
        },
    ];
    for case in cases {
        let fleet = TestFleet::start(&small_settings());
        let send = |attempt| {
            let headers = [("x-request-id", attempt)];
            call(fleet.application(), "GET", "/albums", &headers, "")
        };
        send("other");
        let rule = AnswerFaultRule {
            fault: case.fault,
            probability: 1.0,
            remaining: Some(1),
        };
        let faults = FaultSettings {
            answers: vec![rule],
            ..FaultSettings::default()
        };
        set_application_faults(&fleet, &faults);
        (case.check)(&send("mine"));
        let count = application_executions(&fleet, "mine");
        assert_eq!(count.started, case.started, "{:?}", case.fault);
    }
}

#[test]
fn an_application_refuses_as_not_run() {
    let fleet = TestFleet::start(&small_settings());
    let refuse = EngineFaults {
        refuse: true,
        ..EngineFaults::default()
    };
    let faults = FaultSettings {
        engine: refuse,
        ..FaultSettings::default()
    };
    set_application_faults(&fleet, &faults);
    let headers = [("x-request-id", "a")];
    let response = call(fleet.application(), "GET", "/albums", &headers, "");
    assert_eq!(response.status, 503);
    assert_eq!(
        response.json::<ErrorBody>().error.outcome,
        RunOutcome::NotRun
    );
    assert_eq!(application_executions(&fleet, "a").started, 0);
}

fn machine(id: u32) -> Machine {
    Machine {
        id: BackendId(id),
        incarnation: Incarnation(1),
        kind: MachineKind::Engine,
        address: format!("127.0.0.1:{}", 4_000 + id),
        zone: "hall-1".into(),
        service: "caption".into(),
        state: MachineState::Live,
    }
}

#[test]
fn the_platform_list_lags_and_can_be_rewound() {
    let mut core = PlatformCore::new(Duration::from_secs(1), vec![machine(1)]);
    let at = Timestamp::from_millis;
    core.set_state(at(100), BackendId(1), MachineState::Leaving);
    core.set_machine(at(200), machine(2));
    // Columns: time in ms, revision, state of machine 1, number of machines.
    let cases = [
        (50, 1, MachineState::Live, 1),
        (1_099, 1, MachineState::Live, 1),
        (1_100, 2, MachineState::Leaving, 1),
        (1_200, 3, MachineState::Leaving, 2),
    ];
    for (millis, revision, state, machines) in cases {
        let list = core.served(at(millis));
        assert_eq!(list.revision, revision, "at {millis} ms");
        assert_eq!(list.machines[0].state, state, "at {millis} ms");
        assert_eq!(list.machines.len(), machines, "at {millis} ms");
    }
    core.rewind(at(3_000), 2);
    assert_eq!(core.served(at(2_000)).revision, 1);
    assert_eq!(core.served(at(3_000)).revision, 3);
    core.remove(at(4_000), BackendId(1));
    assert_eq!(core.served(at(5_000)).machines, vec![machine(2)]);
}

#[test]
fn the_platform_list_over_http() {
    let fleet = TestFleet::start(&small_settings());
    let address = fleet.fleet.platform_address;
    let list = || -> MachineList { call(address, "GET", "/machines", &[], "").json() };
    assert_eq!(list().machines, fleet.fleet.machines());
    let body = r#"{"id":1,"state":"leaving"}"#;
    call(address, "POST", "/emulator/machine/state", &[], body);
    let changed = list();
    assert_eq!(changed.revision, 2);
    assert_eq!(changed.machines[0].state, MachineState::Leaving);
    let body = r#"{"revisions":1,"for_ms":600000}"#;
    call(address, "POST", "/emulator/rewind", &[], body);
    assert_eq!(list().revision, 1);
    call(
        address,
        "POST",
        "/emulator/rewind",
        &[],
        r#"{"revisions":0,"for_ms":0}"#,
    );
    call(
        address,
        "POST",
        "/emulator/machine/remove",
        &[],
        r#"{"id":1}"#,
    );
    assert_eq!(list().machines.len(), 1);
    let malformed = call(address, "POST", "/emulator/machine", &[], "{}");
    assert_eq!(malformed.status, 400);
}

#[test]
fn the_weight_store_limits_its_rate() {
    let weights = vec![model_weights("m", 1, 1_000)];
    let mut store = WeightStoreCore::new(weights, 1_000, 1_500);
    let granted = Fetch::Granted(model_weights("m", 1, 1_000));
    let at = Timestamp::from_millis;
    assert_eq!(store.fetch(at(0), "other"), Fetch::Unknown);
    assert_eq!(store.fetch(at(0), "m"), granted);
    assert_eq!(store.fetch(at(0), "m"), granted);
    let Fetch::Limited(pause) = store.fetch(at(0), "m") else {
        panic!("a fetch with an exhausted budget must be limited");
    };
    assert!(matches!(store.fetch(at(400), "m"), Fetch::Limited(_)));
    assert_eq!(store.fetch(Timestamp::ZERO + pause, "m"), granted);
}

#[test]
fn the_weight_store_over_http() {
    let settings = FleetSettings {
        store_bytes_per_second: 1,
        store_burst_bytes: 1,
        ..small_settings()
    };
    let fleet = TestFleet::start(&settings);
    let address = fleet.fleet.weights_address;
    let first = call(address, "GET", "/weights/summary", &[], "");
    assert_eq!(first.json::<WeightManifest>().version, 1);
    let limited = call(address, "GET", "/weights/summary", &[], "");
    assert_eq!(limited.status, 429);
    assert!(limited.header("retry-after").is_some());
    assert!(limited.json::<ErrorBody>().error.retry_after_ms > Some(0));
    assert_eq!(call(address, "GET", "/weights/other", &[], "").status, 404);
}

#[test]
fn an_order_loads_a_model_from_the_weight_store() {
    let fleet = TestFleet::start(&FleetSettings {
        load_bytes_per_second: u64::MAX,
        ..small_settings()
    });
    let body = r#"{"token":1,"incarnation":1,"action":"load_model","model":"later","version":1}"#;
    let engine = fleet.engine();
    assert_eq!(call(engine, "POST", "/orders", &[], body).status, 200);
    let models = || {
        let report: LoadReport = call(engine, "GET", "/load", &[], "").json();
        report.models
    };
    assert_eq!(
        models(),
        vec!["caption"],
        "the store has no such weights yet"
    );
    fleet.fleet.weights.set(model_weights("later", 1, 10));
    wait_for("model", || {
        models().contains(&"later".to_owned()).then_some(())
    });
}
