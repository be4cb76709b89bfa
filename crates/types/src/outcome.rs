//! What is known about whether a request ran.

use derive_more::Display;
use minicbor::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Whether a request ran on a back end, as far as the system can know.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Encode, Decode, Serialize, Deserialize,
)]
#[cbor(index_only)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// It ran to its end and its whole answer is known.
    #[n(0)]
    #[display("completed")]
    Completed,
    /// No byte of it reached a back end, or the back end itself said that it
    /// did not run. Sending it again is safe.
    #[n(1)]
    #[display("not-run")]
    NotRun,
    /// It may have run. Only a repeatable request may be sent again.
    #[n(2)]
    #[display("unknown")]
    Unknown,
}

/// The class of a piece of work.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Encode,
    Decode,
    Serialize,
    Deserialize,
)]
#[cbor(index_only)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Runs only where online work leaves room.
    #[n(0)]
    #[display("batch")]
    Batch,
    /// A caller is waiting.
    #[n(1)]
    #[display("online")]
    Online,
}
