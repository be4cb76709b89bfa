//! `molespan-bench`: load generator and experiment runner.

mod flags;

use std::process::ExitCode;

use flags::MolespanBenchCmd;
use molespan_bench::run;

fn main() -> ExitCode {
    let flags = flags::MolespanBench::from_env_or_exit();
    let outcome: Result<(), Box<dyn std::error::Error>> = match flags.subcommand {
        MolespanBenchCmd::Run(command) => run::run(&run::RunOptions {
            profile: command.profile,
            out: command.out,
            seconds: command.seconds,
            seed: command.seed,
            arms: command.arms,
        })
        .map_err(Into::into),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bench: {error}");
            ExitCode::FAILURE
        }
    }
}
