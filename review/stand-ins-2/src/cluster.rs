//! The project's own programs as separate processes, on loopback addresses of their own.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{Answer, call};
use crate::{note, record};

/// Program of all roles in `deploy/system.toml`; the script runs at the root.
const PROGRAM: &str = "target/release/molespan-platform";
const INTERNAL_PORTS: [u16; 2] = [17_660, 17_661];
const FRONT_PORT: u16 = 17_144;
const READINESS_PORT: u16 = 17_140;
const CONTROL_PORT: u16 = 17_146;
const RESERVATION_PORT: u16 = 17_100;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    Gateway,
    Control,
    Store,
}

impl Role {
    fn name(self) -> &'static str {
        match self {
            Self::Gateway => "gateway",
            Self::Control => "control",
            Self::Store => "store",
        }
    }
}

pub struct Cluster {
    pub network: u8,
    pub folder: PathBuf,
    /// `graceS` of the deployment.
    grace_s: String,
    nodes: BTreeMap<(Role, u8), Child>,
    _reserved: TcpListener,
}

impl Cluster {
    /// Starts three control nodes, three stores and two gateways on empty disks.
    pub fn start(grace_s: &str) -> Option<Self> {
        let (network, reserved) = (1..=250u8).find_map(|network| {
            let address = (Ipv4Addr::new(127, network, 0, 1), RESERVATION_PORT);
            Some((network, TcpListener::bind(address).ok()?))
        })?;
        let folder = match std::env::var_os("REVIEW_FOLDER") {
            Some(folder) => PathBuf::from(folder),
            None => std::env::temp_dir(),
        };
        let folder = folder.join(format!("review-2-{}-{network}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let mut cluster = Self {
            network,
            folder,
            grace_s: grace_s.to_owned(),
            nodes: BTreeMap::new(),
            _reserved: reserved,
        };
        for number in 1..=3 {
            cluster.start_node(Role::Control, number, true);
            cluster.start_node(Role::Store, number, true);
        }
        for number in 1..=2 {
            cluster.start_node(Role::Gateway, number, true);
        }
        Some(cluster)
    }

    fn address(&self, role: Role, number: u8) -> Ipv4Addr {
        let part = match role {
            Role::Gateway => 1,
            Role::Control => 2,
            Role::Store => 3,
        };
        Ipv4Addr::new(127, self.network, part, number)
    }

    pub fn control(&self, number: u8) -> SocketAddr {
        (self.address(Role::Control, number), CONTROL_PORT).into()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (1..=3).map(|number| self.control(number)).collect()
    }

    pub fn gateway(&self, number: u8) -> SocketAddr {
        (self.address(Role::Gateway, number), FRONT_PORT).into()
    }

    pub fn engine_address(&self, number: u8) -> SocketAddr {
        (Ipv4Addr::new(127, self.network, 9, number), 17_786).into()
    }

    pub fn disk(&self, role: Role, number: u8) -> PathBuf {
        self.folder.join(format!("disk-{}-{number}", role.name()))
    }

    pub fn log_text(&self, role: Role, number: u8) -> String {
        let log = self.folder.join(format!("{}-{number}.log", role.name()));
        let text = fs::read_to_string(log).unwrap_or_default();
        text.replace(&format!("{}/", self.folder.display()), "")
    }

    /// Fills in `deploy/molespand.toml` as the platform does for a small deployment.
    fn settings(&self, role: Role, number: u8, first_start: bool) -> String {
        let address = self.address(role, number);
        let template =
            fs::read_to_string("deploy/molespand.toml").expect("the template of the settings");
        let at = |port: u16| format!("{address}:{port}");
        let is = |wanted: Role, value: String| (role == wanted).then_some(value);
        let memory = match role {
            Role::Gateway => 220,
            Role::Control => 256,
            Role::Store => 250,
        };
        let folder = (role != Role::Gateway).then(|| self.disk(role, number).display().to_string());
        let seeds: Vec<String> = self
            .controls()
            .iter()
            .map(|one| format!("\"{one}\""))
            .collect();
        let mut text = template.replace("{{#seeds}}{{.|json}}{{,}}{{/seeds}}", &seeds.join(","));
        for (name, value) in [
            ("limits.memoryMb", Some(memory.to_string())),
            ("listen.front", is(Role::Gateway, at(FRONT_PORT))),
            ("listen.readiness", is(Role::Gateway, at(READINESS_PORT))),
            ("listen.control", is(Role::Control, at(CONTROL_PORT))),
            ("dataDir", folder),
            ("bounds.revokeFailClosed", None),
            ("bounds.revokeMs", None),
            ("bounds.cancelMs", Some("3000".to_owned())),
        ] {
            text = section(&text, name, value.as_deref());
        }
        for (name, value) in [
            ("nodeName", format!("{}-{number}", role.name())),
            ("role", role.name().to_owned()),
            ("zone", format!("zone-{number}")),
            ("ip", address.to_string()),
            ("internalPorts.0", INTERNAL_PORTS[0].to_string()),
            ("internalPorts.1", INTERNAL_PORTS[1].to_string()),
            ("bootstrap", first_start.to_string()),
            ("faultTolerance.machines", "1".to_owned()),
            ("heartbeatMs", "1200".to_owned()),
            ("bounds.graceS", self.grace_s.clone()),
        ] {
            text = text.replace(&format!("{{{{{name}|json}}}}"), &format!("\"{value}\""));
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        assert!(
            !text.contains("{{"),
            "a gap of the template is left: {text}"
        );
        text
    }

    pub fn start_node(&mut self, role: Role, number: u8, first_start: bool) {
        let name = format!("{}-{number}", role.name());
        if role != Role::Gateway {
            fs::create_dir_all(self.disk(role, number)).expect("a folder");
        }
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, self.settings(role, number, first_start)).expect("a settings file");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")));
        let child = Command::new(PROGRAM)
            .env("MOLESPAN_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.expect("a log"))
            .spawn()
            .expect("the program of the deploy file");
        note!("process started: {name}");
        record::started(child.id());
        self.nodes.insert((role, number), child);
    }

    /// Kills a process; its disk stays.
    pub fn kill(&mut self, role: Role, number: u8) {
        if let Some(mut child) = self.nodes.remove(&(role, number)) {
            let _ended = child.kill();
            let _status = child.wait();
            record::PROCESSES
                .lock()
                .unwrap()
                .retain(|one| *one != child.id());
            note!("process killed: {}-{number}", role.name());
        }
    }

    /// Returns the exit status of a process that has ended by itself.
    pub fn ended(&mut self, role: Role, number: u8) -> Option<String> {
        let child = self.nodes.get_mut(&(role, number))?;
        let status = child.try_wait().ok()??;
        let id = child.id();
        record::PROCESSES.lock().unwrap().retain(|one| *one != id);
        self.nodes.remove(&(role, number));
        Some(status.to_string())
    }

    /// Sends a configuration to any control node until it is acknowledged.
    pub fn configure(&self, document: &str) -> bool {
        let headers = [("Content-Type", "application/json"), ("Host", "control")];
        let taken = eventually(Duration::from_secs(25), || {
            self.controls().into_iter().any(|control| {
                let body = document.as_bytes();
                let answer = call(
                    control,
                    "PUT",
                    "/api/config",
                    &headers,
                    body,
                    Duration::from_secs(3),
                );
                answer.is_some_and(|answer| answer.status == 200)
            })
        });
        note!(
            "configuration {}: {document}",
            if taken {
                "acknowledged"
            } else {
                "not acknowledged"
            }
        );
        taken
    }

    pub fn wait_ready(&self) -> bool {
        (1..=2).all(|number| {
            let address = SocketAddr::from((self.address(Role::Gateway, number), READINESS_PORT));
            eventually(Duration::from_secs(20), || {
                let answer = call(
                    address,
                    "GET",
                    "/api/readyz",
                    &[],
                    b"",
                    Duration::from_secs(1),
                );
                answer.is_some_and(|answer| answer.status == 200)
            })
        })
    }

    /// Hands a batch job in as a client does: again at the other gateway until it is taken.
    pub fn submit(&self, job: &str, body: &str) -> bool {
        self.submit_at("jobs", job, body)
    }

    /// The same, on the route with this prefix.
    pub fn submit_at(&self, prefix: &str, job: &str, body: &str) -> bool {
        let headers = [
            ("Host", HOST),
            ("X-Request-Id", job),
            ("Content-Type", "application/json"),
        ];
        for attempt in 0..20u8 {
            let gateway = self.gateway(1 + attempt % 2);
            let target = format!("/{prefix}/{job}");
            let answer = call(
                gateway,
                "POST",
                &target,
                &headers,
                body.as_bytes(),
                Duration::from_secs(4),
            );
            let status = answer.map(|answer| answer.status);
            note!(
                "POST {target} ({} bytes) at {gateway}: {status:?}",
                body.len()
            );
            if status == Some(202) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// Reads the results of a job from the start at a gateway.
    pub fn results(
        &self,
        gateway: u8,
        job: &str,
    ) -> Result<BTreeMap<String, (String, String)>, Option<u16>> {
        let mut results = BTreeMap::new();
        loop {
            let target = format!("/api/lots/{job}?afterRev={}", results.len());
            let answer: Option<Answer> = call(
                self.gateway(gateway),
                "GET",
                &target,
                &[("Host", HOST)],
                b"",
                Duration::from_millis(2_500),
            );
            let Some(answer) = answer.clone().filter(|answer| answer.status == 200) else {
                return Err(answer.map(|answer| answer.status));
            };
            let before = results.len();
            for part in answer.text().split("{\"id\":\"").skip(1) {
                let field = |name: &str| {
                    let (_, rest) = part
                        .split_once(&format!("\"{name}\":\""))
                        .unwrap_or_default();
                    rest.split('"').next().unwrap_or_default().to_owned()
                };
                let id = part.split('"').next().unwrap_or_default().to_owned();
                results.insert(id, (field("state"), field("text")));
            }
            if results.len() == before {
                return Ok(results);
            }
        }
    }

    /// The same at any gateway.
    pub fn results_anywhere(&self, job: &str) -> Option<BTreeMap<String, (String, String)>> {
        self.results(1, job).or_else(|_| self.results(2, job)).ok()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let nodes: Vec<(Role, u8)> = self.nodes.keys().copied().collect();
        for (role, number) in nodes {
            self.kill(role, number);
        }
        if std::env::var_os("KEEP").is_none() {
            let _removed = fs::remove_dir_all(&self.folder);
        }
    }
}

pub const HOST: &str = "h.example";

/// Waits until something holds; returns whether it did in time.
pub fn eventually(within: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let ends = Instant::now() + within;
    while !holds() {
        if Instant::now() >= ends {
            return false;
        }
        std::thread::sleep(Duration::from_millis(25));
    }
    true
}

/// Returns a configuration with these routes more than the common ones: `/jobs/` for batch
/// jobs and `/ask/` for safe requests, both to the service `llm`.
pub fn document(version: u64, more: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"jobs","host":"{HOST}","pathPrefix":"/jobs/","routeKind":"batch","timeoutMs":25000,"targetLatencyMs":400,"completionTargetMs":20000,"retentionS":60,"priority":2,"service":"llm","maxAttempts":3,"sticky":true,"resumable":true,"gapTargetMs":500}},{{"name":"ask","host":"{HOST}","pathPrefix":"/ask/","routeKind":"safe","timeoutMs":1500,"targetLatencyMs":300,"priority":0,"service":"llm","maxAttempts":2}}{more}],"services":[{{"name":"llm","healthPath":"/healthz","maxConns":200,"protocol":"h1","tls":false,"engine":{{"slots":12,"kvCapacity":147261,"models":[{{"name":"m"}}]}}}},{{"name":"app","healthPath":"/healthz","maxConns":200,"protocol":"h1","tls":false,"engine":{{"slots":12,"kvCapacity":147261,"models":[{{"name":"m"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// An item of a batch job.
pub struct Item {
    pub id: String,
    pub path: String,
    /// Further headers, as members of a JSON object, each with a comma before it.
    pub headers: String,
    pub body: Vec<u8>,
}

impl Item {
    pub fn new(id: &str, path: &str) -> Self {
        Self {
            id: id.to_owned(),
            path: path.to_owned(),
            headers: String::new(),
            body: id.into(),
        }
    }
}

/// Returns the body with which a job is handed in.
pub fn job_body(items: &[Item]) -> String {
    let items: Vec<String> = items
        .iter()
        .map(|Item { id, path, headers, body }| {
            format!(
                r#"{{"id":"{id}","path":"{path}","headers":{{"X-Model":"m","X-Token-Count":"540,40","X-Prompt-Prefix":"9c2e41:300,{id}:240"{headers}}},"body":"{}","tokens":580}}"#,
                crate::http::base64(body)
            )
        })
        .collect();
    format!(r#"{{"requests":[{}]}}"#, items.join(","))
}

/// Puts a section of a template once if there is a value, and leaves it out otherwise.
fn section(text: &str, name: &str, value: Option<&str>) -> String {
    let (opens, closes) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
    let Some((before, rest)) = text.split_once(&opens) else {
        return text.to_owned();
    };
    let (inside, after) = rest.split_once(&closes).expect("the section ends");
    let inside = value.map(|value| {
        let json = format!("\"{value}\"");
        inside.replace("{{.|json}}", &json).replace("{{.}}", value)
    });
    format!("{before}{}{after}", inside.unwrap_or_default())
}
