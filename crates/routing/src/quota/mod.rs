//! Rate limits of tenants that apply to all gateways together.
//!
//! Each gateway keeps its own estimate of one token bucket that all of them share: it
//! subtracts what it admits itself, and what the others report to have admitted. While
//! there are plenty of tokens it admits every request. When tokens run short, each
//! gateway takes a share of them that is proportional to its share of all requests, so
//! that all gateways together admit what the bucket yields. A gateway that receives no
//! reports continues as before for a while, and then takes no more than an equal share.
//!
//! The module does no I/O: the caller passes in the time and delivers the reports.

mod flow;
mod relay;
mod table;
mod telling;
mod tenant;

pub use relay::UsageRelay;
pub use table::{Refused, TenantTable};
pub use telling::{TenantKey, TenantUse, Usage};
pub use tenant::Limit;
