//! Figures of an arm and the table that reports them.

use crate::arms::Arm;
use crate::load::Profile;

/// Results of one or more runs of an arm.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Times to the first token, in seconds.
    pub first_token: Vec<f64>,
    /// Times between tokens, in seconds.
    pub between_tokens: Vec<f64>,
    /// Online requests that ended during the measured time.
    pub online: u64,
    /// Batch items recorded during the measured time.
    pub items: u64,
    /// Batch streams that were cancelled, so that their items start again.
    pub stopped: u64,
    /// Prompt tokens of online requests, and how many were cached.
    pub prompt_tokens: u64,
    pub cached_tokens: u64,
    /// Busy time of engines, summed over engines, in seconds.
    pub busy: f64,
    /// Measured time multiplied by the number of engines, in seconds.
    pub engine_time: f64,
    /// Measured time, in seconds.
    pub time: f64,
}

impl Figures {
    pub fn add(&mut self, other: Figures) {
        self.first_token.extend(other.first_token);
        self.between_tokens.extend(other.between_tokens);
        self.online += other.online;
        self.items += other.items;
        self.stopped += other.stopped;
        self.prompt_tokens += other.prompt_tokens;
        self.cached_tokens += other.cached_tokens;
        self.busy += other.busy;
        self.engine_time += other.engine_time;
        self.time += other.time;
    }

    fn items_per_second(&self) -> f64 {
        self.items as f64 / self.time
    }
}

fn quantile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let position = (sorted.len().saturating_sub(1) as f64 * share).round() as usize;
    sorted.get(position).copied().unwrap_or(f64::NAN)
}

/// Prints a Markdown table. Idle utilization is relative to the fastest arm without
/// online load.
pub fn print_report(profile: &Profile, arms: &[Arm], figures: &[Figures]) {
    let runs = || arms.iter().zip(figures);
    let Some((_, alone)) = runs().find(|(arm, _)| !arm.batch) else {
        return;
    };
    let idle_share = 1.0 - alone.busy / alone.engine_time;
    let fastest = runs()
        .filter(|(arm, _)| !arm.online)
        .map(|(_, figures)| figures.items_per_second())
        .fold(f64::NAN, f64::max);
    let alone_p99 = quantile(&alone.first_token, 0.99);
    println!(
        "{}: {} engines, idle share {idle_share:.3}, {} online requests",
        profile.name, profile.engines, alone.online
    );
    println!(
        "| arm | first token p50 ms | p95 | p99 | interference | between tokens p99 ms | online | cached | items/s | idle utilization | stopped |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for (arm, figures) in runs() {
        let token = |share| 1e3 * quantile(&figures.first_token, share);
        let p99 = quantile(&figures.first_token, 0.99);
        println!(
            "| {} | {:.1} | {:.1} | {:.1} | {:.3} | {:.1} | {} | {:.2} | {:.1} | {:.3} | {} |",
            arm.name,
            token(0.5),
            token(0.95),
            token(0.99),
            p99 / alone_p99,
            1e3 * quantile(&figures.between_tokens, 0.99),
            figures.online,
            figures.cached_tokens as f64 / figures.prompt_tokens.max(1) as f64,
            figures.items_per_second(),
            figures.items_per_second() / (fastest * idle_share),
            figures.stopped,
        );
    }
}
