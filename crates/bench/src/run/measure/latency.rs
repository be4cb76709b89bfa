//! Distributions of durations.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Largest recorded duration, in microseconds: ten minutes. Longer ones are capped.
const HIGHEST_MICROS: u64 = 600_000_000;
/// Precision of recorded durations, in significant digits.
const DIGITS: u8 = 3;

/// Key values of a distribution, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Mean.
    pub mean_ms: f64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Largest value.
    pub max_ms: f64,
}

/// A distribution of durations.
#[derive(Clone, Debug)]
pub struct Durations {
    histogram: Option<Histogram<u64>>,
}

impl Durations {
    /// Creates the distribution of `values`.
    pub fn of(values: impl IntoIterator<Item = Duration>) -> Self {
        // The bounds are valid, so creation does not fail.
        let mut histogram = Histogram::new_with_bounds(1, HIGHEST_MICROS, DIGITS).ok();
        for value in values {
            if let Some(histogram) = &mut histogram {
                let micros = u64::try_from(value.as_micros()).unwrap_or(HIGHEST_MICROS);
                histogram.saturating_record(micros.max(1));
            }
        }
        Self { histogram }
    }

    /// Returns the key values.
    #[must_use]
    pub fn quantiles(&self) -> Quantiles {
        let Some(histogram) = &self.histogram else {
            return Quantiles::default();
        };
        if histogram.is_empty() {
            return Quantiles::default();
        }
        let at = |quantile| milliseconds(histogram.value_at_quantile(quantile));
        Quantiles {
            count: histogram.len(),
            mean_ms: histogram.mean() / 1e3,
            p50_ms: at(0.50),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            max_ms: milliseconds(histogram.max()),
        }
    }

    /// Returns the value in milliseconds at each of the quantiles `shares`, 0.0 to 1.0.
    #[must_use]
    pub fn curve(&self, shares: &[f64]) -> Vec<f64> {
        let Some(histogram) = &self.histogram else {
            return Vec::new();
        };
        let at = |share: &f64| milliseconds(histogram.value_at_quantile(*share));
        shares.iter().map(at).collect()
    }
}

fn milliseconds(micros: u64) -> f64 {
    micros as f64 / 1e3
}
