//! The arms of a run: which load runs, under which policies.

use molespan_settings::{EngineChoice, Preemption, Settings};

use super::profile::Profile;
use crate::BenchError;

/// Knob value that fills engines with batch work.
const THROUGHPUT_END: u8 = 0;
/// Knob value that guards the online tail above all.
const TAIL_END: u8 = 100;

/// Policies that an arm runs under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// molespan as it is meant.
    Molespan,
    /// molespan with its knob at the end of throughput.
    ThroughputEnd,
    /// molespan with its knob at the end of tail protection.
    TailEnd,
    /// Baseline: engines are chosen one after the other.
    RoundRobin,
    /// Baseline: batch work is never held back, and engines take it for online
    /// work.
    NoPreemption,
    /// Baseline: only the engines honour priorities; gateways never hold
    /// batch work back.
    EnginePriority,
}

impl Variant {
    /// Puts the policies into the settings of a node.
    pub fn apply(self, settings: &mut Settings, profile: &Profile) {
        settings.policy.tail_protection = Some(match self {
            Self::ThroughputEnd => THROUGHPUT_END,
            Self::TailEnd => TAIL_END,
            _ => profile.tail_protection,
        });
        settings.policy.preemption = match self {
            Self::NoPreemption => Preemption::None,
            Self::EnginePriority => Preemption::EnginePriorityOnly,
            _ => Preemption::OnArrival,
        };
        settings.policy.engine_choice = match self {
            Self::RoundRobin => EngineChoice::RoundRobin,
            _ => EngineChoice::Affinity,
        };
    }
}

/// One arm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Arm {
    /// Calls through a gateway beside direct calls of the same back ends.
    Direct,
    /// Online load alone.
    Online,
    /// Batch load alone.
    Batch,
    /// Both loads under molespan's policies.
    Both,
    /// Both loads, the knob at the end of throughput.
    ThroughputEnd,
    /// Both loads, the knob at the end of tail protection.
    TailEnd,
    /// Both loads, engines chosen one after the other.
    RoundRobin,
    /// Both loads, no preemption at all.
    NoPreemption,
    /// Both loads, only engine priority.
    EnginePriority,
    /// Both loads under a schedule of faults.
    Faults,
}

impl Arm {
    /// Every arm, in the order in which they run.
    pub const ALL: [Self; 10] = [
        Self::Direct,
        Self::Online,
        Self::Batch,
        Self::Both,
        Self::ThroughputEnd,
        Self::TailEnd,
        Self::RoundRobin,
        Self::NoPreemption,
        Self::EnginePriority,
        Self::Faults,
    ];
    /// The arms that `both` is compared with.
    pub const BASELINES: [Self; 3] = [Self::RoundRobin, Self::NoPreemption, Self::EnginePriority];

    /// The two ends of the policy knob, beside the profile's own value.
    pub const KNOB_ENDS: [Self; 2] = [Self::ThroughputEnd, Self::TailEnd];

    /// Its name on the command line and in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Online => "online",
            Self::Batch => "batch",
            Self::Both => "both",
            Self::ThroughputEnd => "throughput-end",
            Self::TailEnd => "tail-end",
            Self::RoundRobin => "round-robin",
            Self::NoPreemption => "no-preemption",
            Self::EnginePriority => "engine-priority",
            Self::Faults => "faults",
        }
    }

    /// The policies it runs under.
    #[must_use]
    pub fn variant(self) -> Variant {
        match self {
            Self::ThroughputEnd => Variant::ThroughputEnd,
            Self::TailEnd => Variant::TailEnd,
            Self::RoundRobin => Variant::RoundRobin,
            Self::NoPreemption => Variant::NoPreemption,
            Self::EnginePriority => Variant::EnginePriority,
            _ => Variant::Molespan,
        }
    }

    /// Whether online and application calls are made.
    #[must_use]
    pub fn has_online(self) -> bool {
        !matches!(self, Self::Direct | Self::Batch)
    }

    /// Whether batch jobs are submitted.
    #[must_use]
    pub fn has_batch(self) -> bool {
        !matches!(self, Self::Direct | Self::Online)
    }

    /// The arms of a list separated by commas, in the order in which they run.
    ///
    /// # Errors
    ///
    /// When a name is unknown.
    pub fn parse_list(list: &str) -> Result<Vec<Self>, BenchError> {
        let parse = |name: &str| {
            let mut all = Self::ALL.into_iter();
            all.find(|arm| arm.name() == name)
                .ok_or_else(|| BenchError::UnknownValue {
                    flag: "arms",
                    value: name.to_owned(),
                    known: Self::ALL.map(Self::name).join(", "),
                })
        };
        let mut arms: Vec<Self> = list.split(',').map(parse).collect::<Result<_, _>>()?;
        arms.sort_unstable();
        arms.dedup();
        Ok(arms)
    }
}
