//! What was chosen and why, for the decision stream.

use derive_more::{Display, Error};
use molespan_types::BackendId;

/// Rule that decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum PickRule {
    /// It is the only engine that may be used.
    #[display("only engine")]
    OnlyEngine,
    /// It holds the longest part of the prompt, and its load is near the least.
    #[display("prefix affinity")]
    Affinity,
    /// Batch work yields there already, and it costs less than to disturb an
    /// engine where batch work runs.
    #[display("undisturbed")]
    Undisturbed,
    /// It is the less loaded of two drawn at random.
    #[display("better of two")]
    BetterOfTwo,
    /// Its turn came; a baseline.
    #[display("round robin")]
    RoundRobin,
    /// Its last report was the lowest; a baseline.
    #[display("least reported")]
    LeastReported,
}

/// An engine that was looked at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Considered {
    /// Engine.
    pub backend: BackendId,
    /// Its load in requests, as corrected by own requests.
    pub load: f64,
    /// Its adaptive limit in requests.
    pub limit: u32,
}

/// Why an engine was chosen, with the inputs of the decision.
#[derive(Clone, Debug, PartialEq)]
pub struct PickReason {
    /// Rule that decided.
    pub rule: PickRule,
    /// Whether engines of other zones were allowed.
    pub spilled: bool,
    /// Engines that might have been chosen.
    pub open: u32,
    /// Least load among them.
    pub least_load: f64,
    /// Leading prompt blocks that the chosen engine holds.
    pub matched_blocks: u32,
    /// Engines whose loads were compared, the chosen one first.
    pub considered: Vec<Considered>,
}

/// A choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// Chosen engine.
    pub backend: BackendId,
    /// Why.
    pub reason: PickReason,
}

/// Why no engine can be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum PickError {
    /// No engine of the service may take work.
    #[display("no engine may take work")]
    NoEngine,
    /// Every engine that may take work already failed this request.
    #[display("every engine already failed this request")]
    AllExcluded,
    /// Every engine is at its limit; the request should wait.
    #[display("every engine is at its limit")]
    AllAtLimit,
}
