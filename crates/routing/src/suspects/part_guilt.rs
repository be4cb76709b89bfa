//! Which parts of prompts are the cause of the crashes that they are blamed for.

use std::time::Duration;

use molespan_state::declared::RequestDigest;
use molespan_types::Timestamp;

use super::blame::EngineKey;
use super::features::{FeatureDigest, Features, Shared};
use super::guilt::{
    ALWAYS_GUILTY_CRASHES, Cause, GUILTY_CRASHES, SETTLED_AFTER, UNEXPLAINED_PER_EXTRA_CRASH,
    Verdict,
};
use super::suspect::Crash;
use super::table::SuspectTable;

/// Number of crashes from which requests with a part are sent one at a time.
const TRIAL_CRASHES: usize = 2;
/// Least time between the ends of engines that did not end together: gateways find the end
/// of one engine within that time.
const TOGETHER: Duration = Duration::from_millis(150);
/// How long other requests of the service have to be answered behind ends that came together before a part
/// is guilty: as long as most answers take, so that one with the part would be among them.
const SERVED_FOR: Duration = Duration::from_secs(1);

/// What speaks for a bar, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// Number of crashes.
    pub crashes: usize,
    /// How many of them came together with another one.
    pub together: usize,
    /// Service of the requests; `None` if it is unknown.
    pub service: Option<FeatureDigest>,
    /// How long that service has been answering others behind the third crash; `None` if it
    /// has not.
    pub served_for: Option<Duration>,
}

/// Crashes that one part of a request is blamed for.
pub(super) struct PartCase<'a> {
    pub part: FeatureDigest,
    /// The request that is judged. What it has in common with the requests that ran at the
    /// engines cannot be told apart by them, and is no excuse for the part.
    features: &'a Features,
    engines: Vec<EngineKey>,
}

impl PartCase<'_> {
    fn crashes(&self) -> usize {
        self.engines.len()
    }

    fn has(&self, part: &FeatureDigest) -> bool {
        self.features.shared.parts.contains(part)
    }
}

impl SuspectTable {
    /// Returns a part for which the request may only be sent while no other one with that
    /// part is on its way: each of them may end an engine.
    #[must_use]
    pub fn trial(&self, features: &Features, now: Timestamp) -> Option<FeatureDigest> {
        let mut cases = self.part_cases(features);
        let tried = cases.find(|case| {
            let unexplained = |engine: &&EngineKey| !self.neighbour_explains(case, **engine, now);
            case.engines.iter().filter(unexplained).count() >= TRIAL_CRASHES
        });
        tried.map(|case| case.part)
    }

