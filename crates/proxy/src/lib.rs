//! The gateway of declared configurations.
//!
//! A request passes through these modules: [`dialect`] parses it into typed facts,
//! `request` finds its route and writes the answer, `dispatch` makes the attempts,
//! [`queue`] decides when a waiting request may pick an engine, `attempt` sends it to
//! one engine over a connection from `pool` or `race`, `relay` passes the answer to the
//! caller, `resume` continues a broken stream at another engine, and `streams` finds out
//! which software version may go on with it. `batch::api` accepts and reads batch jobs, and
//! `batch::runner` runs their items. `state` holds the gateway's view of the cluster,
//! `waiting` the requests that wait for an engine; `tenants` identifies the tenant of a
//! request and applies its rate limit. `engine_ends` detects engines that ended while they ran requests, `bars` keeps
//! the requests that cause this away from all engines, and `reach` detects unreachable
//! zones. `metrics` exports the figures for operators.

mod answer_progress;
mod attempt;
mod bar_trials;
mod bars;
mod batch;
mod connection;
pub mod dialect;
mod dispatch;
mod engine_ends;
mod events;
mod first;
mod gateway;
mod metrics;
mod newest_version;
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
mod streams;
mod tenants;
mod waiting;
mod work_shares;

pub use gateway::{Gateway, GatewayOptions};
