//! Two real nodes before emulated engines over loopback sockets, without
//! requests: one gateway owns every engine, the other one owns none.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use molespan_daemon::node::Node;
use molespan_emulator::fleet::{Fleet, FleetSettings};
use molespan_membership::rendezvous::highest;
use molespan_settings::Settings;
use molespan_state::control::{Change, Model, Service, ServiceKind};
use molespan_state::encode;
use molespan_telemetry::discard_logger;
use molespan_types::{BackendId, GroupId, ModelName, NodeId, ServiceName, ZoneName, digest_of};
use molespan_wire::{Client, ClientLimits, Request, Response};

use super::configuration::command;
use super::{REPEATS, micros};
use crate::scale::clock::{named_time, resident_bytes};
use crate::scale::hollow::named_threads;
use crate::scale::{Recorder, ScaleError};

/// Names of the threads that run each part.
const OWNER: &str = "owner";
const OTHER: &str = "other";
const ENGINES: &str = "engines";
/// Names of the threads on which gateways do batch work; of both together, but
/// only the one that owns engines has any.
const BATCH: &str = "gateway-batch";
/// Zone of the engines and of the gateway that owns them.
const OWNER_ZONE: &str = "zone-a";
/// Zone of the other gateway.
const OTHER_ZONE: &str = "zone-b";
/// Their nodes.
const OWNER_NODE: NodeId = NodeId(1);
const OTHER_NODE: NodeId = NodeId(2);
/// Time from the start until owners act and every engine is known.
const SETTLED_AFTER: Duration = Duration::from_secs(6);
/// How long the nodes are watched.
const WATCHED_FOR: Duration = Duration::from_millis(1_500);
/// Longest wait for a leader.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// Processor time of both gateways a second, by the engines on the list.
pub(super) fn engines(recorder: &mut Recorder) -> Result<(), ScaleError> {
    let threads = Threads {
        owner: named_threads(OWNER, 1),
        other: named_threads(OTHER, 1),
        engines: named_threads(ENGINES, 1),
    };
    for engines in [50_u32, 200, 400, 800] {
        async_io::block_on(measure(recorder, &threads, engines))?;
    }
    Ok(())
}

/// Executors with threads of their own.
struct Threads {
    owner: Arc<Executor<'static>>,
    other: Arc<Executor<'static>>,
    engines: Arc<Executor<'static>>,
}

async fn measure(
    recorder: &mut Recorder,
    threads: &Threads,
    engines: u32,
) -> Result<(), ScaleError> {
    let folder = tempfile::tempdir().map_err(ScaleError::unexpected)?;
    let settings = FleetSettings {
        zones: vec![ZoneName::from(OWNER_ZONE)],
        engines,
        applications: 0,
        service: service_placed_by(OWNER_NODE),
        platform_lag_ms: 0,
        ..FleetSettings::archive()
    };
    let fleet = Fleet::start(&threads.engines, &settings).map_err(ScaleError::unexpected)?;
    let replica = free_address()?;
    let platform = fleet.platform_address;
    let owner = start_node(
        &threads.owner,
        folder.path(),
        &owner_text(replica, platform),
    )?;
    let other = start_node(
        &threads.other,
        folder.path(),
        &other_text(replica, platform),
    )?;
    confirm(&threads.owner, replica, &settings).await?;
    Timer::after(SETTLED_AFTER).await;
    for _ in 0..REPEATS {
        let began = Instant::now();
        let owner_before = named_time(&[OWNER, BATCH])?;
        let other_before = named_time(&[OTHER])?;
        Timer::after(WATCHED_FOR).await;
        let seconds = began.elapsed().as_secs_f64();
        let owner_time = named_time(&[OWNER, BATCH])?.saturating_sub(owner_before);
        let other_time = named_time(&[OTHER])?.saturating_sub(other_before);
        let measures = [
            ("owner_us_per_s", micros(owner_time) / seconds),
            ("other_us_per_s", micros(other_time) / seconds),
            ("resident_bytes_with_engines", resident_bytes()? as f64),
        ];
        recorder.note("engines", f64::from(engines), &measures);
    }
    other.stop().await;
    owner.stop().await;
    fleet.stop();
    Ok(())
}

