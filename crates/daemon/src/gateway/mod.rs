//! The gateway role: accepts requests of callers and operators, selects back ends,
//! owns the batch work of engines, and places models.
//!
//! A request passes through these modules in order: `routes`, `validation`, `admission`,
//! `pick`, `route`, `dispatch`, `engine_client`, `stream`. Every decision is made by a
//! core of the crates `routing`, `membership` and `state`; the modules here feed
//! the cores inputs and execute their outputs.

mod admin;
mod admission;
mod answer;
mod application;
mod attempts;
mod batch_api;
mod batch_driver;
mod batch_events;
mod batch_groups;
mod batch_stream;
mod batch_submission;
mod choose;
mod claims;
mod clock;
mod configuration;
mod directory;
mod dispatch;
mod drain;
mod engine_client;
mod error;
mod events;
mod heartbeat;
mod loads;
mod metrics;
mod options;
mod outcome;
mod pick;
mod placement;
mod route;
mod routes;
mod state;
mod stream;
mod tenant_weights;
mod validation;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::Executor;
use async_io::Timer;
use molespan_http::{LargeBody, Server, ServerError, ServerLimits};
use molespan_routing::batch::{BatchInput, OnlineNotice};
use molespan_routing::readiness::Readiness;
use molespan_telemetry::{EventBuffer, Metrics, part_logger};
use molespan_types::RunOutcome;
use molespan_wire::{NodeStatus, Request, Response};
use slog::Logger;

pub use batch_api::{JobView, ResultLine};
pub use drain::DrainReport;
pub use options::{
    BackendTimeouts, DrainLimits, GatewayOptions, GatewayPolicy, IntakeLimits, PreemptionPolicy,
};

use crate::cluster::Cluster;
use state::GatewayState;

/// Interval between ticks of the admission queues.
const ADMISSION_TICK: Duration = Duration::from_millis(5);
/// Interval between ticks while the queues are empty.
const IDLE_ADMISSION_TICK: Duration = Duration::from_millis(25);

/// Dependencies of a gateway.
#[derive(Debug)]
pub struct GatewayContext {
    /// Options.
    pub options: GatewayOptions,
    /// Executor of its tasks.
    pub executor: Arc<Executor<'static>>,
    /// Parent of its logger.
    pub logger: Logger,
    /// Registry of the process's metrics.
    pub metrics: Metrics,
    /// Client of the replica groups.
    pub cluster: Arc<Cluster>,
    /// Buffer of the process's decision events.
    pub events: EventBuffer,
}

/// A handle to a gateway; clones refer to the same gateway.
#[derive(Clone, Debug)]
pub struct Gateway {
    state: Arc<GatewayState>,
}

/// A gateway that is bound to its address but does not serve yet.
#[derive(Debug)]
pub struct BoundGateway {
    gateway: Gateway,
    server: Server,
}

impl Gateway {
    /// Binds the HTTP address.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn bind(mut context: GatewayContext) -> Result<BoundGateway, ServerError> {
        let limits = server_limits(&context.options.intake);
        let server = Server::bind(context.options.http_address, limits)?;
        context.options.http_address = server.local_address();
        context.logger = part_logger(&context.logger, "gateway");
        let state = Arc::new(GatewayState::new(context));
        state.connect_batch();
        Ok(BoundGateway {
            gateway: Gateway { state },
            server,
        })
    }

    /// Handles a request of another node that is addressed to the gateway role.
    #[must_use]
    pub fn handle_peer(&self, request: Request) -> Response {
        let state = &self.state;
        match request {
            Request::OnlineArrival(arrival) => {
                state.batch_input(BatchInput::OnlineNotice(OnlineNotice {
                    from: arrival.from,
                    backend: arrival.backend,
                    in_flight: arrival.in_flight,
                    prompt_tokens: arrival.prompt_tokens,
                }));
                Response::Acknowledged
            }
            Request::Loads { digests, .. } => {
                state.handle_digests(digests);
                Response::Acknowledged
            }
            Request::Status => Response::Status(self.status()),
            _ => Response::Refused {
                outcome: RunOutcome::NotRun,
                message: "a gateway does not answer this".to_owned(),
                retry_after_ms: 0,
            },
        }
    }

    /// Returns the status of this gateway.
    #[must_use]
    pub fn status(&self) -> NodeStatus {
        let state = &self.state;
        let configuration = state.configuration.in_force();
        let services = configuration.map(|held| held.services.keys().cloned().collect());
        NodeStatus {
            node: state.options.node,
            incarnation: state.options.incarnation,
            in_force: state.configuration.version(),
            ready: self.is_ready(),
            leads: Vec::new(),
            services: services.unwrap_or_default(),
        }
    }

    /// Whether the gateway accepts new work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let now = self.state.clock.now();
        !self.state.is_draining() && self.state.configuration.readiness(now) == Readiness::Ready
    }
}

