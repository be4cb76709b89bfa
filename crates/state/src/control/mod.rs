//! The control group: configuration, node registry, placement and orders.

mod command;
mod configuration;
mod confirmations;
mod effects;
mod history;
mod machine;
mod nodes;
mod orders;
mod plan;
mod problems;
mod query;
mod update;

pub use command::{
    ConfirmIntent, ConfirmReply, ControlCommand, ControlReply, IntentNumber, IssueOrder,
    NodeRecord, NodeRole, RegisterNode,
};
pub use configuration::{
    Adapter, Change, Configuration, Model, Policy, Service, ServiceKind, TenantLimits,
};
pub use history::ConfigurationHistory;
pub use machine::ControlMachine;
pub use plan::{apply_changes, digest_of_changes, plan};
pub use query::{
    ControlAnswer, ControlQuery, IssuedOrder, Plan, PlanLine, PlanProblem, VersionsInForce,
};
pub use update::{ConfigurationDelta, ConfigurationUpdate, UpdateError, changes_between};
