//! Tables of the page, as Markdown.

use super::inputs::Inputs;
use super::{events, gateway, replicas};

/// A table of the page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Table {
    /// Name in the page's markers.
    pub name: &'static str,
    /// The table in Markdown.
    pub text: String,
}

/// How a figure came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mark {
    /// From a slope of the real code on sockets, disks and threads.
    Measured,
    /// From a slope of the real cores without sockets, or with made-up peers.
    Simulated,
    /// From a design that is not built, or an assumption.
    OnPaper,
}

impl Mark {
    pub(super) fn text(self) -> &'static str {
        match self {
            Mark::Measured => "measured",
            Mark::Simulated => "simulated",
            Mark::OnPaper => "on paper",
        }
    }
}

/// Every table of the page.
#[must_use]
pub fn tables(inputs: &Inputs) -> Vec<Table> {
    vec![
        run(inputs),
        gateway::table("gateway-as-built", inputs, &super::size::AS_BUILT),
        gateway::table("gateway-planned", inputs, &super::size::PLANNED),
        balance(inputs),
        replicas::control(inputs),
        replicas::jobs(inputs),
        events::table(inputs),
        slopes(inputs),
    ]
}

/// Which run the page quotes.
fn run(inputs: &Inputs) -> Table {
    let run = &inputs.run;
    let text = format!(
        "| run | began (Unix seconds) | took | most memory | command | processors |\n|---|---|---|---|---|---|\n\
         | `{}` | {} | {:.0} s | {:.0} MB | `{}` | {} |\n",
        run.id,
        run.began_unix_seconds,
        run.seconds,
        run.most_resident_megabytes,
        run.command,
        run.processors
    );
    Table { name: "run", text }
}

/// How evenly engines are loaded, by the size of a subset.
fn balance(inputs: &Inputs) -> Table {
    let mut text = "| engines of a service in a subset | p99 of engines over the mean | busiest over the mean | source | mark |\n\
                    |---:|---:|---:|---|---|\n"
        .to_owned();
    for size in [
        super::size::PLANNED.subset_size,
        super::size::AS_BUILT.subset_size,
    ] {
        let at = |measure| figure(inputs.at("subset-balance", measure, size));
        text.push_str(&format!(
            "| {size} | {} | {} | subset-balance | {} |\n",
            at("p99_over_mean"),
            at("most_over_mean"),
            Mark::Simulated.text(),
        ));
    }
    Table {
        name: "balance",
        text,
    }
}

/// Every slope of the run.
fn slopes(inputs: &Inputs) -> Table {
    use crate::scale::report::significant;
    let mut text = "| experiment | measure | for each of | slope | standard error | at 0 |\n\
                    |---|---|---|---:|---:|---:|\n"
        .to_owned();
    for (experiment, measures) in &inputs.lines {
        for (measure, line) in measures {
            text.push_str(&format!(
                "| {experiment} | {measure} | {} | {} | {} | {} |\n",
                line.per,
                significant(line.slope),
                significant(line.error),
                significant(line.at_zero),
            ));
        }
    }
    Table {
        name: "slopes",
        text,
    }
}

/// A figure with three significant digits, thousands and millions spelt out.
pub(super) fn figure(value: f64) -> String {
    const THOUSAND: f64 = 1e3;
    if value == 0.0 {
        return "0".to_owned();
    }
    if value.abs() < 0.001 {
        return "< 0.001".to_owned();
    }
    if value.abs() >= THOUSAND {
        return grouped(value);
    }
    let decimals = (2 - value.abs().log10().floor() as i32).max(0) as usize;
    format!("{value:.decimals$}")
}

/// A large number to three significant digits, with commas.
fn grouped(value: f64) -> String {
    let magnitude = value.abs().log10().floor() as i32;
    let unit = 10_f64.powi(magnitude - 2);
    let digits = format!("{:.0}", (value / unit).round() * unit);
    let mut text = String::new();
    for (position, digit) in digits.chars().enumerate() {
        let left = digits.len() - position;
        if position > 0 && left.is_multiple_of(3) && !text.ends_with('-') {
            text.push(',');
        }
        text.push(digit);
    }
    text
}
