//! What is known of one engine.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use minicbor::{Decode, Encode};
use molespan_types::{NodeId, Timestamp, ZoneName};

use super::errors::{Counts, Errors};
use super::load::EngineLoad;
use super::pace::{Pace, Word};
use super::short::Backoff;
use super::table::WorkClass;

/// How long a report says something about the work of others.
const REPORT_FADES: Duration = Duration::from_secs(2);
/// How long another gateway's word on its work holds.
pub(crate) const SHARE_HOLDS: Duration = Duration::from_millis(1_200);
/// How long batch work keeps away from an engine whose slots online work
/// wanted: about as long as it takes until all gateways know of each other's
/// requests there. Coming back too early costs one prompt read again; staying
/// away longer than a lull between two bursts lasts starves batch work.
const QUIET_TIME: Duration = Duration::from_millis(300);
/// Other gateways for which an engine has to fail before it counts as failing
/// here: one of them alone may be the one that is cut off.
const FAILING_FOR: u32 = 2;
/// How long an answer says that an engine works: about as long as it takes until
/// a crash was noticed by two gateways.
const ANSWER_HOLDS: Duration = Duration::from_secs(1);
/// How long it takes until the other gateways see that batch work gave way.
const CUT_SHOWS: Duration = Duration::from_millis(150);
/// First pause of an engine that fails; it doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Pause of an engine that is gone: the control nodes lose sight of it before.
const GONE_PAUSE: Duration = Duration::from_secs(30);
/// Pause of an engine that is full.
const FULL_PAUSE: Duration = Duration::from_millis(100);
/// Doublings after which the pause stays.
const MOST_DOUBLINGS: u32 = 3;

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineFacts {
    /// Identifier of its incarnation.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address that it serves on.
    pub address: SocketAddr,
    /// Where it stands.
    pub zone: ZoneName,
    /// Requests that it runs at the same time.
    pub slots: u32,
}

/// Work that one gateway has at one engine, as it tells the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct WorkShare {
    /// Engine.
    #[n(0)]
    pub engine: String,
    /// Requests, online and batch.
    #[n(1)]
    pub requests: u32,
    /// Prompt tokens of those that have not begun to answer.
    #[n(2)]
    pub unread_tokens: u64,
    /// How many of the requests are batch work.
    #[n(3)]
    pub batch: u32,
    /// Gateways that keep away from it since it failed; one for a gateway itself.
    #[n(4)]
    #[cbor(default)]
    pub failing: u32,
    /// Gateways that had an answer from it a short while ago.
    #[n(5)]
    #[cbor(default)]
    pub answering: u32,
    /// Tenths of online requests that it failed lately.
    #[n(6)]
    #[cbor(default)]
    pub errors: u32,
    /// Tenths of online requests that it answered lately, those included.
    #[n(7)]
    #[cbor(default)]
    pub answers: u32,
    /// Requests there whose pace is known.
    #[n(8)]
    #[cbor(default)]
    pub paced: u32,
    /// Paces of those together, in eighths of what is usual at engines of its service.
    #[n(9)]
    #[cbor(default)]
    pub paces: u32,
}

impl WorkShare {
    /// Whether it says nothing that matters: good answers alone do not for long.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests + self.failing + self.answering + self.errors == 0
    }

    /// Whether it says anything to one whom the engine never failed: that it answers others
    /// matters only where it fails some of them.
    #[must_use]
    pub fn is_news_to_others(&self) -> bool {
        self.requests + self.failing + self.errors > 0
    }

    /// So many times as much work; what was experienced stays.
    pub fn multiply(&mut self, by: f64) {
        self.requests = (f64::from(self.requests) * by).round() as u32;
        self.batch = (f64::from(self.batch) * by).round() as u32;
        self.unread_tokens = (self.unread_tokens as f64 * by) as u64;
    }

    /// Adds what others have there.
    pub fn add(&mut self, others: &Self) {
        self.requests += others.requests;
        self.unread_tokens += others.unread_tokens;
        self.batch += others.batch;
        self.failing += others.failing;
        self.answering += others.answering;
        self.errors += others.errors;
        self.answers += others.answers;
        self.paced += others.paced;
        self.paces += others.paces;
    }

    /// What is left without a part of it.
    #[must_use]
    pub fn without(&self, part: &Self) -> Self {
        Self {
            engine: self.engine.clone(),
            requests: self.requests.saturating_sub(part.requests),
            unread_tokens: self.unread_tokens.saturating_sub(part.unread_tokens),
            batch: self.batch.saturating_sub(part.batch),
            failing: self.failing.saturating_sub(part.failing),
            answering: self.answering.saturating_sub(part.answering),
            errors: self.errors.saturating_sub(part.errors),
            answers: self.answers.saturating_sub(part.answers),
            paced: self.paced.saturating_sub(part.paced),
            paces: self.paces.saturating_sub(part.paces),
        }
    }
}

