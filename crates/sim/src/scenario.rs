//! The scenario that determines a run: participants, clocks, faults and work.

use std::time::Duration;

use molespan_types::Timestamp;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::clock::TRUE_RATE;
use crate::fault::{Fault, FaultClass, Topology, schedule};
use crate::workload::{PlannedWork, workload};

/// Services of every run. Only engine 1 serves the second one.
pub const SERVICES: [&str; 2] = ["captions", "hints"];
/// Model of every engine.
pub const MODEL: &str = "model";
/// Duration of a lease, as replicas measure it.
pub const LEASE: Duration = Duration::from_secs(4);
/// Currency bound of gateways: the maximum lag of the configuration under which
/// they admit work.
pub const CURRENCY_BOUND: Duration = Duration::from_secs(3);
/// Delay between the end of the faults and the start of the calm jobs.
pub const CALM_JOB_AFTER: Duration = Duration::from_secs(10);
/// Delay between the end of the faults and the start of the burst of online
/// requests during the calm jobs.
pub const CALM_BURST_AFTER: Duration = Duration::from_secs(12);
/// Delay between the end of the faults and the audit, in which clients and
/// operators read acknowledged results again.
pub const AUDIT_AFTER: Duration = Duration::from_secs(14);
/// Time after the end of the faults by which everything must have finished.
pub const FINISHED_AFTER: Duration = Duration::from_secs(75);

/// Earliest start of work and faults.
const BEGIN: Timestamp = Timestamp::from_millis(4_000);
/// End of the last fault.
const FAULTS_END: Timestamp = Timestamp::from_millis(22_000);
/// Time before which the job with long items is submitted.
const LONG_ITEMS_UNTIL: Timestamp = Timestamp::from_millis(10_000);
/// Number of zones.
const ZONES: u32 = 3;
/// Rates of the slowest and the fastest clock, in thousandths. A lease holder stops
/// at 0.6 of its lease, so these rates stay well within the tolerated range.
const CLOCK_RATES: std::ops::RangeInclusive<u64> = 850..=1_150;

/// A scenario, which determines a run completely.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed.
    pub seed: u64,
    /// Participants and times.
    pub topology: Topology,
    /// Clock rates of replicas, then of gateways, in thousandths.
    pub clock_rates: Vec<u64>,
    /// Faults; `None` where a fault was removed.
    pub faults: Vec<Option<Fault>>,
    /// Work; `None` where a piece was removed.
    pub work: Vec<Option<PlannedWork>>,
}

impl Scenario {
    /// Draws the scenario of a seed, with faults of `classes`.
    #[must_use]
    pub fn from_seed(seed: u64, classes: &[FaultClass]) -> Self {
        // Work and faults use separate generators, so that the work of a seed does not
        // depend on the enabled classes.
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let topology = Topology {
            replicas: if random.random_bool(0.7) { 3 } else { 5 },
            gateways: 3,
            engines: 4,
            zones: ZONES,
            faults_begin: BEGIN,
            long_items_at: Timestamp(random.random_range(BEGIN.0..LONG_ITEMS_UNTIL.0)),
            faults_end: FAULTS_END,
        };
        let work = workload(&mut random, &topology);
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ u64::MAX);
        let clocks = topology.replicas + topology.gateways;
        let clock_rates = (0..clocks).map(|_| random.random_range(CLOCK_RATES));
        let clock_rates: Vec<u64> = clock_rates.collect();
        let faults = schedule(&mut random, &topology, classes);
        let skewed = classes.contains(&FaultClass::Clocks);
        Self {
            seed,
            clock_rates: if skewed {
                clock_rates
            } else {
                vec![TRUE_RATE; clocks as usize]
            },
            topology,
            faults: faults.into_iter().map(Some).collect(),
            work: work.into_iter().map(Some).collect(),
        }
    }

    /// Removes every fault and piece of work whose index is not listed; `None` keeps all.
    #[must_use]
    pub fn only(mut self, faults: Option<&[usize]>, work: Option<&[usize]>) -> Self {
        if let Some(kept) = faults {
            leave_out(&mut self.faults, kept);
        }
        if let Some(kept) = work {
            leave_out(&mut self.work, kept);
        }
        self
    }

    /// Returns the time at which the last fault has ended.
    #[must_use]
    pub fn faults_end(&self) -> Timestamp {
        self.topology.faults_end
    }
}

fn leave_out<T>(entries: &mut [Option<T>], kept: &[usize]) {
    for (position, entry) in entries.iter_mut().enumerate() {
        if !kept.contains(&position) {
            *entry = None;
        }
    }
}
