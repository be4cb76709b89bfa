//! Runs the experiments one after the other and writes what they found.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use super::capacity::RunRecord;
use super::clock::most_resident_bytes;
use super::experiments::{EXPERIMENTS, Experiment};
use super::fit::fit_all;
use super::record::{Point, Recorder};
use super::{ScaleError, report};

/// Measure of the most memory that an experiment's process had.
const MOST_RESIDENT: &str = "most_resident_bytes";
/// How a run is started.
const COMMAND: &str = "cargo run --release --bin molespan-bench -- scale --out DIR";

/// What to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOptions {
    /// Folder for the results.
    pub out: PathBuf,
    /// Runs only this experiment, in this process, and writes no files.
    pub only: Option<String>,
}

/// Runs the experiments and prints a JSON line for each step.
///
/// # Errors
/// When an experiment fails or a result cannot be written.
pub fn run(options: &ScaleOptions) -> Result<(), ScaleError> {
    if let Some(name) = &options.only {
        return run_here(name);
    }
    create_folder(&options.out)?;
    let began = Instant::now();
    let began_at = SystemTime::now().duration_since(UNIX_EPOCH);
    let mut points = Vec::new();
    for experiment in EXPERIMENTS {
        points.extend(run_apart(experiment, &options.out)?);
    }
    let slopes = fit_all(&points);
    let record = RunRecord {
        id: run_id(&points),
        began_unix_seconds: began_at.map_or(0, |since| since.as_secs()),
        seconds: began.elapsed().as_secs_f64(),
        most_resident_megabytes: most_resident_megabytes(&points),
        command: COMMAND.to_owned(),
        processors: std::thread::available_parallelism().map_or(0, usize::from),
    };
    report::write(&options.out, record, &points, &slopes)
}

/// Most memory that any of the processes had, which ran one after the other.
fn most_resident_megabytes(points: &[Point]) -> f64 {
    const MEGABYTE: f64 = 1e6;
    let measured = points
        .iter()
        .filter_map(|point| point.measures.get(MOST_RESIDENT));
    measured.copied().fold(0.0, f64::max) / MEGABYTE
}

/// A name for the run that follows from everything it measured.
fn run_id(points: &[Point]) -> String {
    let bytes = serde_json::to_vec(points).unwrap_or_default();
    molespan_types::digest_of(&bytes).to_string()
}

/// Runs one experiment in this process.
fn run_here(name: &str) -> Result<(), ScaleError> {
    let found = EXPERIMENTS
        .iter()
        .find(|experiment| experiment.name == name);
    let Some(experiment) = found else {
        let name = name.to_owned();
        return Err(ScaleError::UnknownExperiment { name });
    };
    let mut recorder = Recorder::new(name);
    (experiment.run)(&mut recorder)?;
    let most = most_resident_bytes()? as f64;
    recorder.note("whole_process", 0.0, &[(MOST_RESIDENT, most)]);
    Ok(())
}

/// Runs one experiment in a process of its own and passes its lines on.
fn run_apart(experiment: &Experiment, out: &Path) -> Result<Vec<Point>, ScaleError> {
    let failed = |status: String| ScaleError::Process {
        experiment: experiment.name.to_owned(),
        status,
    };
    let program = std::env::current_exe().map_err(|error| failed(error.to_string()))?;
    let mut child = Command::new(program)
        .args(["scale", "--only", experiment.name, "--out"])
        .arg(out)
        .stdout(Stdio::piped())
        .spawn()
        .map_err(|error| failed(error.to_string()))?;
    let mut points = Vec::new();
    if let Some(output) = child.stdout.take() {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            println!("{line}");
            points.extend(serde_json::from_str::<Point>(&line));
        }
    }
    let status = child.wait().map_err(|error| failed(error.to_string()))?;
    if status.success() {
        Ok(points)
    } else {
        Err(failed(status.to_string()))
    }
}

fn create_folder(path: &Path) -> Result<(), ScaleError> {
    std::fs::create_dir_all(path).map_err(|source| ScaleError::File {
        path: path.to_path_buf(),
        source,
    })
}
