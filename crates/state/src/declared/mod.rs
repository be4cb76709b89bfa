//! Declared state: the configuration document of an operator and the registrations of
//! engines and stores. It is the part of the control group that requests are routed by,
//! using host and path.
//!
//! A declared configuration has an increasing version number assigned by the operator. The
//! highest committed version is in force; a lower or equal one changes nothing, so a
//! retried or late document has no effect. Departures of engines are replicated because an
//! acknowledged departure must be permanent. Running engines are not replicated, since they
//! announce themselves repeatedly.

mod bars;
mod command;
mod departures;
mod document;
mod model;
mod request_digest;
mod state;
mod stores;
mod stream;
mod tenants;
mod trials;

pub use bars::{BAR_DURATION, Bar, Bars};
pub use command::{Declaration, DeclaredCommand, DeclaredReply, RegisterStore, RetireReply};
pub use departures::{Departure, Departures};
pub use document::Document;
pub use model::{
    CallerLimits, Destination, EngineModel, Route, RouteKind, ServiceModel, ServingModel,
};
pub use request_digest::{RequestDigest, RequestParts};
pub use state::{DeclaredConfiguration, DeclaredState};
pub use stores::{Retirement, StoreNode, Stores};
pub use stream::{StreamKey, StreamOrigin};
pub use tenants::{KeyDigest, RateLimit, Tenant};
pub use trials::{MAX_TRIALS, TrialOutcome, TrialReply, Trials, UNLIMITED_TRIALS};
