//! Which requests are the cause of the crashes that they are blamed for, by themselves or by
//! parts of their prompts.

use std::time::Duration;

use molespan_state::declared::RequestDigest;
use molespan_types::Timestamp;

use super::blame::EngineKey;
use super::features::{FeatureDigest, Features, Shared};
use super::suspect::{Crash, Suspect};
use super::table::SuspectTable;

/// Number of crashes without another explanation after which a request is guilty: as many
/// as operators allow one request. A lower number would refuse requests that ran beside a
/// guilty one twice.
pub(super) const GUILTY_CRASHES: usize = 3;
/// Number of crashes after which a request is guilty whatever else may explain them.
/// Operators allow three sends after the third crash; this uses up two of them at most. A
/// part is guilty then unless another one has more crashes.
const ALWAYS_GUILTY_CRASHES: usize = 5;
/// Number of crashes from which requests with a part are sent one at a time.
const TRIAL_CRASHES: usize = 2;
/// Number of recent crashes without an explanation for which a request needs one more
/// crash to be guilty. At such times engines end for other reasons, such as a flapping
/// machine or a lost rack, or other requests are about to be found guilty.
const UNEXPLAINED_PER_EXTRA_CRASH: usize = 2;
/// How long such crashes count as recent: flapping engines are up for some seconds at a
/// time.
const UNEXPLAINED_WINDOW: Duration = Duration::from_secs(60);
/// Time until every gateway has reported what it had at an engine that ended: two checks
/// of the engine's port, 0.12 s, and a report through two relays.
const SETTLED_AFTER: Duration = Duration::from_millis(400);

