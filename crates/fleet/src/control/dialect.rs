//! What the interface of engines and operators must tell a control node,
//! whatever its names and formats are.

use molespan_http::h1::{Answer, RequestHead};
use molespan_state::declared::{Declaration, Retirement};

use crate::view::EngineRecord;

/// An engine says that it is there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineHeartbeat {
    /// What it says of itself.
    pub record: EngineRecord,
    /// Whether it finishes what it has and wants nothing new.
    pub draining: bool,
}

/// A call of an engine or operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// An engine says that it is there.
    Heartbeat(EngineHeartbeat),
    /// An engine says that it ends.
    Gone {
        /// Its name.
        engine: String,
        /// Milliseconds since 1970 at which it started, if it says so.
        born: Option<u64>,
    },
    /// An operator sends a whole configuration.
    Declare(Box<Declaration>),
    /// An operator asks for the newest configuration.
    Read,
    /// An operator asks to empty a store.
    Retire {
        /// Its name.
        name: String,
    },
    /// An operator asks how far that is.
    Retirement {
        /// Its name.
        name: String,
    },
}

/// Why a call cannot be understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallProblem {
    /// There is no such call.
    NoSuchCall,
    /// What an engine says of itself is malformed.
    Registration {
        /// Its name.
        engine: String,
        /// Everything that is wrong.
        problems: Vec<String>,
    },
    /// Its content is malformed.
    Invalid {
        /// Everything that is wrong.
        problems: Vec<String>,
    },
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlOutcome {
    /// It was taken, and stays so.
    Acknowledged,
    /// The newest configuration, as it was sent.
    Document(Vec<u8>),
    /// How far the emptying of a store is.
    Retirement(Retirement),
    /// There is no such thing.
    Unknown,
    /// Too few stores would be left.
    TooFewLeft,
    /// The call could not be understood.
    Problem(CallProblem),
    /// It could not be carried out for sure; the same call may be sent again.
    Unavailable,
}

/// Names and formats of the calls.
pub trait ControlDialect: 'static {
    /// Understands a call.
    ///
    /// # Errors
    /// When there is no such call, or its content is malformed.
    fn call(&self, head: &RequestHead, body: &[u8]) -> Result<ControlCall, CallProblem>;

    /// Puts an outcome into words.
    fn answer(&self, outcome: ControlOutcome) -> Answer;
}
