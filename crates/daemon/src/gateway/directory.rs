//! Feeds the back-end directory with the platform list, reports and probes, and
//! derives the candidates for requests and batch work.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use molespan_engine_api::MachineKind;
use molespan_membership::{
    Backend, BackendState, DirectoryInput, DirectoryOutput, StateChange, SubsetBackend,
    SubsetSettings, WorkResult, subset,
};
use molespan_routing::pick::Candidate;
use molespan_state::control::{Configuration, Service, ServiceKind};
use molespan_telemetry::EventKind;
use molespan_types::{BackendId, ServiceName};
use slog::{info, warn};

use super::state::GatewayState;

/// Interval between ticks of the directory.
const TICK: Duration = Duration::from_millis(100);
/// Pause after a candidate update, as a multiple of the time the update took.
const REFRESH_PAUSE: u32 = 9;
/// Maximum time a new gateway waits for the first reports of its back ends.
const FIRST_REPORTS_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between checks whether the first reports have arrived.
const FIRST_REPORTS_POLL: Duration = Duration::from_millis(5);
/// Separates a model's name from its version in an engine's report.
const VERSION_SEPARATOR: char = '@';

impl GatewayState {
    /// Polls the platform list until the gateway stops. While the list cannot be
    /// read, the last known one stays in use.
    pub(super) async fn poll_machines(self: Arc<Self>) {
        let mut failing = false;
        loop {
            match self.engines.machines(self.options.platform_address).await {
                Ok(list) => {
                    failing = false;
                    self.directory_input(DirectoryInput::List(list));
                }
                Err(error) if !failing => {
                    failing = true;
                    warn!(self.logger, "cannot read the platform list"; "error" => error);
                }
                Err(_) => {}
            }
            Timer::after(self.options.list_poll).await;
        }
    }

    /// Ticks the directory until the gateway stops.
    pub(super) async fn tick_directory(self: Arc<Self>) {
        loop {
            self.directory_input(DirectoryInput::Tick);
            Timer::after(TICK).await;
        }
    }

    /// Feeds an input to the directory and executes its outputs.
    pub(super) fn directory_input(self: &Arc<Self>, input: DirectoryInput) {
        let now = self.clock.now();
        let outputs = self.directory().handle(now, input);
        let mut changed = false;
        for output in outputs {
            match output {
                DirectoryOutput::Changed(change) => {
                    changed = true;
                    self.record_change(&change);
                }
                DirectoryOutput::Probe { backend, address } => self.probe(backend, &address),
            }
        }
        if changed {
            self.mark_candidates_stale();
        }
    }

    fn record_change(&self, change: &StateChange) {
        info!(self.logger, "back end changed state";
            "backend" => change.backend.0, "from" => %change.from, "to" => %change.to,
            "reason" => %change.reason);
        self.events.record(
            EventKind::Membership,
            format!("backend {}", change.backend),
            change.reason.to_string(),
            [
                ("incarnation", change.incarnation.0.into()),
                ("from", change.from.to_string().into()),
                ("to", change.to.to_string().into()),
            ],
        );
        let gone = matches!(change.to, BackendState::Gone | BackendState::Unknown);
        let address = self.address_of(change.backend).filter(|_| gone);
        if let Some(address) = address {
            self.engines.forget(address);
        }
    }

    fn probe(self: &Arc<Self>, backend: BackendId, address: &str) {
        let Ok(address) = address.parse() else {
            return;
        };
        let state = self.clone();
        self.spawn(async move {
            let sent = state.clock.now();
            let answer = state.engines.probe(address).await;
            let took = state.clock.now().since(sent);
            let (incarnation, result) = match answer {
                Ok(incarnation) => (incarnation, WorkResult::Answered(took)),
                Err(_) => (None, WorkResult::Failed),
            };
            state.directory_input(DirectoryInput::Probe {
                backend,
                incarnation,
                result,
            });
        });
    }

    /// Returns the address of a back end.
    pub(super) fn address_of(&self, backend: BackendId) -> Option<SocketAddr> {
        let directory = self.directory();
        directory.backend(backend)?.address.parse().ok()
    }

    /// Updates the candidates whenever they are stale, until the gateway stops. The pause
    /// after each update bounds its CPU share with thousands of back ends.
    pub(super) async fn refresh_candidates(self: Arc<Self>) {
        loop {
            self.candidates_stale().await;
            let began = self.clock.now();
            self.recompute_candidates();
            let took = self.clock.now().since(began);
            Timer::after(took * REFRESH_PAUSE).await;
        }
    }

