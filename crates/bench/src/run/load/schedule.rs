//! Arrival times, computed before the load starts.
//!
//! The load is an open loop: an arrival does not wait for earlier responses. Each
//! latency is measured from the scheduled time of the arrival, so that delays of
//! the generator or server are not hidden (coordinated omission).

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::run::profile::{ApplicationLoad, BatchLoad, OnlineLoad};

/// Seed offsets of the separate random streams, so that a change to one stream does
/// not affect the others.
const APPLICATION_STREAM: u64 = 1;
const BATCH_STREAM: u64 = 2;

/// Kind of an online request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnlineKind {
    /// A short prompt, for one picture or hint.
    Short,
    /// A long prompt, for a whole album or practical, that starts with the prefix
    /// of this number.
    Album(u32),
}

/// Arrival of an online request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OnlineArrival {
    /// Scheduled time since the start of the load.
    pub at: Duration,
    /// Kind of the request.
    pub kind: OnlineKind,
    /// Index of the caller's zone.
    pub zone: usize,
    /// Whether the request is repeatable.
    pub repeatable: bool,
}

/// Arrival of an application call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplicationArrival {
    /// Scheduled time since the start of the load.
    pub at: Duration,
    /// Index of the caller's zone.
    pub zone: usize,
}

/// Arrival of a batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobArrival {
    /// Scheduled time since the start of the load.
    pub at: Duration,
    /// Index of the submitter's zone.
    pub zone: usize,
    /// Number of items.
    pub items: u32,
    /// Whether the items are repeatable.
    pub repeatable: bool,
}

/// Returns the online requests within `length`, ordered by time.
#[must_use]
pub fn online_arrivals(
    load: &OnlineLoad,
    zones: usize,
    length: Duration,
    seed: u64,
) -> Vec<OnlineArrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut times = poisson_times(load.steady_per_second, length, &mut random);
    times.extend(burst_times(load, length, &mut random));
    times.sort_unstable();
    times
        .into_iter()
        .map(|at| OnlineArrival {
            at,
            kind: online_kind(load, &mut random),
            zone: random.random_range(0..zones),
            repeatable: !random.random_bool(load.non_repeatable_share),
        })
        .collect()
}

/// Returns the application calls within `length`, ordered by time.
#[must_use]
pub fn application_arrivals(
    load: &ApplicationLoad,
    zones: usize,
    length: Duration,
    seed: u64,
) -> Vec<ApplicationArrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.wrapping_add(APPLICATION_STREAM));
    poisson_times(load.per_second, length, &mut random)
        .into_iter()
        .map(|at| ApplicationArrival {
            at,
            zone: random.random_range(0..zones),
        })
        .collect()
}

/// Returns the batch jobs within `length`: a wave at the start, then one per interval.
#[must_use]
pub fn job_arrivals(
    load: &BatchLoad,
    items_per_job: u32,
    zones: usize,
    length: Duration,
    seed: u64,
) -> Vec<JobArrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.wrapping_add(BATCH_STREAM));
    let mut jobs = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        for _ in 0..load.jobs_per_wave {
            jobs.push(JobArrival {
                at,
                zone: random.random_range(0..zones),
                items: items_per_job,
                repeatable: !random.random_bool(load.non_repeatable_share),
            });
        }
        at += load.wave_interval;
    }
    jobs
}

/// Returns arrival times of a Poisson process.
fn poisson_times(per_second: f64, length: Duration, random: &mut ChaCha8Rng) -> Vec<Duration> {
    let mut times = Vec::new();
    if per_second <= 0.0 {
        return times;
    }
    let mut at = 0.0;
    loop {
        let uniform: f64 = random.random();
        at -= (1.0 - uniform).ln() / per_second;
        if at >= length.as_secs_f64() {
            return times;
        }
        times.push(Duration::from_secs_f64(at));
    }
}

/// Returns arrival times within bursts.
fn burst_times(load: &OnlineLoad, length: Duration, random: &mut ChaCha8Rng) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut start = load
        .mean_burst_interval
        .mul_f64(random.random_range(0.2..0.7));
    while start < length {
        for _ in 0..load.burst_requests {
            let at = start + load.burst_duration.mul_f64(random.random());
            if at < length {
                times.push(at);
            }
        }
        start += load
            .mean_burst_interval
            .mul_f64(random.random_range(0.5..1.5));
    }
    times
}

fn online_kind(load: &OnlineLoad, random: &mut ChaCha8Rng) -> OnlineKind {
    if random.random_bool(load.album_share) {
        OnlineKind::Album(random.random_range(0..load.albums))
    } else {
        OnlineKind::Short
    }
}
