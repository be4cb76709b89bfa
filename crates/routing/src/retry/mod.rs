//! Retry rules for attempts of online requests that end early.
//!
//! Rules, in this order:
//! - an attempt that certainly did not run may be retried on another engine;
//! - a broken stream is resumed on its engine, by attempt and offset;
//! - a repeatable request of whose answer the caller has received nothing may be retried on
//!   another engine;
//! - a request that may run only once is never sent again after an ambiguous end: its
//!   engine is asked for the status, and without a response the outcome is unknown.
//!
//! Every further attempt takes a token from the service's retry budget, so that retries
//! cannot amplify an overload.

mod budget;
mod check;
mod request_state;

pub use budget::{RetryBudget, RetryBudgetSettings};
pub use check::{ResponseError, StreamCheck, check_attempt, check_length};
pub use request_state::{
    AttemptEnd, AttemptRef, ClaimAnswer, NextStep, RequestKind, RequestState, StatusAnswer,
};
