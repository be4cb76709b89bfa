//! Detects requests that crash every engine that runs them.
//!
//! When an engine ends, all requests that it runs fail, and one of them may have been the
//! cause. Each gateway blames the requests that it had there, and all gateways exchange
//! these blames: a set of pairs of a request and an engine that ended while running it,
//! merged by union, so that a crash counts once however often and by whomever it is
//! reported. A complete answer from any engine clears the request of all earlier crashes.
//! A request that is left with three crashes that nothing else explains is guilty, and is
//! not sent to any engine any more.
//!
//! What ends an engine may also be a part of a prompt, in requests that are otherwise
//! different. Therefore the parts of a request's prompt are blamed with it, and a complete
//! answer clears them too, so that a part that many requests share is cleared all the time.
//! Parts that are blamed for the same crashes cannot be told apart: they are guilty
//! together, and only requests with all of them are kept from engines. A request with some
//! of them is sent, and its outcome tells which of them it is.
//!
//! A request whose answer goes on for a while behind the point at which an earlier engine ended
//! is not the cause of that end: what ends engines does so as they begin. So a long batch item
//! that engines end under for other reasons collects few crashes while it makes progress.
//!
//! The module does no I/O: the caller passes in the time and delivers the blames.

mod blame;
mod features;
mod guilt;
mod part_guilt;
mod parts;
mod suspect;
mod table;

pub use blame::{Blame, EngineKey, Progress, SharedBlame, engine_key};
pub use features::{FeatureDigest, Features, Shared};
pub use guilt::{Cause, Verdict};
pub use part_guilt::Evidence;
pub use table::SuspectTable;
