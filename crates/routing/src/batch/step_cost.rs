//! Estimate of an engine's step duration as a linear function of the number of
//! running requests.

use std::time::Duration;

/// Factor by which the weight of earlier observations decays at each new one.
const DECAY: f64 = 0.98;
/// Minimum total weight of observations for an estimate.
const MIN_WEIGHT: f64 = 5.0;
/// Minimum variance of the number of running requests for estimating a slope.
const MIN_VARIANCE: f64 = 0.5;

/// Exponentially weighted sums for a linear regression of the step duration, in
/// seconds, on the number of running requests.
#[derive(Clone, Debug, Default)]
pub(super) struct StepCost {
    weight: f64,
    running: f64,
    step: f64,
    running_squared: f64,
    product: f64,
}

/// A fitted line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Line {
    /// Step duration without requests, in seconds.
    pub(super) base: f64,
    /// Duration added by each running request, in seconds.
    pub(super) per_request: f64,
}

impl StepCost {
    pub(super) fn observe(&mut self, running: u32, step: Duration) {
        if step.is_zero() || running == 0 {
            return;
        }
        let (running, step) = (f64::from(running), step.as_secs_f64());
        self.weight = self.weight * DECAY + 1.0;
        self.running = self.running * DECAY + running;
        self.step = self.step * DECAY + step;
        self.running_squared = self.running_squared * DECAY + running * running;
        self.product = self.product * DECAY + running * step;
    }

    /// Returns the fitted line, or `None` while there are too few observations or
    /// they vary too little.
    pub(super) fn line(&self) -> Option<Line> {
        if self.weight < MIN_WEIGHT {
            return None;
        }
        let mean_running = self.running / self.weight;
        let mean_step = self.step / self.weight;
        let variance = self.running_squared / self.weight - mean_running * mean_running;
        if variance < MIN_VARIANCE {
            return None;
        }
        let covariance = self.product / self.weight - mean_running * mean_step;
        let per_request = (covariance / variance).max(0.0);
        let base = (mean_step - per_request * mean_running).max(0.0);
        Some(Line { base, per_request })
    }

    /// Returns the estimated step duration with one running request.
    pub(super) fn base_step(&self) -> Option<Duration> {
        let line = self.line()?;
        let seconds = line.base + line.per_request;
        (seconds > 0.0).then(|| Duration::from_secs_f64(seconds))
    }

    /// Returns the maximum number of running requests that keeps the step within
    /// `target`; `None` without an estimate or when requests add no time.
    pub(super) fn max_running_within(&self, target: Duration) -> Option<u32> {
        let line = self.line()?;
        if line.per_request <= 0.0 {
            return None;
        }
        let headroom = (target.as_secs_f64() - line.base) / line.per_request;
        Some(headroom.max(0.0) as u32)
    }
}
