//! Plain-text tables.

use std::fmt;

/// Separator between columns.
const COLUMN_SEPARATOR: &str = "  ";
/// Placeholder for an empty cell.
const EMPTY_CELL: &str = "-";

/// A table with a title row. Each column is as wide as its widest cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    titles: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    #[must_use]
    pub fn new(titles: Vec<String>) -> Self {
        Self {
            titles,
            rows: Vec::new(),
        }
    }

    /// Adds a row. Missing cells are left empty; line breaks and tabs become spaces.
    pub fn push(&mut self, mut cells: Vec<String>) {
        cells.resize(self.titles.len(), String::new());
        for cell in &mut cells {
            if cell.is_empty() {
                EMPTY_CELL.clone_into(cell);
            }
            *cell = cell.replace(['\n', '\r', '\t'], " ");
        }
        self.rows.push(cells);
    }

    fn widths(&self) -> Vec<usize> {
        let mut widths: Vec<usize> = self.titles.iter().map(|title| width(title)).collect();
        for row in &self.rows {
            for (widest, cell) in widths.iter_mut().zip(row) {
                *widest = (*widest).max(width(cell));
            }
        }
        widths
    }
}

fn width(text: &str) -> usize {
    text.chars().count()
}

fn line(cells: &[String], widths: &[usize]) -> String {
    let padded: Vec<String> = cells
        .iter()
        .zip(widths)
        .map(|(cell, widest)| format!("{cell}{}", " ".repeat(widest - width(cell))))
        .collect();
    padded.join(COLUMN_SEPARATOR).trim_end().to_owned()
}

impl fmt::Display for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        let titles: Vec<String> = self
            .titles
            .iter()
            .map(|title| title.to_uppercase())
            .collect();
        write!(formatter, "{}", line(&titles, &widths))?;
        for row in &self.rows {
            write!(formatter, "\n{}", line(row, &widths))?;
        }
        Ok(())
    }
}
