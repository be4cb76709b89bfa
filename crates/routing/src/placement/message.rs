//! What the planner is given and what it proposes.

use std::time::Duration;

use derive_more::Display;
use molespan_engine_api::{EngineRole, OrderAction};
use molespan_state::control::IssueOrder;
use molespan_types::{BackendId, FencingToken, Incarnation, ServiceName, ZoneName};

/// Bounds of placement.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Most loads from the weight store at once.
    pub most_loads: usize,
    /// Most orders in one step.
    pub most_orders: usize,
    /// Time for which a load counts as running at least, since an engine that
    /// reports no versions shows no difference when it starts one.
    pub shortest_load: Duration,
    /// Time without effect after which an order is proposed again.
    pub resend_after: Duration,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            most_loads: 2,
            most_orders: 4,
            shortest_load: Duration::from_secs(1),
            resend_after: Duration::from_secs(20),
        }
    }
}

/// An engine as the directory has it, and its latest order's token.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineState {
    /// Engine.
    pub backend: BackendId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub zone: ZoneName,
    /// Service that it is meant for.
    pub service: ServiceName,
    /// Whether it may get new work.
    pub in_service: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Models ready.
    pub models: Vec<String>,
    /// Adapters ready.
    pub adapters: Vec<String>,
    /// Role in force.
    pub role: EngineRole,
    /// Highest token issued to it.
    pub token: FencingToken,
    /// Its latest order, if that was for this life of it.
    pub last_order: Option<OrderAction>,
}

/// Why an order is proposed.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum PlacementReason {
    /// The service has fewer ready copies than it should.
    #[display("service {service} has {ready} of {wanted} copies; zone {zone} has the fewest")]
    TooFewCopies {
        /// Service.
        service: ServiceName,
        /// Copies ready or being loaded.
        ready: usize,
        /// Copies wanted.
        wanted: usize,
        /// Zone that was chosen for the next copy.
        zone: ZoneName,
    },
    /// The engine runs another version; enough other copies stay in service.
    #[display("service {service} moves to version {version}; {others} other copies stay")]
    OtherVersion {
        /// Service.
        service: ServiceName,
        /// Wanted version.
        version: u32,
        /// Copies that stay in service meanwhile.
        others: usize,
    },
    /// The engine has the model but lacks an adapter of the service.
    #[display("service {service} needs adapter {adapter}")]
    MissingAdapter {
        /// Service.
        service: ServiceName,
        /// Adapter.
        adapter: String,
    },
    /// The engine is in another role than its service needs.
    #[display("service {service} needs role mixed")]
    WrongRole {
        /// Service.
        service: ServiceName,
    },
    /// No service wants this model on this engine any more.
    #[display("no service wants model {model} there")]
    UnwantedModel {
        /// Model.
        model: String,
    },
    /// An earlier order shows no effect yet.
    #[display("no effect of the order with token {token} yet")]
    NoEffectYet {
        /// Token under which it was to be issued.
        token: FencingToken,
    },
}

/// A proposed order and its reason; also a decision event.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementDecision {
    /// Input for the control group.
    pub order: IssueOrder,
    /// The action in it.
    pub action: OrderAction,
    /// Why.
    pub reason: PlacementReason,
}