impl BoundGateway {
    /// Returns the gateway.
    #[must_use]
    pub fn gateway(&self) -> Gateway {
        self.gateway.clone()
    }

    /// Returns the bound address, with the port that the system chose for port 0.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.local_address()
    }

    /// Serves until `stop` resolves, then stops gracefully.
    pub async fn serve(self, stop: impl Future<Output = ()>) -> DrainReport {
        let state = self.gateway.state.clone();
        let (batch_thread, stopped) = async_channel::bounded(1);
        let _stopping = StopOnDrop {
            state: state.clone(),
            _batch_thread: batch_thread,
        };
        if let Err(error) = state.start_batch_thread(stopped) {
            slog::error!(state.logger, "Batch work cannot run: its thread could not be started"; "error" => %error);
        }
        state.restore_configuration().await;
        start_background(&state);
        let handle = self.server.handle();
        let executor = state.executor.clone();
        let serving = state.clone();
        let server = self.server;
        let served = executor.spawn(async move {
            let executor = serving.executor.clone();
            let handler = move |request| routes::serve(serving.clone(), request);
            server.serve(executor, handler).await;
        });
        stop.await;
        let report = drain::drain(&state, &handle).await;
        served.cancel().await;
        state.stop_background().await;
        report
    }
}

/// Ends the background work of a gateway on drop, also when serving was aborted before
/// its graceful stop.
#[derive(Debug)]
struct StopOnDrop {
    state: Arc<GatewayState>,
    /// Ends the batch thread when dropped.
    _batch_thread: Sender<()>,
}

impl Drop for StopOnDrop {
    fn drop(&mut self) {
        self.state.disconnect_batch();
        drop(self.state.take_background());
    }
}

/// Starts all background tasks.
fn start_background(state: &Arc<GatewayState>) {
    state.spawn_background(state.clone().register());
    state.spawn_background(state.clone().watch_configuration());
    state.spawn_background(state.clone().poll_machines());
    state.spawn_background(state.clone().tick_directory());
    state.spawn_background(state.clone().refresh_candidates());
    state.spawn_background(state.clone().poll_loads());
    state.spawn_background(state.clone().send_heartbeats());
    state.spawn_background(state.clone().tick_ownership());
    state.spawn_background(state.clone().tick_batch());
    state.spawn_background(state.clone().run_placement());
    state.spawn_background(state.clone().sync_weights());
    state.spawn_background(tick_admission(state.clone()));
}

fn server_limits(intake: &IntakeLimits) -> ServerLimits {
    ServerLimits {
        max_connections: intake.max_connections,
        max_body_bytes: intake.max_body_bytes,
        large_body: Some(LargeBody {
            path: batch_api::BATCHES_PATH.to_owned(),
            max_body_bytes: intake.max_job_bytes,
        }),
        max_buffered_bytes: intake.max_buffered_bytes,
        ..ServerLimits::default()
    }
}

async fn tick_admission(state: Arc<GatewayState>) {
    loop {
        let waiting = state.tick_admission();
        let tick = if waiting {
            ADMISSION_TICK
        } else {
            IDLE_ADMISSION_TICK
        };
        Timer::after(tick).await;
    }
}
