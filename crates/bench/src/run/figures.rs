//! Figures of a run.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::account::Account;
use super::arms::Arm;
use super::direct::DirectFigures;
use super::faults::FaultFigures;
use super::measure::engines::EngineUse;
use super::measure::latency::Quantiles;
use super::measure::machine::MachineLoad;

/// Figures of one arm.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ArmFigures {
    /// Measured time, in seconds.
    pub measured_s: f64,
    /// Time from the scheduled start of an online request to its first token.
    pub first_token: Quantiles,
    /// Time to first token at evenly spaced quantiles, for plots.
    pub first_token_curve_ms: Vec<f64>,
    /// Time from the scheduled start of an online request to its end.
    pub online_whole: Quantiles,
    /// Time between successive tokens of a response.
    pub token_gap: Quantiles,
    /// Time from the scheduled start of an application call to its end.
    pub application_whole: Quantiles,
    /// Batch items completed per second within the measured time.
    pub batch_items_per_second: f64,
    /// Batch items completed over the time of the load, for plots.
    pub batch_progress: Vec<ProgressPoint>,
    /// Utilization of the engines within the measured time.
    pub engines: EngineUse,
    /// Mean number of processors used by all gateways.
    pub gateway_cores: f64,
    /// Mean number of processors used by all replicas.
    pub replica_cores: f64,
    /// Load of the machine.
    pub machine: MachineLoad,
    /// Counts of the outcomes of requests and items.
    pub account: Account,
    /// Figures of direct calls, in the arm `direct`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub direct: Option<DirectFigures>,
    /// Figures of faults, in the arm `faults`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub faults: Option<FaultFigures>,
}

/// Completed batch items at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProgressPoint {
    /// Seconds since the start of the load.
    pub at_s: f64,
    /// Number of completed items.
    pub completed: u64,
}

/// Figures of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunFigures {
    /// Name of the profile.
    pub profile: String,
    /// Seed of the run.
    pub seed: u64,
    /// Weight of throughput in the users' score.
    pub throughput_weight: f64,
    /// Figures by arm name.
    pub arms: BTreeMap<String, ArmFigures>,
}

/// How batch and online work affect each other in one arm.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sharing {
    /// Online p99 time to first token with batch work, divided by that without.
    pub interference: Option<f64>,
    /// Batch items per second with online work, divided by the product of the rate
    /// without online work and the share of engine time without online work.
    pub idle_utilization: Option<f64>,
    /// Like `idle_utilization`, but with the share of engine slots without online
    /// work. Stricter, since an engine with one online request has idle slots.
    pub idle_utilization_by_slots: Option<f64>,
    /// Score of the users: the geometric mean of idle utilization and inverse
    /// interference, with the weights of the profile.
    pub score: Option<f64>,
}

/// Summary that a run prints as its last line.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunSummary {
    /// Name of the profile.
    pub profile: String,
    /// Figures of molespan with the profile's policies.
    #[serde(flatten)]
    pub molespan: Sharing,
    /// Figures with the extreme values of the tail protection setting, by arm name.
    pub knob_ends: BTreeMap<String, Sharing>,
    /// Figures of the baselines by arm name.
    pub baselines: BTreeMap<String, Sharing>,
    /// Calls without a final response, and items without a result.
    pub lost: u64,
    /// Repeated executions of non-repeatable work, and repeated results.
    pub duplicated: u64,
    /// Responses and results that are wrong, incomplete or belong to another request.
    pub corrupted: u64,
    /// Rejections as not run of work that did run.
    pub false_not_run: u64,
    /// Calls rejected as not run.
    pub refused: u64,
    /// Calls and items whose final outcome is unknown.
    pub unknown: u64,
    /// 99th percentile of the time to first token through a gateway minus that of
    /// direct calls.
    pub gateway_added_p99_ms: Option<f64>,
    /// Calls per second of a gateway's processor time.
    pub requests_per_core_second: Option<f64>,
    /// Time from the leaving notice of a back end to its last new request, in seconds.
    pub leaving_last_request_s: Option<f64>,
    /// Duration of a planned stop of a gateway under load, in seconds.
    pub gateway_stop_s: Option<f64>,
    /// Largest 99th percentile over the arms of the benchmark's timer lateness.
    /// Values of some milliseconds indicate a busy machine.
    pub timer_lateness_p99_ms: f64,
}

impl RunFigures {
    /// Returns how `arm` shares the engines, relative to the arms `online` and
    /// `batch` of the same run.
    #[must_use]
    pub fn sharing(&self, arm: &str) -> Sharing {
        let figures = self.arms.get(arm);
        let online = self.arms.get("online");
        let batch = self.arms.get("batch");
        let interference = figures.zip(online).and_then(|(figures, online)| {
            ratio(figures.first_token.p99_ms, online.first_token.p99_ms)
        });
        let share = |online_share: fn(&EngineUse) -> f64| {
            let figures = figures?;
            let idle = 1.0 - online_share(&online?.engines);
            ratio(
                figures.batch_items_per_second,
                batch?.batch_items_per_second * idle,
            )
        };
        let idle_utilization = share(|engines| engines.online_time);
        Sharing {
            interference,
            idle_utilization,
            idle_utilization_by_slots: share(|engines| engines.online_slots),
            score: self.score(interference, idle_utilization),
        }
    }

    /// Returns the summary of the run.
    #[must_use]
    pub fn summary(&self) -> RunSummary {
        let mut total = super::account::Counts::default();
        for arm in self.arms.values() {
            total.add(&arm.account.total());
        }
        let direct = self.arms.get("direct").and_then(|arm| arm.direct.as_ref());
        let faults = self.arms.get("faults").and_then(|arm| arm.faults.as_ref());
        let lateness = self.arms.values().map(|arm| arm.machine.timer_lateness);
        RunSummary {
            profile: self.profile.clone(),
            molespan: self.sharing("both"),
            knob_ends: self.sharing_of(&Arm::TAIL_PROTECTION_EXTREMES),
            baselines: self.sharing_of(&Arm::BASELINES),
            lost: total.lost,
            duplicated: total.duplicated,
            corrupted: total.corrupted,
            false_not_run: total.false_not_run,
            refused: total.refused,
            unknown: total.unknown,
            gateway_added_p99_ms: direct.map(|direct| direct.completion.added_p99_ms),
            requests_per_core_second: direct.map(|direct| direct.requests_per_core_second),
            leaving_last_request_s: faults.and_then(|faults| faults.leaving_last_request_s),
            gateway_stop_s: faults.and_then(|faults| faults.gateway_stop_s),
            timer_lateness_p99_ms: lateness.map(|late| late.p99_ms).fold(0.0, f64::max),
        }
    }

    /// Returns the sharing figures of those of `arms` that ran, by name.
    fn sharing_of(&self, arms: &[Arm]) -> BTreeMap<String, Sharing> {
        let names = arms.iter().map(|arm| arm.name());
        names
            .filter(|name| self.arms.contains_key(*name))
            .map(|name| (name.to_owned(), self.sharing(name)))
            .collect()
    }

    fn score(&self, interference: Option<f64>, utilization: Option<f64>) -> Option<f64> {
        let weight = self.throughput_weight;
        let gain = utilization?.powf(weight);
        let harm = interference?.powf(1.0 - weight);
        ratio(gain, harm)
    }
}

/// Returns `part / whole`, or `None` if `whole` is not positive.
fn ratio(part: f64, whole: f64) -> Option<f64> {
    (whole > 0.0).then(|| part / whole)
}
