//! Fault classes and the effect of each fault.

mod combination;
mod schedule;

use std::fmt;
use std::time::Duration;

use derive_more::Display;
use molespan_types::Timestamp;

pub use schedule::{Topology, schedule};

use crate::address::Address;
use crate::network::{Cut, Disturbance};

/// A class of faults, as named on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum FaultClass {
    /// Messages are lost, delayed, duplicated and reordered.
    #[display("network")]
    Network,
    /// One-way cuts, isolated machines and zones.
    #[display("cuts")]
    Cuts,
    /// Processes are killed and restarted, sometimes several at once.
    #[display("kills")]
    Kills,
    /// Processes freeze and resume later.
    #[display("freezes")]
    Freezes,
    /// Disks are lost, rolled back, full, or fail to sync.
    #[display("disks")]
    Disks,
    /// Clocks run at different rates.
    #[display("clocks")]
    Clocks,
    /// Engine answers are late, crossed, truncated, duplicated or missing.
    #[display("answers")]
    Answers,
    /// Machines leave and return; the platform list lags and reverts to older states.
    #[display("platform")]
    Platform,
    /// Gateways shut down gracefully.
    #[display("stops")]
    Stops,
}

impl FaultClass {
    /// Every class.
    pub const ALL: &'static [FaultClass] = &[
        FaultClass::Network,
        FaultClass::Cuts,
        FaultClass::Kills,
        FaultClass::Freezes,
        FaultClass::Disks,
        FaultClass::Clocks,
        FaultClass::Answers,
        FaultClass::Platform,
        FaultClass::Stops,
    ];

    /// Returns the class with this name.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|class| class.to_string() == name)
    }

    /// Describes the effect of the class in one line.
    #[must_use]
    pub fn description(self) -> &'static str {
        match self {
            Self::Network => "messages are lost, late, duplicated and reordered",
            Self::Cuts => "one-way cuts, isolated machines and zones",
            Self::Kills => "processes are killed and restarted, sometimes several at once",
            Self::Freezes => "processes freeze and go on later",
            Self::Disks => "disks are lost, rolled back, full, or fail to sync",
            Self::Clocks => "clocks run at different rates",
            Self::Answers => "engines answer late, crossed, truncated, duplicated or not at all",
            Self::Platform => {
                "machines leave and return, the list lags and goes back to older states"
            }
            Self::Stops => "gateways are stopped as planned under load",
        }
    }
}

/// A fault in an engine's answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum AnswerFault {
    /// Sends the answer of another attempt.
    #[display("crossed answers")]
    Crossed,
    /// Ends the answer in the middle.
    #[display("answers cut short")]
    Truncated,
    /// Sends a chunk twice.
    #[display("doubled chunks")]
    Doubled,
    /// Runs the request and breaks the connection.
    #[display("runs, then breaks the connection")]
    AcceptThenBreak,
    /// Breaks the connection before accepting the request.
    #[display("breaks the connection before running")]
    BreakBefore,
    /// Refuses new work.
    #[display("refuses work")]
    Refuse,
    /// Makes each step many times slower.
    #[display("slow steps")]
    Slow,
}

/// The effect of a fault.
#[derive(Clone, Debug, PartialEq, Display)]
pub enum FaultKind {
    /// Links lose, duplicate and delay messages.
    #[display(
        "{:.0} % lost, {:.0} % doubled, up to {} ms late at {}",
        _0.loss * 100.0,
        _0.duplicates * 100.0,
        _0.longest_delay.as_millis(),
        _0.at
    )]
    Disturb(Disturbance),
    /// Links are cut.
    #[display("cut {}", Cuts(_0))]
    Cut(Vec<Cut>),
    /// Processes are killed at the beginning and restarted at the end.
    #[display("kill {}", Addresses(_0))]
    Kill(Vec<Address>),
    /// A process is frozen until the end.
    #[display("freeze {_0}")]
    Freeze(Address),
    /// A replica's machine is replaced with a blank disk. The fault waits until every
    /// replica is back, since the loss of a majority of disks cannot be survived.
    #[display("lose the disk of replica {_0}")]
    LoseDisk(u32),
    /// A replica's disk is restored at the end to its state at the beginning of the fault.
    #[display("roll back the disk of replica {_0}")]
    RollBackDisk(u32),
    /// A replica's disk is full until the end.
    #[display("fill the disk of replica {_0}")]
    FillDisk(u32),
    /// A replica's next sync fails.
    #[display("fail a sync of replica {_0}")]
    FailSync(u32),
    /// An engine injects a fault into this share of its answers.
    #[display("engine {engine}: {fault}, {} %", *percent)]
    Answers {
        /// Engine.
        engine: u32,
        /// Injected fault.
        fault: AnswerFault,
        /// Share of affected requests, in percent.
        percent: u32,
    },
    /// An engine leaves, and returns as a new incarnation at the end.
    #[display("engine {_0} leaves and returns as a new incarnation")]
    Leave(u32),
    /// The platform sometimes serves stale lists.
    #[display("the machine list goes back in time")]
    OldLists,
    /// A gateway shuts down gracefully and is restarted at the end.
    #[display("planned stop of gateway {_0}")]
    PlannedStop(u32),
}

struct Cuts<'a>(&'a [Cut]);

impl fmt::Display for Cuts<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, cut) in self.0.iter().enumerate() {
            let separator = if position == 0 { "" } else { ", " };
            write!(formatter, "{separator}{} to {}", cut.from, cut.to)?;
        }
        Ok(())
    }
}

struct Addresses<'a>(&'a [Address]);

impl fmt::Display for Addresses<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, address) in self.0.iter().enumerate() {
            let separator = if position == 0 { "" } else { ", " };
            write!(formatter, "{separator}{address}")?;
        }
        Ok(())
    }
}

/// A fault and its time span.
#[derive(Clone, Debug, PartialEq, Display)]
#[display("{} to {} ms: {kind}", begins.0 / 1_000, ends.0 / 1_000)]
pub struct Fault {
    /// When it begins.
    pub begins: Timestamp,
    /// When it ends.
    pub ends: Timestamp,
    /// Effect.
    pub kind: FaultKind,
}

impl Fault {
    /// Returns the duration of the fault.
    #[must_use]
    pub fn duration(&self) -> Duration {
        self.ends.since(self.begins)
    }
}
