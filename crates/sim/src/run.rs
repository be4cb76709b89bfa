//! Runs seeds on several threads and returns results in seed order.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;

use molespan_types::Timestamp;
use molespan_types::mechanism::Mechanism;

use crate::checkers::check_all;
use crate::history::Violation;
use crate::scenario::Scenario;
use crate::world::World;

/// Checker name under which a panic of a core is reported.
pub const PANIC: &str = "panic";

/// The result of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Violations, earliest first.
    pub violations: Vec<Violation>,
    /// Events, for a trace.
    pub notes: Vec<(Timestamp, String)>,
}

/// Runs a scenario.
#[must_use]
pub fn run_scenario(scenario: Scenario) -> Outcome {
    let run = || {
        let mut world = World::new(scenario);
        world.run();
        Outcome {
            violations: check_all(&world),
            notes: std::mem::take(&mut world.context.history.notes),
        }
    };
    match catch_unwind(AssertUnwindSafe(run)) {
        Ok(outcome) => outcome,
        Err(panic) => Outcome {
            violations: vec![Violation {
                at: Timestamp::ZERO,
                checker: PANIC,
                message: panic_text(&*panic),
            }],
            notes: Vec::new(),
        },
    }
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    text.or_else(|| panic.downcast_ref::<String>().cloned())
        .unwrap_or_else(|| "a core panicked".to_owned())
}

/// Runs `count` tasks on several threads and passes their results to `take` in task
/// order, until `take` returns false.
pub fn run_in_order<T: Send>(
    count: usize,
    threads: usize,
    work: impl Fn(usize) -> T + Sync,
    mut take: impl FnMut(usize, T) -> bool,
) {
    let next = AtomicUsize::new(0);
    let (sender, receiver) = mpsc::channel();
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            let sender = sender.clone();
            let (next, work) = (&next, &work);
            scope.spawn(move || {
                loop {
                    let task = next.fetch_add(1, Ordering::Relaxed);
                    if task >= count || sender.send((task, work(task))).is_err() {
                        return;
                    }
                }
            });
        }
        drop(sender);
        let mut early = std::collections::BTreeMap::new();
        let mut due = 0;
        for (task, result) in receiver {
            early.insert(task, result);
            while let Some(result) = early.remove(&due) {
                if !take(due, result) {
                    next.store(count, Ordering::Relaxed);
                    return;
                }
                due += 1;
            }
        }
    });
}

/// Disables one mechanism on this thread, or enables all again if `None`. Without
/// the `mutants` feature, mechanisms are always enabled.
#[cfg(feature = "mutants")]
pub fn disable(mechanism: Option<Mechanism>) {
    molespan_types::mechanism::disable(mechanism);
}

/// Disables one mechanism on this thread, or enables all again if `None`. Without
/// the `mutants` feature, mechanisms are always enabled.
#[cfg(not(feature = "mutants"))]
pub fn disable(_mechanism: Option<Mechanism>) {}

/// Whether this build can disable mechanisms.
#[must_use]
pub const fn has_mutants() -> bool {
    cfg!(feature = "mutants")
}
