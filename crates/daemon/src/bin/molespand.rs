//! `molespand`: the daemon of one molespan node.

use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;

use async_executor::Executor;
use async_io::block_on;
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use molespan_daemon::DaemonError;
use molespan_daemon::node::Node;
use molespan_settings::Settings;
use molespan_telemetry::{Log, part_logger};
use slog::{Logger, crit, info};

/// Exit status when the settings are invalid.
const SETTINGS_STATUS: u8 = 3;
/// Maximum number of executor threads.
const MAX_THREADS: usize = 4;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// One node of molespan.
        ///
        /// Prints one line once it listens. SIGTERM and SIGINT stop it as
        /// planned; a second one ends it at once.
        cmd molespand {
            /// Settings file.
            required --settings settings: PathBuf
        }
    }
}

/// Why the main thread stopped waiting.
enum StopCause {
    /// A stop signal arrived.
    Signal,
    /// A role failed and cannot continue.
    Failure,
}

fn main() -> ExitCode {
    let flags = flags::Molespand::from_env_or_exit();
    let settings = match load(&flags.settings) {
        Ok(settings) => settings,
        Err(status) => return status,
    };
    let log = Log::to_stderr(settings.log.format, settings.log.level);
    match run(&settings, &log.logger) {
        Ok(status) => status,
        Err(error) => {
            crit!(part_logger(&log.logger, "node"), "cannot start"; "error" => %error);
            ExitCode::FAILURE
        }
    }
}

/// Loads the settings and prints every finding to stderr.
fn load(path: &Path) -> Result<Settings, ExitCode> {
    Settings::load(path).map_err(|findings| {
        for finding in &findings {
            eprintln!("molespand: {}: {finding}", path.display());
        }
        eprintln!("molespand: {} findings, nothing started", findings.len());
        ExitCode::from(SETTINGS_STATUS)
    })
}

/// Runs the node until a stop signal arrives or a role fails.
fn run(settings: &Settings, logger: &Logger) -> Result<ExitCode, DaemonError> {
    let executor = Arc::new(Executor::new());
    let mut signals = Signals::new([Signal::Term, Signal::Int]).map_err(DaemonError::Signals)?;
    for _ in 1..threads() {
        let executor = executor.clone();
        let serve = move || block_on(executor.run(future::pending::<()>()));
        let builder = thread::Builder::new().name("executor".to_owned());
        builder.spawn(serve).map_err(DaemonError::Thread)?;
    }
    let node = Node::start(settings, &executor, logger)?;
    print_addresses(&node);
    let status = block_on(executor.run(async {
        match wait(&node, &mut signals).await {
            StopCause::Failure => ExitCode::FAILURE,
            StopCause::Signal => stop(node, &mut signals, logger).await,
        }
    }));
    Ok(status)
}

fn threads() -> usize {
    let available = thread::available_parallelism().map_or(1, usize::from);
    available.clamp(1, MAX_THREADS)
}

/// Prints the listening addresses to stdout for the parent process.
fn print_addresses(node: &Node) {
    let mut output = io::stdout().lock();
    let line = writeln!(
        output,
        "molespand: ready http={} internal={}",
        node.http_address(),
        node.internal_address()
    );
    // Ignores write errors: nobody may be reading stdout, and the node does not depend on it.
    let _printed = line.and_then(|()| output.flush());
}

async fn wait(node: &Node, signals: &mut Signals) -> StopCause {
    let signal = async {
        signals.next().await;
        StopCause::Signal
    };
    let failure = async {
        node.failed().await;
        StopCause::Failure
    };
    future::or(signal, failure).await
}

/// Shuts down gracefully, or immediately when a second signal arrives.
async fn stop(node: Node, signals: &mut Signals, logger: &Logger) -> ExitCode {
    let logger = part_logger(logger, "node");
    let graceful = async {
        let report = node.stop().await;
        info!(logger, "stopped"; "report" => ?report);
        ExitCode::SUCCESS
    };
    let immediate = async {
        signals.next().await;
        info!(logger, "ended immediately by a second signal");
        ExitCode::FAILURE
    };
    future::or(graceful, immediate).await
}
