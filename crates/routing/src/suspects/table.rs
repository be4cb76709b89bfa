//! All requests that were running on engines when they ended, and which of them are
//! guilty.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use molespan_state::declared::RequestDigest;
use molespan_types::Timestamp;

use super::blame::{Blame, EngineKey, Progress};
use super::features::{FeatureDigest, Features};
use super::guilt::{Cause, GUILTY_CRASHES, Verdict};
use super::parts::{Case, PartCrashes};
use super::suspect::{Crash, Suspect};

/// Number of crashes from which a batch item waits, and how long. Items run for seconds,
/// so that several crashing requests can hit the same item before they are identified.
/// With four such requests at once, no item among the 190,000 requests beside them was
/// refused, instead of 70 without the wait (tests/suspect_schedules, 60 schedules).
/// Online requests do not wait: as many were refused with a wait, and waiting copies of a
/// guilty request were sent together.
const ITEM_WAIT_CRASHES: usize = 2;
const ITEM_WAIT: Duration = Duration::from_secs(3);
/// How long a request is remembered after its latest crash, so that one that is sent once
/// an hour does not start anew each time.
const SUSPECT_TTL: Duration = Duration::from_secs(3 * 3_600);
/// Maximum number of remembered requests, some 200 bytes each. Beyond it, those with the
/// fewest crashes are dropped first, and of these the oldest.
const MAX_SUSPECTS: usize = 4_096;
/// Number of times that a new blame is sent, since a report may be lost.
const SENDS_PER_BLAME: u32 = 3;
/// Maximum number of blames in one report, some 40 bytes each.
const MAX_REPORT_BLAMES: usize = 128;
/// Number of blames that are sent again in rotation every [`REPEAT_INTERVAL`], so that
/// nodes that were cut off or have just started receive all of them: 0.3 KB per second.
const REPEATED_BLAMES: usize = 8;
/// Time between two of these repetitions.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without another crash of a part after which its bar is asked for: longer than most
/// answers take.
const PART_BAR_DELAY: Duration = Duration::from_secs(1);
/// Time after which a gateway that observed no crash of a guilty request asks for its
/// bar: gateways that observed one ask first.
const NON_OBSERVER_DELAY: Duration = Duration::from_secs(3);

/// Crashes known to one node, and the requests blamed for them.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    pub(super) suspects: BTreeMap<RequestDigest, Suspect>,
    /// Requests by the engine that ended while running them.
    pub(super) at_engine: BTreeMap<EngineKey, BTreeSet<RequestDigest>>,
    pub(super) parts: PartCrashes,
    /// Bars held by the control group, which keep a request from all engines, with the
    /// time at which they end.
    bars: BTreeMap<RequestDigest, Timestamp>,
    /// Blames to be sent, and how many more times.
    pending_sends: VecDeque<(RequestDigest, EngineKey, u32)>,
    /// Latest blame that was repeated; the next repetition continues after it.
    last_repeated: Option<(RequestDigest, EngineKey)>,
    last_repeat_at: Timestamp,
}

