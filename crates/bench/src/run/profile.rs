//! Profiles: fleets and the load that their users generate.

use std::time::Duration;

use molespan_emulator::FleetSettings;
use molespan_emulator::engine::EngineModel;

use crate::BenchError;

/// Names of the profiles.
const PROFILES: [&str; 2] = ["archive", "lab"];

/// Load of online completions: a steady stream with additional bursts.
#[derive(Clone, Debug, PartialEq)]
pub struct OnlineLoad {
    /// Mean rate of the steady stream, in requests per second. Arrivals are a Poisson process.
    pub steady_per_second: f64,
    /// Mean time between bursts; each gap is drawn from 0.5 to 1.5 times this value.
    pub mean_burst_interval: Duration,
    /// Number of requests per burst.
    pub burst_requests: u32,
    /// Time over which the requests of a burst arrive.
    pub burst_duration: Duration,
    /// Share of requests with an album-sized prompt, 0.0 to 1.0.
    pub album_share: f64,
    /// Number of albums, each of which is a prompt prefix shared by requests.
    pub albums: u32,
    /// Number of tokens in the shared prefix of an album.
    pub album_prefix_tokens: u32,
    /// Number of tokens unique to each prompt.
    pub unique_tokens: u32,
    /// Number of tokens generated for a short request.
    pub short_answer_tokens: u32,
    /// Number of tokens generated for an album request.
    pub album_answer_tokens: u32,
    /// Share of requests that are not repeatable, 0.0 to 1.0.
    pub non_repeatable_share: f64,
}

/// Load of application calls.
#[derive(Clone, Debug, PartialEq)]
pub struct ApplicationLoad {
    /// Mean rate in calls per second. Arrivals are a Poisson process.
    pub per_second: f64,
}

/// Load of batch jobs, which arrive several at a time in waves.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchLoad {
    /// Interval between waves of jobs.
    pub wave_interval: Duration,
    /// Number of jobs per wave.
    pub jobs_per_wave: u32,
    /// Number of tokens in each item's prompt.
    pub prompt_tokens: u32,
    /// Number of tokens generated for each item.
    pub answer_tokens: u32,
    /// Share of jobs whose items are not repeatable, 0.0 to 1.0.
    pub non_repeatable_share: f64,
}

/// A fleet and its load.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Name of the profile: `archive` or `lab`.
    pub name: &'static str,
    /// Settings of the fleet: engines, application back ends, zones and names.
    pub fleet: FleetSettings,
    /// One-way network delay between zones.
    pub one_way: Duration,
    /// Load of online completions.
    pub online: OnlineLoad,
    /// Load of application calls.
    pub application: ApplicationLoad,
    /// Load of batch jobs.
    pub batch: BatchLoad,
    /// The users' tail protection setting, from 0 (favours throughput) to 100
    /// (protects tail latency).
    pub tail_protection: u8,
    /// Weight of throughput in the users' score, 0.0 to 1.0; the remainder is the
    /// weight of online tail latency.
    pub throughput_weight: f64,
}

impl Profile {
    /// Returns the profile with the given name.
    ///
    /// # Errors
    ///
    /// Fails if there is no such profile.
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

    /// Returns the profile of the municipal archive: captions and album summaries.
    #[must_use]
    pub fn archive() -> Self {
        Self {
            name: "archive",
            fleet: FleetSettings::archive(),
            one_way: Duration::from_millis(1),
            online: OnlineLoad {
                steady_per_second: 12.0,
                mean_burst_interval: Duration::from_secs(3),
                burst_requests: 90,
                burst_duration: Duration::from_millis(500),
                album_share: 0.2,
                albums: 12,
                album_prefix_tokens: 1_200,
                unique_tokens: 96,
                short_answer_tokens: 24,
                album_answer_tokens: 48,
                non_repeatable_share: 0.05,
            },
            application: ApplicationLoad { per_second: 30.0 },
            batch: BatchLoad {
                wave_interval: Duration::from_secs(10),
                jobs_per_wave: 4,
                prompt_tokens: 96,
                answer_tokens: 64,
                non_repeatable_share: 0.1,
            },
            tail_protection: 50,
            throughput_weight: 0.6,
        }
    }

    /// Returns the profile of the lab library: hints, marking and safety-lock signals.
    #[must_use]
    pub fn lab() -> Self {
        Self {
            name: "lab",
            fleet: FleetSettings::lab(),
            one_way: Duration::from_micros(500),
            online: OnlineLoad {
                steady_per_second: 24.0,
                mean_burst_interval: Duration::from_millis(2_500),
                burst_requests: 80,
                burst_duration: Duration::from_millis(300),
                album_share: 0.3,
                albums: 10,
                album_prefix_tokens: 480,
                unique_tokens: 64,
                short_answer_tokens: 24,
                album_answer_tokens: 40,
                non_repeatable_share: 0.1,
            },
            application: ApplicationLoad { per_second: 60.0 },
            batch: BatchLoad {
                wave_interval: Duration::from_secs(10),
                jobs_per_wave: 3,
                prompt_tokens: 160,
                answer_tokens: 64,
                non_repeatable_share: 0.2,
            },
            tail_protection: 70,
            throughput_weight: 0.4,
        }
    }

    /// Returns the names of the zones.
    #[must_use]
    pub fn zones(&self) -> Vec<String> {
        let zones = self.fleet.zones.iter();
        zones.map(|zone| zone.as_str().to_owned()).collect()
    }

    /// Returns the batch items per second that one engine completes when it runs
    /// nothing else, computed from the engine's cost model.
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

    /// Returns the items per job, chosen so that the jobs of one wave keep all
    /// engines busy until the next.
    #[must_use]
    pub fn items_per_job(&self) -> u32 {
        let fleet_rate = self.engine_items_per_second() * f64::from(self.fleet.engines);
        let wave_items = fleet_rate * self.batch.wave_interval.as_secs_f64();
        (wave_items / f64::from(self.batch.jobs_per_wave)).ceil() as u32
    }
}
