//! End-to-end tests of every command against a fleet.

mod support;

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use molespan_cli::{Call, Client, DemoFleet};
use serde_json::Value;
use support::{molespan, text};
use tempfile::TempDir;

/// Timeout for every wait.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Kinds accepted by `get`.
const KINDS: [&str; 12] = [
    "services",
    "models",
    "adapters",
    "tenants",
    "policy",
    "versions",
    "backends",
    "nodes",
    "jobs",
    "orders",
    "placement",
    "configuration",
];

/// Runs the binary against one fleet.
struct Session<'a> {
    folder: &'a Path,
    gateways: String,
}

impl Session<'_> {
    /// Returns the exit code and standard output of one command.
    fn run(&self, line: &str) -> (Option<i32>, String) {
        let mut arguments: Vec<&str> = line.split_whitespace().collect();
        arguments.extend(["--gateway", &self.gateways]);
        let output = molespan(self.folder, &arguments);
        let stdout = text(&output.stdout);
        (
            output.status.code(),
            format!("{stdout}{}", text(&output.stderr)),
        )
    }

    /// Returns the standard output of a command that must succeed.
    fn succeed(&self, line: &str) -> String {
        let (code, printed) = self.run(line);
        assert_eq!(code, Some(0), "{line}: {printed}");
        printed
    }

    /// Retries a command until it succeeds, because the fleet may still be starting.
    fn eventually(&self, line: &str) -> String {
        let started = Instant::now();
        loop {
            let (code, printed) = self.run(line);
            if code == Some(0) {
                return printed;
            }
            assert!(started.elapsed() < TIMEOUT, "{line}: {code:?}: {printed}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Returns the JSON output of a command that must succeed.
    fn json(&self, line: &str) -> Value {
        let printed = self.succeed(&format!("{line} --json"));
        let first = printed.lines().next().expect("a line");
        serde_json::from_str(first).expect("JSON")
    }
}

#[test]
fn every_command_works_against_a_fleet() {
    let fleet = DemoFleet::start().expect("the fleet starts");
    let folder = TempDir::new().expect("a folder");
    let gateways = fleet.gateway_addresses();
    let session = Session {
        folder: folder.path(),
        gateways: list(&gateways),
    };
    plan_and_apply(&session);
    show_every_kind(&session);
    run_a_job(&session, folder.path());
    watch(&session);
    watch_a_replica(&fleet, folder.path());
    check_metrics(&fleet);
}

/// Checks that every metric of every node is documented for operators.
fn check_metrics(fleet: &DemoFleet) {
    let page = include_str!("../../../docs/OPERATIONS.md");
    for address in fleet.node_addresses() {
        let client = Client::new(vec![address]);
        let text = async_io::block_on(client.text(&Call::get("/metrics"))).expect("metrics");
        let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
        let names: Vec<&str> = types.filter_map(|line| line.split(' ').next()).collect();
        assert!(!names.is_empty(), "{text}");
        for name in names {
            let explained = [format!("| `{name}` |"), format!("| `{name}{{")];
            let found = explained.iter().any(|start| page.contains(start));
            assert!(found, "{name} is not explained");
        }
    }
}

fn list(gateways: &[SocketAddr]) -> String {
    let gateways: Vec<String> = gateways.iter().map(SocketAddr::to_string).collect();
    gateways.join(",")
}

/// Checks that a plan changes nothing, and that confirming it twice returns the same result.
fn plan_and_apply(session: &Session<'_>) {
    session.eventually("get configuration");
    let (code, printed) = session.run("plan --set service.caption.model=missing");
    assert_eq!(code, Some(3), "{printed}");
    assert!(printed.contains("unknown model missing"), "{printed}");
    let plan = "plan --set model.caption.version=1 --set service.caption.model=caption \
                --set service.caption.replicas=8 --save intent.json --number 9";
    let printed = session.succeed(plan);
    assert!(printed.contains("create service caption"), "{printed}");
    assert_eq!(session.json("get configuration")["version"], 0);
    let printed = session.succeed("apply 9");
    assert!(printed.contains("in force as version 1"), "{printed}");
    let printed = session.succeed("apply intent.json --yes");
    assert!(printed.contains("in force as version 1"), "{printed}");
    assert_eq!(session.json("get configuration")["version"], 1);
    let (code, printed) = session.run("plan --set policy.tail_protection=80 --number 9");
    assert_eq!(code, Some(0), "{printed}");
    let (code, printed) = session.run("apply 9");
    assert_eq!(code, Some(1), "{printed}");
    assert!(printed.contains("taken by ana"), "{printed}");
}

fn show_every_kind(session: &Session<'_>) {
    for kind in KINDS {
        let table = session.succeed(&format!("get {kind}"));
        assert!(!table.trim().is_empty(), "{kind}");
        let listing = session.json(&format!("get {kind}"));
        assert!(
            listing.is_array() || listing.is_object(),
            "{kind}: {listing}"
        );
    }
    let engines = session.json("get backends");
    assert_eq!(engines.as_array().map(Vec::len), Some(11));
}

fn run_a_job(session: &Session<'_>, folder: &Path) {
    let items: String = (0..20)
        .map(|item| format!("{{\"prompt\":\"photograph {item}\",\"max_tokens\":4}}\n"))
        .collect();
    std::fs::write(folder.join("items.jsonl"), items).expect("written");
    let submit = "jobs --tenant hall-1 submit items.jsonl --service caption --key display";
    session.eventually(submit);
    let printed = session.succeed(&format!("{submit} --wait --json"));
    let job = printed.lines().find(|line| line.starts_with('{'));
    let job: Value = serde_json::from_str(job.expect("a job")).expect("JSON");
    assert_eq!(job["completed"], 20);
    let id = job["id"].as_str().expect("an id");
    session.succeed(&format!("jobs results {id} -o results.jsonl"));
    let results = std::fs::read_to_string(folder.join("results.jsonl")).expect("results");
    assert_eq!(results.lines().count(), 20);
    assert!(session.succeed("jobs list").contains(id));
    std::fs::write(folder.join("items.jsonl"), "{\"prompt\":\"other\"}\n").expect("written");
    let (code, printed) = session.run(submit);
    assert_eq!(code, Some(1), "{printed}");
    assert!(printed.contains("key_conflict"), "{printed}");
    let printed = session.run("jobs status job-0000000000000000");
    assert_eq!(printed.0, Some(1), "{}", printed.1);
    let cancelled = session.run(&format!("jobs cancel {id}"));
    assert!(
        cancelled.0 == Some(0) || cancelled.1.contains("wrong_phase"),
        "{}",
        cancelled.1
    );
}

/// Checks that the event stream of a replica reports the leader.
fn watch_a_replica(fleet: &DemoFleet, folder: &Path) {
    let replica = fleet.node_addresses()[0].to_string();
    let line = [
        "watch",
        "--kind",
        "replication",
        "--subject",
        "group 0",
        "--history",
        "1000",
        "--count",
        "1",
        "--gateway",
        &replica,
    ];
    let output = molespan(folder, &line);
    let printed = text(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{printed}");
    assert!(printed.contains("leads"), "{printed}");
}

fn watch(session: &Session<'_>) {
    let printed = session.succeed("watch --kind plan --kind job --history 100000 --count 3");
    assert!(printed.contains("intent 9"), "{printed}");
}
