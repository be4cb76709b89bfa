//! Rate limits of tenants that hold over all gateways together.
//!
//! Each gateway keeps its own estimate of one token bucket that all of them share:
//! it takes out what it admits, and what the others told that they admit. While
//! there is plenty it admits whatever comes. When tokens run short each gateway
//! takes the part of them that its part of all requests is, so that what all of
//! them admit together is what the bucket yields. Whoever hears of nobody goes on
//! as before for a while, and then takes no more than an equal part.
//!
//! Pure decisions: the caller gives the time and passes the tellings on.

mod flow;
mod relay;
mod table;
mod telling;
mod tenant;

pub use relay::UsageRelay;
pub use table::{Refused, TenantTable};
pub use telling::{TenantKey, TenantUse, Usage};
pub use tenant::Limit;