impl SuspectTable {
    /// Whether no request has to be looked up, as is the case unless engines crash.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.bars.is_empty()
    }

    /// Number of remembered requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Number of bars that are in force here.
    #[must_use]
    pub fn bars(&self) -> usize {
        self.bars.len()
    }

    /// Records that this gateway had a request at an engine that ended before it began to
    /// answer. Returns the number of crashes that the request is now blamed for, if this one
    /// is new.
    pub fn blame(
        &mut self,
        request: impl Into<Features>,
        engine: EngineKey,
        now: Timestamp,
    ) -> Option<usize> {
        self.blame_within(request, engine, Progress::default(), now)
    }

    /// The same, for a request whose answer had got so far.
    pub fn blame_within(
        &mut self,
        request: impl Into<Features>,
        engine: EngineKey,
        progress: Progress,
        now: Timestamp,
    ) -> Option<usize> {
        let Features { request, shared } = request.into();
        let crash = Crash {
            at: now,
            learned_at: now,
            cleared: false,
            own: true,
            shared: (!shared.parts.is_empty()).then(|| shared.into()),
            progress: Some(progress),
        };
        let is_new = self.insert(request, engine, crash);
        is_new.then(|| self.crashes(&request))
    }

    /// Records the blames that another node reports. Returns whether any of them is new.
    pub fn note(&mut self, blames: &[Blame], now: Timestamp) -> bool {
        let mut is_new = false;
        for blame in blames.iter().take(MAX_REPORT_BLAMES) {
            let age = blame.age_ms.saturating_mul(1_000);
            let crash = Crash {
                at: Timestamp(now.0.saturating_sub(age)),
                learned_at: now,
                cleared: blame.cleared,
                own: false,
                shared: blame.shared.clone(),
                progress: blame.progress,
            };
            is_new |= self.insert(blame.request, blame.engine, crash);
        }
        is_new
    }

    fn insert(&mut self, request: RequestDigest, engine: EngineKey, mut crash: Crash) -> bool {
        if let Some(blame) = &mut crash.shared {
            for part in blame.shared.parts.clone() {
                if self.parts.completed_after(&part, crash.at) {
                    blame.clear(&part);
                }
            }
        }
        let suspect = self.suspects.entry(request).or_default();
        if !suspect.note(engine, crash) {
            return false;
        }
        self.at_engine.entry(engine).or_default().insert(request);
        self.index_parts(request, engine);
        self.pending_sends
            .push_back((request, engine, SENDS_PER_BLAME));
        if self.suspects.len() > MAX_SUSPECTS {
            self.evict_one(&request);
        }
        true
    }

    /// Updates for which parts a crash counts.
    fn index_parts(&mut self, request: RequestDigest, engine: EngineKey) {
        let crash = self.suspects.get(&request);
        let crash = crash.and_then(|suspect| suspect.crashes.get(&engine));
        let Some(blame) = crash.and_then(|crash| crash.shared.as_ref()) else {
            return;
        };
        let blamed: BTreeSet<FeatureDigest> = blame.blamed().copied().collect();
        for part in &blame.shared.parts {
            self.parts
                .set(*part, (engine, request), blamed.contains(part));
        }
    }

    /// Records that an engine answered a request completely. Returns whether the request, or
    /// a part of it, was blamed.
    pub fn answered(&mut self, request: impl Into<Features>, now: Timestamp) -> bool {
        let features = request.into();
        self.parts.note_answer(features.shared.service, now);
        let mut changed = self.clear_request(&features.request);
        for part in &features.shared.parts {
            self.parts.note_completed(*part, now);
            changed |= self.clear_part(part);
        }
        changed
    }

    fn clear_request(&mut self, request: &RequestDigest) -> bool {
        let Some(suspect) = self.suspects.get_mut(request) else {
            return false;
        };
        if !suspect.clear() {
            return false;
        }
        let engines: Vec<EngineKey> = suspect.crashes.keys().copied().collect();
        let cleared = engines.into_iter();
        self.pending_sends
            .extend(cleared.map(|engine| (*request, engine, SENDS_PER_BLAME)));
        true
    }

    /// Clears a part of all crashes known here.
    fn clear_part(&mut self, part: &FeatureDigest) -> bool {
        let cases: Vec<Case> = self.parts.cases(part).collect();
        for (engine, request) in &cases {
            let suspect = self.suspects.get_mut(request);
            let crash = suspect.and_then(|suspect| suspect.crashes.get_mut(engine));
            let Some(blame) = crash.and_then(|crash| crash.shared.as_mut()) else {
                continue;
            };
            blame.clear(part);
            self.index_parts(*request, *engine);
            self.pending_sends
                .push_back((*request, *engine, SENDS_PER_BLAME));
        }
        !cases.is_empty()
    }

    /// Records that the control group holds a bar until `ends`.
    pub fn bar(&mut self, request: RequestDigest, ends: Timestamp) {
        self.bars.insert(request, ends);
    }

    /// Records that an operator lifted a bar: what was known of the request, or of the part,
    /// no longer counts.
    pub fn lift(&mut self, barred: &FeatureDigest) {
        self.bars.remove(barred);
        self.clear_request(barred);
        for part in self.parts_of_bar(barred) {
            self.clear_part(&part);
        }
    }

    /// Returns the blamed parts that a bar is about, for all tenants or for one.
    pub(super) fn parts_of_bar(&self, barred: &FeatureDigest) -> Vec<FeatureDigest> {
        let is_of_tenant = |part: &FeatureDigest| {
            let mut cases = self.parts.cases(part);
            cases.any(|(engine, request)| {
                let crash = self.crash(&request, engine);
                let tenant = crash.and_then(Crash::tenant);
                tenant.is_some_and(|one| {
                    FeatureDigest::of_prompt_part_of_tenant(part, one) == *barred
                })
            })
        };
        let parts = self.parts.parts();
        parts
            .filter(|part| *part == barred || is_of_tenant(part))
            .copied()
            .collect()
    }

    /// Returns the crash of an engine that a request is or was blamed for.
    pub(super) fn crash(&self, request: &RequestDigest, engine: EngineKey) -> Option<&Crash> {
        self.suspects.get(request)?.crashes.get(&engine)
    }

    /// Returns the requests that were running on an engine when it ended.
    pub(super) fn cases_at(
        &self,
        engine: EngineKey,
    ) -> impl Iterator<Item = (&RequestDigest, &Crash)> {
        let requests = self.at_engine.get(&engine).into_iter().flatten();
        requests.filter_map(move |request| Some((request, self.crash(request, engine)?)))
    }

    /// Number of crashes that a request is blamed for.
    #[must_use]
    pub fn crashes(&self, request: &RequestDigest) -> usize {
        self.suspects.get(request).map_or(0, Suspect::count)
    }

    /// Number of crashes that are blamed on a cause.
    #[must_use]
    pub fn crashes_of(&self, cause: &Cause) -> usize {
        match cause {
            Cause::Request(request) => self.crashes(request),
            Cause::Part(part) => self.parts.count(part),
        }
    }

    /// Returns until when a batch item has to wait after several engines ended while
    /// running it: by then, another request that was the cause has been found. `None` if
    /// it need not wait.
    #[must_use]
    pub fn item_waits(&self, request: &RequestDigest, now: Timestamp) -> Option<Timestamp> {
        let suspect = self.suspects.get(request)?;
        let until = suspect.last_learned_at() + ITEM_WAIT;
        (suspect.count() >= ITEM_WAIT_CRASHES && now < until).then_some(until)
    }

    pub(super) fn is_barred(&self, request: &RequestDigest, now: Timestamp) -> bool {
        self.bars.get(request).is_some_and(|&ends| now < ends)
    }

    /// Returns the guilty requests and parts without a bar and the number of their crashes,
    /// if this gateway is to ask for the bar.
    #[must_use]
    pub fn to_bar(&self, now: Timestamp) -> Vec<(FeatureDigest, usize)> {
        let candidates = self.suspects.iter();
        let candidates = candidates.filter(|(_, suspect)| suspect.count() >= GUILTY_CRASHES);
        let due = candidates.filter(|(request, suspect)| {
            let own = suspect.crashes.values().any(|crash| crash.own);
            let late = now.since(suspect.last_learned_at()) >= NON_OBSERVER_DELAY;
            let open = !self.is_barred(request, now) && (own || late);
            open && matches!(self.verdict(*request, now), Verdict::Barred { .. })
        });
        let mut to_bar: Vec<(FeatureDigest, usize)> = due
            .map(|(request, suspect)| (*request, suspect.count()))
            .collect();
        let parts = self.guilty_parts(now).into_iter();
        to_bar.extend(parts.filter(|(part, _)| !self.is_barred(part, now)));
        to_bar
    }

    /// Returns the bars of guilty parts, for all tenants or for those who alone sent them,
    /// and the number of their crashes.
    fn guilty_parts(&self, now: Timestamp) -> Vec<(FeatureDigest, usize)> {
        let mut bars = Vec::new();
        for part in self.candidate_parts() {
            let learned_at = self.part_learned_at(part).unwrap_or_default();
            // Until then, answers may show which of several parts it is.
            if now.since(learned_at) < PART_BAR_DELAY {
                continue;
            }
            let own = self.parts.cases(part).any(|(engine, request)| {
                self.crash(&request, engine).is_some_and(|crash| crash.own)
            });
            if own || now.since(learned_at) >= NON_OBSERVER_DELAY {
                bars.extend(self.bars_of_part(part, now));
            }
        }
        bars
    }

    fn candidate_parts(&self) -> impl Iterator<Item = &FeatureDigest> {
        let parts = self.parts.parts();
        parts.filter(|part| self.parts.count(part) >= GUILTY_CRASHES)
    }

    /// Whether a request without a bar may be guilty, now or once that is decided.
    #[must_use]
    pub fn has_candidates(&self, now: Timestamp) -> bool {
        let suspects = self.suspects.iter();
        let mut candidates = suspects.filter(|(_, suspect)| suspect.count() >= GUILTY_CRASHES);
        candidates.any(|(request, _)| !self.is_barred(request, now))
            || self
                .candidate_parts()
                .any(|part| !self.is_barred(part, now))
    }

    /// Whether there are new blames to send.
    #[must_use]
    pub fn has_news(&self) -> bool {
        !self.pending_sends.is_empty()
    }

    /// Returns the blames to send now: new ones, and some of the others in rotation.
    pub fn blames_to_send(&mut self, now: Timestamp) -> Vec<Blame> {
        let mut pairs: Vec<(RequestDigest, EngineKey)> = Vec::new();
        let mut again = VecDeque::new();
        while pairs.len() < MAX_REPORT_BLAMES
            && let Some((request, engine, times)) = self.pending_sends.pop_front()
        {
            pairs.push((request, engine));
            if times > 1 {
                again.push_back((request, engine, times - 1));
            }
        }
        self.pending_sends.append(&mut again);
        if now.since(self.last_repeat_at) >= REPEAT_INTERVAL {
            self.last_repeat_at = now;
            let room = REPEATED_BLAMES.min(MAX_REPORT_BLAMES - pairs.len());
            let next = self.next_repeated(room);
            pairs.extend(next);
        }
        let blames = pairs
            .into_iter()
            .filter_map(|(request, engine)| self.current_blame(request, engine, now));
        blames.collect()
    }

    /// Returns the next blames in order; after the last one, the next call starts over.
    fn next_repeated(&mut self, room: usize) -> Vec<(RequestDigest, EngineKey)> {
        let from = self.last_repeated;
        let suspects = match from {
            Some((request, _)) => self.suspects.range(request..),
            None => self.suspects.range(..),
        };
        let all = suspects.flat_map(|(request, suspect)| {
            let engines = suspect.crashes.keys();
            engines.map(move |engine| (*request, *engine))
        });
        let next: Vec<(RequestDigest, EngineKey)> =
            all.filter(|pair| Some(*pair) > from).take(room).collect();
        self.last_repeated = match next.len() < room {
            true => None,
            false => next.last().copied(),
        };
        next
    }

    fn current_blame(
        &self,
        request: RequestDigest,
        engine: EngineKey,
        now: Timestamp,
    ) -> Option<Blame> {
        let crash = self.suspects.get(&request)?.crashes.get(&engine)?;
        Some(Blame {
            request,
            engine,
            age_ms: now.since(crash.at).as_millis() as u64,
            cleared: crash.cleared,
            shared: crash.shared.clone(),
            progress: crash.progress,
        })
    }

    /// Drops bars that ended and requests that are remembered no longer.
    pub fn expire(&mut self, now: Timestamp) {
        self.bars.retain(|_, ends| now < *ends);
        self.parts.expire(now);
        let suspects = self.suspects.iter();
        let old = suspects.filter(|(_, suspect)| now.since(suspect.last_crash_at()) >= SUSPECT_TTL);
        let old: Vec<RequestDigest> = old.map(|(request, _)| *request).collect();
        for request in &old {
            self.remove(request);
        }
    }

    /// Makes room for a request that was just added.
    fn evict_one(&mut self, except: &RequestDigest) {
        let suspects = self
            .suspects
            .iter()
            .filter(|(request, _)| *request != except);
        let least = suspects.min_by_key(|(_, suspect)| (suspect.count(), suspect.last_crash_at()));
        if let Some(request) = least.map(|(request, _)| *request) {
            self.remove(&request);
        }
    }

    fn remove(&mut self, request: &RequestDigest) {
        let Some(suspect) = self.suspects.remove(request) else {
            return;
        };
        for (engine, crash) in &suspect.crashes {
            for part in crash.parts() {
                self.parts.set(*part, (*engine, *request), false);
            }
            if let Some(there) = self.at_engine.get_mut(engine) {
                there.remove(request);
                if there.is_empty() {
                    self.at_engine.remove(engine);
                }
            }
        }
    }
}
