//! Sending the requests of a declared configuration to registered engines:
//! which service of a route, and which engine of that service.
//!
//! Pure decisions: the caller gives the time and tells what happened.

mod candidate;
mod demand;
mod engine;
mod errors;
mod prompt;
mod relay;
mod room;
mod short;
mod slot_time;
mod split;
mod table;
mod turn;
mod urgency;

pub use demand::{DemandRelay, ServiceDemand};
pub use engine::{EngineFacts, EngineLoad, Failure, WorkShare};
pub use prompt::{PromptCost, PromptPart, SharedPrompt};
pub use relay::{RelayChoice, Teller, WorkRelay};
pub use short::Shortage;
pub use split::WeightedSplit;
pub use table::{EngineTable, NoEngine, Pick, Picked, Standing, WorkClass};
pub use turn::{Asked, Place, TurnQueue};
pub use urgency::Urgency;
