//! Chosen engines and the reasons, for the decision log.

use derive_more::{Display, Error};
use molespan_types::BackendId;

/// Rule that decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum PickRule {
    /// Only one engine may be used.
    #[display("only engine")]
    OnlyEngine,
    /// The engine caches the longest part of the prompt, and its load is near the least.
    #[display("prefix affinity")]
    Affinity,
    /// Batch work already yields on the engine, and choosing it costs less than
    /// interrupting batch work on another one.
    #[display("undisturbed")]
    Undisturbed,
    /// The engine is the less loaded of two chosen at random.
    #[display("better of two")]
    BetterOfTwo,
    /// Baseline: engines are chosen in turn.
    #[display("round robin")]
    RoundRobin,
    /// Baseline: the engine with the lowest reported load is chosen.
    #[display("least reported")]
    LeastReported,
}

/// An engine that was considered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Considered {
    /// Engine.
    pub backend: BackendId,
    /// Load in requests, corrected by this gateway's own requests.
    pub load: f64,
    /// Adaptive limit in requests.
    pub limit: u32,
}

/// Why an engine was chosen, with the inputs of the decision.
#[derive(Clone, Debug, PartialEq)]
pub struct PickReason {
    /// Rule that decided.
    pub rule: PickRule,
    /// Whether engines of other zones were allowed.
    pub spilled: bool,
    /// Number of engines that could have been chosen.
    pub open: u32,
    /// Least load among them.
    pub least_load: f64,
    /// Leading prompt blocks that the chosen engine caches.
    pub matched_blocks: u32,
    /// Engines whose loads were compared, the chosen one first.
    pub considered: Vec<Considered>,
}

/// A chosen engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// Chosen engine.
    pub backend: BackendId,
    /// Reason for the choice.
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
