//! Sending the requests of a declared configuration to registered engines:
//! which service of a route, and which engine of that service.
//!
//! Pure decisions: the caller gives the time and tells what happened.

mod candidate;
mod engine;
mod errors;
mod load;
mod loss;
mod pace;
mod prompt;
mod relay;
mod reserve;
mod room;
mod slot_time;
mod slow;
mod split;
mod table;
mod turn;
mod urgency;

pub use engine::{EngineFacts, Failure, WorkShare};
pub use load::{EngineLoad, LoadFault, LoadReport};
pub use loss::Loss;
pub use pace::PaceFigures;
pub use prompt::{PromptCost, PromptPart, SharedPrompt};
pub use relay::{RelayChoice, Teller, WorkRelay};
pub use slow::{SlowChange, SlowWatch};
pub use split::WeightedSplit;
pub use table::{EngineTable, NoEngine, Pick, Picked, Standing, WorkClass};
pub use turn::{Asked, Place, TurnQueue};
pub use urgency::Urgency;
