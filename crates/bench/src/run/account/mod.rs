//! What befell each request and item, from the caller's side and from the
//! back ends' records.

mod executions;
mod job;
mod ledger;
mod outcome;

pub use executions::Executions;
pub use job::{JobItems, JobResults, ResultFault, ResultLine};
pub use ledger::{Account, Counts, EndedCall};
pub use outcome::CallOutcome;
