//! What to do when an attempt at an online request ends early.
//!
//! Rules, in this order:
//! - an attempt that certainly did not run may be made again elsewhere;
//! - a stream that broke is resumed on its engine, by attempt and offset;
//! - a repeatable request of whose answer the caller saw nothing may be made
//!   again elsewhere;
//! - a request that may run once is never sent again after an ambiguous end:
//!   its engine is asked, and without an answer the outcome is unknown.
//!
//! Every further attempt takes a token from the service's retry budget, so that
//! retries cannot multiply an overload.

mod budget;
mod check;
mod request_state;

pub use budget::{RetryBudget, RetryBudgetSettings};
pub use check::{ResponseError, StreamCheck, check_attempt, check_length};
pub use request_state::{
    AttemptEnd, AttemptRef, ClaimAnswer, NextStep, RequestKind, RequestState, StatusAnswer,
};
