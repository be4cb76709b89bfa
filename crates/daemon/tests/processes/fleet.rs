//! Replica and gateway processes with emulated back ends in the test process.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use molespan_emulator::expected_answer;
use molespan_emulator::fleet::{Fleet, FleetSettings, Member};
use molespan_settings::Settings;
use molespan_types::{NodeId, digest_of};
use serde_json::{Value, json};

use super::client::{Answer, call, get, post};
use super::cluster::{Cluster, executor};
use super::wait_for;

/// Tokens of the answer to a job's item.
const ITEM_TOKENS: u32 = 3;

/// The node processes and the emulated back ends.
pub struct RunningFleet {
    pub cluster: Cluster,
    pub backends: Fleet,
}

impl RunningFleet {
    /// Starts three replicas, three gateways, four engines and one application
    /// back end, and configures their services.
    pub fn start() -> Self {
        Self::tuned(|_| {})
    }

    /// Like [`Self::start`], with changed settings of every node.
    pub fn tuned(change: impl Fn(&mut Settings)) -> Self {
        let executor = executor();
        let settings = FleetSettings {
            engines: 4,
            applications: 1,
            platform_lag_ms: 0,
            ..FleetSettings::archive()
        };
        let backends = Fleet::start(&executor, &settings).unwrap();
        let mut cluster = Cluster::with_gateways(executor, backends.platform_address);
        cluster.tune(change);
        cluster.start_all();
        let fleet = Self { cluster, backends };
        fleet.configure_services(&settings);
        for gateway in fleet.cluster.gateways() {
            fleet.wait_until_serving(gateway);
        }
        fleet
    }

    /// Plans and confirms the fleet's services, as an operator does.
    fn configure_services(&self, settings: &FleetSettings) {
        let service = |kind: &str, model: Option<&str>, batch: bool| {
            json!({
                "kind": kind, "model": model, "max_concurrency": 256, "max_queue": 256,
                "queue_timeout_ms": 5_000, "batch": batch, "replicas": 0,
            })
        };
        let model = settings.model.as_str();
        let changes = json!([
            {"change": "put_model", "name": model, "model": {"version": 1}},
            {"change": "put_service", "name": settings.service,
             "service": service("completion", Some(model), true)},
            {"change": "put_service", "name": settings.application_service,
             "service": service("application", None, false)},
        ]);
        self.confirm(self.cluster.gateways()[0], 1, &changes);
    }

    /// Plans and confirms changes as an operator does.
    pub fn confirm(&self, gateway: NodeId, number: u64, changes: &Value) {
        let gateway = self.address(gateway);
        let mut intent = json!({"number": number, "operator": "test", "changes": changes});
        let mut plan = Value::Null;
        wait_for("a plan", || {
            plan = post(gateway, "/admin/plans", &intent.to_string()).json_value();
            plan["base_version"].is_number()
        });
        assert_eq!(plan["problems"], json!([]), "{plan}");
        intent["base_version"] = plan["base_version"].clone();
        wait_for("a confirmed plan", || {
            let path = format!("/admin/plans/{number}/confirm");
            let answer = post(gateway, &path, &intent.to_string());
            answer.json_value()["result"] == "confirmed"
        });
    }

    /// Waits until a gateway is ready and considers every back end healthy.
    pub fn wait_until_serving(&self, gateway: NodeId) {
        let address = self.address(gateway);
        wait_for("a ready gateway", || {
            let ready = get(address, "/ready");
            ready.status == 200 && ready.json_value()["version"].as_u64() >= Some(1)
        });
        let members = self.backends.members.len();
        wait_for("known back ends", || {
            let backends = get(address, "/admin/backends").json_value();
            let backends = backends.as_array().cloned().unwrap_or_default();
            let usable = |backend: &&Value| {
                let loaded = backend["models"]
                    .as_array()
                    .is_some_and(|all| !all.is_empty());
                backend["state"] == "healthy" && (backend["kind"] != "engine" || loaded)
            };
            backends.iter().filter(usable).count() >= members
        });
    }

