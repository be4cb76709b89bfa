//! Control and store nodes of a cluster that discovers its members.
//!
//! A **control node** replicates the control group: the declared configuration, the
//! engines that are leaving, and the stores. It receives the heartbeats of engines and
//! sends gateways and stores the changes that concern them ([`view`]). A **store node**
//! replicates batch jobs and, while it is the leader, leases their items to gateways
//! ([`store`]).

pub mod control;
pub mod membership;
pub mod notification;
pub mod refusals;
pub mod store;
pub mod view;
mod wakeup;
mod watch;

pub use membership::ClusterAddresses;
pub use watch::{ViewSink, ViewWatcher, WatcherIdentity};
