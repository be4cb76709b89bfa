//! Calls and outcomes of the interface for engines and operators, independent of the
//! names and formats used on the wire.

use molespan_http::h1::{Answer, RequestHead};
use molespan_state::declared::{Declaration, Retirement};

use crate::view::EngineRecord;

/// A heartbeat of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineHeartbeat {
    /// Description of the engine.
    pub record: EngineRecord,
    /// Whether the engine is draining: it finishes the requests it has and accepts no new
    /// ones.
    pub draining: bool,
}

/// A call of an engine or operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// An engine sends a heartbeat.
    Heartbeat(EngineHeartbeat),
    /// An engine announces that it is shutting down.
    Departure {
        /// Name of the engine.
        engine: String,
        /// Start time of the engine in milliseconds since the Unix epoch, if reported.
        started_at_ms: Option<u64>,
    },
    /// An operator submits a complete configuration.
    Declare(Box<Declaration>),
    /// An operator reads the newest configuration.
    ReadConfiguration,
    /// An operator asks to retire a store.
    Retire {
        /// Name of the store.
        name: String,
    },
    /// An operator asks for the progress of a retirement.
    RetirementState {
        /// Name of the store.
        name: String,
    },
}

/// Why a call was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The call does not exist.
    UnknownCall,
    /// The registration of an engine is malformed.
    Registration {
        /// Name of the engine.
        engine: String,
        /// All problems found.
        problems: Vec<String>,
    },
    /// The content of the call is malformed.
    Invalid {
        /// All problems found.
        problems: Vec<String>,
    },
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlOutcome {
    /// The call was carried out and its effect is durable.
    Acknowledged,
    /// The newest configuration, exactly as the operator submitted it.
    Document(Vec<u8>),
    /// Progress of the retirement of a store.
    Retirement(Retirement),
    /// The named object does not exist.
    Unknown,
    /// Too few stores would remain.
    TooFewStores,
    /// The call was rejected.
    Problem(CallError),
    /// Whether the call took effect is unknown; it is safe to send the same call again.
    Unavailable,
}

/// Maps the wire names and formats of the interface to calls and outcomes.
pub trait ControlDialect: 'static {
    /// Parses a call.
    ///
    /// # Errors
    /// Returns an error if the call does not exist or its content is malformed.
    fn call(&self, head: &RequestHead, body: &[u8]) -> Result<ControlCall, CallError>;

    /// Formats an outcome as an HTTP response.
    fn answer(&self, outcome: ControlOutcome) -> Answer;
}
