//! Store nodes.

mod available;
mod call_order;
mod emptied;
mod handout;
mod node;
mod open_index;
mod peer;

pub use call_order::{ArrivalNumber, CallNumber, CallOrder};
pub use emptied::ReportedRetirements;
pub use handout::{ItemLease, LeaseTable};
pub use node::{StoreNode, StoreOptions};
pub use open_index::OpenIndex;
pub use peer::OPEN_LIMIT;
