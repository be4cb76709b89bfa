//! Plots of the points and their lines: one picture an experiment, with a
//! panel for each measure.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::*;

use super::ScaleError;
use super::fit::Slope;
use super::record::Point;
use super::report::significant;
use crate::run::report::lettering::write_text;
use crate::run::report::plots::{Area, DrawError};

/// Size of a panel in pixels.
const PANEL: (u32, u32) = (420, 300);
/// Panels beside each other.
const COLUMNS: usize = 3;
/// Pixels around the drawing area of a panel.
const LEFT: i32 = 20;
const RIGHT: i32 = 20;
const TOP: i32 = 48;
const BOTTOM: i32 = 36;
/// Height of text in pixels.
const TEXT_HEIGHT: i32 = 7;
/// Radius of a point in pixels.
const RADIUS: i32 = 3;
/// Room above the largest value, as a share of it.
const HEADROOM: f64 = 1.05;

/// Draws a picture for each experiment.
///
/// # Errors
/// When a picture cannot be written.
pub fn draw_all(folder: &Path, points: &[Point], slopes: &[Slope]) -> Result<(), ScaleError> {
    let mut experiments: BTreeMap<&str, Vec<&Slope>> = BTreeMap::new();
    for slope in slopes {
        let panels = experiments.entry(&slope.experiment).or_default();
        panels.push(slope);
    }
    for (experiment, slopes) in experiments {
        let path = folder.join(format!("{experiment}.png"));
        draw(&path, points, &slopes).map_err(|error| ScaleError::Plot {
            message: error.to_string(),
        })?;
    }
    Ok(())
}

fn draw(path: &Path, points: &[Point], slopes: &[&Slope]) -> Result<(), DrawError> {
    let columns = slopes.len().min(COLUMNS);
    let rows = slopes.len().div_ceil(COLUMNS);
    let size = (PANEL.0 * columns as u32, PANEL.1 * rows as u32);
    let area = BitMapBackend::new(path, size).into_drawing_area();
    area.fill(&WHITE)?;
    for (panel, slope) in area.split_evenly((rows, columns)).iter().zip(slopes) {
        draw_panel(panel, points, slope)?;
    }
    area.present()
}

fn draw_panel(area: &Area<'_>, points: &[Point], slope: &Slope) -> Result<(), DrawError> {
    let pairs = pairs_of(points, slope);
    let largest_y = pairs.iter().map(|(_, y)| *y).fold(0.0, f64::max);
    let scale = Scale {
        x: slope.x_most * HEADROOM,
        y: largest_y.max(f64::MIN_POSITIVE) * HEADROOM,
    };
    let origin = scale.place(0.0, 0.0);
    let frame = [scale.place(0.0, scale.y), origin, scale.place(scale.x, 0.0)];
    area.draw(&PathElement::new(frame.to_vec(), BLACK))?;
    let line = &slope.line;
    let ends = [slope.x_least, slope.x_most].map(|x| {
        let y = (line.intercept + line.slope * x).clamp(0.0, scale.y);
        scale.place(x, y)
    });
    area.draw(&PathElement::new(ends.to_vec(), BLUE.stroke_width(2)))?;
    for (x, y) in pairs {
        area.draw(&Circle::new(scale.place(x, y), RADIUS, RED.filled()))?;
    }
    write_labels(area, slope, largest_y)
}

fn write_labels(area: &Area<'_>, slope: &Slope, largest_y: f64) -> Result<(), DrawError> {
    let line = &slope.line;
    let fitted = format!(
        "slope {} error {} for each of {}",
        significant(line.slope),
        significant(line.slope_error),
        slope.x_name
    );
    let below = PANEL.1 as i32 - BOTTOM + 12;
    let most = significant(slope.x_most);
    let right = PANEL.0 as i32 - RIGHT - 6 * most.len() as i32;
    write_text(area, &slope.experiment, (LEFT, 6), TEXT_HEIGHT)?;
    let upper = format!("{}, up to {}", slope.measure, significant(largest_y));
    write_text(area, &upper, (LEFT, 20), TEXT_HEIGHT)?;
    write_text(area, &fitted, (LEFT, 34), TEXT_HEIGHT)?;
    write_text(area, &slope.x_name, (LEFT, below), TEXT_HEIGHT)?;
    write_text(area, &most, (right, below), TEXT_HEIGHT)
}

/// The measured pairs of one panel.
fn pairs_of(points: &[Point], slope: &Slope) -> Vec<(f64, f64)> {
    let of_panel =
        |point: &&Point| point.experiment == slope.experiment && point.x_name == slope.x_name;
    let points = points.iter().filter(of_panel);
    let pairs = points.filter_map(|point| {
        let value = point.measures.get(&slope.measure)?;
        Some((point.x, *value))
    });
    pairs.collect()
}

/// Largest values of a panel in both directions.
struct Scale {
    x: f64,
    y: f64,
}

impl Scale {
    /// The pixel of a point.
    fn place(&self, x: f64, y: f64) -> (i32, i32) {
        let width = f64::from(PANEL.0 as i32 - LEFT - RIGHT);
        let height = f64::from(PANEL.1 as i32 - TOP - BOTTOM);
        let across = f64::from(LEFT) + x / self.x * width;
        let down = f64::from(TOP) + (1.0 - y / self.y) * height;
        (across as i32, down as i32)
    }
}
