//! Model placement: one gateway per service plans which engine should load what, has
//! the control group fence each order, and sends it to the engine.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_io::Timer;
use molespan_engine_api::{MachineKind, Order, OrderAction};
use molespan_membership::rendezvous::highest;
use molespan_routing::placement::{
    EngineState, PlacementDecision, PlacementPlanner, PlacementSettings,
};
use molespan_state::control::{Configuration, ControlReply, IssuedOrder};
use molespan_telemetry::EventKind;
use molespan_types::{BackendId, FencingToken, ServiceName, digest_of};
use slog::{info, warn};

use super::state::GatewayState;

/// Interval between placement rounds.
const INTERVAL: Duration = Duration::from_secs(1);

/// The placement planner and the services it covers.
#[derive(Debug)]
pub(super) struct PlacementState {
    planner: Mutex<PlacementPlanner>,
    /// Services that this gateway places.
    placed: Mutex<BTreeSet<ServiceName>>,
}

impl Default for PlacementState {
    fn default() -> Self {
        Self {
            planner: Mutex::new(PlacementPlanner::new(PlacementSettings::default())),
            placed: Mutex::default(),
        }
    }
}

impl PlacementState {
    /// Returns the services that this gateway places.
    pub(super) fn placed(&self) -> BTreeSet<ServiceName> {
        let placed = self.placed.lock();
        placed.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn set_placed(&self, services: BTreeSet<ServiceName>) {
        let placed = self.placed.lock();
        *placed.unwrap_or_else(PoisonError::into_inner) = services;
    }
}

impl GatewayState {
    /// Places models until the gateway stops.
    pub(super) async fn run_placement(self: Arc<Self>) {
        loop {
            Timer::after(INTERVAL).await;
            if self.is_draining() {
                continue;
            }
            let Some(configuration) = self.configuration.in_force() else {
                continue;
            };
            let placed_configuration = self.placed_here(&configuration);
            let names = placed_configuration.services.keys().cloned().collect();
            self.placement.set_placed(names);
            if placed_configuration.services.is_empty() {
                continue;
            }
            // Fencing tokens are read only if there are services to place.
            let Ok(orders) = self.cluster.orders().await else {
                continue;
            };
            let engines = self.engine_states(&placed_configuration, &orders);
            let now = self.clock.now();
            let decisions = {
                let planner = &self.placement.planner;
                let mut planner = planner.lock().unwrap_or_else(PoisonError::into_inner);
                planner.plan(now, &placed_configuration, &engines)
            };
            for decision in decisions {
                self.fence_and_send_order(decision).await;
            }
        }
    }

    /// Returns the configuration reduced to the services that this gateway places: among
    /// the live gateways, the one with the highest weight for a service's name places it.
    fn placed_here(&self, configuration: &Configuration) -> Configuration {
        let gateways = self.gateways();
        let own = self.options.node;
        let mut placed_configuration = configuration.clone();
        placed_configuration.services.retain(|name, service| {
            let key = BackendId(digest_of(name.0.as_bytes()).0 as u32);
            service.model.is_some() && highest(gateways.nodes(), key) == Some(own)
        });
        placed_configuration
    }

    fn engine_states(
        &self,
        configuration: &Configuration,
        orders: &BTreeMap<BackendId, IssuedOrder>,
    ) -> Vec<EngineState> {
        let directory = self.directory();
        let engines = directory.backends().filter(|backend| {
            let placed: &BTreeMap<ServiceName, _> = &configuration.services;
            backend.kind == MachineKind::Engine && placed.contains_key(&backend.service)
        });
        engines
            .map(|engine| {
                let issued = orders.get(&engine.id);
                let current = issued.filter(|one| one.order.incarnation == engine.incarnation);
                EngineState {
                    backend: engine.id,
                    incarnation: engine.incarnation,
                    zone: engine.zone.clone(),
                    service: engine.service.clone(),
                    in_service: engine.state.accepts_new_work(),
                    leaving: engine.state == molespan_membership::BackendState::Leaving,
                    models: engine.loaded.models.clone(),
                    adapters: engine.loaded.adapters.clone(),
                    role: engine.loaded.role,
                    token: issued.map(|one| one.token).unwrap_or_default(),
                    last_order: current
                        .and_then(|one| serde_json::from_str(&one.order.action).ok()),
                }
            })
            .collect()
    }

    /// Has the control group fence an order and sends it.
    async fn fence_and_send_order(&self, decision: PlacementDecision) {
        let backend = decision.order.backend;
        self.events.record(
            EventKind::Place,
            format!("engine {backend}"),
            decision.reason.to_string(),
            [
                ("action", decision.order.action.as_str().into()),
                ("expected_token", decision.order.expected_token.0.into()),
            ],
        );
        let order = decision.order.clone();
        match self.cluster.issue_order(order).await {
            Ok(ControlReply::OrderIssued { token }) => {
                self.send_order(&decision, token).await;
            }
            Ok(reply) => {
                info!(self.logger, "order was not issued";
                    "engine" => backend.0, "reply" => ?reply);
            }
            Err(error) => {
                warn!(self.logger, "order could not be issued";
                    "engine" => backend.0, "error" => %error);
            }
        }
    }

    async fn send_order(&self, decision: &PlacementDecision, token: FencingToken) {
        let backend = decision.order.backend;
        let Some(address) = self.address_of(backend) else {
            return;
        };
        let action: OrderAction = decision.action.clone();
        let order = Order {
            token,
            incarnation: decision.order.incarnation,
            action,
        };
        let result = match self.engines.order(address, &order).await {
            Ok(reply) if reply.accepted => "the engine took it".to_owned(),
            Ok(reply) => format!("the engine knows token {}", reply.highest_token),
            Err(error) => error,
        };
        info!(self.logger, "order sent";
            "engine" => backend.0, "token" => token.0, "said" => &result);
        self.events.record(
            EventKind::Order,
            format!("engine {backend}"),
            result,
            [
                ("token", token.0.into()),
                ("action", decision.order.action.as_str().into()),
            ],
        );
    }
}
