//! Why a scale run stopped.

use std::path::PathBuf;

use derive_more::{Display, Error, From};
use molespan_replica::ReplicaError;
use molespan_storage::StorageError;

/// Why a scale run stopped.
#[derive(Debug, Display, Error, From)]
pub enum ScaleError {
    /// A file could not be read or written.
    #[display("{}: {source}", path.display())]
    #[from(skip)]
    File {
        /// File.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The operating system's account of time or memory could not be read.
    #[display("cannot read {file}")]
    #[from(skip)]
    Account {
        /// File under `/proc`.
        file: &'static str,
    },
    /// A replica stopped.
    #[display("replica: {_0}")]
    Replica(ReplicaError),
    /// A disk refused.
    #[display("disk: {_0}")]
    Storage(StorageError),
    /// A process of this run ended with an error.
    #[display("experiment {experiment} ended with {status}")]
    #[from(skip)]
    Process {
        /// Experiment.
        experiment: String,
        /// Its exit status.
        status: String,
    },
    /// There is no experiment of that name.
    #[display("there is no experiment {name}")]
    #[from(skip)]
    UnknownExperiment {
        /// Name asked for.
        name: String,
    },
    /// Something that should happen did not happen in time.
    #[display("{what} did not happen in time")]
    #[from(skip)]
    Timeout {
        /// What was waited for.
        what: &'static str,
    },
    /// A plot could not be drawn.
    #[display("plot: {message}")]
    #[from(skip)]
    Plot {
        /// What the library said.
        message: String,
    },
    /// A request got an answer that does not fit it.
    #[display("unexpected answer: {message}")]
    #[from(skip)]
    Unexpected {
        /// What came.
        message: String,
    },
}

impl ScaleError {
    /// An answer that does not fit.
    pub(crate) fn unexpected(answer: impl std::fmt::Debug) -> Self {
        let mut message = format!("{answer:?}");
        message.truncate(200);
        Self::Unexpected { message }
    }
}
