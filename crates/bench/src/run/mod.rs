//! The experiment: a fleet of real processes under load, in several arms.
//!
//! Each arm runs on a new fleet with the same arrivals, drawn from the seed. The arms
//! of a run are executed one after another on the same machine.

pub mod account;
mod arm_figures;
mod arm_run;
pub mod arms;
pub mod direct;
pub mod experiment;
pub mod faults;
pub mod figures;
pub mod fleet;
pub mod load;
pub mod measure;
pub mod profile;
pub mod report;
mod threads;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use molespan_http::{Pool, PoolLimits};

use self::arms::Arm;
use self::experiment::Experiment;
use self::figures::RunFigures;
use self::fleet::create_folder;
use self::fleet::programs::Programs;
use self::profile::Profile;
use self::threads::run_on_threads;
use crate::BenchError;

/// Default measured time per arm in seconds, with which a full run takes about four
/// minutes.
const DEFAULT_SECONDS: u64 = 16;
/// Default seed.
const DEFAULT_SEED: u64 = 1;
/// Number of threads that run the load, besides the main thread.
const LOAD_THREADS: usize = 3;
/// Maximum number of connections of the load per address.
const MAX_CONNECTIONS: usize = 4_096;
/// Timeout of a caller for the head of a response, and for its body.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Command-line options of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Name of the profile.
    pub profile: String,
    /// Output folder of the report.
    pub out: PathBuf,
    /// Measured time per arm, in seconds.
    pub seconds: Option<u64>,
    /// Seed for arrival times, prompts and random choices.
    pub seed: Option<u64>,
    /// Arms to run, separated by commas.
    pub arms: Option<String>,
}

/// Runs the experiment, writes its report and prints its figures as one line
/// of JSON.
///
/// # Errors
///
/// Fails if an option is invalid, the fleet cannot be started, or the report cannot
/// be written.
pub fn run(options: &RunOptions) -> Result<(), BenchError> {
    let profile = Profile::named(&options.profile)?;
    let arms = match &options.arms {
        Some(list) => Arm::parse_list(list)?,
        None => Arm::ALL.to_vec(),
    };
    let programs = Programs::find()?;
    create_folder(&options.out)?;
    let experiment = Experiment {
        programs,
        profile,
        length: Duration::from_secs(options.seconds.unwrap_or(DEFAULT_SECONDS)),
        seed: options.seed.unwrap_or(DEFAULT_SEED),
        executor: Arc::new(Executor::new()),
        pool: load_pool(),
    };
    let figures = run_arms(&experiment, &arms, options)?;
    report::write(&figures, &options.out)?;
    let summary = serde_json::to_string(&figures.summary());
    println!("{}", summary.unwrap_or_default());
    Ok(())
}

fn run_arms(
    experiment: &Experiment,
    arms: &[Arm],
    options: &RunOptions,
) -> Result<RunFigures, BenchError> {
    let mut figures = RunFigures {
        profile: experiment.profile.name.to_owned(),
        seed: experiment.seed,
        throughput_weight: experiment.profile.throughput_weight,
        ..RunFigures::default()
    };
    for arm in arms {
        eprintln!("bench: arm {}", arm.name());
        let folder = options.out.join("fleet").join(arm.name());
        let running = experiment.run_arm(*arm, &folder);
        let arm_figures = run_on_threads(&experiment.executor, LOAD_THREADS, running)?;
        figures.arms.insert(arm.name().to_owned(), arm_figures);
    }
    Ok(figures)
}

fn load_pool() -> Pool {
    Pool::new(PoolLimits {
        max_connections_per_address: MAX_CONNECTIONS,
        response_timeout: RESPONSE_TIMEOUT,
        body_timeout: RESPONSE_TIMEOUT,
        ..PoolLimits::default()
    })
}
