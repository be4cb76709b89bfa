//! The figures of a run.

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
    /// From the intended time of an online request to its first token.
    pub first_token: Quantiles,
    /// The same at evenly spaced shares of the requests, for plots.
    pub first_token_curve_ms: Vec<f64>,
    /// From the intended time of an online request to its end.
    pub online_whole: Quantiles,
    /// Between two tokens of an answer.
    pub token_gap: Quantiles,
    /// From the intended time of an application call to its end.
    pub application_whole: Quantiles,
    /// Batch items completed a second within the measured time.
    pub batch_items_per_second: f64,
    /// Batch items completed by each moment of the load, for plots.
    pub batch_progress: Vec<ProgressPoint>,
    /// Use of the engines within the measured time.
    pub engines: EngineUse,
    /// Processors that all gateways used.
    pub gateway_cores: f64,
    /// Processors that all replicas used.
    pub replica_cores: f64,
    /// How busy the machine was.
    pub machine: MachineLoad,
    /// What befell each request and item.
    pub account: Account,
    /// Direct calls, in that arm.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub direct: Option<DirectFigures>,
    /// Faults, in that arm.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub faults: Option<FaultFigures>,
}

/// Batch items completed by a moment.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProgressPoint {
    /// Seconds since the start of the load.
    pub at_s: f64,
    /// Items.
    pub completed: u64,
}

/// A whole run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunFigures {
    /// Name of the profile.
    pub profile: String,
    /// Seed.
    pub seed: u64,
    /// Weight of throughput in the users' score.
    pub throughput_weight: f64,
    /// Figures by name of the arm.
    pub arms: BTreeMap<String, ArmFigures>,
}

/// How batch and online work got on with each other in one arm.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sharing {
    /// Online p99 of the first token with batch work, divided by without.
    pub interference: Option<f64>,
    /// Batch items a second with online work, divided by those without times
    /// the share of engine time without online work.
    pub idle_utilization: Option<f64>,
    /// The same with the share of engine slots without online work: stricter,
    /// since an engine with one online request has the other slots idle.
    pub idle_utilization_by_slots: Option<f64>,
    /// Score on the users' weighting: the geometric mean of idle utilization
    /// and the inverse of interference, weighted by the profile.
    pub score: Option<f64>,
}

/// The last line that a run prints.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunSummary {
    /// Name of the profile.
    pub profile: String,
    /// molespan itself.
    #[serde(flatten)]
    pub molespan: Sharing,
    /// The ends of the policy knob by name.
    pub knob_ends: BTreeMap<String, Sharing>,
    /// Baselines by name.
    pub baselines: BTreeMap<String, Sharing>,
    /// Calls without a final answer, and items without a result.
    pub lost: u64,
    /// Second runs of what may run once, and results that came twice.
    pub duplicated: u64,
    /// Answers and results that are wrong, crossed or not whole.
    pub corrupted: u64,
    /// Refusals as not run of work that ran.
    pub false_not_run: u64,
    /// Calls refused as not run.
    pub refused: u64,
    /// Calls and items whose final outcome is unknown.
    pub unknown: u64,
    /// 99th percentile of the first token through a gateway less that of a
    /// direct call.
    pub gateway_added_p99_ms: Option<f64>,
    /// Calls in a second of a gateway's processor time.
    pub requests_per_core_second: Option<f64>,
    /// Last new request of a leaving back end after the note, in seconds.
    pub leaving_last_request_s: Option<f64>,
    /// Time that a planned stop of a gateway took under load, in seconds.
    pub gateway_stop_s: Option<f64>,
    /// Largest 99th percentile of the lateness of the bench's timers over the
    /// arms; some milliseconds tell of a busy machine.
    pub timer_lateness_p99_ms: f64,
}

impl RunFigures {
    /// How `arm` shares the engines; the references are the arms `online` and
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

    /// The figures that are printed last.
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
            knob_ends: self.sharing_of(&Arm::KNOB_ENDS),
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

    /// How those of `arms` that ran share the engines, by name.
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

/// `part / whole`, unless that says nothing.
fn ratio(part: f64, whole: f64) -> Option<f64> {
    (whole > 0.0).then(|| part / whole)
}
