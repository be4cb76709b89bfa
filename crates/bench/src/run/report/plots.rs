//! Plots as PNG files.
//!
//! The plotting library needs a font file to draw text, and the benchmark has none;
//! see [`super::lettering`].

use std::path::Path;

use plotters::prelude::*;

use super::lettering::write_text;
use crate::BenchError;
use crate::run::figures::{ArmFigures, RunFigures};

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (1_000, 640);
/// Margins around the drawing area in pixels.
const LEFT: i32 = 90;
const RIGHT: i32 = 210;
const TOP: i32 = 50;
const BOTTOM: i32 = 60;
/// Number of grid intervals in each direction.
const GRID: i32 = 5;
/// Text heights in pixels.
const TITLE_HEIGHT: i32 = 18;
const TEXT_HEIGHT: i32 = 12;

/// A named line of a plot.
struct Series<'a> {
    name: &'a str,
    points: Vec<(f64, f64)>,
}

/// Contents of a plot.
struct Plot<'a> {
    title: String,
    x_label: &'a str,
    y_label: &'a str,
    scale: Scale,
    series: Vec<Series<'a>>,
}

/// Scale of the vertical axis.
#[derive(Clone, Copy)]
enum Scale {
    Linear,
    /// Logarithmic from 1; smaller values are drawn as 1.
    Logarithmic,
}

impl Scale {
    fn height(self, value: f64) -> f64 {
        match self {
            Self::Linear => value,
            Self::Logarithmic => value.max(1.0).log10(),
        }
    }

    /// Returns the value at a height.
    fn value(self, height: f64) -> f64 {
        match self {
            Self::Linear => height,
            Self::Logarithmic => 10f64.powf(height),
        }
    }
}

/// Plots the distribution of the time to first token per arm.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn first_token(figures: &RunFigures, path: &Path) -> Result<(), BenchError> {
    let points = |arm: &ArmFigures| {
        let curve = &arm.first_token_curve_ms;
        let count = curve.len().max(1) as f64;
        let share = |position: usize| (position + 1) as f64 / count * 100.0;
        let values = curve.iter().enumerate();
        values
            .map(|(position, value)| (share(position), *value))
            .collect()
    };
    let plot = Plot {
        title: format!("{}: time to first token", figures.profile),
        x_label: "percent of requests",
        y_label: "ms",
        scale: Scale::Logarithmic,
        series: series(figures, points),
    };
    plot.draw(path)
}

/// Plots the completed batch items over time per arm.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn batch_progress(figures: &RunFigures, path: &Path) -> Result<(), BenchError> {
    let points = |arm: &ArmFigures| {
        let progress = arm.batch_progress.iter();
        progress
            .map(|point| (point.at_s, point.completed as f64))
            .collect()
    };
    let plot = Plot {
        title: format!("{}: batch items completed", figures.profile),
        x_label: "seconds",
        y_label: "items",
        scale: Scale::Linear,
        series: series(figures, points),
    };
    plot.draw(path)
}

/// Returns a line for each arm that has data.
fn series(
    figures: &RunFigures,
    points: impl Fn(&ArmFigures) -> Vec<(f64, f64)>,
) -> Vec<Series<'_>> {
    let arms = figures.arms.iter().map(|(name, arm)| Series {
        name,
        points: points(arm),
    });
    arms.filter(|series| series.points.len() > 1 && series.largest().1 > 0.0)
        .collect()
}

impl Series<'_> {
    /// Returns the largest x and the largest y value.
    fn largest(&self) -> (f64, f64) {
        let larger =
            |so_far: (f64, f64), point: &(f64, f64)| (so_far.0.max(point.0), so_far.1.max(point.1));
        self.points.iter().fold((0.0, 0.0), larger)
    }
}

