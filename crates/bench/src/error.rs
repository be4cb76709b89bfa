//! Errors of the bench.

use std::path::PathBuf;

/// Why a run of the bench could not end with a report.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum BenchError {
    /// The subcommand is not built yet.
    #[display("the subcommand {subcommand} is not built yet")]
    NotBuilt {
        /// Name of the subcommand.
        subcommand: &'static str,
    },
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
}
