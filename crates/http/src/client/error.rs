//! Errors of requests, including whether the request may have run.

use std::io;

use derive_more::{Display, Error};
use molespan_types::RunOutcome;
use molespan_types::mechanism::{Mechanism, enabled};

/// The cause of the failure.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum FailureCause {
    /// The request cannot be encoded.
    #[display("invalid request: {_0}")]
    Invalid(#[error(not(source))] String),
    /// Every connection to the address is in use.
    #[display("every connection to the peer is in use")]
    PoolExhausted,
    /// The connection could not be opened.
    #[display("cannot connect: {_0}")]
    Connect(#[error(not(source))] io::ErrorKind),
    /// The connection was not opened before the timeout.
    #[display("connecting took too long")]
    ConnectTimeout,
    /// The request could not be written.
    #[display("cannot write the request: {_0}")]
    Write(#[error(not(source))] io::ErrorKind),
    /// The request was not written before the timeout.
    #[display("writing the request took too long")]
    WriteTimeout,
    /// The peer closed the connection before the first byte of a response.
    #[display("connection closed before the response")]
    ClosedBeforeResponse,
    /// The peer closed the connection within the head of the response.
    #[display("connection closed within the head of the response")]
    ClosedWithinHead,
    /// The head of the response is too long.
    #[display("the head of the response is too long")]
    HeadTooLong,
    /// The head of the response did not arrive before the timeout.
    #[display("no response in time")]
    ResponseTimeout,
    /// The connection broke.
    #[display("connection broke: {_0}")]
    Broken(#[error(not(source))] io::ErrorKind),
    /// The response is not valid HTTP/1.1.
    #[display("malformed response: {_0}")]
    MalformedResponse(#[error(not(source))] String),
    /// The response has neither a length nor chunked encoding, so that its
    /// completeness cannot be checked.
    #[display("the response does not say where it ends")]
    Unframed,
}

/// Why a request failed, and whether it may have been sent.
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
    /// Returns whether the request may have run.
    #[must_use]
    pub fn outcome(&self) -> RunOutcome {
        match self {
            Self::NotSent(_) => RunOutcome::NotRun,
            Self::Ambiguous(_) if enabled(Mechanism::TruthfulNotRun) => RunOutcome::Unknown,
            Self::Ambiguous(_) => RunOutcome::NotRun,
        }
    }

    /// The cause of the failure.
    #[must_use]
    pub fn cause(&self) -> &FailureCause {
        match self {
            Self::NotSent(cause) | Self::Ambiguous(cause) => cause,
        }
    }
}

/// Why the body of a response could not be read completely.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum BodyError {
    /// The body ended before its declared length or its last chunk.
    #[display("the response is cut short")]
    Truncated,
    /// The body is longer than the limit of the caller.
    #[display("the response is longer than {limit} bytes")]
    TooLong {
        /// Maximum length of the body in bytes.
        limit: usize,
    },
    /// No byte arrived before the timeout.
    #[display("the response stalled")]
    Stalled,
    /// The framing of the body is invalid.
    #[display("the response is malformed")]
    Malformed,
    /// The connection broke.
    #[display("connection broke: {_0}")]
    Broken(#[error(not(source))] io::ErrorKind),
    /// The body is complete but not the expected JSON.
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
