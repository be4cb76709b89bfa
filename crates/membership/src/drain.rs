//! State machine of the planned stop of a gateway or replica.
//!
//! The order is fixed: report unready, wait until load balancers have noticed, refuse new
//! connections, finish the requests in flight, hand over leases, exit. If a time limit is
//! reached first, the number of requests or leases that are cut off is reported.

use std::time::Duration;

use derive_more::Display;
use molespan_types::Timestamp;
use molespan_types::mechanism::{Mechanism, enabled};

/// Time limits of a planned stop.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainSettings {
    /// Time from reporting unready until new connections are refused.
    pub unready_wait: Duration,
    /// Maximum time for requests in flight to finish after that.
    pub finish_within: Duration,
    /// Maximum time for handing over leases after that.
    pub hand_over_within: Duration,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            unready_wait: Duration::from_secs(2),
            finish_within: Duration::from_secs(60),
            hand_over_within: Duration::from_secs(10),
        }
    }
}

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum DrainPhase {
    /// Not stopping.
    #[display("serving")]
    Serving,
    /// Reports unready but still accepts requests.
    #[display("unready")]
    Unready,
    /// Refuses new requests and finishes those in flight.
    #[display("finishing")]
    Finishing,
    /// No requests in flight; leases and leaderships are handed over to other nodes.
    #[display("handing over")]
    HandingOver,
    /// The node can exit.
    #[display("stopped")]
    Stopped,
}

/// Input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainInput {
    /// An operator or a signal requested the stop.
    Begin,
    /// The number of requests in flight changed.
    InFlight(u32),
    /// The number of held leases and leaderships changed.
    Held(u32),
    /// Time passed.
    Tick,
}

/// Action for the caller to take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainOutput {
    /// Report unready, and mark the node as draining in its heartbeats.
    SayUnready,
    /// Stop batch work and return its items, which must not delay the stop.
    ReturnBatchItems,
    /// Refuse new connections, and refuse new requests as not run.
    RefuseNew,
    /// Hand over leases and leaderships.
    HandOver,
    /// The time limit was reached with requests in flight; to be reported.
    CutOff {
        /// Number of requests that are cut off.
        in_flight: u32,
    },
    /// The time limit was reached before all leases were handed over.
    LeftBehind {
        /// Number of leases that other nodes must wait to expire.
        held: u32,
    },
    /// Exit the process.
    Exit,
}

/// State machine of a planned stop.
#[derive(Clone, Debug)]
pub struct DrainPlan {
    settings: DrainSettings,
    phase: DrainPhase,
    since: Timestamp,
    in_flight: u32,
    held: u32,
}

impl DrainPlan {
    /// Creates the state machine of a node in normal operation.
    #[must_use]
    pub fn new(settings: DrainSettings) -> Self {
        Self {
            settings,
            phase: DrainPhase::Serving,
            since: Timestamp::ZERO,
            in_flight: 0,
            held: 0,
        }
    }

    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// Handles an input and returns the actions to take.
    pub fn handle(&mut self, now: Timestamp, input: DrainInput) -> Vec<DrainOutput> {
        let mut outputs = Vec::new();
        match input {
            DrainInput::Begin => self.begin(now, &mut outputs),
            DrainInput::InFlight(count) => self.in_flight = count,
            DrainInput::Held(count) => self.held = count,
            DrainInput::Tick => {}
        }
        // Several phases may end at once, so advance until none does.
        while self.advance(now, &mut outputs) {}
        outputs
    }

    fn begin(&mut self, now: Timestamp, outputs: &mut Vec<DrainOutput>) {
        if self.phase != DrainPhase::Serving {
            return;
        }
        self.enter(now, DrainPhase::Unready);
        outputs.push(DrainOutput::SayUnready);
        outputs.push(DrainOutput::ReturnBatchItems);
    }

    fn enter(&mut self, now: Timestamp, phase: DrainPhase) {
        self.phase = phase;
        self.since = now;
    }

    fn advance(&mut self, now: Timestamp, outputs: &mut Vec<DrainOutput>) -> bool {
        let elapsed = now.since(self.since);
        let orderly = enabled(Mechanism::DrainBeforeStop);
        match self.phase {
            DrainPhase::Unready if elapsed >= self.settings.unready_wait || !orderly => {
                self.enter(now, DrainPhase::Finishing);
                outputs.push(DrainOutput::RefuseNew);
            }
            DrainPhase::Finishing if self.in_flight == 0 || !orderly => {
                self.enter(now, DrainPhase::HandingOver);
                outputs.push(DrainOutput::HandOver);
            }
            DrainPhase::Finishing if elapsed >= self.settings.finish_within => {
                let in_flight = self.in_flight;
                outputs.push(DrainOutput::CutOff { in_flight });
                self.enter(now, DrainPhase::HandingOver);
                outputs.push(DrainOutput::HandOver);
            }
            DrainPhase::HandingOver if self.held == 0 || !orderly => {
                self.enter(now, DrainPhase::Stopped);
                outputs.push(DrainOutput::Exit);
            }
            DrainPhase::HandingOver if elapsed >= self.settings.hand_over_within => {
                let held = self.held;
                outputs.push(DrainOutput::LeftBehind { held });
                self.enter(now, DrainPhase::Stopped);
                outputs.push(DrainOutput::Exit);
            }
            _ => return false,
        }
        true
    }
}
