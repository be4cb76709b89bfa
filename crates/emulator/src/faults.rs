//! Faults that can be injected into an emulated service.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Faults of the emulated process, as opposed to those of its responses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Accepts connections but does not answer any request.
    pub frozen: bool,
    /// Factor on the duration of each engine step or application request.
    pub slow_factor: f64,
    /// Rejects new work with the outcome `not-run`.
    pub refuse: bool,
    /// Factor on the reported load.
    pub load_scale: f64,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            frozen: false,
            slow_factor: 1.0,
            refuse: false,
            load_scale: 1.0,
        }
    }
}

/// Fault of a response or of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum AnswerFault {
    /// The response is delayed.
    Late {
        /// Delay in milliseconds.
        millis: u64,
    },
    /// The response is the whole answer of another attempt, with that attempt's
    /// identifier.
    Crossed,
    /// The response is cut in the middle and the connection is closed.
    Truncated,
    /// The middle event of a stream is sent twice.
    DuplicatedEvent,
    /// The whole response is sent twice on the connection.
    DuplicatedAnswer,
    /// The connection is closed after `bytes` bytes of the request. The request
    /// does not run.
    CutRequest {
        /// Bytes read before the cut.
        bytes: u64,
    },
    /// The connection is closed after `bytes` bytes of the response.
    CutResponse {
        /// Bytes written before the cut.
        bytes: u64,
    },
    /// The request is accepted and runs, but the connection is closed without a
    /// response.
    AcceptThenDie,
}

/// A fault with its probability and limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnswerFaultRule {
    /// Injected fault.
    pub fault: AnswerFault,
    /// Probability per request, 0.0 to 1.0. Defaults to 1.0.
    #[serde(default = "always")]
    pub probability: f64,
    /// Remaining number of occurrences; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remaining: Option<u32>,
}

fn always() -> f64 {
    1.0
}

/// All active faults of an emulated service. As the body of
/// `POST /emulator/faults`, it replaces the previous faults.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Faults of the process.
    pub engine: EngineFaults,
    /// Faults of the responses. The first rule that applies to a request
    /// determines its fault.
    pub answers: Vec<AnswerFaultRule>,
}

/// Chooses the fault of each request.
#[derive(Clone, Debug)]
pub struct FaultPlan {
    rules: Vec<AnswerFaultRule>,
    random: ChaCha8Rng,
}

impl FaultPlan {
    /// Creates a plan without faults; `seed` determines the choices.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rules: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Replaces the rules.
    pub fn set(&mut self, rules: Vec<AnswerFaultRule>) {
        self.rules = rules;
    }

    /// Returns the fault of the next request, if any.
    pub fn choose(&mut self) -> Option<AnswerFault> {
        for rule in &mut self.rules {
            if rule.remaining == Some(0) {
                continue;
            }
            if !self.random.random_bool(rule.probability.clamp(0.0, 1.0)) {
                continue;
            }
            if let Some(remaining) = &mut rule.remaining {
                *remaining -= 1;
            }
            return Some(rule.fault);
        }
        None
    }
}
