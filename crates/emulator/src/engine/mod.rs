//! The emulated engine as a sans-IO core.
//!
//! [`EngineCore`] receives the current time with each call and reports events as
//! [`Output`]s. Both server processes and the simulator drive it. It uses no
//! clock, socket, thread or unseeded randomness of its own.

mod cache;
mod cache_events;
mod core;
mod executions;
mod finished;
mod intake;
mod kv_transfer;
mod load_monitor;
mod message;
mod model;
mod order_book;
mod scheduler;
mod sequence;
mod step;
mod text;

pub use self::core::{EngineCore, EngineSettings};
pub use cache::KvMemory;
pub use executions::{ExecutionCount, ExecutionLog};
pub use finished::FinishedAttempt;
pub use message::{Answer, AttemptKey, Output, Refusal, Submission, WeightsNeeded};
pub use model::EngineModel;
pub use order_book::Loaded;
pub use scheduler::Counts;
pub use text::{AnswerText, chat_prompt, expected_answer};

use cache_events::CacheEventLog;
use finished::{AttemptLookup, FinishedAttempts};
pub use load_monitor::{LoadMonitor, Observation};
use order_book::OrderBook;
use scheduler::{Scheduler, StepPlan};
use sequence::{Sequence, SequenceId};
