//! The project's own programs as separate processes on loopback addresses, started with the
//! commands and the template of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, call};
use crate::json::Json;
use crate::record::Record;
use crate::template;

const PORTS: [u16; 2] = [27_660, 27_675];
const FRONT_PORT: u16 = 27_144;
const READINESS_PORT: u16 = 27_140;
const CONTROL_PORT: u16 = 27_146;
const ENGINE_PORT: u16 = 27_786;
const RESERVED_PORT: u16 = 27_100;
const ZONES: [&str; 3] = ["buda-a", "pest-b", "obuda-c"];
const REGION: &str = "hu-central";
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time in which a call of the operator or of a client to the system gets its answer.
const CALL_WITHIN: Duration = Duration::from_millis(2_500);

/// A class of machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    Edge,
    Core,
    Storage,
}

impl Class {
    fn name(self) -> &'static str {
        match self {
            Self::Edge => "edge",
            Self::Core => "core",
            Self::Storage => "storage",
        }
    }

    fn serves(self) -> &'static str {
        match self {
            Self::Edge => "edge",
            Self::Core => "control_plane",
            Self::Storage => "storage",
        }
    }

    /// Share of a core, memory in MB, descriptors and Mbit/s of a small deployment.
    fn limits(self) -> (f64, u32, u32, u32, u32) {
        match self {
            Self::Edge => (0.25, 220, 4_200, 1_000, 0),
            Self::Core => (0.3, 256, 4_096, 1_000, 128),
            Self::Storage => (0.5, 250, 8_200, 600, 470),
        }
    }
}

/// A role of the deploy file.
#[derive(Clone, Debug, Default)]
struct Role {
    name: String,
    run: String,
    on: String,
    template: String,
}

fn roles(deploy: &str) -> Vec<Role> {
    let mut roles: Vec<Role> = Vec::new();
    for line in deploy.lines().map(str::trim) {
        if let Some(name) = line.strip_prefix("[roles.") {
            let name = name.trim_end_matches(']').to_owned();
            roles.push(Role {
                name,
                ..Role::default()
            });
        } else if let (Some(role), Some((key, value))) = (roles.last_mut(), line.split_once('=')) {
            let value = value.trim().trim_matches('"').to_owned();
            match key.trim() {
                "run" => role.run = value,
                "on" => role.on = value,
                "template" => role.template = value,
                _ => {}
            }
        }
    }
    roles
}

struct Node {
    class: Class,
    number: u8,
    child: Option<Child>,
}

pub struct Cluster {
    root: PathBuf,
    folder: PathBuf,
    network: u8,
    _reserved: TcpListener,
    roles: Vec<Role>,
    nodes: Vec<Node>,
    pub record: Arc<Record>,
}

impl Cluster {
    /// Prepares a cluster; starts nothing yet.
    pub fn prepare(root: &Path, folder: &Path, record: Arc<Record>) -> Option<Self> {
        let deploy = std::fs::read_to_string(root.join("deploy/system.toml")).ok()?;
        let (network, reserved) = reserve()?;
        Some(Self {
            root: root.to_owned(),
            folder: folder.to_owned(),
            network,
            _reserved: reserved,
            roles: roles(&deploy),
            nodes: Vec::new(),
            record,
        })
    }

    fn ip(&self, class: Class, number: u8) -> Ipv4Addr {
        ip(self.network, class, number)
    }

    pub fn front(&self, number: u8) -> SocketAddr {
        (self.ip(Class::Edge, number), FRONT_PORT).into()
    }

    pub fn control(&self, number: u8) -> SocketAddr {
        (self.ip(Class::Core, number), CONTROL_PORT).into()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (1..=3).map(|number| self.control(number)).collect()
    }

    pub fn engine_address(&self, number: u8) -> SocketAddr {
        (Ipv4Addr::new(127, self.network, 9, number), ENGINE_PORT).into()
    }

