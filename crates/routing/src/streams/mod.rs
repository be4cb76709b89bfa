//! Which software version began each resumable stream.
//!
//! A caller whose answer broke off takes its stream up at any gateway, and may go on only at
//! the version that began it. The gateway that sent the first event reports the stream to
//! two control nodes, its holders; the gateway at which the caller returns asks all of them.
//! A stream that nobody knows does not go on: an unknown version is never taken for equal.

mod holder;
mod origin;
mod search;

pub use holder::{HOLDERS, Holder, ReportPace, in_order, report_interval};
pub use origin::{KnownOrigin, OriginReport, Origins};
pub use search::{Found, HolderAnswer, Search};
