//! Figures of replica processes on the disk of this machine: three replicas in
//! one process, a thread and a folder each, joined by channels.
//!
//! `cargo run --release -p molespan-replica --example figures [NAME…]` with any
//! of `latency`, `items`, `restart`, `memory`, `idle`, `fail-over`, `replacement`; all of them
//! without a name. The data lies in a temporary folder below `TMPDIR`.

mod changes;
mod fail_over;
mod fleet;
mod idle;
mod items;
mod latency;
mod memory;
mod process;
mod replacement;
mod restart;

use std::error::Error;

/// A measurement by name.
type Measurement = (&'static str, fn() -> Result<(), Box<dyn Error>>);

const MEASUREMENTS: &[Measurement] = &[
    ("latency", latency::measure),
    ("items", items::measure),
    ("restart", restart::measure),
    ("memory", memory::measure),
    ("idle", idle::measure),
    ("fail-over", fail_over::measure),
    ("replacement", replacement::measure),
];

fn main() -> Result<(), Box<dyn Error>> {
    let mut broken = false;
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    for (name, measure) in MEASUREMENTS {
        if wanted.is_empty() || wanted.iter().any(|one| one == name) {
            println!("## {name}");
            if let Err(error) = measure() {
                println!("broke off: {error}");
                broken = true;
            }
        }
    }
    if broken {
        return Err("not every figure was taken".into());
    }
    Ok(())
}