/// How an attempt failed, as far as it tells of the engine's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It could not be reached.
    Unreachable,
    /// It broke off, or answered what is no answer.
    Broken,
    /// It was silent for too long.
    Silent,
    /// It has no room.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    /// Work of others at that time.
    others: u32,
    at: Timestamp,
}

/// What another gateway said.
#[derive(Clone, Copy, Debug)]
struct Share {
    requests: u32,
    batch: u32,
    unread_tokens: u64,
    failing: u32,
    answering: u32,
    counts: Counts,
    pace: Word,
    at: Timestamp,
}

/// One engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub facts: EngineFacts,
    /// Control nodes that say it is there.
    pub known_by: BTreeSet<NodeId>,
    /// Since when it is known here.
    pub known_since: Timestamp,
    online: u32,
    batch: u32,
    /// Prompt tokens of own requests that have not begun to answer.
    unread_tokens: u64,
    shares: BTreeMap<NodeId, Share>,
    report: Option<Report>,
    failures: u32,
    /// How often in a row it had no room.
    pub backoff: Backoff,
    paused_until: Timestamp,
    /// Pause since it failed; one that is only full does not count as failing.
    failing_until: Timestamp,
    /// Until when its last answer says that it works.
    answering_until: Timestamp,
    crowded_until: Timestamp,
    next_cut: Timestamp,
    /// Whether an own online request came since it was last looked whether batch work
    /// gives way.
    came: bool,
    errors: Errors,
    /// How long work takes here.
    pub pace: Pace,
    /// Its pace as it was worked out last, and when.
    pub latest_pace: Cell<Option<(f64, Timestamp)>>,
}

impl Engine {
    pub fn new(facts: EngineFacts, now: Timestamp) -> Self {
        Self {
            facts,
            known_by: BTreeSet::new(),
            known_since: now,
            online: 0,
            batch: 0,
            unread_tokens: 0,
            shares: BTreeMap::new(),
            report: None,
            failures: 0,
            backoff: Backoff::default(),
            paused_until: Timestamp::ZERO,
            failing_until: Timestamp::ZERO,
            answering_until: Timestamp::ZERO,
            crowded_until: Timestamp::ZERO,
            next_cut: Timestamp::ZERO,
            came: false,
            errors: Errors::default(),
            pace: Pace::default(),
            latest_pace: Cell::default(),
        }
    }

    pub fn own(&self) -> u32 {
        self.online + self.batch
    }

    /// Own online requests here.
    pub fn own_online(&self) -> u32 {
        self.online
    }

    /// Own batch requests here; they give way at once.
    pub fn own_batch(&self) -> u32 {
        self.batch
    }

    /// Batch requests of other gateways here, as far as they told.
    pub fn others_batch(&self, now: Timestamp) -> u32 {
        self.fresh_shares(now).map(|share| share.batch).sum()
    }

    pub fn started(&mut self, class: WorkClass, unread_tokens: u64) {
        *self.count(class) += 1;
        self.came |= class == WorkClass::Online;
        self.unread_tokens += unread_tokens;
    }

    /// A request began to answer, or ended before.
    pub fn read(&mut self, tokens: u64) {
        self.unread_tokens = self.unread_tokens.saturating_sub(tokens);
    }

    pub fn ended(&mut self, class: WorkClass) {
        let count = self.count(class);
        *count = count.saturating_sub(1);
    }

    fn count(&mut self, class: WorkClass) -> &mut u32 {
        match class {
            WorkClass::Online => &mut self.online,
            WorkClass::Batch => &mut self.batch,
        }
    }

