//! The experiment: a fleet of real processes under load, in several arms.

pub mod account;
pub mod load;
pub mod profile;

use std::path::PathBuf;

use crate::BenchError;

/// What the command line asks of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Name of the fleet.
    pub profile: String,
    /// Folder of the report.
    pub out: PathBuf,
    /// Measured seconds of each arm.
    pub seconds: Option<u64>,
    /// Seed of arrival times, prompts and choices.
    pub seed: Option<u64>,
    /// Arms to run, separated by commas.
    pub arms: Option<String>,
}

/// Runs the experiment and prints its figures.
///
/// # Errors
///
/// When a flag is unknown, or the fleet cannot be started.
pub fn run(_options: &RunOptions) -> Result<(), BenchError> {
    Err(BenchError::NotBuilt { subcommand: "run" })
}
