//! Outcome and priority of requests.

use derive_more::Display;
use minicbor::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Whether a request ran on a back end, as far as the system can determine.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Encode, Decode, Serialize, Deserialize,
)]
#[cbor(index_only)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// The request completed and its whole response was received.
    #[n(0)]
    #[display("completed")]
    Completed,
    /// No byte of the request reached a back end, or the back end itself reported
    /// that it did not run. A retry is safe.
    #[n(1)]
    #[display("not-run")]
    NotRun,
    /// The request may have run. Only a repeatable request may be retried.
    #[n(2)]
    #[display("unknown")]
    Unknown,
}

/// Priority class of a request.
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
    /// Runs only on capacity that online work leaves free.
    #[n(0)]
    #[display("batch")]
    Batch,
    /// A caller waits for the response.
    #[n(1)]
    #[display("online")]
    Online,
}