    /// Returns the address of a gateway for callers.
    pub fn address(&self, gateway: NodeId) -> SocketAddr {
        self.cluster.http_address(gateway)
    }

    /// Submits a job until a gateway accepts it; returns its identifier.
    pub fn submit(&self, gateway: NodeId, key: &str, items: u32) -> String {
        let path = format!("/v1/batches?service=caption&key={key}");
        let body: String = (0..items).map(item_line).collect();
        let mut id = String::new();
        wait_for("an accepted job", || {
            let answer = post(self.address(gateway), &path, &body);
            id = answer.json_value()["id"]
                .as_str()
                .unwrap_or_default()
                .to_owned();
            answer.status == 202
        });
        id
    }

    /// Returns a job as shown by a gateway.
    pub fn job(&self, gateway: NodeId, id: &str) -> Value {
        get(self.address(gateway), &format!("/v1/batches/{id}")).json_value()
    }

    /// Waits until at least `count` items of a job are completed.
    pub fn wait_for_items(&self, gateway: NodeId, id: &str, count: u64) {
        wait_for("completed items", || {
            self.job(gateway, id)["completed"].as_u64() >= Some(count)
        });
    }

    /// Waits until a job is completed and checks that each item has exactly one answer, its own.
    pub fn check_job(&self, gateway: NodeId, id: &str, items: u32) {
        wait_for("a completed job", || {
            self.job(gateway, id)["state"] == "completed"
        });
        let job = self.job(gateway, id);
        assert_eq!(job["completed"], items, "{job}");
        let answer = get(self.address(gateway), &format!("/v1/batches/{id}/results"));
        assert!(answer.whole, "{answer:?}");
        let results = read_results(&answer);
        assert_eq!(results.len(), items as usize);
        for (item, text) in results {
            assert_eq!(text, expected_answer(&item_prompt(item), ITEM_TOKENS));
        }
    }

    /// Returns how often engines started a prompt.
    pub fn runs_of(&self, prompt: &str) -> u32 {
        let digest = digest_of(prompt.as_bytes());
        let members = self.backends.members.iter();
        members
            .map(|one| one.handle.executions().of_prompt(digest).started)
            .sum()
    }

    /// Returns how often back ends started any request.
    pub fn runs(&self) -> u64 {
        self.backends.members.iter().map(started).sum()
    }
}

/// Returns how often a back end started any request.
pub fn started(member: &Member) -> u64 {
    let executions = member.handle.executions();
    let attempts = executions.attempts.values();
    attempts.map(|count| u64::from(count.started)).sum()
}

/// Sends a completion that runs at most once.
pub fn complete_once(address: SocketAddr, key: &str, prompt: &str, max_tokens: u32) -> Answer {
    let headers = [("x-repeatable", "false"), ("idempotency-key", key)];
    let body = json!({"model": "caption", "prompt": prompt, "max_tokens": max_tokens});
    let path = "/v1/completions";
    call(address, "POST", path, &headers, &body.to_string())
}

fn item_prompt(item: u32) -> String {
    format!("photo {item}")
}

fn item_line(item: u32) -> String {
    let prompt = item_prompt(item);
    format!("{{\"prompt\":\"{prompt}\",\"max_tokens\":{ITEM_TOKENS}}}\n")
}

/// Reads the texts by item; an item that occurs twice fails the test.
fn read_results(answer: &Answer) -> BTreeMap<u32, String> {
    let mut results = BTreeMap::new();
    for line in answer.body.lines() {
        let line: Value = serde_json::from_str(line).unwrap();
        assert_eq!(line["outcome"], "completed", "{line}");
        let item = line["item"].as_u64().unwrap() as u32;
        let text = line["text"].as_str().unwrap().to_owned();
        assert!(results.insert(item, text).is_none(), "item {item} twice");
    }
    results
}
