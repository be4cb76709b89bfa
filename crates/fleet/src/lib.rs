//! Control and store nodes of a cluster that finds its members.
//!
//! A **control node** holds the control group: the declared configuration,
//! engines that leave, and the stores. It listens to the heartbeats of engines
//! and tells gateways and stores what they need to know ([`view`]). A **store
//! node** holds batch jobs and, while it leads, hands their items out
//! ([`store`]).

pub mod control;
pub mod membership;
pub mod refusals;
pub mod store;
pub mod telling;
pub mod view;
mod wakeup;
mod watch;

pub use membership::ClusterAddresses;
pub use watch::{Asker, ViewSink, ViewWatcher};
