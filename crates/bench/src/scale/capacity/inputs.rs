//! The slopes of one run, as `docs/capacity/inputs.toml` keeps them.

use std::collections::BTreeMap;
use std::fmt::Write;

use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};

use crate::scale::fit::Slope;
use crate::scale::report::significant;

/// Which run the slopes come from.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Digest of every measured point, which names the run.
    pub id: String,
    /// When it began, in seconds since the Unix epoch.
    pub began_unix_seconds: u64,
    /// How long it took.
    pub seconds: f64,
    /// Most memory that any of its processes had, which ran one after the other.
    pub most_resident_megabytes: f64,
    /// What was run.
    pub command: String,
    /// Processors of the machine.
    pub processors: usize,
}

/// One measure's line.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct InputLine {
    /// Quantity that was stepped.
    pub per: String,
    /// Rise for each unit of it.
    pub slope: f64,
    /// Standard error of the slope.
    pub error: f64,
    /// Value where it is 0.
    pub at_zero: f64,
}

/// Slopes by experiment and measure, and their run.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Inputs {
    /// The run.
    pub run: RunRecord,
    /// Lines by experiment, then by measure.
    pub lines: BTreeMap<String, BTreeMap<String, InputLine>>,
}

/// Why inputs could not be read.
#[derive(Debug, Display, Error, From)]
pub enum InputsError {
    /// The file is not as expected.
    #[display("{_0}")]
    Toml(toml::de::Error),
}

impl Inputs {
    /// The inputs that a run gives.
    #[must_use]
    pub fn of_run(run: RunRecord, slopes: &[Slope]) -> Self {
        let mut inputs = Self {
            run,
            ..Self::default()
        };
        for slope in slopes {
            let line = InputLine {
                per: slope.x_name.clone(),
                slope: slope.line.slope,
                error: slope.line.slope_error,
                at_zero: slope.line.intercept,
            };
            let measures = inputs.lines.entry(slope.experiment.clone()).or_default();
            measures.insert(slope.measure.clone(), line);
        }
        inputs
    }

    /// Reads inputs back.
    ///
    /// # Errors
    /// When the text is not of their form.
    pub fn parse(text: &str) -> Result<Self, InputsError> {
        Ok(toml::from_str(text)?)
    }

    /// The text that [`Inputs::parse`] reads, with four significant digits.
    #[must_use]
    pub fn to_text(&self) -> String {
        let run = &self.run;
        let mut text = format!(
            "# Slopes of one run of the scale experiment. Written by the run; see docs/CAPACITY.md.\n\n\
             [run]\nid = \"{}\"\nbegan_unix_seconds = {}\nseconds = {:.1}\nmost_resident_megabytes = {:.1}\ncommand = \"{}\"\nprocessors = {}\n",
            run.id,
            run.began_unix_seconds,
            run.seconds,
            run.most_resident_megabytes,
            run.command,
            run.processors
        );
        for (experiment, measures) in &self.lines {
            // Writing to a string cannot fail.
            let _written = write!(text, "\n[lines.{experiment}]\n");
            for (measure, line) in measures {
                let _written = writeln!(
                    text,
                    "{measure} = {{ per = \"{}\", slope = {}, error = {}, at_zero = {} }}",
                    line.per,
                    number(line.slope),
                    number(line.error),
                    number(line.at_zero),
                );
            }
        }
        text
    }

    /// The line of a measure; all zero when the run did not have it.
    pub(super) fn line(&self, experiment: &str, measure: &str) -> InputLine {
        let found = self.lines.get(experiment);
        let found = found.and_then(|measures| measures.get(measure)).cloned();
        found.unwrap_or(InputLine {
            per: "missing".to_owned(),
            slope: 0.0,
            error: 0.0,
            at_zero: 0.0,
        })
    }

    /// Rise of a measure for each unit.
    pub(super) fn slope(&self, experiment: &str, measure: &str) -> f64 {
        self.line(experiment, measure).slope
    }

    /// Value of a measure at `x`, never below zero.
    pub(super) fn at(&self, experiment: &str, measure: &str, x: f64) -> f64 {
        let line = self.line(experiment, measure);
        (line.at_zero + line.slope * x).max(0.0)
    }
}

/// A number as TOML has it: with a point.
fn number(value: f64) -> String {
    let text = significant(value);
    if text.contains('.') {
        text
    } else {
        format!("{text}.0")
    }
}