    /// Returns the crashes that each part of a request is blamed for.
    pub(super) fn part_cases<'a>(
        &'a self,
        features: &'a Features,
    ) -> impl Iterator<Item = PartCase<'a>> {
        features.shared.parts.iter().filter_map(move |part| {
            let engines = self.parts.engines(part);
            (engines.len() >= TRIAL_CRASHES).then_some(PartCase {
                part: *part,
                features,
                engines,
            })
        })
    }

    pub(super) fn part_verdict(&self, case: &PartCase<'_>, now: Timestamp) -> Verdict {
        let crashes = case.crashes();
        if crashes < GUILTY_CRASHES || !self.is_part_guilty(case, now) {
            return Verdict::Suspect { crashes };
        }
        let learned_at = self.part_learned_at(&case.part);
        let until = learned_at.unwrap_or_default() + SETTLED_AFTER;
        match now < until {
            true => Verdict::Unsettled { until },
            false if self.others_are_served(case, now) => Verdict::Barred {
                crashes,
                cause: Cause::Part(case.part),
            },
            false => Verdict::Suspect { crashes },
        }
    }

    /// Whether the service has answered other requests since the crashes, and none with the part; for some time where engines ended together, which says little of what ran there.
    fn others_are_served(&self, case: &PartCase<'_>, now: Timestamp) -> bool {
        let ended = self.ended_at(case);
        let needed = match count_apart(&ended) >= GUILTY_CRASHES {
            true => Duration::ZERO,
            false => SERVED_FOR,
        };
        self.served_for(case, &ended, now)
            .is_some_and(|served| served >= needed)
    }

    /// Returns how long ago the service first answered another request behind the third of
    /// these ends.
    fn served_for(
        &self,
        case: &PartCase<'_>,
        ended: &[Timestamp],
        now: Timestamp,
    ) -> Option<Duration> {
        let third = ended.get(GUILTY_CRASHES - 1)?;
        let service = case.features.shared.service.as_ref();
        let answered = self.parts.answered_after(service, *third)?;
        Some(now.since(answered))
    }

    /// Returns when the engines ended, in order.
    fn ended_at(&self, case: &PartCase<'_>) -> Vec<Timestamp> {
        let ended = case.engines.iter().filter_map(|engine| {
            let carriers = self.carriers(case, *engine);
            carriers.map(|(_, crash)| crash.at).min()
        });
        let mut ended: Vec<Timestamp> = ended.collect();
        ended.sort_unstable();
        ended
    }

    /// Whether a part, with the others of the request that is judged, is the cause of its
    /// crashes.
    fn is_part_guilty(&self, case: &PartCase<'_>, now: Timestamp) -> bool {
        let tenants = self.tenants_at_each(case);
        if !tenants.is_empty()
            && !tenants
                .iter()
                .any(|one| Some(one) == case.features.shared.tenant.as_ref())
        {
            return false;
        }
        let mut engines = case.engines.iter();
        if !engines.any(|engine| self.has_witness(case, *engine)) {
            return false;
        }
        let attributed = case.engines.iter().filter(|engine| {
            !self.neighbour_explains(case, **engine, now) && self.carrier_fits(case, **engine)
        });
        let attributed = attributed.count();
        if attributed < GUILTY_CRASHES || case.crashes() >= ALWAYS_GUILTY_CRASHES {
            return attributed >= GUILTY_CRASHES;
        }
        let is_own = |engine: &EngineKey| case.engines.contains(engine);
        attributed >= GUILTY_CRASHES + self.unexplained(is_own, now) / UNEXPLAINED_PER_EXTRA_CRASH
    }

    /// Whether a request without the part, or a part that only such requests have, explains
    /// the end of an engine: it is barred, or has as many crashes. Behind several crashes it
    /// needs more.
    fn neighbour_explains(&self, case: &PartCase<'_>, engine: EngineKey, now: Timestamp) -> bool {
        let crashes = case.crashes();
        let needed = match crashes >= ALWAYS_GUILTY_CRASHES {
            true => crashes + 1,
            false => crashes,
        };
        let neighbours = self
            .cases_at(engine)
            .filter(|(_, crash)| !crash.blamed_parts().any(|part| *part == case.part));
        neighbours
            .filter(|(other, _)| **other != case.features.request)
            .any(|(other, crash)| {
                let by_itself =
                    !crash.cleared && (self.is_barred(other, now) || self.crashes(other) >= needed);
                let tenant = crash.tenant();
                let mut parts = crash.blamed_parts().filter(|part| !case.has(part));
                by_itself
                    || parts.any(|part| {
                        self.is_part_barred(part, tenant, now) || self.parts.count(part) >= needed
                    })
            })
    }

    /// Whether a request that had the part at an engine has no other part, absent from the
    /// judged request, that was at another crash too: then the part ended this engine also
    /// without those that it came with elsewhere.
    fn has_witness(&self, case: &PartCase<'_>, engine: EngineKey) -> bool {
        self.has_carrier(case, engine, |part| self.parts.count(part) <= 1)
    }

    /// Whether a request that had the part at an engine has no other part, absent from the
    /// judged request, that explains most of the part's crashes: parts that many sound
    /// requests share were at engines that ended for several reasons.
    fn carrier_fits(&self, case: &PartCase<'_>, engine: EngineKey) -> bool {
        let crashes = case.crashes();
        self.has_carrier(case, engine, |part| self.parts.count(part) * 2 <= crashes)
            && !self.repeats_explain(case, engine)
    }

    fn has_carrier(
        &self,
        case: &PartCase<'_>,
        engine: EngineKey,
        allows: impl Fn(&FeatureDigest) -> bool,
    ) -> bool {
        let mut carriers = self.carriers(case, engine);
        carriers.any(|(_, crash)| {
            let mut others = crash.blamed_parts().filter(|part| !case.has(part));
            others.all(&allows)
        })
    }

    /// Whether repeats of one request, other than the judged one, had the part at most of
    /// its crashes: then the request is the cause, and not the part.
    fn repeats_explain(&self, case: &PartCase<'_>, engine: EngineKey) -> bool {
        let crashes = case.crashes();
        self.carriers(case, engine)
            .filter(|(request, _)| **request != case.features.request)
            .any(|(request, crash)| !crash.cleared && self.crashes(request) * 2 > crashes)
    }

    /// Returns the requests that had the part at an engine.
    fn carriers<'a>(
        &'a self,
        case: &'a PartCase<'_>,
        engine: EngineKey,
    ) -> impl Iterator<Item = (&'a RequestDigest, &'a Crash)> {
        self.cases_at(engine)
            .filter(|(_, crash)| crash.blamed_parts().any(|part| *part == case.part))
    }

    /// Returns the tenants who had a request with the part at each of its crashes. Others
    /// are not kept from it: what one tenant sends bars no part for them.
    fn tenants_at_each(&self, case: &PartCase<'_>) -> Vec<FeatureDigest> {
        let mut tenants: Option<Vec<FeatureDigest>> = None;
        for engine in &case.engines {
            let here = self.carriers(case, *engine);
            let here: Vec<FeatureDigest> = here
                .filter_map(|(_, crash)| crash.tenant().copied())
                .collect();
            tenants = Some(match tenants {
                None => here,
                Some(known) => known.into_iter().filter(|one| here.contains(one)).collect(),
            });
        }
        let mut tenants = tenants.unwrap_or_default();
        tenants.sort_unstable();
        tenants.dedup();
        tenants
    }

    /// Returns the bars that keep a guilty part from engines: of those parts that cannot be
    /// told apart, the last, since sound requests rather share the first.
    pub(super) fn bars_of_part(
        &self,
        part: &FeatureDigest,
        now: Timestamp,
    ) -> Vec<(FeatureDigest, usize)> {
        let carriers = self.parts.cases(part);
        let mut carriers = carriers.filter_map(|(engine, request)| {
            let blame = self.crash(&request, engine)?.shared.as_ref()?;
            Some(Features {
                request,
                shared: blame.shared.clone(),
            })
        });
        let Some(features) = carriers.next() else {
            return Vec::new();
        };
        let engines = self.parts.engines(part);
        let same = features.shared.parts.iter();
        let same = same.filter(|other| self.parts.engines(other) == engines);
        let same: Vec<FeatureDigest> = same.copied().collect();
        if same.last() != Some(part) {
            return Vec::new();
        }
        // Judged as another request would be: repeats of a single one are barred by themselves.
        let features = Features {
            request: *part,
            shared: Shared {
                parts: same,
                ..features.shared
            },
        };
        let case = PartCase {
            part: *part,
            features: &features,
            engines,
        };
        let ended = self.ended_at(&case);
        let served_for = self.served_for(&case, &ended, now);
        if !self.is_part_guilty(&case, now) || served_for.is_none_or(|time| time < SERVED_FOR) {
            return Vec::new();
        }
        let crashes = case.crashes();
        let tenants = self.tenants_at_each(&case);
        match tenants.is_empty() {
            true => vec![(*part, crashes)],
            false => tenants
                .iter()
                .map(|tenant| {
                    (
                        FeatureDigest::of_prompt_part_of_tenant(part, tenant),
                        crashes,
                    )
                })
                .collect(),
        }
    }

    /// Returns what speaks for the bar of a part, for all tenants or for one; `None` if this node
    /// knows of no crash with it.
    #[must_use]
    pub fn evidence(&self, barred: &FeatureDigest, now: Timestamp) -> Option<Evidence> {
        let part = self.parts_of_bar(barred).into_iter().next()?;
        let (engine, request) = self.parts.cases(&part).next()?;
        let shared = &self.crash(&request, engine)?.shared.as_ref()?.shared;
        let features = Features {
            request,
            shared: shared.clone(),
        };
        let case = PartCase {
            part,
            features: &features,
            engines: self.parts.engines(&part),
        };
        let ended = self.ended_at(&case);
        Some(Evidence {
            crashes: ended.len(),
            together: ended.len() - count_apart(&ended),
            service: features.shared.service,
            served_for: self.served_for(&case, &ended, now),
        })
    }

    /// When this node last learned of another crash of a part.
    pub(super) fn part_learned_at(&self, part: &FeatureDigest) -> Option<Timestamp> {
        let crashes = self.parts.cases(part);
        let learned_at = crashes.filter_map(|(engine, request)| {
            self.crash(&request, engine).map(|crash| crash.learned_at)
        });
        learned_at.max()
    }
}

/// Returns the number of these ends, in order, that did not come together with the one before.
fn count_apart(ended: &[Timestamp]) -> usize {
    let pairs = ended.windows(2);
    let apart = pairs.filter(|pair| pair[1].since(pair[0]) >= TOGETHER);
    apart.count() + usize::from(!ended.is_empty())
}
