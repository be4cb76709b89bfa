//! Hollow gateways: configuration watch and heartbeats over real sockets, with
//! the cores that a gateway uses.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use molespan_membership::{GatewayRecord, GatewaySet, GatewaySetSettings};
use molespan_routing::readiness::{ConfigurationHolder, DEFAULT_CURRENCY_BOUND};
use molespan_state::control::{Configuration, ConfigurationUpdate};
use molespan_types::{ConfigVersion, NodeId, Timestamp};
use molespan_wire::{Client, ClientLimits, Request, Response, WatchConfiguration};

use super::replica_addresses::ReplicaAddresses;
use crate::scale::fleet::{incarnation, zone_of};

/// Longest wait of one watch, as gateways ask for it.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Longest wait for any answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// A hollow gateway.
pub struct HollowNode {
    node: NodeId,
    started: Instant,
    in_force: AtomicU64,
    holder: Mutex<ConfigurationHolder>,
    gateways: Mutex<GatewaySet>,
    watching: Client,
    beating: Client,
}

impl HollowNode {
    /// Starts one that watches at one replica and sends heartbeats to the
    /// leader. Its tasks end with the process.
    pub fn start(
        executor: &Arc<Executor<'static>>,
        number: u32,
        replicas: ReplicaAddresses,
    ) -> Arc<Self> {
        let client = |address: SocketAddr| {
            Client::new(
                executor,
                address,
                ClientLimits::default(),
                u64::from(number),
            )
        };
        let node = Arc::new(Self {
            node: NodeId(1000 + number),
            started: Instant::now(),
            in_force: AtomicU64::new(0),
            holder: Mutex::new(ConfigurationHolder::new(DEFAULT_CURRENCY_BOUND)),
            gateways: Mutex::new(GatewaySet::new(GatewaySetSettings::default())),
            watching: client(replicas.watched),
            beating: client(replicas.leader),
        });
        executor.spawn(node.clone().watch()).detach();
        executor.spawn(node.clone().beat()).detach();
        node
    }

    /// Version in force here.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        ConfigVersion(self.in_force.load(Ordering::SeqCst))
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(1) + self.started.elapsed()
    }

    async fn watch(self: Arc<Self>) {
        loop {
            let sent = self.now();
            let request = Request::Watch(WatchConfiguration {
                node: self.node,
                incarnation: incarnation(),
                in_force: self.version(),
                wait_ms: WATCH_WAIT.as_millis() as u32,
            });
            let answer = self.watching.call(request, CALL_TIMEOUT).await;
            let Ok(Response::Configuration {
                current,
                configuration,
            }) = answer
            else {
                Timer::after(FAILURE_PAUSE).await;
                continue;
            };
            let mut holder = self.holder.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(bytes) = configuration
                && let Some(newer) = newer_of(&holder, &bytes)
            {
                holder.offer(newer);
            }
            holder.confirm(sent, current);
            self.in_force.store(holder.version().0, Ordering::SeqCst);
        }
    }

    async fn beat(self: Arc<Self>) {
        loop {
            let request = Request::Heartbeat {
                node: self.node,
                incarnation: incarnation(),
                zone: zone_of(self.node.0),
                draining: false,
                owned: Vec::new(),
            };
            let answer = self.beating.call(request, CALL_TIMEOUT).await;
            if let Ok(Response::LiveNodes { nodes }) = answer {
                let records =
                    nodes
                        .into_iter()
                        .map(|(node, incarnation, draining)| GatewayRecord {
                            node,
                            incarnation,
                            zone: zone_of(node.0),
                            draining,
                        });
                let records = records.collect();
                let mut gateways = self.gateways.lock().unwrap_or_else(PoisonError::into_inner);
                gateways.update(self.now(), records);
            }
            Timer::after(HEARTBEAT).await;
        }
    }
}

/// The configuration that an update leads to from the one in force.
fn newer_of(holder: &ConfigurationHolder, bytes: &[u8]) -> Option<Configuration> {
    let update: ConfigurationUpdate = molespan_state::decode(bytes).ok()?;
    update.apply_to(holder.in_force().map(Arc::as_ref)).ok()
}
