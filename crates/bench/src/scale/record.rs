//! What was measured: one point a step, printed as a JSON line.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// One step of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Experiment.
    pub experiment: String,
    /// Quantity that is stepped, as `machines`.
    pub x_name: String,
    /// Its value at this step.
    pub x: f64,
    /// Which of the runs at this value, from 0.
    pub repeat: u32,
    /// What was measured: name with its unit, and value.
    #[serde(flatten)]
    pub measures: BTreeMap<String, f64>,
}

/// Collects the points of an experiment and prints each as it comes.
#[derive(Debug)]
pub struct Recorder {
    experiment: String,
    points: Vec<Point>,
}

impl Recorder {
    /// A recorder for `experiment`.
    #[must_use]
    pub fn new(experiment: &str) -> Self {
        Self {
            experiment: experiment.to_owned(),
            points: Vec::new(),
        }
    }

    /// Notes what was measured at `x`. Runs at the same value are counted.
    pub fn note(&mut self, x_name: &str, x: f64, measures: &[(&str, f64)]) {
        let same = |point: &&Point| point.x_name == x_name && point.x == x;
        let repeat = self.points.iter().filter(same).count() as u32;
        let named = measures.iter();
        let point = Point {
            experiment: self.experiment.clone(),
            x_name: x_name.to_owned(),
            x,
            repeat,
            measures: named
                .map(|(name, value)| ((*name).to_owned(), *value))
                .collect(),
        };
        if let Ok(line) = serde_json::to_string(&point) {
            println!("{line}");
        }
        self.points.push(point);
    }
}
