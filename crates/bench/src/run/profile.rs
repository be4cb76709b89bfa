//! The fleets of today and the load that their users put on them.

use std::time::Duration;

use molespan_emulator::FleetSettings;
use molespan_emulator::engine::EngineModel;

use crate::BenchError;

/// Names of the profiles.
const PROFILES: [&str; 2] = ["archive", "lab"];

/// Online completions: a steady stream with bursts on top of it.
#[derive(Clone, Debug, PartialEq)]
pub struct OnlineLoad {
    /// Mean requests a second of the steady stream; arrivals are Poisson.
    pub steady_per_second: f64,
    /// Mean time between two bursts; each gap is drawn from 0.5 to 1.5 of it.
    pub burst_every: Duration,
    /// Requests of one burst.
    pub burst_requests: u32,
    /// Time over which the requests of a burst arrive.
    pub burst_within: Duration,
    /// Share of requests with an album-sized prompt, 0.0 to 1.0.
    pub album_share: f64,
    /// Albums, each of which is a prefix that requests share.
    pub albums: u32,
    /// Tokens of the shared prefix of an album.
    pub album_prefix_tokens: u32,
    /// Tokens of every prompt that are its own.
    pub own_tokens: u32,
    /// Tokens that are generated for a short request.
    pub short_answer_tokens: u32,
    /// Tokens that are generated for an album request.
    pub album_answer_tokens: u32,
    /// Share of requests that may not be repeated, 0.0 to 1.0.
    pub unrepeatable_share: f64,
}

/// Calls of the application service.
#[derive(Clone, Debug, PartialEq)]
pub struct ApplicationLoad {
    /// Mean calls a second; arrivals are Poisson.
    pub per_second: f64,
}

/// Batch jobs, which arrive in heaps.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchLoad {
    /// Time between two heaps.
    pub heap_every: Duration,
    /// Jobs of one heap.
    pub jobs_per_heap: u32,
    /// Tokens of each item's prompt.
    pub prompt_tokens: u32,
    /// Tokens that are generated for each item.
    pub answer_tokens: u32,
    /// Share of jobs whose items may not be repeated, 0.0 to 1.0.
    pub unrepeatable_share: f64,
}

/// One fleet with its load.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// `archive` or `lab`.
    pub name: &'static str,
    /// Engines, application back ends, zones and their names.
    pub fleet: FleetSettings,
    /// Network delay between two zones, one way.
    pub one_way: Duration,
    /// Online completions.
    pub online: OnlineLoad,
    /// Application calls.
    pub application: ApplicationLoad,
    /// Batch jobs.
    pub batch: BatchLoad,
    /// The users' setting of the knob from throughput (0) to tail protection
    /// (100).
    pub tail_protection: u8,
    /// Weight of throughput in the users' score, 0.0 to 1.0; the rest is the
    /// weight of the online tail.
    pub throughput_weight: f64,
}

impl Profile {
    /// The profile of that name.
    ///
    /// # Errors
    ///
    /// When there is none.
    pub fn named(name: &str) -> Result<Self, BenchError> {
        match name {
            "archive" => Ok(Self::archive()),
            "lab" => Ok(Self::lab()),
            _ => Err(BenchError::UnknownValue {
                flag: "profile",
                value: name.to_owned(),
                known: PROFILES.join(", "),
            }),
        }
    }

    /// Captions and album summaries of the municipal archive.
    #[must_use]
    pub fn archive() -> Self {
        Self {
            name: "archive",
            fleet: FleetSettings::archive(),
            one_way: Duration::from_millis(1),
            online: OnlineLoad {
                steady_per_second: 12.0,
                burst_every: Duration::from_secs(3),
                burst_requests: 90,
                burst_within: Duration::from_millis(500),
                album_share: 0.2,
                albums: 12,
                album_prefix_tokens: 1_200,
                own_tokens: 96,
                short_answer_tokens: 24,
                album_answer_tokens: 48,
                unrepeatable_share: 0.05,
            },
            application: ApplicationLoad { per_second: 30.0 },
            batch: BatchLoad {
                heap_every: Duration::from_secs(10),
                jobs_per_heap: 4,
                prompt_tokens: 96,
                answer_tokens: 64,
                unrepeatable_share: 0.1,
            },
            tail_protection: 50,
            throughput_weight: 0.6,
        }
    }

    /// Hints, marking and safety-lock signals of the lab library.
    #[must_use]
    pub fn lab() -> Self {
        Self {
            name: "lab",
            fleet: FleetSettings::lab(),
            one_way: Duration::from_micros(500),
            online: OnlineLoad {
                steady_per_second: 24.0,
                burst_every: Duration::from_millis(2_500),
                burst_requests: 80,
                burst_within: Duration::from_millis(300),
                album_share: 0.3,
                albums: 10,
                album_prefix_tokens: 480,
                own_tokens: 64,
                short_answer_tokens: 24,
                album_answer_tokens: 40,
                unrepeatable_share: 0.1,
            },
            application: ApplicationLoad { per_second: 60.0 },
            batch: BatchLoad {
                heap_every: Duration::from_secs(10),
                jobs_per_heap: 3,
                prompt_tokens: 160,
                answer_tokens: 64,
                unrepeatable_share: 0.2,
            },
            tail_protection: 70,
            throughput_weight: 0.4,
        }
    }

    /// Names of the zones.
    #[must_use]
    pub fn zones(&self) -> Vec<String> {
        let zones = self.fleet.zones.iter();
        zones.map(|zone| zone.as_str().to_owned()).collect()
    }

    /// Batch items that one engine can complete in a second when it does
    /// nothing else, computed from its costs.
    #[must_use]
    pub fn engine_items_per_second(&self) -> f64 {
        let engine: &EngineModel = &self.fleet.engine;
        let slots = f64::from(engine.max_running);
        let decode_step = engine.step_duration(engine.max_running as usize, 0);
        let decode = decode_step.as_secs_f64() * f64::from(self.batch.answer_tokens);
        let prefill_micros =
            engine.prefill_per_thousand_micros as f64 * f64::from(self.batch.prompt_tokens) / 1e3;
        let per_item = decode / slots + prefill_micros / 1e6;
        1.0 / per_item
    }

    /// Items of each job of a heap, so that one heap keeps all engines busy
    /// until the next.
    #[must_use]
    pub fn items_per_job(&self) -> u32 {
        let fleet_rate = self.engine_items_per_second() * f64::from(self.fleet.engines);
        let heap = fleet_rate * self.batch.heap_every.as_secs_f64();
        (heap / f64::from(self.batch.jobs_per_heap)).ceil() as u32
    }
}
