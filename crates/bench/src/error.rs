//! Errors of the bench.

use std::path::PathBuf;

/// Why a run of the bench could not end with a report.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum BenchError {
    /// A flag holds a value the bench does not know.
    #[display("--{flag} {value} is unknown; known are {known}")]
    UnknownValue {
        /// Name of the flag.
        flag: &'static str,
        /// Value that was given.
        value: String,
        /// Values that would do.
        known: String,
    },
    /// A file or folder could not be read or written.
    #[display("cannot use {}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// A program of the workspace is not built.
    #[display("{} is missing; build it with `{command}`", path.display())]
    ProgramMissing {
        /// Where it should be.
        path: PathBuf,
        /// Command that builds it.
        command: String,
    },
    /// A program could not be started.
    #[display("cannot start {program}: {source}")]
    Start {
        /// The program.
        program: String,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The programs of the fleet could not be built.
    #[display("`{command}` failed")]
    BuildFailed {
        /// The command.
        command: String,
    },
    /// A process did not say that it listens.
    #[display("{name} did not become ready; its log is {}", log.display())]
    NotReady {
        /// Name of the process.
        name: String,
        /// Its log.
        log: PathBuf,
    },
    /// No address could be bound.
    #[display("cannot bind an address: {source}")]
    Address {
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The fleet did not take its configuration.
    #[display("the fleet cannot be set up: {reason}")]
    SetUp {
        /// What the last try met.
        #[error(not(source))]
        reason: String,
    },
    /// A plot could not be drawn.
    #[display("cannot draw {}: {reason}", path.display())]
    Plot {
        /// File of the plot.
        path: PathBuf,
        /// What the plotter said.
        reason: String,
    },
}
