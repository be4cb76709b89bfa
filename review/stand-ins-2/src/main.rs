//! Stand-ins for the second review's cases: clients, engines and the platform, around the
//! project's own programs.

mod cases;
mod cluster;
mod engine;
mod http;
mod record;

use std::process::ExitCode;
use std::time::Duration;

/// How a case ended.
pub enum Outcome {
    Broken,
    Held,
    /// The case could not run.
    Unable(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("review-2 CASE RECORD");
        return ExitCode::from(2);
    };
    if record::open(path).is_err() {
        return ExitCode::from(2);
    }
    record::watch_time(Duration::from_secs(115));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    note!(
        "case {case}, {}",
        if trouble {
            "with the disruption"
        } else {
            "without the disruption"
        }
    );
    let outcome = match case.as_str() {
        "late-heartbeat" => cases::late_heartbeat(trouble),
        "removed-segments" => cases::removed_segments(trouble),
        "expected-version" => cases::expected_version(trouble),
        "longer-prefix" => cases::longer_prefix(trouble),
        "fraction" => cases::fraction(trouble),
        "other-service" => cases::other_service(trouble),
        "first-version" => cases::first_version(trouble),
        "former-version" => cases::former_version(trouble),
        "item-header" => cases::item_header(trouble),
        _ => Outcome::Unable("there is no such case".to_owned()),
    };
    let (code, text) = match outcome {
        Outcome::Broken => (1, "the rule was broken".to_owned()),
        Outcome::Held => (0, "the rule held".to_owned()),
        Outcome::Unable(why) => (2, format!("the case could not run: {why}")),
    };
    note!("{text}");
    println!("{text}");
    ExitCode::from(code)
}
