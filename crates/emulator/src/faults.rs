//! The faults that a stand-in can show, as switches.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Faults of an engine itself, apart from its connections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Accepts connections and answers nothing.
    pub frozen: bool,
    /// Every step takes this many times as long.
    pub slow_factor: f64,
    /// Refuses new work as not run.
    pub refuse: bool,
    /// Numbers in load reports are multiplied by this.
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

/// What happens to an answer, or to the connection that should carry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum AnswerFault {
    /// It comes this much later.
    Late {
        /// Delay in milliseconds.
        millis: u64,
    },
    /// It is the whole answer of another attempt, under that attempt's id.
    Crossed,
    /// It is cut in the middle and the connection is closed.
    Truncated,
    /// The middle event of a stream comes twice.
    DuplicatedEvent,
    /// The whole response comes twice on the connection.
    DuplicatedAnswer,
    /// The connection is closed after this many bytes of the request. Nothing
    /// of it runs.
    CutRequest {
        /// Bytes read before the cut.
        bytes: u64,
    },
    /// The connection is closed after this many bytes of the response.
    CutResponse {
        /// Bytes written before the cut.
        bytes: u64,
    },
    /// The request is taken and runs; the connection is closed without answer.
    AcceptThenDie,
}

/// A fault with its frequency.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnswerFaultRule {
    /// The fault.
    pub fault: AnswerFault,
    /// Share of the requests that it hits, 0.0 to 1.0.
    #[serde(default = "always")]
    pub probability: f64,
    /// Times it may still happen; unlimited when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remaining: Option<u32>,
}

fn always() -> f64 {
    1.0
}

/// Everything that can be switched on one stand-in. It is the body of
/// `POST /emulator/faults` and replaces what was in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Faults of the process.
    pub engine: EngineFaults,
    /// Faults of its answers; the first that applies to a request hits it.
    pub answers: Vec<AnswerFaultRule>,
}

/// Chooses the fault of each request.
#[derive(Clone, Debug)]
pub struct FaultPlan {
    rules: Vec<AnswerFaultRule>,
    random: ChaCha8Rng,
}

impl FaultPlan {
    /// No fault; choices depend on `seed`.
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

    /// The fault of the next request, if any.
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
