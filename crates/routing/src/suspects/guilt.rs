//! Which requests are the cause of the crashes that they are blamed for, by themselves or by
//! parts of their prompts.

use std::time::Duration;

use molespan_state::declared::{MAX_TRIALS, RequestDigest};
use molespan_types::Timestamp;

use super::blame::EngineKey;
use super::features::{FeatureDigest, Features, Shared};
use super::suspect::Suspect;
use super::table::SuspectTable;

/// Number of crashes without another explanation after which a request is guilty: as many
/// as operators allow one request. A lower number would refuse requests that ran beside a
/// guilty one twice.
pub(super) const GUILTY_CRASHES: usize = 3;
/// Number of crashes after which a request is guilty whatever else may explain them.
/// Operators allow three sends after the third crash; this uses up two of them at most. A
/// part is guilty then unless another one has more crashes.
pub(super) const ALWAYS_GUILTY_CRASHES: usize = 5;
/// Number of sends that operators allow behind the crashes that lead to a bar.
const ALLOWED_LATE_SENDS: u32 = 3;
/// Number of recent crashes without an explanation for which a request needs one more
/// crash to be guilty. At such times engines end for other reasons, such as a flapping
/// machine or a lost rack, or other requests are about to be found guilty.
pub(super) const UNEXPLAINED_PER_EXTRA_CRASH: usize = 2;
/// How long such crashes count as recent: flapping engines are up for some seconds at a
/// time.
const UNEXPLAINED_WINDOW: Duration = Duration::from_secs(60);
/// Time until every gateway has reported what it had at an engine that ended: two checks
/// of the engine's port, 0.12 s, and a report through two relays.
pub(super) const SETTLED_AFTER: Duration = Duration::from_millis(400);

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
        /// What ends the engines.
        cause: Cause,
    },
}

/// What ends engines: a request, or what it has in common with others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The request itself.
    Request(RequestDigest),
    /// A part of its prompt.
    Part(FeatureDigest),
}

impl Cause {
    /// Returns the digest under which the control group counts trials.
    #[must_use]
    pub fn digest(&self) -> &FeatureDigest {
        match self {
            Self::Request(digest) | Self::Part(digest) => digest,
        }
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
                barred @ Verdict::Barred { .. } => return barred,
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

    /// Judges a request by what repeats of it did.
    fn verdict_alone(&self, features: &Features, now: Timestamp) -> Verdict {
        let request = &features.request;
        let crashes = self.crashes(request);
        if let Some(cause) = self.barred_cause(features, now) {
            return Verdict::Barred { crashes, cause };
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
            true => Verdict::Barred {
                crashes,
                cause: Cause::Request(*request),
            },
            false => Verdict::Suspect { crashes },
        }
    }

    /// Returns what the control group bars a request for: itself, or a part of its prompt.
    fn barred_cause(&self, features: &Features, now: Timestamp) -> Option<Cause> {
        if self.is_barred(&features.request, now) {
            return Some(Cause::Request(features.request));
        }
        let tenant = features.shared.tenant.as_ref();
        let mut parts = features.shared.parts.iter();
        let barred = parts.find(|part| self.is_part_barred(part, tenant, now));
        barred.map(|part| Cause::Part(*part))
    }

    /// Returns the bars of the control group that hold for a request.
    #[must_use]
    pub fn bars_on(&self, features: &Features, now: Timestamp) -> Vec<FeatureDigest> {
        let Shared { tenant, parts, .. } = &features.shared;
        let of_tenant = tenant.iter().flat_map(|tenant| {
            let parts = parts.iter();
            parts.map(|part| FeatureDigest::of_prompt_part_of_tenant(part, tenant))
        });
        let all = [features.request].into_iter().chain(parts.iter().copied());
        all.chain(of_tenant)
            .filter(|one| self.is_barred(one, now))
            .collect()
    }

    /// Number of trials that the crashes so far leave of the sends that operators allow behind
    /// the first ones: those beyond them may have been such sends.
    #[must_use]
    pub fn trials_left(&self, cause: &Cause) -> u32 {
        let barred_after = match cause {
            Cause::Request(_) => GUILTY_CRASHES,
            Cause::Part(_) => ALWAYS_GUILTY_CRASHES,
        };
        let late = self.crashes_of(cause).saturating_sub(barred_after) as u32;
        ALLOWED_LATE_SENDS.saturating_sub(late).clamp(1, MAX_TRIALS)
    }

    /// When this node last learned of a crash with this cause; `None` if it knows of none.
    #[must_use]
    pub fn last_learned_at(&self, cause: &Cause) -> Option<Timestamp> {
        match cause {
            Cause::Request(request) => {
                let suspect = self.suspects.get(request)?;
                Some(suspect.last_learned_at())
            }
            Cause::Part(part) => self.part_learned_at(part),
        }
    }

    pub(super) fn is_part_barred(
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

    /// Number of engines that ended recently without the judged one, and without any
    /// request or part that is barred or has as many crashes as a guilty one.
    pub(super) fn unexplained(&self, is_own: impl Fn(&EngineKey) -> bool, now: Timestamp) -> usize {
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
