//! The scale experiment: hollow nodes and engines in growing numbers.

use std::path::PathBuf;

use crate::BenchError;

/// What the command line asks of the scale experiment.
#[derive(Clone, Debug)]
pub struct ScaleOptions {
    /// Folder for the measured steps and the fitted slopes.
    pub out: PathBuf,
}

/// Runs the scale experiment and prints a JSON line a step.
///
/// # Errors
///
/// When a step cannot be measured.
pub fn run(_options: &ScaleOptions) -> Result<(), BenchError> {
    Err(BenchError::NotBuilt {
        subcommand: "scale",
    })
}
