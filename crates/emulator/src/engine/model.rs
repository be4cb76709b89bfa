//! Performance and capacity model of an emulated engine.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Costs and limits of an emulated engine. All times are in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineModel {
    /// Fixed cost of each step.
    pub step_base_micros: u64,
    /// Additional cost of a step for each sequence that generates a token.
    pub step_per_sequence_micros: u64,
    /// Additional cost of a step for each thousand prompt tokens processed.
    pub prefill_per_thousand_micros: u64,
    /// Maximum number of prompt tokens processed per step.
    pub prefill_chunk_tokens: u32,
    /// Maximum number of sequences in the running batch.
    pub max_running: u32,
    /// Maximum number of waiting sequences; further ones are rejected.
    pub max_waiting: u32,
    /// KV memory in blocks of [`BLOCK_TOKENS`](molespan_engine_api::BLOCK_TOKENS)
    /// tokens.
    pub kv_blocks: u32,
    /// Whether online sequences are admitted first and preempt batch sequences.
    pub priority: bool,
    /// Sampling interval of the load report.
    pub load_interval_micros: u64,
    /// Minimum age of a load sample when it is served.
    pub load_delay_micros: u64,
    /// Delay before a cache event becomes visible.
    pub cache_event_delay_micros: u64,
    /// Fraction of cache events that are never published, 0.0 to 1.0.
    pub cache_event_loss: f64,
    /// Retention time of the records of ended attempts.
    pub retention_micros: u64,
    /// Maximum number of retained records of ended attempts.
    pub retention_attempts: usize,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self::archive()
    }
}

impl EngineModel {
    /// Returns the model of the archive's engines: larger batches, longer steps.
    #[must_use]
    pub fn archive() -> Self {
        Self {
            step_base_micros: 4_000,
            step_per_sequence_micros: 60,
            prefill_per_thousand_micros: 10_000,
            prefill_chunk_tokens: 512,
            max_running: 32,
            max_waiting: 512,
            kv_blocks: 4_096,
            priority: true,
            load_interval_micros: 100_000,
            load_delay_micros: 50_000,
            cache_event_delay_micros: 200_000,
            cache_event_loss: 0.01,
            retention_micros: 60_000_000,
            retention_attempts: 8_192,
        }
    }

    /// Returns the model of the lab library's engines: smaller batches, shorter
    /// steps.
    #[must_use]
    pub fn lab() -> Self {
        Self {
            step_base_micros: 3_000,
            step_per_sequence_micros: 50,
            prefill_per_thousand_micros: 8_000,
            prefill_chunk_tokens: 256,
            max_running: 24,
            kv_blocks: 3_072,
            ..Self::archive()
        }
    }

    /// Returns the model named `name`: `archive` or `lab`.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "archive" => Some(Self::archive()),
            "lab" => Some(Self::lab()),
            _ => None,
        }
    }

    /// Returns the duration of a step without the slow-down fault.
    #[must_use]
    pub fn step_duration(&self, generating: usize, prefill_tokens: u32) -> Duration {
        let sequences = self.step_per_sequence_micros * generating as u64;
        let prefill = self.prefill_per_thousand_micros * u64::from(prefill_tokens) / 1_000;
        Duration::from_micros(self.step_base_micros + sequences + prefill)
    }
}