/// A service whose placement falls to that one of the two gateways: it reads
/// the state of every engine of the service.
fn service_placed_by(node: NodeId) -> ServiceName {
    let names = (0..).map(|number| ServiceName(format!("service-{number}")));
    let mut placed = names.filter(|name| {
        let key = BackendId(digest_of(name.0.as_bytes()).0 as u32);
        highest([OWNER_NODE, OTHER_NODE].into_iter(), key) == Some(node)
    });
    placed.next().unwrap_or_default()
}

/// An address that is free now.
fn free_address() -> Result<SocketAddr, ScaleError> {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(any_port).map_err(ScaleError::unexpected)?;
    listener.local_addr().map_err(ScaleError::unexpected)
}

fn owner_text(replica: SocketAddr, platform: SocketAddr) -> String {
    format!(
        "[node]\nid = {OWNER_NODE}\nzone = \"{OWNER_ZONE}\"\nroles = [\"gateway\", \"replica\"]\n\
         http_address = \"127.0.0.1:0\"\ninternal_address = \"{replica}\"\n\
         data_folder = \"FOLDER/owner\"\n{}",
        shared_text(platform)
    )
}

fn other_text(replica: SocketAddr, platform: SocketAddr) -> String {
    format!(
        "[node]\nid = {OTHER_NODE}\nzone = \"{OTHER_ZONE}\"\nroles = [\"gateway\"]\n\
         http_address = \"127.0.0.1:0\"\ninternal_address = \"127.0.0.1:0\"\n\
         data_folder = \"FOLDER/other\"\n{}\
         [[peers]]\nid = {OWNER_NODE}\nzone = \"{OWNER_ZONE}\"\ninternal_address = \"{replica}\"\n\
         roles = [\"gateway\", \"replica\"]\n",
        shared_text(platform)
    )
}

/// What both nodes have in common; a stop need not wait for callers.
fn shared_text(platform: SocketAddr) -> String {
    format!(
        "[cluster]\nreplicas = 1\njob_groups = 1\n\
         [platform]\nlist_address = \"{platform}\"\n\
         [timing.drain]\nunready_wait = \"0s\"\n"
    )
}

fn start_node(
    executor: &Arc<Executor<'static>>,
    folder: &Path,
    text: &str,
) -> Result<Node, ScaleError> {
    let text = text.replace("FOLDER", &folder.display().to_string());
    let file = folder.join("molespand.toml");
    std::fs::write(&file, text).map_err(ScaleError::unexpected)?;
    let settings = Settings::load(&file).map_err(ScaleError::unexpected)?;
    Node::start(&settings, executor, &discard_logger()).map_err(ScaleError::unexpected)
}

/// Puts the service of the engines in force.
async fn confirm(
    executor: &Arc<Executor<'static>>,
    replica: SocketAddr,
    settings: &FleetSettings,
) -> Result<(), ScaleError> {
    let model = ModelName::from(settings.model.as_str());
    let service = Service {
        kind: ServiceKind::Completion,
        model: Some(model.clone()),
        adapters: Vec::new(),
        max_concurrency: 64,
        max_queue: 64,
        queue_timeout_ms: 1_000,
        batch: true,
        replicas: settings.engines,
    };
    let changes = vec![
        Change::PutModel {
            name: model,
            model: Model { version: 1 },
        },
        Change::PutService {
            name: settings.service.clone(),
            service,
        },
    ];
    let command = encode(&command(0, changes));
    let client = Client::new(executor, replica, ClientLimits::default(), 1);
    let end = Instant::now() + LONGEST_WAIT;
    while Instant::now() < end {
        let request = Request::Propose {
            group: GroupId::CONTROL,
            command: command.clone().into(),
        };
        if let Ok(Response::Proposed { .. }) = client.call(request, LONGEST_WAIT).await {
            return Ok(());
        }
        Timer::after(Duration::from_millis(50)).await;
    }
    Err(ScaleError::Timeout { what: "a leader" })
}
