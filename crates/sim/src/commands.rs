//! Implementation of the commands.

use std::fmt::Write as _;
use std::io::{self, Write};

use derive_more::{Display, Error, From};
use molespan_sim::checkers::CHECKERS;
use molespan_sim::fault::FaultClass;
use molespan_sim::history::Violation;
use molespan_sim::mutation::detecting_checkers;
use molespan_sim::report::{Request, failure};
use molespan_sim::run::{disable, has_mutants, run_in_order, run_scenario};
use molespan_sim::scenario::Scenario;
use molespan_types::mechanism::Mechanism;

use crate::explorations::explore_all;
use crate::flags::{Explore, MolespanSim, MolespanSimCmd, Mutants, Run};

/// Default number of seeds.
const SEEDS: u64 = 200;
/// Default number of seeds per mechanism.
const MUTANT_SEEDS: u64 = 2_000;
/// Default limit on the states of each explored model.
const STATES: usize = 1_000_000;

/// An error that prevents a command from running.
#[derive(Debug, Display, Error, From)]
pub enum CommandError {
    /// Writing to standard output failed.
    #[display("{_0}")]
    Io(io::Error),
    /// The fault class does not exist.
    #[display("there is no class of faults {name}; see molespan-sim list")]
    #[from(skip)]
    UnknownClass {
        /// The given name.
        name: String,
    },
    /// The mechanism does not exist.
    #[display("there is no mechanism {name}; see molespan-sim list")]
    #[from(skip)]
    UnknownMechanism {
        /// The given name.
        name: String,
    },
    /// The text is not a list of numbers.
    #[display("not a list of numbers: {text}")]
    #[from(skip)]
    NotNumbers {
        /// The given text.
        text: String,
    },
    /// The build lacks the `mutants` feature.
    #[display("this build cannot disable mechanisms; build with --features mutants")]
    NoMutants,
}

/// Runs a command. Returns whether everything passed.
///
/// # Errors
/// Returns an error when the command line is invalid or output cannot be written.
pub fn run(flags: MolespanSim) -> Result<bool, CommandError> {
    match flags.subcommand {
        MolespanSimCmd::Run(flags) if flags.list => list(),
        MolespanSimCmd::Run(flags) => run_seeds(&flags),
        MolespanSimCmd::List(_) => list(),
        MolespanSimCmd::Explore(flags) => explore_models(&flags),
        MolespanSimCmd::Mutants(flags) => run_mutants(&flags),
    }
}

fn list() -> Result<bool, CommandError> {
    let mut text = String::from("classes of faults:\n");
    // Writing to a string cannot fail.
    for class in FaultClass::ALL {
        let _ = writeln!(text, "  {class}: {}", class.description());
    }
    text.push_str("checkers:\n");
    for checker in CHECKERS {
        let _ = writeln!(text, "  {}: {}", checker.name, checker.guarantee);
    }
    text.push_str("mechanisms:\n");
    for mechanism in Mechanism::ALL {
        let _ = writeln!(text, "  {mechanism}");
    }
    io::stdout().write_all(text.as_bytes())?;
    Ok(true)
}

fn threads(asked: Option<usize>) -> usize {
    let available = std::thread::available_parallelism();
    asked.unwrap_or_else(|| available.map_or(1, usize::from))
}

fn classes(text: Option<&str>) -> Result<Vec<FaultClass>, CommandError> {
    match text.unwrap_or("all") {
        "all" => Ok(FaultClass::ALL.to_vec()),
        "none" => Ok(Vec::new()),
        names => names
            .split(',')
            .map(|name| {
                FaultClass::parse(name).ok_or_else(|| CommandError::UnknownClass {
                    name: name.to_owned(),
                })
            })
            .collect(),
    }
}

fn mechanism(name: &str) -> Result<Mechanism, CommandError> {
    if !has_mutants() {
        return Err(CommandError::NoMutants);
    }
    Mechanism::parse(name).ok_or_else(|| CommandError::UnknownMechanism {
        name: name.to_owned(),
    })
}