    /// Waits until every back end that this gateway routes to has reported, so that the
    /// gateway does not become ready and then reject requests for lack of engines. Waits
    /// at most [`FIRST_REPORTS_TIMEOUT`] for back ends that stay silent.
    pub(super) async fn wait_for_first_reports(&self) {
        let until = self.clock.now() + FIRST_REPORTS_TIMEOUT;
        while self.clock.now() < until {
            let reported = self.has_first_reports();
            self.recompute_candidates();
            if reported {
                return;
            }
            Timer::after(FIRST_REPORTS_POLL).await;
        }
    }

    fn has_first_reports(&self) -> bool {
        let watched = self.loads.watched().clone();
        let directory = self.directory();
        let mut routed = directory
            .backends()
            .filter(|backend| watched.contains(&backend.id))
            .peekable();
        // An empty set may also mean that the platform list has not been read yet.
        routed.peek().is_some() && routed.all(has_reported)
    }

    /// Recomputes the candidates for requests and batch work from the current directory,
    /// configuration and gateway set.
    fn recompute_candidates(&self) {
        let Some(configuration) = self.configuration.in_force() else {
            return;
        };
        let subsets = self.subsets(&configuration);
        let candidates = self.candidates(&configuration, &subsets);
        self.pickers.set_candidates(candidates);
        // Admission must not use the capacity of the previous candidates.
        let _waits = self.tick_admission();
        self.loads.set_watched(subsets.into_values().flatten());
        self.refresh_owned_engines(&configuration);
    }

    /// Returns the back ends of each service that this gateway routes to.
    fn subsets(&self, configuration: &Configuration) -> BTreeMap<ServiceName, Vec<BackendId>> {
        let gateways = self.gateways().clone();
        let mut by_service: BTreeMap<ServiceName, Vec<SubsetBackend>> = BTreeMap::new();
        for backend in self.directory().backends() {
            if configuration.services.contains_key(&backend.service) {
                let listed = SubsetBackend {
                    id: backend.id,
                    zone: backend.zone.clone(),
                };
                by_service
                    .entry(backend.service.clone())
                    .or_default()
                    .push(listed);
            }
        }
        let (node, zone) = (self.options.node, &self.options.zone);
        let settings = SubsetSettings::default();
        let subsets = by_service.into_iter();
        subsets
            .map(|(service, backends)| {
                let chosen = subset(node, zone, &gateways, &backends, &settings);
                (service, chosen)
            })
            .collect()
    }

    /// Returns the members of the subsets that may receive new work.
    fn candidates(
        &self,
        configuration: &Configuration,
        subsets: &BTreeMap<ServiceName, Vec<BackendId>>,
    ) -> BTreeMap<ServiceName, Vec<Candidate>> {
        let directory = self.directory();
        let services = configuration.services.iter();
        services
            .map(|(name, service)| {
                let backends = subsets.get(name).into_iter().flatten();
                let candidates = backends
                    .filter_map(|id| directory.backend(*id))
                    .filter(|backend| can_serve(backend, service))
                    .map(candidate);
                (name.clone(), candidates.collect())
            })
            .collect()
    }
}

/// Whether a back end has reported its loaded models, or is not expected to.
fn has_reported(backend: &Backend) -> bool {
    match backend.state {
        BackendState::Unknown => false,
        BackendState::Healthy | BackendState::Suspect => {
            backend.kind == MachineKind::Application || !backend.loaded.models.is_empty()
        }
        BackendState::Ejected | BackendState::Leaving | BackendState::Gone => true,
    }
}

/// Whether a back end may receive new work of a service.
pub(super) fn can_serve(backend: &Backend, service: &Service) -> bool {
    if !backend.state.accepts_new_work() {
        return false;
    }
    match (service.kind, backend.kind) {
        (ServiceKind::Application, MachineKind::Application) => true,
        (ServiceKind::Completion, MachineKind::Engine) => service
            .model
            .as_ref()
            .is_some_and(|model| has_model(backend, &model.0)),
        _ => false,
    }
}

/// Whether a back end reported the model as loaded, in any version.
fn has_model(backend: &Backend, model: &str) -> bool {
    backend.loaded.models.iter().any(|loaded| {
        let name = loaded.split_once(VERSION_SEPARATOR);
        name.map_or(loaded.as_str(), |(name, _)| name) == model
    })
}

fn candidate(backend: &Backend) -> Candidate {
    Candidate {
        backend: backend.id,
        incarnation: backend.incarnation,
        zone: backend.zone.clone(),
        suspect: backend.state == BackendState::Suspect,
    }
}
