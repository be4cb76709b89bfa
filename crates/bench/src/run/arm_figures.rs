//! Figures of one arm from the records of its calls.

use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use super::account::FinishedCall;
use super::experiment::WARM_UP;
use super::figures::{ArmFigures, ProgressPoint};
use super::fleet::write_file;
use super::load::batch::BatchReport;
use super::load::online::LoadRecord;
use super::measure::latency::Durations;

/// Number of points in a plotted distribution.
const CURVE_POINTS: u32 = 200;

/// Converts records to finished calls for the account.
pub(super) fn finished_calls(records: &[LoadRecord]) -> Vec<FinishedCall> {
    let finished = records.iter().map(|record| FinishedCall {
        prompt: record.call.prompt,
        repeatable: record.repeatable,
        outcome: record.call.outcome.clone(),
    });
    finished.collect()
}

/// Returns the times of the calls scheduled within the measured time.
pub(super) fn latency_figures(online: &[LoadRecord], application: &[LoadRecord]) -> ArmFigures {
    let measured = |record: &&LoadRecord| record.at >= WARM_UP;
    let online: Vec<&LoadRecord> = online.iter().filter(measured).collect();
    let first = Durations::of(online.iter().filter_map(|record| record.call.first_token));
    let shares: Vec<f64> = (1..=CURVE_POINTS)
        .map(|point| f64::from(point) / f64::from(CURVE_POINTS))
        .collect();
    let gaps = online.iter().flat_map(|record| &record.call.token_gaps);
    let application = application.iter().filter(measured);
    ArmFigures {
        first_token: first.quantiles(),
        first_token_curve_ms: first.curve(&shares),
        online_whole: Durations::of(online.iter().map(|record| record.call.whole)).quantiles(),
        token_gap: Durations::of(gaps.copied()).quantiles(),
        application_whole: Durations::of(application.map(|record| record.call.whole)).quantiles(),
        ..ArmFigures::default()
    }
}

/// Writes all calls with their scheduled times as CSV, for analysis.
pub(super) fn write_calls(path: &Path, records: &[LoadRecord]) {
    let mut text = "intended_ms,first_token_ms,whole_ms,outcome\n".to_owned();
    for record in records {
        let millis = |time: Duration| time.as_secs_f64() * 1e3;
        let first = record.call.first_token.map_or(0.0, millis);
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{:.1},{first:.2},{:.2},{}",
            millis(record.at),
            millis(record.call.whole),
            record.call.outcome.label()
        );
    }
    if let Err(error) = write_file(path, &text) {
        eprintln!("bench: {error}");
    }
}

/// Converts progress samples to points for plots.
pub(super) fn progress_points(batch: &BatchReport) -> Vec<ProgressPoint> {
    let points = batch.samples.iter().map(|sample| ProgressPoint {
        at_s: sample.at.as_secs_f64(),
        completed: sample.completed,
    });
    points.collect()
}
