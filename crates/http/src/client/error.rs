//! What went wrong with a request, and whether it may have run.

use std::io;

use derive_more::{Display, Error};
use molespan_types::RunOutcome;
use molespan_types::mechanism::{Mechanism, enabled};

/// What happened on the connection.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum FailureCause {
    /// The request cannot be encoded.
    #[display("invalid request: {_0}")]
    Invalid(#[error(not(source))] String),
    /// Every connection to the address is in use.
    #[display("every connection to the peer is in use")]
    PoolExhausted,
    /// The peer did not accept a connection.
    #[display("cannot connect: {_0}")]
    Connect(#[error(not(source))] io::ErrorKind),
    /// The peer did not accept a connection in time.
    #[display("connecting took too long")]
    ConnectTimeout,
    /// The request could not be written.
    #[display("cannot write the request: {_0}")]
    Write(#[error(not(source))] io::ErrorKind),
    /// The peer did not take the request in time.
    #[display("writing the request took too long")]
    WriteTimeout,
    /// The peer closed before the first byte of a response.
    #[display("connection closed before the response")]
    ClosedBeforeResponse,
    /// The peer closed within the head of the response.
    #[display("connection closed within the head of the response")]
    ClosedWithinHead,
    /// The head of the response is too long.
    #[display("the head of the response is too long")]
    HeadTooLong,
    /// The response did not begin in time.
    #[display("no response in time")]
    ResponseTimeout,
    /// The connection broke.
    #[display("connection broke: {_0}")]
    Broken(#[error(not(source))] io::ErrorKind),
    /// Not an HTTP/1.1 response.
    #[display("malformed response: {_0}")]
    MalformedResponse(#[error(not(source))] String),
    /// The response has neither a length nor chunks, so that nobody can tell
    /// whether it is whole.
    #[display("the response does not say where it ends")]
    Unframed,
}

/// Why a request has no response.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum SendError {
    /// No byte of the request left this process.
    #[display("not sent: {_0}")]
    NotSent(FailureCause),
    /// Bytes of the request may have reached the peer.
    #[display("sent, outcome unknown: {_0}")]
    Ambiguous(FailureCause),
}

impl SendError {
    /// Whether the request may have run.
    #[must_use]
    pub fn outcome(&self) -> RunOutcome {
        match self {
            Self::NotSent(_) => RunOutcome::NotRun,
            Self::Ambiguous(_) if enabled(Mechanism::TruthfulNotRun) => RunOutcome::Unknown,
            Self::Ambiguous(_) => RunOutcome::NotRun,
        }
    }

    /// What happened on the connection.
    #[must_use]
    pub fn cause(&self) -> &FailureCause {
        match self {
            Self::NotSent(cause) | Self::Ambiguous(cause) => cause,
        }
    }
}

/// Why the body of a response could not be read whole.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum BodyError {
    /// The body ended before its declared or framed end.
    #[display("the response is cut short")]
    Truncated,
    /// The body is longer than the caller allows.
    #[display("the response is longer than {limit} bytes")]
    TooLong {
        /// Longest body in bytes.
        limit: usize,
    },
    /// No byte came for too long.
    #[display("the response stalled")]
    Stalled,
    /// The framing of the body is broken.
    #[display("the response is malformed")]
    Malformed,
    /// The connection broke.
    #[display("connection broke: {_0}")]
    Broken(#[error(not(source))] io::ErrorKind),
    /// The body is whole and not the expected JSON.
    #[display("unexpected content: {_0}")]
    Json(#[error(not(source))] String),
}

impl From<io::Error> for BodyError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::UnexpectedEof => Self::Truncated,
            io::ErrorKind::TimedOut => Self::Stalled,
            io::ErrorKind::InvalidData => Self::Malformed,
            kind => Self::Broken(kind),
        }
    }
}
