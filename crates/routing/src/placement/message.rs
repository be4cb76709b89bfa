//! Inputs and outputs of the placement planner.

use std::time::Duration;

use derive_more::Display;
use molespan_engine_api::{EngineRole, OrderAction};
use molespan_state::control::IssueOrder;
use molespan_types::{BackendId, FencingToken, Incarnation, ServiceName, ZoneName};

/// Limits of the placement planner.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Maximum concurrent loads from the weight store.
    pub max_concurrent_loads: usize,
    /// Maximum orders proposed in one step.
    pub max_orders_per_step: usize,
    /// Minimum time for which a load counts as in progress. Without versions in
    /// its reports, an engine that is loading another version looks unchanged.
    pub min_load_time: Duration,
    /// Time after which an order that shows no effect is proposed again.
    pub resend_after: Duration,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            max_concurrent_loads: 2,
            max_orders_per_step: 4,
            min_load_time: Duration::from_secs(1),
            resend_after: Duration::from_secs(20),
        }
    }
}

/// State of an engine according to the directory, with its fencing token and
/// latest order.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineState {
    /// Engine.
    pub backend: BackendId,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Zone of the engine.
    pub zone: ZoneName,
    /// Service that the engine is assigned to.
    pub service: ServiceName,
    /// Whether the engine may receive new work.
    pub in_service: bool,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Models that are ready, as reported: `NAME` or `NAME@VERSION`.
    pub models: Vec<String>,
    /// Adapters that are ready.
    pub adapters: Vec<String>,
    /// Current role.
    pub role: EngineRole,
    /// Highest fencing token issued to the engine.
    pub token: FencingToken,
    /// Latest order to this incarnation of the engine, if any.
    pub last_order: Option<OrderAction>,
}

/// Why an order is proposed.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum PlacementReason {
    /// The service has fewer copies than configured.
    #[display("service {service} has {ready} of {wanted} copies; zone {zone} has the fewest")]
    TooFewCopies {
        /// Service.
        service: ServiceName,
        /// Copies that are ready or being loaded.
        ready: usize,
        /// Configured number of copies.
        wanted: usize,
        /// Zone chosen for the next copy.
        zone: ZoneName,
    },
    /// The engine runs another version, and enough other copies stay in service.
    #[display("service {service} moves to version {version}; {others} other copies stay")]
    OtherVersion {
        /// Service.
        service: ServiceName,
        /// Wanted version.
        version: u32,
        /// Copies that stay in service during the load.
        others: usize,
    },
    /// The engine has the model but not an adapter of the service.
    #[display("service {service} needs adapter {adapter}")]
    MissingAdapter {
        /// Service.
        service: ServiceName,
        /// Adapter.
        adapter: String,
    },
    /// The engine's role is not the one that its service needs.
    #[display("service {service} needs role mixed")]
    WrongRole {
        /// Service.
        service: ServiceName,
    },
    /// The engine's service no longer uses this model.
    #[display("no service wants model {model} there")]
    UnwantedModel {
        /// Model.
        model: String,
    },
    /// An earlier order has had no reported effect.
    #[display("no effect of the order with token {token} yet")]
    NoEffectYet {
        /// Expected token of the earlier order: the highest issued when it was proposed.
        token: FencingToken,
    },
}

/// A proposed order with its reason; also logged as a decision event.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementDecision {
    /// Command for the control group.
    pub order: IssueOrder,
    /// Action of the order.
    pub action: OrderAction,
    /// Why the order is proposed.
    pub reason: PlacementReason,
}
