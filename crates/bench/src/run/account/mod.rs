//! Outcomes of requests and items, as observed by callers and as recorded by the
//! back ends.

mod executions;
mod job;
mod ledger;
mod outcome;

pub use executions::Executions;
pub use job::{JobItems, JobResults, ResultFault, ResultLine};
pub use ledger::{Account, Counts, FinishedCall};
pub use outcome::CallOutcome;
