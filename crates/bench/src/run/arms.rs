//! Arms of a run: the load and the policies of each.

use molespan_settings::{EngineChoice, Preemption, Settings};

use super::profile::Profile;
use crate::BenchError;

/// Tail protection value that favours throughput: engines are filled with batch work.
const THROUGHPUT_END: u8 = 0;
/// Tail protection value that favours online tail latency.
const TAIL_END: u8 = 100;

/// Policies of an arm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// molespan with its regular policies.
    Molespan,
    /// molespan with the tail protection setting that favours throughput.
    ThroughputEnd,
    /// molespan with the maximum tail protection setting.
    TailEnd,
    /// Baseline: engines are chosen round-robin.
    RoundRobin,
    /// Baseline: no preemption. Gateways never hold batch work back, and engines
    /// treat it like online work.
    NoPreemption,
    /// Baseline: only the engines apply priorities; gateways never hold batch work
    /// back.
    EnginePriority,
}

impl Variant {
    /// Applies the policies to the settings of a node.
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

/// An arm of the experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Arm {
    /// Calls through a gateway, compared with direct calls to the same back ends.
    Direct,
    /// Only online load.
    Online,
    /// Only batch load.
    Batch,
    /// Both loads with molespan's regular policies.
    Both,
    /// Both loads with the tail protection setting that favours throughput.
    ThroughputEnd,
    /// Both loads with the maximum tail protection setting.
    TailEnd,
    /// Both loads with engines chosen round-robin.
    RoundRobin,
    /// Both loads without preemption.
    NoPreemption,
    /// Both loads with priorities applied only by engines.
    EnginePriority,
    /// Both loads with scheduled faults.
    Faults,
}

impl Arm {
    /// All arms in execution order.
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
    /// Arms with which `both` is compared.
    pub const BASELINES: [Self; 3] = [Self::RoundRobin, Self::NoPreemption, Self::EnginePriority];

    /// Arms with the extreme values of the tail protection setting.
    pub const TAIL_PROTECTION_EXTREMES: [Self; 2] = [Self::ThroughputEnd, Self::TailEnd];

    /// Returns the arm's name on the command line and in reports.
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

    /// Returns the policies of the arm.
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

    /// Parses a comma-separated list of arms and returns them in execution order.
    ///
    /// # Errors
    ///
    /// Fails if a name is unknown.
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