    /// Own work and experience here, for telling others; `None` without any. A
    /// gateway that is not `sure` of itself tells of no failures.
    pub fn share(&self, now: Timestamp, sure: bool) -> Option<WorkShare> {
        let counts = self.errors.own(now);
        let pace = self.pace.word(self.own(), now);
        let share = WorkShare {
            errors: counts.errors,
            answers: counts.answers,
            engine: self.facts.id.clone(),
            requests: self.own(),
            batch: self.batch,
            unread_tokens: self.unread_tokens,
            failing: u32::from(sure && now < self.failing_until),
            answering: u32::from(now < self.answering_until),
            paced: pace.requests,
            paces: pace.eighths,
        };
        (!share.is_empty()).then_some(share)
    }

    /// Takes in what another gateway has here; `None` for nothing.
    pub fn note_share(&mut self, from: NodeId, share: Option<&WorkShare>, now: Timestamp) {
        let Some(share) = share else {
            self.shares.remove(&from);
            return;
        };
        let share = Share {
            requests: share.requests,
            batch: share.batch,
            unread_tokens: share.unread_tokens,
            failing: share.failing,
            answering: share.answering,
            counts: Counts {
                errors: share.errors,
                answers: share.answers,
            },
            pace: Word {
                requests: share.paced,
                eighths: share.paces,
            },
            at: now,
        };
        self.shares.insert(from, share);
        self.latest_pace.set(None);
        self.pace.get_used(self.words(now), now);
        self.errors.decide(self.counts_of_others(now), now);
    }

    /// Forgets what another node said of gateways' work here.
    pub fn forget_share(&mut self, from: NodeId) {
        self.shares.remove(&from);
    }

    /// Takes in a load that it told; own requests in flight are in it.
    pub fn report(&mut self, load: EngineLoad, now: Timestamp) {
        let all = load.running.saturating_add(load.waiting);
        self.report = Some(Report {
            others: all.saturating_sub(self.own()),
            at: now,
        });
        if load.slots > 0 {
            self.facts.slots = load.slots;
        }
        if let Some(pace) = load.pace {
            self.pace.tell(pace, now);
            self.latest_pace.set(None);
        }
    }

    fn fresh_shares(&self, now: Timestamp) -> impl Iterator<Item = &Share> {
        let shares = self.shares.values();
        shares.filter(move |share| now.since(share.at) < SHARE_HOLDS)
    }

    /// What others told of its pace, and when.
    pub fn told_paces(&self, now: Timestamp) -> impl Iterator<Item = (Word, Timestamp)> {
        let shares = self.fresh_shares(now);
        shares.map(|share| (share.pace, share.at))
    }

    /// Requests that are there as far as is known: the own ones, and those of
    /// others, which they tell, or which the engine told and which count for
    /// less the older that is.
    pub fn load(&self, now: Timestamp, others_tell: bool) -> f64 {
        let own = f64::from(self.own());
        if others_tell {
            let others: u32 = self.fresh_shares(now).map(|share| share.requests).sum();
            return own + f64::from(others);
        }
        let Some(report) = self.report else {
            return own;
        };
        let age = now.since(report.at).as_secs_f64() / REPORT_FADES.as_secs_f64();
        own + f64::from(report.others) * (1.0 - age).max(0.0)
    }

    /// Requests that are there by a report that is not older than `age`, the own ones as
    /// they are now.
    pub fn fresh_load(&self, now: Timestamp, age: Duration) -> Option<f64> {
        let report = self.report.filter(|report| now.since(report.at) <= age)?;
        Some(f64::from(self.own() + report.others))
    }

    /// Online requests that are there as far as is known: batch work gives way.
    pub fn online_load(&self, now: Timestamp, others_tell: bool) -> f64 {
        let batch = self.own_batch() + self.others_batch(now);
        (self.load(now, others_tell) - f64::from(batch)).max(0.0)
    }

    /// Prompt tokens that are to be read before those of a new request.
    pub fn unread_tokens(&self, now: Timestamp) -> u64 {
        let others: u64 = self
            .fresh_shares(now)
            .map(|share| share.unread_tokens)
            .sum();
        self.unread_tokens + others
    }