    pub fn zone(number: u8) -> &'static str {
        ZONES[usize::from(number - 1) % ZONES.len()]
    }

    /// Starts three core machines, three storage machines and `edges` edge machines, one of
    /// each class in each zone in turn.
    pub fn start_all(&mut self, edges: u8) -> Result<(), String> {
        for number in 1..=3 {
            self.start(Class::Core, number, true)?;
            self.start(Class::Storage, number, true)?;
        }
        for number in 1..=edges {
            self.start(Class::Edge, number, true)?;
        }
        Ok(())
    }

    fn fields(&self, class: Class, number: u8, role: &str, bootstrap: bool) -> Json {
        let ip = self.ip(class, number);
        let at = |port: u16| Json::text(format!("{ip}:{port}"));
        let listen = match class {
            Class::Edge => {
                Json::table([("front", at(FRONT_PORT)), ("readiness", at(READINESS_PORT))])
            }
            Class::Core => Json::table([("control", at(CONTROL_PORT))]),
            Class::Storage => Json::table([]),
        };
        let data = match class {
            Class::Edge => Json::Null,
            _ => {
                let data = self.folder.join(format!("disk-{}-{number}", class.name()));
                let _made = std::fs::create_dir_all(&data);
                Json::text(data.to_string_lossy())
            }
        };
        let seeds = self.controls().into_iter();
        let (share, memory, files, mbps, disk) = class.limits();
        let zones = ZONES
            .iter()
            .map(|zone| ((*zone).to_owned(), Json::text(REGION)));
        Json::table([
            (
                "nodeName",
                Json::text(format!("{}-{}-1", class.name(), Self::zone(number))),
            ),
            ("role", Json::text(role)),
            ("machineClass", Json::text(class.name())),
            ("serves", Json::List(vec![Json::text(class.serves())])),
            ("ip", Json::text(ip.to_string())),
            ("zone", Json::text(Self::zone(number))),
            ("region", Json::text(REGION)),
            ("zones", Json::Table(zones.collect())),
            ("listen", listen),
            (
                "internalPorts",
                Json::List(PORTS.iter().map(Json::number).collect()),
            ),
            (
                "seeds",
                Json::List(seeds.map(|seed| Json::text(seed.to_string())).collect()),
            ),
            ("bootstrap", Json::Bool(bootstrap)),
            ("faultCounted", Json::Bool(class != Class::Edge)),
            (
                "limits",
                Json::table([
                    ("cpuShare", Json::number(share)),
                    ("cores", Json::number(1)),
                    ("memoryMb", Json::number(memory)),
                    ("maxFds", Json::number(files)),
                    ("linkMbps", Json::number(mbps)),
                    ("diskMb", Json::number(disk)),
                ]),
            ),
            ("dataDir", data),
            ("discovery", Json::text("registration")),
            ("entry", Json::text("vip")),
            ("heartbeatMs", Json::number(HEARTBEAT.as_millis())),
            (
                "faultTolerance",
                Json::table([
                    ("machines", Json::number(1)),
                    ("zones", Json::number(0)),
                    ("regions", Json::number(0)),
                ]),
            ),
            (
                "bounds",
                Json::table([
                    ("seedLagS", Json::number(3)),
                    ("contactMs", Json::number(3_000)),
                    ("ackMs", Json::number(4_000)),
                    ("catchUpS", Json::number(4.7)),
                    ("drainMs", Json::number(2_000)),
                    ("graceS", Json::number(8)),
                    ("configApplyMs", Json::number(2_000)),
                    ("recoverS", Json::number(12)),
                    ("finishS", Json::number(18)),
                    ("statusS", Json::number(120)),
                    ("cancelMs", Json::number(3_000)),
                    ("settleMs", Json::number(1_000)),
                ]),
            ),
            ("configMode", Json::text("highest")),
        ])
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&mut self, class: Class, number: u8, bootstrap: bool) -> Result<(), String> {
        let role = self.roles.iter().find(|role| role.on == class.name());
        let role = role
            .ok_or("the deploy file has no role for a class")?
            .clone();
        let template = std::fs::read_to_string(self.root.join(&role.template));
        let template = template.map_err(|error| format!("template: {error}"))?;
        let fields = self.fields(class, number, &role.name, bootstrap);
        let name = format!("{}-{number}", class.name());
        let settings = self.folder.join(format!("{name}.settings"));
        std::fs::write(&settings, template::fill(&template, &fields))
            .map_err(|error| format!("settings: {error}"))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path(class, number))
            .map_err(|error| format!("log: {error}"))?;
        let log_too = log.try_clone().map_err(|error| error.to_string())?;
        let mut words = role.run.split(' ');
        let program = self.root.join(words.next().unwrap_or_default());
        let child = Command::new(program)
            .args(words)
            .current_dir(&self.root)
            .env("MOLESPAN_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(log_too)
            .spawn()
            .map_err(|error| format!("{name} does not start: {error}"))?;
        self.note_process(child.id());
        let known = |node: &&mut Node| node.class == class && node.number == number;
        match self.nodes.iter_mut().find(known) {
            Some(node) => node.child = Some(child),
            None => self.nodes.push(Node {
                class,
                number,
                child: Some(child),
            }),
        }
        Ok(())
    }

    /// Notes a process for the script, which ends what is left of them.
    fn note_process(&self, id: u32) {
        use std::io::Write;
        let file = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("processes"));
        if let Ok(mut file) = file {
            let _best_effort = writeln!(file, "{id}");
        }
    }

    fn log_path(&self, class: Class, number: u8) -> PathBuf {
        self.folder.join(format!("{}-{number}.log", class.name()))
    }

    /// Returns what a process has logged so far.
    pub fn log(&self, class: Class, number: u8) -> String {
        let bytes = std::fs::read(self.log_path(class, number)).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    fn child(&mut self, class: Class, number: u8) -> Option<&mut Child> {
        let mut nodes = self.nodes.iter_mut();
        let node = nodes.find(|node| node.class == class && node.number == number)?;
        node.child.as_mut()
    }

    /// Sends a signal to a process, by its id.
    pub fn signal(&mut self, class: Class, number: u8, signal: &str) {
        let Some(child) = self.child(class, number) else {
            return;
        };
        let id = child.id().to_string();
        let _sent = Command::new("kill").args([signal, &id]).status();
        self.record
            .line(format!("platform: {signal} to {}-{number}", class.name()));
    }

    /// Whether every process that should run does run.
    pub fn all_run(&mut self) -> bool {
        let mut children = self.nodes.iter_mut().filter_map(|node| node.child.as_mut());
        children.all(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a configuration as the operator does, to one core machine after the other, until
    /// it is acknowledged or `within` is over.
    pub fn declare(&self, document: &str, machines: &[u8], within: Duration) -> Option<Answer> {
        let ends = Instant::now() + within;
        let mut machines = machines.iter().copied().cycle();
        while Instant::now() < ends {
            let number = machines.next()?;
            let answer = call(
                self.control(number),
                "PUT",
                "/api/config",
                &[("Content-Type", "application/json")],
                document,
                CALL_WITHIN,
            );
            if let Some(answer) = answer.filter(|answer| answer.status == 200) {
                return Some(answer);
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }

    /// Waits until an edge machine says that it is ready.
    pub fn wait_ready(&self, number: u8, within: Duration) -> bool {
        let address = (self.ip(Class::Edge, number), READINESS_PORT).into();
        eventually(within, || {
            let answer = call(address, "GET", "/api/readyz", &[], "", CALL_WITHIN);
            answer.is_some_and(|answer| answer.status == 200)
        })
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.nodes.iter_mut().filter_map(|node| node.child.as_mut()) {
            let _ended_already = child.kill();
            let _ended = child.wait();
        }
    }
}

/// Polls until a condition holds; returns whether it did within the time.
pub fn eventually(within: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let ends = Instant::now() + within;
    loop {
        if holds() {
            return true;
        }
        if Instant::now() >= ends {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn ip(network: u8, class: Class, number: u8) -> Ipv4Addr {
    let machine = match class {
        Class::Edge => 1,
        Class::Core => 2,
        Class::Storage => 3,
    };
    Ipv4Addr::new(127, network, machine, number)
}

/// Reserves a loopback network on which every port is free.
fn reserve() -> Option<(u8, TcpListener)> {
    (1..=254).rev().find_map(|network| {
        let reserved =
            TcpListener::bind((Ipv4Addr::new(127, network, 0, 1), RESERVED_PORT)).ok()?;
        let all_free = [
            (Class::Edge, FRONT_PORT),
            (Class::Edge, READINESS_PORT),
            (Class::Edge, PORTS[0]),
            (Class::Core, CONTROL_PORT),
            (Class::Core, PORTS[0]),
            (Class::Storage, PORTS[1]),
            (Class::Edge, ENGINE_PORT),
        ]
        .iter()
        .all(|(class, port)| TcpListener::bind((ip(network, *class, 1), *port)).is_ok());
        all_free.then_some((network, reserved))
    })
}
