//! Cases of the independent review: `review-case NAME ROOT FOLDER RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod client;
mod cluster;
mod engine;
mod http;
mod json;
mod record;
mod template;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use cluster::Cluster;
use record::Record;

/// How a case ended.
pub enum Verdict {
    Broken(String),
    Held(String),
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, root, folder, record] = arguments.as_slice() else {
        eprintln!("review-case NAME ROOT FOLDER RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(record) else {
        eprintln!("the record cannot be written");
        return ExitCode::from(2);
    };
    let record = Arc::new(record);
    record.line(format!(
        "case {name}, disruption {}",
        if trouble { "on" } else { "off" }
    ));
    let cluster = Cluster::prepare(Path::new(root), Path::new(folder), record.clone());
    let verdict = match (cluster, cases::find(name)) {
        (Some(cluster), Some(case)) => case(cluster, trouble),
        (None, _) => Verdict::CouldNotRun("no deploy file, or no free loopback addresses".into()),
        (_, None) => Verdict::CouldNotRun("there is no such case".into()),
    };
    let (text, status) = match verdict {
        Verdict::Broken(text) => (format!("BROKEN: {text}"), 1),
        Verdict::Held(text) => (format!("HELD: {text}"), 0),
        Verdict::CouldNotRun(text) => (format!("COULD NOT RUN: {text}"), 2),
    };
    record.line(text);
    ExitCode::from(status)
}
