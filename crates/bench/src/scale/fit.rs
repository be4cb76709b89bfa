//! A straight line through measured points, by least squares.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::record::Point;

/// A line `intercept + slope * x` and how sure it is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Rise of the measure for each unit of the stepped quantity.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Value where the stepped quantity is 0.
    pub intercept: f64,
    /// Share of the variance that the line explains, 0 to 1.
    pub r_squared: f64,
    /// Points that it was fitted to.
    pub points: usize,
}

/// The line of one measure of one experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Experiment.
    pub experiment: String,
    /// Quantity that was stepped.
    pub x_name: String,
    /// Least value of it.
    pub x_least: f64,
    /// Largest value of it.
    pub x_most: f64,
    /// Measure.
    pub measure: String,
    /// The line.
    #[serde(flatten)]
    pub line: Line,
}

/// Fits a line to `(x, y)` pairs; `None` when all x are equal.
#[must_use]
pub fn fit(pairs: &[(f64, f64)]) -> Option<Line> {
    let count = pairs.len() as f64;
    let mean_x = pairs.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = pairs.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread_x: f64 = pairs.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if pairs.len() < 2 || spread_x == 0.0 {
        return None;
    }
    let product: f64 = pairs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = product / spread_x;
    let intercept = mean_y - slope * mean_x;
    let residuals = pairs.iter().map(|(x, y)| y - intercept - slope * x);
    let unexplained: f64 = residuals.map(|residual| residual.powi(2)).sum();
    let spread_y: f64 = pairs.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
    let freedom = (count - 2.0).max(1.0);
    Some(Line {
        slope,
        slope_error: (unexplained / freedom / spread_x).sqrt(),
        intercept,
        r_squared: if spread_y > 0.0 {
            1.0 - unexplained / spread_y
        } else {
            1.0
        },
        points: pairs.len(),
    })
}

/// What a line is fitted for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Key<'a> {
    experiment: &'a str,
    x_name: &'a str,
    measure: &'a str,
}

/// Fits every measure of every experiment, in the order of their names.
#[must_use]
pub fn fit_all(points: &[Point]) -> Vec<Slope> {
    let mut pairs: BTreeMap<Key<'_>, Vec<(f64, f64)>> = BTreeMap::new();
    for point in points {
        for (measure, value) in &point.measures {
            let key = Key {
                experiment: &point.experiment,
                x_name: &point.x_name,
                measure,
            };
            pairs.entry(key).or_default().push((point.x, *value));
        }
    }
    let fitted = pairs.iter().filter_map(|(key, pairs)| slope_of(key, pairs));
    fitted.collect()
}

fn slope_of(key: &Key<'_>, pairs: &[(f64, f64)]) -> Option<Slope> {
    let xs = || pairs.iter().map(|(x, _)| *x);
    Some(Slope {
        experiment: key.experiment.to_owned(),
        x_name: key.x_name.to_owned(),
        x_least: xs().fold(f64::INFINITY, f64::min),
        x_most: xs().fold(f64::NEG_INFINITY, f64::max),
        measure: key.measure.to_owned(),
        line: fit(pairs)?,
    })
}
