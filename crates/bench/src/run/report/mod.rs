//! Writes report.json, report.md and the plots.

pub mod lettering;
pub mod page;
pub mod plots;

use std::path::Path;

use super::figures::RunFigures;
use super::fleet::write_file;
use crate::BenchError;

/// Writes all files of a report to `folder`.
///
/// # Errors
///
/// Fails if a file cannot be written or a plot cannot be drawn.
pub fn write(figures: &RunFigures, folder: &Path) -> Result<(), BenchError> {
    let document = serde_json::json!({
        "summary": figures.summary(),
        "run": figures,
    });
    let json = serde_json::to_string_pretty(&document).unwrap_or_default();
    write_file(&folder.join("report.json"), &json)?;
    write_file(&folder.join("report.md"), &page::page(figures))?;
    plots::first_token(figures, &folder.join("first-token.png"))?;
    plots::batch_progress(figures, &folder.join("batch-progress.png"))
}