/// Whether a request may be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request is not blamed for any crash.
    Free,
    /// The request was running on engines when they ended.
    Suspect {
        /// Number of these engines.
        crashes: usize,
    },
    /// The request may be guilty, which is not decided yet.
    Unsettled {
        /// When it can be decided.
        until: Timestamp,
    },
    /// The request must not be sent to any engine.
    Barred {
        /// Number of engines that ended while running it, or requests with its parts, as
        /// far as this node knows.
        crashes: usize,
    },
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
    /// Whether a request may be sent to an engine.
    #[must_use]
    pub fn verdict(&self, request: impl Into<Features>, now: Timestamp) -> Verdict {
        let features = request.into();
        let alone = self.verdict_alone(&features, now);
        if matches!(alone, Verdict::Barred { .. }) {
            return alone;
        }
        let mut unsettled = None;
        for case in self.part_cases(&features) {
            match self.part_verdict(&case, now) {
                Verdict::Barred { crashes } => return Verdict::Barred { crashes },
                Verdict::Unsettled { until } => unsettled = unsettled.max(Some(until)),
                Verdict::Free | Verdict::Suspect { .. } => {}
            }
        }
        match (alone, unsettled) {
            (Verdict::Unsettled { until }, other) => Verdict::Unsettled {
                until: other.map_or(until, |other| other.max(until)),
            },
            (_, Some(until)) => Verdict::Unsettled { until },
            (alone, None) => alone,
        }
    }

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

    /// Judges a request by what repeats of it did.
    fn verdict_alone(&self, features: &Features, now: Timestamp) -> Verdict {
        let request = &features.request;
        let crashes = self.crashes(request);
        if self.has_bar(features, now) {
            return Verdict::Barred { crashes };
        }
        let Some(suspect) = self.suspects.get(request).filter(|_| crashes > 0) else {
            return Verdict::Free;
        };
        if crashes < GUILTY_CRASHES {
            return Verdict::Suspect { crashes };
        }
        // Other requests that were running there may not have been reported yet.
        let until = suspect.last_learned_at() + SETTLED_AFTER;
        if now < until {
            return Verdict::Unsettled { until };
        }
        match self.is_guilty(request, suspect, now) {
            true => Verdict::Barred { crashes },
            false => Verdict::Suspect { crashes },
        }
    }

    /// Whether the control group bars a request, or a part of its prompt.
    #[must_use]
    pub fn has_bar(&self, features: &Features, now: Timestamp) -> bool {
        let tenant = features.shared.tenant.as_ref();
        let mut parts = features.shared.parts.iter();
        self.is_barred(&features.request, now)
            || parts.any(|part| self.is_part_barred(part, tenant, now))
    }

    fn is_part_barred(
        &self,
        part: &FeatureDigest,
        tenant: Option<&FeatureDigest>,
        now: Timestamp,
    ) -> bool {
        let of_tenant = tenant.map(|tenant| FeatureDigest::of_prompt_part_of_tenant(part, tenant));
        self.is_barred(part, now) || of_tenant.is_some_and(|one| self.is_barred(&one, now))
    }

    /// Whether a request is the cause of its crashes. Of the requests at the same engine,
    /// the one with the most crashes explains its end. If two have as many, neither does,
    /// and the next crash distinguishes them.
    fn is_guilty(&self, request: &RequestDigest, suspect: &Suspect, now: Timestamp) -> bool {
        let count = suspect.count();
        if count >= ALWAYS_GUILTY_CRASHES {
            return true;
        }
        let attributed = suspect
            .blamed()
            .filter(|&(engine, _)| !self.others_explain(request, engine, count, now));
        let is_own = |engine: &EngineKey| suspect.crashes.contains_key(engine);
        attributed.count()
            >= GUILTY_CRASHES + self.unexplained(is_own, now) / UNEXPLAINED_PER_EXTRA_CRASH
    }

    /// Whether another request, or a part of one that the request does not have, explains
    /// the end of an engine as well as the request with `count` crashes.
    fn others_explain(
        &self,
        request: &RequestDigest,
        engine: EngineKey,
        count: usize,
        now: Timestamp,
    ) -> bool {
        let own = self.crash(request, engine);
        let own: Vec<&FeatureDigest> = own.map_or(Vec::new(), |crash| crash.parts().collect());
        self.cases_at(engine)
            .filter(|(other, _)| *other != request)
            .any(|(other, crash)| {
                let by_itself =
                    !crash.cleared && (self.is_barred(other, now) || self.crashes(other) >= count);
                let mut parts = crash.blamed_parts().filter(|part| !own.contains(part));
                by_itself || parts.any(|part| self.parts.count(part) >= count)
            })
    }

    /// Returns the crashes that each part of a request is blamed for.
    fn part_cases<'a>(&'a self, features: &'a Features) -> impl Iterator<Item = PartCase<'a>> {
        features.shared.parts.iter().filter_map(move |part| {
            let engines = self.parts.engines(part);
            (engines.len() >= TRIAL_CRASHES).then_some(PartCase {
                part: *part,
                features,
                engines,
            })
        })
    }

    fn part_verdict(&self, case: &PartCase<'_>, now: Timestamp) -> Verdict {
        let crashes = case.crashes();
        if crashes < GUILTY_CRASHES || !self.is_part_guilty(case, now) {
            return Verdict::Suspect { crashes };
        }
        let until = self.part_learned_at(&case.part) + SETTLED_AFTER;
        match now < until {
            true => Verdict::Unsettled { until },
            false => Verdict::Barred { crashes },
        }
    }

    /// Whether a part, with the others of the request that is judged, is the cause of its
    /// crashes.
    pub(super) fn is_part_guilty(&self, case: &PartCase<'_>, now: Timestamp) -> bool {
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
    pub(super) fn tenants_at_each(&self, case: &PartCase<'_>) -> Vec<FeatureDigest> {
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
            let blame = self.crash(request, *engine)?.shared.as_ref()?;
            Some(Features {
                request: *request,
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
                tenant: features.shared.tenant,
                parts: same,
            },
        };
        let case = PartCase {
            part: *part,
            features: &features,
            engines,
        };
        if !self.is_part_guilty(&case, now) {
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

    /// When this node last learned of another crash of a part.
    pub(super) fn part_learned_at(&self, part: &FeatureDigest) -> Timestamp {
        let crashes = self.parts.cases(part);
        let learned_at = crashes.filter_map(|(engine, request)| {
            self.crash(request, *engine).map(|crash| crash.learned_at)
        });
        learned_at.max().unwrap_or(Timestamp::ZERO)
    }

    /// Number of engines that ended recently without the judged one, and without any
    /// request or part that is barred or has as many crashes as a guilty one.
    fn unexplained(&self, is_own: impl Fn(&EngineKey) -> bool, now: Timestamp) -> usize {
        let engines = self.at_engine.keys();
        let unexplained = engines.filter(|engine| {
            let recent = self
                .cases_at(**engine)
                .any(|(_, crash)| now.since(crash.at) < UNEXPLAINED_WINDOW);
            let explained = self.cases_at(**engine).any(|(request, crash)| {
                let mut parts = crash.blamed_parts();
                self.crashes(request) >= GUILTY_CRASHES
                    || self.is_barred(request, now)
                    || parts.any(|part| {
                        self.parts.count(part) >= GUILTY_CRASHES
                            || self.is_part_barred(part, crash.tenant(), now)
                    })
            });
            recent && !explained && !is_own(engine)
        });
        unexplained.count()
    }
}