    /// Own batch requests that are to give way so that no online request waits
    /// for a slot: the own part of what all gateways have too many. `draw`, from 0 up
    /// to 1, rounds it, so that all parts together are what is too many. One at the
    /// least where an own online request has just come: others hear of both at once.
    pub fn batch_to_cut(&mut self, now: Timestamp, others_tell: bool, draw: f64) -> u32 {
        let came = std::mem::take(&mut self.came);
        let excess = self.load(now, others_tell) - f64::from(self.facts.slots);
        if excess <= 0.0 {
            return 0;
        }
        self.crowded_until = now + QUIET_TIME;
        if self.batch == 0 || (now < self.next_cut && !came) {
            return 0;
        }
        let part = match now < self.next_cut {
            true => 0.0,
            false => f64::from(self.batch) / f64::from(self.batch + self.others_batch(now)),
        };
        let cut = (excess * part + draw) as u32;
        let cut = cut.max(u32::from(came));
        if cut > 0 {
            self.next_cut = now + CUT_SHOWS;
        }
        cut.min(self.batch)
    }

    /// Whether online work wanted all slots a short while ago: batch work that
    /// came now would have to give way again.
    pub fn is_crowded(&self, now: Timestamp) -> bool {
        now < self.crowded_until
    }

    /// Whether it failed here, or had no room, a short while ago.
    pub fn is_paused(&self, now: Timestamp) -> bool {
        now < self.paused_until
    }

    /// An online request was answered there, well or as a failure.
    pub fn answered(&mut self, failed: bool, now: Timestamp) {
        self.errors.note(failed, now);
        self.errors.decide(self.counts_of_others(now), now);
    }

    fn counts_of_others(&self, now: Timestamp) -> Counts {
        let mut all = Counts::default();
        for share in self.fresh_shares(now) {
            all.errors += share.counts.errors;
            all.answers += share.counts.answers;
        }
        all
    }

    /// Whether it fails part of its requests.
    pub fn errs(&self, now: Timestamp) -> bool {
        self.errors.is_avoided(self.counts_of_others(now), now)
    }

    /// Whether it failed for several other gateways lately, and answered fewer:
    /// where some cannot reach it and others can, it works. Those whose own pause
    /// ends try it again, so that somebody always does.
    pub fn fails_others(&self, now: Timestamp) -> bool {
        let failing: u32 = self.fresh_shares(now).map(|share| share.failing).sum();
        let answering: u32 = self.fresh_shares(now).map(|share| share.answering).sum();
        let answering = answering + u32::from(now < self.answering_until);
        failing >= FAILING_FOR && failing > answering
    }

    pub fn failed(&mut self, failure: Failure, now: Timestamp) {
        if failure == Failure::Full {
            return self.leave_out(FULL_PAUSE, now);
        }
        self.failures += 1;
        // One broken answer may be the answer's fault; two are the engine's.
        if failure == Failure::Broken && self.failures < 2 {
            return;
        }
        let doublings = (self.failures - 1).min(MOST_DOUBLINGS);
        let pause = (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE);
        self.paused_until = self.paused_until.max(now + pause);
        self.failing_until = self.paused_until;
        self.answering_until = now;
    }

    /// It gets nothing for a while.
    pub fn leave_out(&mut self, pause: Duration, now: Timestamp) {
        self.paused_until = self.paused_until.max(now + pause);
    }

    /// It is gone for good: an engine that starts again is another one.
    pub fn displaced(&mut self, now: Timestamp) {
        self.failures += 1;
        self.paused_until = now + GONE_PAUSE;
        self.failing_until = self.paused_until;
        self.answering_until = now;
    }

    pub fn succeeded(&mut self, now: Timestamp) {
        self.failures = 0;
        self.backoff = Backoff::default();
        self.failing_until = now;
        self.answering_until = now + ANSWER_HOLDS;
    }
    /// Its zone was out of reach, and is not any more: it may never have failed itself.
    /// One that is gone for good stays so.
    pub fn within_reach_again(&mut self, now: Timestamp) {
        if self.paused_until > now + LONGEST_PAUSE {
            return;
        }
        self.failures = 0;
        self.paused_until = self.paused_until.min(now);
        self.failing_until = self.failing_until.min(now);
    }

    /// Whether its last answer came behind a time.
    pub fn answered_after(&self, at: Timestamp) -> bool {
        self.answering_until > at + ANSWER_HOLDS
    }
}
