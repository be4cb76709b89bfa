//! All requests that were running on engines when they ended, and which of them are
//! guilty.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use molespan_state::declared::RequestDigest;
use molespan_types::Timestamp;

use super::blame::{Blame, EngineKey};
use super::suspect::{Crash, Suspect};

/// Number of crashes without another explanation after which a request is guilty: as many
/// as operators allow one request. A lower number would refuse requests that ran beside a
/// guilty one twice.
const GUILTY_CRASHES: usize = 3;
/// Number of crashes after which a request is guilty whatever else may explain them.
/// Operators allow three sends after the third crash; this uses up two of them at most.
const ALWAYS_GUILTY_CRASHES: usize = 5;
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
/// Time after which a gateway that observed no crash of a guilty request asks for its
/// bar: gateways that observed one ask first.
const NON_OBSERVER_DELAY: Duration = Duration::from_secs(3);

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
        /// Number of engines that ended while running it, as far as this node knows.
        crashes: usize,
    },
}

/// Crashes known to one node, and the requests blamed for them.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    suspects: BTreeMap<RequestDigest, Suspect>,
    /// Requests by the engine that ended while running them.
    at_engine: BTreeMap<EngineKey, BTreeSet<RequestDigest>>,
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

    /// Records that this gateway had a request at an engine that ended. Returns the
    /// number of crashes that the request is now blamed for, if this one is new.
    pub fn blame(
        &mut self,
        request: RequestDigest,
        engine: EngineKey,
        now: Timestamp,
    ) -> Option<usize> {
        let crash = Crash {
            at: now,
            learned_at: now,
            cleared: false,
            own: true,
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
            };
            is_new |= self.insert(blame.request, blame.engine, crash);
        }
        is_new
    }

    fn insert(&mut self, request: RequestDigest, engine: EngineKey, crash: Crash) -> bool {
        let suspect = self.suspects.entry(request).or_default();
        if !suspect.note(engine, crash) {
            return false;
        }
        self.at_engine.entry(engine).or_default().insert(request);
        self.pending_sends
            .push_back((request, engine, SENDS_PER_BLAME));
        if self.suspects.len() > MAX_SUSPECTS {
            self.evict_one(&request);
        }
        true
    }

    /// Records that an engine answered a request completely. Returns whether the request
    /// was blamed.
    pub fn answered(&mut self, request: &RequestDigest) -> bool {
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

    /// Records that the control group holds a bar until `ends`.
    pub fn bar(&mut self, request: RequestDigest, ends: Timestamp) {
        self.bars.insert(request, ends);
    }

    /// Records that an operator lifted a bar: what was known of the request no longer
    /// counts.
    pub fn lift(&mut self, request: &RequestDigest) {
        self.bars.remove(request);
        self.answered(request);
    }

    /// Number of crashes that a request is blamed for.
    #[must_use]
    pub fn crashes(&self, request: &RequestDigest) -> usize {
        self.suspects.get(request).map_or(0, Suspect::count)
    }

    /// Whether a request may be sent to an engine.
    #[must_use]
    pub fn verdict(&self, request: &RequestDigest, now: Timestamp) -> Verdict {
        let crashes = self.crashes(request);
        if self.is_barred(request, now) {
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

    /// Returns until when a batch item has to wait after several engines ended while
    /// running it: by then, another request that was the cause has been found. `None` if
    /// it need not wait.
    #[must_use]
    pub fn item_waits(&self, request: &RequestDigest, now: Timestamp) -> Option<Timestamp> {
        let suspect = self.suspects.get(request)?;
        let until = suspect.last_learned_at() + ITEM_WAIT;
        (suspect.count() >= ITEM_WAIT_CRASHES && now < until).then_some(until)
    }

    fn is_barred(&self, request: &RequestDigest, now: Timestamp) -> bool {
        self.bars.get(request).is_some_and(|&ends| now < ends)
    }

    /// Whether a request is the cause of its crashes. Of the requests at the same engine,
    /// the one with the most crashes explains its end. If two have as many, neither does,
    /// and the next crash distinguishes them.
    fn is_guilty(&self, request: &RequestDigest, suspect: &Suspect, now: Timestamp) -> bool {
        let count = suspect.count();
        if count >= ALWAYS_GUILTY_CRASHES {
            return true;
        }
        let attributed = suspect.blamed().filter(|&(engine, _)| {
            let at_engine = self.at_engine.get(&engine).into_iter().flatten();
            let mut others = at_engine.filter(|other| *other != request);
            others.all(|other| !self.is_barred(other, now) && self.crashes(other) < count)
        });
        attributed.count()
            >= GUILTY_CRASHES + self.unexplained(suspect, now) / UNEXPLAINED_PER_EXTRA_CRASH
    }

    /// Number of engines that ended recently without this request, and without any
    /// request that is barred or has as many crashes as a guilty one.
    fn unexplained(&self, except: &Suspect, now: Timestamp) -> usize {
        let engines = self.at_engine.iter();
        let unexplained = engines.filter(|(engine, requests)| {
            let recent = requests.iter().any(|request| {
                let crash = self.suspects.get(request);
                let crash = crash.and_then(|suspect| suspect.crashes.get(engine));
                crash.is_some_and(|crash| now.since(crash.at) < UNEXPLAINED_WINDOW)
            });
            let explained = requests
                .iter()
                .any(|one| self.crashes(one) >= GUILTY_CRASHES || self.is_barred(one, now));
            recent && !explained && !except.crashes.contains_key(engine)
        });
        unexplained.count()
    }

    /// Returns the guilty requests without a bar and the number of their crashes, if this
    /// gateway is to ask for the bar.
    #[must_use]
    pub fn to_bar(&self, now: Timestamp) -> Vec<(RequestDigest, usize)> {
        let candidates = self.suspects.iter();
        let candidates = candidates.filter(|(_, suspect)| suspect.count() >= GUILTY_CRASHES);
        let due = candidates.filter(|(request, suspect)| {
            let own = suspect.crashes.values().any(|crash| crash.own);
            let late = now.since(suspect.last_learned_at()) >= NON_OBSERVER_DELAY;
            let open = !self.is_barred(request, now) && (own || late);
            open && matches!(self.verdict(request, now), Verdict::Barred { .. })
        });
        due.map(|(request, suspect)| (*request, suspect.count()))
            .collect()
    }

    /// Whether a request without a bar may be guilty, now or once that is decided.
    #[must_use]
    pub fn has_candidates(&self, now: Timestamp) -> bool {
        let suspects = self.suspects.iter();
        let mut candidates = suspects.filter(|(_, suspect)| suspect.count() >= GUILTY_CRASHES);
        candidates.any(|(request, _)| !self.is_barred(request, now))
    }

    /// Time since this node learned of the latest crash of a request.
    #[must_use]
    pub fn last_learned_age(&self, request: &RequestDigest, now: Timestamp) -> Option<Duration> {
        let suspect = self.suspects.get(request)?;
        Some(now.since(suspect.last_learned_at()))
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
        })
    }

    /// Drops bars that ended and requests that are remembered no longer.
    pub fn expire(&mut self, now: Timestamp) {
        self.bars.retain(|_, ends| now < *ends);
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
        for engine in suspect.crashes.keys() {
            if let Some(there) = self.at_engine.get_mut(engine) {
                there.remove(request);
                if there.is_empty() {
                    self.at_engine.remove(engine);
                }
            }
        }
    }
}