impl Plot<'_> {
    fn draw(&self, path: &Path) -> Result<(), BenchError> {
        let area = BitMapBackend::new(path, SIZE).into_drawing_area();
        let drawn = self.draw_on(&area);
        let drawn = drawn.and_then(|()| area.present());
        drawn.map_err(|error| BenchError::Plot {
            path: path.to_owned(),
            reason: error.to_string(),
        })
    }

    fn draw_on(&self, area: &Area<'_>) -> Result<(), DrawError> {
        area.fill(&WHITE)?;
        let largest = self.largest();
        self.draw_grid(area, largest)?;
        for (position, series) in self.series.iter().enumerate() {
            let color = Palette99::pick(position).to_rgba();
            let heights = series.points.iter();
            let heights = heights.map(|point| (point.0, self.scale.height(point.1)));
            let points = heights.map(|point| to_pixel(point, largest));
            area.draw(&PathElement::new(
                points.collect::<Vec<_>>(),
                color.stroke_width(2),
            ))?;
            self.draw_legend(area, position as i32, series.name, color)?;
        }
        write_text(area, &self.title, (LEFT, 16), TITLE_HEIGHT)?;
        let bottom = SIZE.1 as i32 - 22;
        write_text(area, self.x_label, (LEFT, bottom), TEXT_HEIGHT)?;
        write_text(area, self.y_label, (10, TOP - 26), TEXT_HEIGHT)
    }

    fn draw_grid(&self, area: &Area<'_>, largest: (f64, f64)) -> Result<(), DrawError> {
        let grey = BLACK.mix(0.2);
        for step in 0..=GRID {
            let share = f64::from(step) / f64::from(GRID);
            let (x, y) = (largest.0 * share, largest.1 * share);
            let horizontal = vec![
                to_pixel((0.0, y), largest),
                to_pixel((largest.0, y), largest),
            ];
            let vertical = vec![
                to_pixel((x, 0.0), largest),
                to_pixel((x, largest.1), largest),
            ];
            area.draw(&PathElement::new(horizontal, grey))?;
            area.draw(&PathElement::new(vertical, grey))?;
            let (left, bottom) = (to_pixel((0.0, y), largest), to_pixel((x, 0.0), largest));
            write_text(
                area,
                &tick(self.scale.value(y)),
                (10, left.1 - 6),
                TEXT_HEIGHT,
            )?;
            write_text(area, &tick(x), (bottom.0 - 10, bottom.1 + 10), TEXT_HEIGHT)?;
        }
        Ok(())
    }

    fn draw_legend(
        &self,
        area: &Area<'_>,
        position: i32,
        name: &str,
        color: RGBAColor,
    ) -> Result<(), DrawError> {
        let x = SIZE.0 as i32 - RIGHT + 15;
        let y = TOP + 10 + position * 24;
        let mark = vec![(x, y + 6), (x + 24, y + 6)];
        area.draw(&PathElement::new(mark, color.stroke_width(3)))?;
        write_text(area, name, (x + 32, y), TEXT_HEIGHT)
    }

    fn largest(&self) -> (f64, f64) {
        let series = self.series.iter().map(Series::largest);
        series.fold((1.0, 1.0), |so_far, largest| {
            let height = self.scale.height(largest.1);
            (so_far.0.max(largest.0), so_far.1.max(height))
        })
    }
}

/// Drawing area of a plot.
pub type Area<'a> = DrawingArea<BitMapBackend<'a>, plotters::coord::Shift>;
/// Error of the plotting library.
pub type DrawError = DrawingAreaErrorKind<<BitMapBackend<'static> as DrawingBackend>::ErrorType>;

/// Returns the pixel of a point.
fn to_pixel(point: (f64, f64), largest: (f64, f64)) -> (i32, i32) {
    let width = f64::from(SIZE.0 as i32 - LEFT - RIGHT);
    let height = f64::from(SIZE.1 as i32 - TOP - BOTTOM);
    let x = f64::from(LEFT) + point.0 / largest.0 * width;
    let y = f64::from(TOP) + (1.0 - point.1 / largest.1) * height;
    (x.round() as i32, y.round() as i32)
}

/// Formats the label of a grid line.
fn tick(value: f64) -> String {
    match value {
        value if value >= 100.0 => format!("{value:.0}"),
        value => format!("{value:.1}"),
    }
}
