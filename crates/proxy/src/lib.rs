//! The gateway of declared configurations.
//!
//! A request goes through these steps, each a module: [`dialect`] makes it
//! typed, `request` finds its route and answers, `dispatch` makes the attempts,
//! [`queue`] lets those that wait look for engines in turn, `attempt` brings it to one
//! engine over a connection of `pool` or of `race`, `relay` passes
//! the answer back, `resume` lets another engine go on with a stream. Batch jobs
//! are taken and read by `batch::api`, and their items run by `batch::runner`.
//! What the gateway knows of the cluster is in `state`, and whose a request is and
//! what its tenant may send in `tenants`. `engine_ends` finds out which engines ended
//! under requests, `bars` keeps guilty requests from all engines, and `reach` finds out which
//! zones are out of reach. What operators see
//! of it in figures is in `metrics`.

mod attempt;
mod bars;
mod batch;
mod connection;
pub mod dialect;
mod dispatch;
mod engine_ends;
mod events;
mod gateway;
mod metrics;
mod pace;
mod pool;
pub mod queue;
mod race;
mod reach;
mod relay;
mod request;
mod resume;
mod room;
mod silence;
mod state;
mod tenants;
mod work_shares;

pub use gateway::{Gateway, GatewayOptions};
