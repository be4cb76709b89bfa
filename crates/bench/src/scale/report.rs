//! Writes the results of a run: every point, the slopes as a table, and plots.

use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use serde::Serialize;

use super::ScaleError;
use super::capacity::{Inputs, RunRecord, tables};
use super::fit::Slope;
use super::plot::draw_all;
use super::record::Point;

/// File with every point and slope.
const JSON: &str = "scale.json";
/// File with the slopes as a table.
const SLOPES: &str = "scale.md";
/// File with the slopes that the capacity page is worked out from.
const INPUTS: &str = "inputs.toml";
/// File with the tables of the capacity page.
const CAPACITY: &str = "capacity.md";

/// The whole run as `scale.json` holds it.
#[derive(Serialize)]
struct Run<'a> {
    run: &'a RunRecord,
    points: &'a [Point],
    slopes: &'a [Slope],
}

/// Writes the points, the slopes, the tables of the capacity page and the
/// plots into `folder`.
///
/// # Errors
/// When a file cannot be written.
pub fn write(
    folder: &Path,
    run: RunRecord,
    points: &[Point],
    slopes: &[Slope],
) -> Result<(), ScaleError> {
    let whole = Run {
        run: &run,
        points,
        slopes,
    };
    let json = serde_json::to_string_pretty(&whole).unwrap_or_default();
    write_file(&folder.join(JSON), &json)?;
    let elapsed = Duration::from_secs_f64(run.seconds);
    write_file(&folder.join(SLOPES), &table(elapsed, slopes))?;
    let inputs = Inputs::of_run(run, slopes);
    write_file(&folder.join(INPUTS), &inputs.to_text())?;
    write_file(&folder.join(CAPACITY), &capacity(&inputs))?;
    draw_all(folder, points, slopes)
}

/// The tables of the capacity page, each under its name.
fn capacity(inputs: &Inputs) -> String {
    let sections = tables(inputs).into_iter();
    let sections = sections.map(|table| format!("## {}\n\n{}", table.name, table.text));
    sections.collect::<Vec<_>>().join("\n")
}

fn write_file(path: &Path, text: &str) -> Result<(), ScaleError> {
    std::fs::write(path, text).map_err(|source| ScaleError::File {
        path: path.to_path_buf(),
        source,
    })
}

/// The slopes as a Markdown table.
fn table(elapsed: Duration, slopes: &[Slope]) -> String {
    let mut text = format!(
        "# Slopes of one run of `molespan-bench scale` ({:.0} s)\n\n\
         | experiment | measure | for each | from | to | slope | standard error | at 0 | R² | points |\n\
         |---|---|---|---:|---:|---:|---:|---:|---:|---:|\n",
        elapsed.as_secs_f64()
    );
    for slope in slopes {
        let line = &slope.line;
        // Writing to a string cannot fail.
        let _written = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} | {} | {:.3} | {} |",
            slope.experiment,
            slope.measure,
            slope.x_name,
            slope.x_least,
            slope.x_most,
            significant(line.slope),
            significant(line.slope_error),
            significant(line.intercept),
            line.r_squared,
            line.points,
        );
    }
    text
}

/// A number with four significant digits.
#[must_use]
pub fn significant(value: f64) -> String {
    const DIGITS: i32 = 4;
    if value == 0.0 || !value.is_finite() {
        return value.to_string();
    }
    let magnitude = value.abs().log10().floor() as i32;
    let decimals = (DIGITS - 1 - magnitude).max(0) as usize;
    format!("{value:.decimals$}")
}
