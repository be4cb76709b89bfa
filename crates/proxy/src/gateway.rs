//! Assembly of a gateway.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::{Executor, LocalExecutor};
use async_io::{Async, Timer};
use futures_lite::future;
use molespan_daemon::DaemonError;
use molespan_daemon::boot_clock::BootClock;
use molespan_fleet::membership::cluster;
use molespan_fleet::{ClusterAddresses, ViewWatcher, WatcherIdentity};
use molespan_http::h1::{self, Answer, Connection, RequestHead, Service, SocketOptions};
use molespan_telemetry::{METRICS_CONTENT_TYPE, part_logger};
use molespan_types::ZoneName;
use molespan_wire::WatcherKind;
use slog::{Logger, info};

use crate::bar_trials::report_trials;
use crate::bars::request_bars;
use crate::batch;
use crate::connection::serve_connection;
use crate::dialect::GatewayDialect;
use crate::engine_ends::watch_engine_ends;
use crate::reach::watch_reach;
use crate::state::GatewayState;
use crate::streams::report_streams;
use crate::work_shares::exchange_work;

/// Pause after an error of the listener.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Share of the stop time that is used; the rest is for exiting.
const STOP_SHARE: f64 = 0.97;
/// Interval between checks for requests still in flight.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Path of the metrics, on the readiness listener.
const METRICS_PATH: &str = "/metrics";

/// Options of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// Addresses of the nodes.
    pub addresses: ClusterAddresses,
    /// Zone of this gateway.
    pub zone: ZoneName,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for readiness checks and metrics.
    pub readiness_address: SocketAddr,
    /// Time between becoming unready and closing idle connections, so that load balancers
    /// notice.
    pub unready_wait: Duration,
    /// Maximum time of a planned stop.
    pub stop_within: Duration,
    /// A gateway that has not heard from most control nodes for this long refuses requests
    /// that need a key; `None` to keep using the keys it knows.
    pub max_key_age: Option<Duration>,
    /// Time after the acknowledged end of a job from which on none of its items reaches an
    /// engine.
    pub withdrawn_within: Duration,
    /// Clock of the gateway.
    pub clock: BootClock,
}

/// A running gateway.
pub struct Gateway {
    state: Rc<GatewayState>,
    options: GatewayOptions,
    logger: Logger,
    /// Closed once the batch work has ended or was handed over.
    handed_over: Receiver<()>,
}

/// Serves the readiness check and the metrics.
struct Readiness<D> {
    state: Rc<GatewayState>,
    dialect: Rc<D>,
}

impl<D: GatewayDialect> Service for Readiness<D> {
    async fn call(&self, head: RequestHead, _body: Vec<u8>) -> Answer {
        if head.method == "GET" && head.path() == METRICS_PATH {
            self.state.update_queue_metrics();
            let mut answer = Answer::empty(200);
            answer.headers.set("Content-Type", METRICS_CONTENT_TYPE);
            answer.body = self.state.metrics.encode().into_bytes();
            return answer;
        }
        if !self.dialect.is_readiness_call(&head) {
            return Answer::empty(404);
        }
        let status = if self.state.is_ready() { 200 } else { 503 };
        Answer::empty(status)
    }
}

impl Gateway {
    /// Starts a gateway, which runs on `executor` and `local`.
    ///
    /// # Errors
    /// When an address cannot be used.
    pub fn start<D: GatewayDialect>(
        options: GatewayOptions,
        dialect: D,
        executor: &Arc<Executor<'static>>,
        local: &Rc<LocalExecutor<'static>>,
        logger: &Logger,
    ) -> Result<Rc<Self>, DaemonError> {
        let logger = part_logger(logger, "gateway");
        let own = options.addresses.own;
        let wire = options.addresses.transport(executor);
        let stores = options.addresses.store_transport(executor);
        let jobs = cluster(stores, Vec::new());
        let seeds = &options.addresses.seeds;
        let control = cluster(wire.clone(), seeds.clone());
        let zone = options.zone.clone();
        let state = Rc::new(GatewayState::new(
            &options,
            control,
            jobs,
            wire.clone(),
            logger.clone(),
        ));
        let identity = WatcherIdentity {
            node: own,
            zone,
            kind: WatcherKind::Gateway,
        };
        let watching = wire.clone();
        let sink = state.clone();
        let _watcher = ViewWatcher::start(identity, seeds, watching, local, logger.clone(), sink);
        exchange_work(&options.addresses, &state, wire, executor, local)?;
        local
            .spawn(watch_engine_ends(state.clone(), local.clone()))
            .detach();
        local
            .spawn(watch_reach(state.clone(), local.clone()))
            .detach();
        local.spawn(request_bars(state.clone())).detach();
        local.spawn(report_trials(state.clone())).detach();
        local.spawn(report_streams(state.clone())).detach();
        let dialect = Rc::new(dialect);
        let callers = listen(options.caller_address)?;
        let readiness = listen(options.readiness_address)?;
        let service = Rc::new(Readiness {
            state: state.clone(),
            dialect: dialect.clone(),
        });
        local
            .spawn(h1::serve_listener(readiness, local.clone(), service))
            .detach();
        let accepting = accept(state.clone(), dialect.clone(), callers, local.clone());
        local.spawn(accepting).detach();
        let (ended, handed_over) = async_channel::bounded(1);
        let running = batch::run(state.clone(), dialect, local.clone());
        let running = async move {
            running.await;
            drop::<Sender<()>>(ended);
        };
        local.spawn(running).detach();
        info!(logger, "started"; "node" => own.address().to_string());
        Ok(Rc::new(Self {
            state,
            options,
            logger,
            handed_over,
        }))
    }

    /// Stops as planned: reports unready at once, then closes the listener and idle
    /// connections, and returns when nothing is in flight or the time is nearly over.
    pub async fn stop(&self) {
        let begun = Instant::now();
        info!(self.logger, "stopping"; "in_flight" => self.state.requests_in_flight(),
            "connections" => self.state.open_connections());
        self.state.stop();
        Timer::after(self.options.unready_wait).await;
        self.state.close_idle_connections();
        while begun.elapsed() < self.options.stop_within.mul_f64(STOP_SHARE) {
            let idle = self.state.requests_in_flight() == 0 && self.state.open_connections() == 0;
            if idle && self.handed_over.is_closed() {
                break;
            }
            Timer::after(STOP_POLL).await;
        }
        info!(self.logger, "stopped"; "cut_off" => self.state.requests_in_flight(),
            "connections" => self.state.open_connections());
    }
}

fn listen(address: SocketAddr) -> Result<Async<TcpListener>, DaemonError> {
    h1::listen(address).map_err(DaemonError::Listen)
}

/// Accepts connections until a planned stop closes the idle ones. The listener is then
/// closed, so that callers that still connect go elsewhere.
async fn accept<D: GatewayDialect>(
    state: Rc<GatewayState>,
    dialect: Rc<D>,
    listener: Async<TcpListener>,
    local: Rc<LocalExecutor<'static>>,
) {
    loop {
        let accepted = async { Some(listener.accept().await) };
        let stopping = async {
            state.idle_connections_closed().await;
            None
        };
        let stream = match future::or(accepted, stopping).await {
            Some(Ok((stream, _))) => stream,
            Some(Err(_)) => {
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
            None => return,
        };
        if h1::prepare(&stream, SocketOptions::default()).is_err() {
            continue;
        }
        let connection = Connection::new(stream);
        let serving = serve_connection(state.clone(), dialect.clone(), connection);
        local.spawn(serving).detach();
    }
}
