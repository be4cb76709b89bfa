//! Benchmarks of replica processes on the disk of this machine: three replicas in
//! one process, each with a thread and a folder, connected by channels.
//!
//! `cargo run --release -p molespan-replica --example figures [NAME…]` with any
//! of `latency`, `items`, `restart`, `memory`, `idle`, `fail-over`, `replacement`; without a
//! name it runs all of them. The data is stored in a temporary folder below `TMPDIR`.

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

/// The name of a measurement and the function that runs it.
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
    let mut failed = false;
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    for (name, measure) in MEASUREMENTS {
        if wanted.is_empty() || wanted.iter().any(|one| one == name) {
            println!("## {name}");
            if let Err(error) = measure() {
                println!("failed: {error}");
                failed = true;
            }
        }
    }
    if failed {
        return Err("not all measurements completed".into());
    }
    Ok(())
}
