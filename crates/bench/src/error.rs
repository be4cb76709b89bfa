//! Errors of the benchmark runner.

use std::path::PathBuf;

/// Error that prevents a run from producing a report.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum BenchError {
    /// A flag has an unknown value.
    #[display("--{flag} {value} is unknown; known are {known}")]
    UnknownValue {
        /// Name of the flag.
        flag: &'static str,
        /// Given value.
        value: String,
        /// Accepted values, separated by commas.
        known: String,
    },
    /// A file or folder could not be read or written.
    #[display("cannot use {}: {source}", path.display())]
    File {
        /// Path of the file or folder.
        path: PathBuf,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// A program of the workspace is not built.
    #[display("{} is missing; build it with `{command}`", path.display())]
    ProgramMissing {
        /// Expected path of the program.
        path: PathBuf,
        /// Command that builds the program.
        command: String,
    },
    /// A program could not be started.
    #[display("cannot start {program}: {source}")]
    Start {
        /// Name of the program.
        program: String,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The programs of the fleet could not be built.
    #[display("`{command}` failed")]
    BuildFailed {
        /// Build command that failed.
        command: String,
    },
    /// A process did not report that it is listening.
    #[display("{name} did not become ready; its log is {}", log.display())]
    NotReady {
        /// Name of the process.
        name: String,
        /// Path of its log.
        log: PathBuf,
    },
    /// No address could be bound.
    #[display("cannot bind an address: {source}")]
    Address {
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The initial configuration of the fleet failed.
    #[display("the fleet cannot be set up: {reason}")]
    SetUp {
        /// Error of the last attempt.
        #[error(not(source))]
        reason: String,
    },
    /// A plot could not be drawn.
    #[display("cannot draw {}: {reason}", path.display())]
    Plot {
        /// Path of the plot.
        path: PathBuf,
        /// Error from the plotting library.
        reason: String,
    },
}