fn numbers(text: Option<&str>) -> Result<Option<Vec<usize>>, CommandError> {
    match text {
        None => Ok(None),
        Some("none") => Ok(Some(Vec::new())),
        Some(text) => {
            let numbers = text.split(',').map(str::parse);
            let numbers: Result<Vec<usize>, _> = numbers.collect();
            let not_numbers = |_| CommandError::NotNumbers {
                text: text.to_owned(),
            };
            numbers.map(Some).map_err(not_numbers)
        }
    }
}

fn run_seeds(flags: &Run) -> Result<bool, CommandError> {
    let classes = classes(flags.faults.as_deref())?;
    let without = flags.without.as_deref().map(mechanism).transpose()?;
    let keep_faults = numbers(flags.keep_faults.as_deref())?;
    let keep_work = numbers(flags.keep_work.as_deref())?;
    let request = Request {
        classes: classes.clone(),
        without: flags.without.clone(),
        shrink: !flags.no_shrink && keep_faults.is_none() && keep_work.is_none(),
    };
    let first = flags.seed.unwrap_or(1);
    let scenario = |task: usize| {
        let scenario = Scenario::from_seed(first + task as u64, &classes);
        scenario.only(keep_faults.as_deref(), keep_work.as_deref())
    };
    let seeds = flags.seeds.unwrap_or(SEEDS) as usize;
    let (mut passed, mut failed) = (0, 0);
    let mut result = Ok(());
    let work = |task: usize| {
        disable(without);
        let scenario = scenario(task);
        let outcome = run_scenario(scenario.clone());
        if outcome.violations.is_empty() {
            return None;
        }
        Some(failure(&request, &scenario, &outcome))
    };
    run_in_order(seeds, threads(flags.threads), work, |_, report| {
        match report {
            None => passed += 1,
            Some(report) => {
                failed += 1;
                result = io::stdout().write_all(report.as_bytes());
            }
        }
        result.is_ok()
    });
    result?;
    writeln!(io::stdout(), "{passed} passed, {failed} failed")?;
    Ok(failed == 0)
}

fn explore_models(flags: &Explore) -> Result<bool, CommandError> {
    let states = flags.states.unwrap_or(STATES);
    let (mut passed, mut failed) = (0, 0);
    let mut result = Ok(());
    explore_all(states, threads(None), |explored| {
        if explored.holds {
            passed += 1;
        } else {
            failed += 1;
        }
        if result.is_ok() {
            result = writeln!(io::stdout(), "{}", explored.text);
        }
    });
    result?;
    writeln!(io::stdout(), "{passed} passed, {failed} failed")?;
    Ok(failed == 0)
}

fn run_mutants(flags: &Mutants) -> Result<bool, CommandError> {
    if !has_mutants() {
        return Err(CommandError::NoMutants);
    }
    let chosen = match flags.only.as_deref() {
        Some(name) => vec![mechanism(name)?],
        None => Mechanism::ALL.to_vec(),
    };
    let seeds = flags.seeds.unwrap_or(MUTANT_SEEDS);
    let (mut passed, mut failed) = (0, 0);
    for mechanism in chosen {
        let line = match find_violation(mechanism, seeds, threads(flags.threads)) {
            Some((seed, violation)) => {
                passed += 1;
                format!("{mechanism}: found by seed {seed}: {violation}")
            }
            None => {
                failed += 1;
                format!("{mechanism}: not found in {seeds} seeds")
            }
        };
        writeln!(io::stdout(), "{line}")?;
    }
    writeln!(io::stdout(), "{passed} passed, {failed} failed")?;
    Ok(failed == 0)
}

/// Returns the first seed that passes with every mechanism enabled, and violates a
/// guarantee of `mechanism` without it.
fn find_violation(mechanism: Mechanism, seeds: u64, threads: usize) -> Option<(u64, Violation)> {
    let mut found = None;
    let work = |task: usize| {
        let seed = task as u64 + 1;
        let scenario = Scenario::from_seed(seed, FaultClass::ALL);
        disable(Some(mechanism));
        let outcome = run_scenario(scenario.clone());
        let mut violations = outcome.violations.into_iter();
        let violation =
            violations.find(|one| detecting_checkers(mechanism).contains(&one.checker))?;
        disable(None);
        let passes = run_scenario(scenario).violations.is_empty();
        passes.then_some((seed, violation))
    };
    run_in_order(seeds as usize, threads, work, |_, result| {
        found = result;
        found.is_none()
    });
    found
}
