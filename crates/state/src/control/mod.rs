//! The control group: configuration, node registry, placement and orders.

mod command;
mod configuration;
mod query;

pub use command::{
    ConfirmIntent, ConfirmReply, ControlCommand, ControlReply, IntentNumber, IssueOrder,
    NodeRecord, NodeRole, RegisterNode,
};
pub use configuration::{
    Adapter, Change, Configuration, Model, Policy, Service, ServiceKind, TenantLimits,
};
pub use query::{
    ControlAnswer, ControlQuery, IssuedOrder, Plan, PlanLine, PlanProblem, VersionsInForce,
};
