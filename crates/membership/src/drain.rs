//! The planned stop of a gateway or replica as a state machine.
//!
//! The order is fixed: say unready, wait until balancers have noticed, take no
//! new connections, let what is in flight finish, hand leases over, exit. When
//! the time bound is reached first, what is cut off is reported with its count.

use std::time::Duration;

use derive_more::Display;
use molespan_types::Timestamp;
use molespan_types::mechanism::{Mechanism, enabled};

/// Bounds of a planned stop.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainSettings {
    /// Time from saying unready until new connections are refused.
    pub unready_wait: Duration,
    /// Longest time for requests in flight to finish after that.
    pub finish_within: Duration,
    /// Longest time for leases to be handed over after that.
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

/// Where a planned stop stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum DrainPhase {
    /// Not stopping.
    #[display("serving")]
    Serving,
    /// Says unready, still takes what comes.
    #[display("unready")]
    Unready,
    /// Takes nothing new, finishes what is in flight.
    #[display("finishing")]
    Finishing,
    /// Nothing in flight; leases and leaderships go to others.
    #[display("handing over")]
    HandingOver,
    /// Nothing is left to do.
    #[display("stopped")]
    Stopped,
}

/// An input of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainInput {
    /// An operator or a signal asked for the stop.
    Begin,
    /// Requests in flight changed.
    InFlight(u32),
    /// Leases and leaderships held changed.
    Held(u32),
    /// Time passed.
    Tick,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainOutput {
    /// Answer unready, and mark the node as draining in its heartbeats.
    SayUnready,
    /// Stop batch work and return its items; it must not hold up the stop.
    ReturnBatchItems,
    /// Refuse new connections and new requests, as not run.
    RefuseNew,
    /// Hand over leases and leaderships.
    HandOver,
    /// The bound was reached with this many requests in flight. Report it.
    CutOff {
        /// Requests that are cut off.
        in_flight: u32,
    },
    /// The bound was reached with this many leases not handed over.
    LeftBehind {
        /// Leases that others must wait out.
        held: u32,
    },
    /// Exit now.
    Exit,
}

/// A planned stop.
#[derive(Clone, Debug)]
pub struct DrainPlan {
    settings: DrainSettings,
    phase: DrainPhase,
    since: Timestamp,
    in_flight: u32,
    held: u32,
}

impl DrainPlan {
    /// A node that serves.
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

    /// Where the stop stands.
    #[must_use]
    pub fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// Takes one input and says what to do.
    pub fn handle(&mut self, now: Timestamp, input: DrainInput) -> Vec<DrainOutput> {
        let mut outputs = Vec::new();
        match input {
            DrainInput::Begin => self.begin(now, &mut outputs),
            DrainInput::InFlight(count) => self.in_flight = count,
            DrainInput::Held(count) => self.held = count,
            DrainInput::Tick => {}
        }
        // Several phases may be over at once, so go on until one is not.
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
