//! Routing of requests to registered engines by the declared configuration: which service
//! of a route, and which engine of that service.
//!
//! Makes decisions only: the caller passes the time and reports what happened.

mod avoided;
mod candidate;
mod demand;
mod engine;
mod errors;
mod leaving;
mod lives;
mod load;
mod loss;
mod pace;
mod prompt;
mod reachable;
mod relay;
mod reserve;
mod room;
mod short;
mod slot_time;
mod slow;
mod split;
mod table;
mod turn;
mod urgency;

pub use demand::{DemandRelay, ServiceDemand};
pub(crate) use engine::SHARE_TTL;
pub use engine::{EngineFacts, Failure, WorkShare};
pub use lives::LatestIncarnations;
pub use load::{EngineLoad, LoadFault, LoadReport};
pub use loss::PreemptionCost;
pub use pace::PaceFigures;
pub use prompt::{PromptCost, PromptPart, SharedPrompt};
pub use reachable::{Probe, SuspectReason};
pub use relay::{RelayChoice, ReportSource, WorkRelay};
pub use short::Shortage;
pub use slow::{SlowChange, SlowWatch};
pub use split::WeightedSplit;
pub use table::{EngineTable, NoEngine, Pick, Picked, Standing, WorkClass};
pub use turn::{TurnQueue, TurnRequest, WaiterId};
pub use urgency::Urgency;
