//! How fast an emulated engine is and how much it holds.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Costs and limits of an emulated engine. Times are in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineModel {
    /// Cost of every step.
    pub step_base_micros: u64,
    /// Cost of each sequence that generates a token in a step.
    pub step_per_sequence_micros: u64,
    /// Cost of a thousand prompt tokens processed in a step.
    pub prefill_per_thousand_micros: u64,
    /// Most prompt tokens processed in one step.
    pub prefill_chunk_tokens: u32,
    /// Most sequences in the running batch.
    pub max_running: u32,
    /// Most sequences that wait; more are refused.
    pub max_waiting: u32,
    /// KV memory in blocks of [`BLOCK_TOKENS`](molespan_engine_api::BLOCK_TOKENS).
    pub kv_blocks: u32,
    /// Whether online sequences enter first and preempt batch sequences.
    pub priority: bool,
    /// Interval between two observations for the load report.
    pub load_interval_micros: u64,
    /// Least age of an observation when it is served.
    pub load_delay_micros: u64,
    /// Delay before a cache event can be read.
    pub cache_event_delay_micros: u64,
    /// Share of cache events that are never published, 0.0 to 1.0.
    pub cache_event_loss: f64,
    /// How long an ended attempt can be asked about.
    pub retention_micros: u64,
    /// Most ended attempts that can be asked about.
    pub retention_attempts: usize,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self::archive()
    }
}

impl EngineModel {
    /// Engines of the archive: large batches, longer steps.
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

    /// Engines of the lab library: smaller batches, shorter steps.
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

    /// The model of that name: `archive` or `lab`.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "archive" => Some(Self::archive()),
            "lab" => Some(Self::lab()),
            _ => None,
        }
    }

    /// Duration of a step at normal speed.
    #[must_use]
    pub fn step_duration(&self, generating: usize, prefill_tokens: u32) -> Duration {
        let sequences = self.step_per_sequence_micros * generating as u64;
        let prefill = self.prefill_per_thousand_micros * u64::from(prefill_tokens) / 1_000;
        Duration::from_micros(self.step_base_micros + sequences + prefill)
    }
}
