//! Load of the two users, an archive and a lab: bursts of online requests with short
//! and album-sized prompts, and batch jobs that arrive in waves.

use std::time::Duration;

use molespan_emulator::engine::EngineModel;
use molespan_types::Timestamp;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Size of one kind of request, in tokens.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Prefix shared by all requests of one subject, such as an album or a practical.
    pub shared: u32,
    /// Part of the prompt that is unique to the request.
    pub own: u32,
    /// Tokens to generate.
    pub answer: u32,
}

impl Shape {
    fn new(shared: u32, own: u32, answer: u32) -> Self {
        Self {
            shared,
            own,
            answer,
        }
    }
}

/// A user's fleet and load, as in the benchmark.
#[derive(Clone, Debug)]
pub struct Profile {
    pub name: &'static str,
    pub model: EngineModel,
    pub engines: u32,
    /// One-way network delay between zones.
    pub between_zones: Duration,
    /// Rate of the steady online requests, per second.
    pub steady_rate: f64,
    /// Mean time between bursts; each gap is 0.5 to 1.5 times the mean.
    pub burst_interval: Duration,
    /// Number of requests in a burst, all of which arrive within `burst_within`.
    pub burst_requests: u32,
    pub burst_within: Duration,
    /// Share of album-sized requests.
    pub large_share: f64,
    pub small: Shape,
    pub large: Shape,
    /// Number of albums or practicals in use.
    pub subjects: u32,
    /// Interval between waves of batch jobs.
    pub wave_interval: Duration,
    /// Items per wave; more than all engines can process before the next wave.
    pub wave_items: u32,
    pub item: Shape,
}

/// Number of zones of either user.
pub const ZONES: u32 = 3;

impl Profile {
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "archive" => Some(Self::archive()),
            "lab" => Some(Self::lab()),
            _ => None,
        }
    }

    fn archive() -> Self {
        Self {
            name: "archive",
            model: EngineModel::archive(),
            engines: 8,
            between_zones: Duration::from_millis(1),
            steady_rate: 12.0,
            burst_interval: Duration::from_secs(3),
            burst_requests: 90,
            burst_within: Duration::from_millis(500),
            large_share: 0.2,
            small: Shape::new(0, 96, 24),
            large: Shape::new(1_200, 96, 48),
            subjects: 12,
            wave_interval: Duration::from_secs(10),
            wave_items: 7_500,
            item: Shape::new(0, 96, 64),
        }
    }

    fn lab() -> Self {
        Self {
            name: "lab",
            model: EngineModel::lab(),
            engines: 13,
            between_zones: Duration::from_micros(500),
            steady_rate: 24.0,
            burst_interval: Duration::from_millis(2_500),
            burst_requests: 80,
            burst_within: Duration::from_millis(300),
            large_share: 0.3,
            small: Shape::new(0, 64, 24),
            large: Shape::new(480, 64, 40),
            subjects: 10,
            wave_interval: Duration::from_secs(10),
            wave_items: 14_000,
            item: Shape::new(0, 160, 64),
        }
    }
}

/// One online request.
#[derive(Clone, Debug)]
pub struct OnlineRequest {
    pub at: Timestamp,
    /// Gateway that receives the request.
    pub gateway: u32,
    pub prompt: String,
    pub answer: u32,
}

/// Returns all online requests until `end`, in order of arrival.
pub fn online_requests(profile: &Profile, seed: u64, end: Duration) -> Vec<OnlineRequest> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let end = end.as_secs_f64();
    let mut times = Vec::new();
    let mut now = 0.0;
    while now < end {
        now += exponential(&mut random, 1.0 / profile.steady_rate);
        times.push(now);
    }
    let mut burst = 0.0;
    while burst < end {
        burst += profile.burst_interval.as_secs_f64() * random.random_range(0.5..1.5);
        let within = profile.burst_within.as_secs_f64();
        times.extend((0..profile.burst_requests).map(|_| burst + random.random_range(0.0..within)));
    }
    times.sort_by(f64::total_cmp);
    let requests = times.into_iter();
    requests
        .map(|at| one_request(profile, &mut random, at))
        .collect()
}

fn exponential(random: &mut ChaCha8Rng, mean: f64) -> f64 {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    -uniform.ln() * mean
}

fn one_request(profile: &Profile, random: &mut ChaCha8Rng, now: f64) -> OnlineRequest {
    let large = random.random_bool(profile.large_share);
    let shape = if large {
        &profile.large
    } else {
        &profile.small
    };
    let subject = random.random_range(0..profile.subjects);
    OnlineRequest {
        at: Timestamp((now * 1e6) as u64),
        gateway: random.random_range(0..ZONES),
        prompt: prompt(subject, shape.shared, random.random(), shape.own),
        answer: shape.answer,
    }
}

/// Returns the prompt of a batch item.
pub fn item_prompt(profile: &Profile, job: u64, item: u32) -> String {
    let shape = &profile.item;
    prompt(0, shape.shared, job << 32 | u64::from(item), shape.own)
}

/// Returns a prompt of `shared` tokens that depend on `subject`, followed by `own`
/// tokens that depend on `number`. Each word of four characters is one token.
fn prompt(subject: u32, shared: u32, number: u64, own: u32) -> String {
    let mut text = String::with_capacity(5 * (shared + own) as usize);
    for position in 0..shared {
        push_word(&mut text, u64::from(subject) * 7_919 + u64::from(position));
    }
    let mut random = ChaCha8Rng::seed_from_u64(number);
    for _ in 0..own {
        push_word(&mut text, random.random());
    }
    text
}

fn push_word(text: &mut String, number: u64) {
    const LETTERS: &[u8; 16] = b"abcdefghijklmnop";
    for shift in [0, 4, 8, 12] {
        text.push(char::from(
            LETTERS[(number >> shift) as usize % LETTERS.len()],
        ));
    }
    text.push(' ');
}
