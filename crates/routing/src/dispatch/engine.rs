//! State of one engine as seen by this gateway.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use minicbor::{Decode, Encode};
use molespan_types::{NodeId, SoftwareVersion, Timestamp, ZoneName};

use super::errors::{Counts, ErrorStats};
use super::load::EngineLoad;
use super::pace::{Pace, PaceReport};
use super::short::Backoff;
use super::table::WorkClass;

/// Age at which an engine's load report no longer counts for the work of other gateways.
const REPORT_MAX_AGE: Duration = Duration::from_secs(2);
/// Time for which another gateway's report of its work is valid.
pub(crate) const SHARE_TTL: Duration = Duration::from_millis(1_200);
/// Time for which batch work stays away from an engine whose slots online work needed:
/// about as long as gateways take to observe one another's requests there. Returning too
/// early costs rereading one prompt; staying away longer than a lull between two bursts
/// starves batch work.
const BATCH_HOLDOFF: Duration = Duration::from_millis(300);
/// Other gateways for which an engine must fail before it counts as failing here: a single
/// one may itself be cut off.
const MIN_FAILING_GATEWAYS: u32 = 2;
/// Time for which an answer counts as evidence that an engine works: about as long as two
/// gateways take to notice a crash.
const ANSWER_TTL: Duration = Duration::from_secs(1);
/// Time until the other gateways observe that batch work was preempted.
const PREEMPTION_VISIBILITY_DELAY: Duration = Duration::from_millis(150);
/// Initial backoff of a failing engine; doubles with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Longest backoff of a failing engine.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Backoff of an engine that is gone. The control nodes stop listing it within this time.
const GONE_BACKOFF: Duration = Duration::from_secs(30);
/// Backoff of an engine that is full.
const FULL_BACKOFF: Duration = Duration::from_millis(100);
/// Doublings after which the backoff no longer grows.
const MAX_DOUBLINGS: u32 = 3;

/// What an engine announces about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineFacts {
    /// Identifier of its incarnation.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address that it serves on.
    pub address: SocketAddr,
    /// Zone that it runs in.
    pub zone: ZoneName,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Version of its software; `None` if it is unknown.
    pub version: Option<SoftwareVersion>,
}

/// Work of one gateway, or of several summed up, at one engine, as reported to other nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct WorkShare {
    /// Engine identifier.
    #[n(0)]
    pub engine: String,
    /// Requests in flight, online and batch.
    #[n(1)]
    pub requests: u32,
    /// Prompt tokens of the requests that have not begun to answer.
    #[n(2)]
    pub unread_tokens: u64,
    /// Batch requests among them.
    #[n(3)]
    pub batch: u32,
    /// Gateways that avoid the engine because it failed; 0 or 1 in a gateway's own report.
    #[n(4)]
    #[cbor(default)]
    pub failing: u32,
    /// Gateways that recently got an answer from it.
    #[n(5)]
    #[cbor(default)]
    pub answering: u32,
    /// Online requests that it recently failed, in tenths.
    #[n(6)]
    #[cbor(default)]
    pub errors: u32,
    /// Online requests that it recently answered, failed ones included, in tenths.
    #[n(7)]
    #[cbor(default)]
    pub answers: u32,
    /// Requests there whose pace is known.
    #[n(8)]
    #[cbor(default)]
    pub paced: u32,
    /// Sum of the paces of those requests, in eighths of the usual time at engines of the
    /// service.
    #[n(9)]
    #[cbor(default)]
    pub paces: u32,
}

impl WorkShare {
    /// Whether it holds nothing worth reporting. Counts of good answers alone are not: they
    /// lose their meaning soon.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests + self.failing + self.answering + self.errors == 0
    }

    /// Whether it matters to a gateway whose requests the engine never failed. That the
    /// engine answers other gateways matters only if it fails some of them.
    #[must_use]
    pub fn matters_to_others(&self) -> bool {
        self.requests + self.failing + self.errors > 0
    }

    /// Scales the work by a factor; failures, answers and paces stay as they are.
    pub fn multiply(&mut self, by: f64) {
        self.requests = (f64::from(self.requests) * by).round() as u32;
        self.batch = (f64::from(self.batch) * by).round() as u32;
        self.unread_tokens = (self.unread_tokens as f64 * by) as u64;
    }

    /// Adds the work of other gateways there.
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

    /// Returns this sum less one `part` of it.
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

/// How an attempt failed, as far as it concerns the engine's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The engine could not be reached.
    Unreachable,
    /// The engine broke off the answer or sent an invalid one.
    Broken,
    /// The engine did not respond in time.
    Silent,
    /// The engine has no capacity left.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    /// Requests of other gateways at that time.
    others: u32,
    at: Timestamp,
}

/// Report of another gateway on its work at this engine.
#[derive(Clone, Copy, Debug)]
struct Share {
    requests: u32,
    batch: u32,
    unread_tokens: u64,
    failing: u32,
    answering: u32,
    counts: Counts,
    pace: PaceReport,
    at: Timestamp,
}

/// State of one engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub facts: EngineFacts,
    /// Control nodes that list it, with the software version that each reports.
    pub known_by: BTreeMap<NodeId, Option<SoftwareVersion>>,
    /// When this gateway first learned of it.
    pub known_since: Timestamp,
    /// When a control node last listed it, or changed what it lists.
    pub listed_at: Timestamp,
    online: u32,
    batch: u32,
    /// Prompt tokens of this gateway's requests that have not begun to answer.
    unread_tokens: u64,
    shares: BTreeMap<NodeId, Share>,
    report: Option<Report>,
    failures: u32,
    /// Backoff after consecutive rejections for lack of capacity.
    pub backoff: Backoff,
    backoff_until: Timestamp,
    /// End of the backoff after a failure; an engine that is only full does not count as
    /// failing.
    failing_until: Timestamp,
    /// Until when it counts as unreachable after a failed connect.
    unreachable_until: Timestamp,
    /// Until when its last answer counts as evidence that it works.
    answering_until: Timestamp,
    batch_holdoff_until: Timestamp,
    next_preemption: Timestamp,
    /// Whether this gateway started an online request since the last preemption check.
    online_started: bool,
    errors: ErrorStats,
    /// How long work takes at the engine.
    pub pace: Pace,
    /// Last computed pace, and when.
    pub latest_pace: Cell<Option<(f64, Timestamp)>>,
}

impl Engine {
    pub fn new(facts: EngineFacts, now: Timestamp) -> Self {
        Self {
            facts,
            known_by: BTreeMap::new(),
            known_since: now,
            listed_at: now,
            online: 0,
            batch: 0,
            unread_tokens: 0,
            shares: BTreeMap::new(),
            report: None,
            failures: 0,
            backoff: Backoff::default(),
            backoff_until: Timestamp::ZERO,
            failing_until: Timestamp::ZERO,
            unreachable_until: Timestamp::ZERO,
            answering_until: Timestamp::ZERO,
            batch_holdoff_until: Timestamp::ZERO,
            next_preemption: Timestamp::ZERO,
            online_started: false,
            errors: ErrorStats::default(),
            pace: Pace::default(),
            latest_pace: Cell::default(),
        }
    }

    /// Records that a control node lists it. While control nodes report different versions,
    /// its version is unknown.
    pub fn list(&mut self, from: NodeId, facts: EngineFacts, now: Timestamp) {
        self.listed_at = now;
        self.known_by.insert(from, facts.version.clone());
        self.facts = facts;
        self.facts.version = self.agreed_version();
    }

    /// Records that a control node does not list it any more.
    pub fn unlist(&mut self, from: NodeId) -> bool {
        let listed = self.known_by.remove(&from).is_some();
        self.facts.version = self.agreed_version();
        listed
    }

    fn agreed_version(&self) -> Option<SoftwareVersion> {
        let mut reported = self.known_by.values().flatten();
        let first = reported.next()?;
        reported.all(|other| other == first).then(|| first.clone())
    }

    pub fn own(&self) -> u32 {
        self.online + self.batch
    }

    /// Returns this gateway's online requests in flight here.
    pub fn own_online(&self) -> u32 {
        self.online
    }

    /// Returns this gateway's batch requests here; they can be preempted at once.
    pub fn own_batch(&self) -> u32 {
        self.batch
    }

    /// Returns the batch requests of other gateways here, as far as they reported them.
    pub fn others_batch(&self, now: Timestamp) -> u32 {
        self.fresh_shares(now).map(|share| share.batch).sum()
    }

    pub fn started(&mut self, class: WorkClass, unread_tokens: u64) {
        *self.count(class) += 1;
        self.online_started |= class == WorkClass::Online;
        self.unread_tokens += unread_tokens;
    }

    /// Records that a request began to answer, or ended before that.
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

    /// Returns this gateway's work and experience here, to report to others; `None` if
    /// there is none. Failures are left out unless this gateway is `sure` that it isn't cut
    /// off itself.
    pub fn share(&self, now: Timestamp, sure: bool) -> Option<WorkShare> {
        let counts = self.errors.own(now);
        let pace = self.pace.report(self.own(), now);
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

    /// Records the work that another gateway reports here; `None` for none.
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
            pace: PaceReport {
                requests: share.paced,
                eighths: share.paces,
            },
            at: now,
        };
        self.shares.insert(from, share);
        self.latest_pace.set(None);
        self.pace.update_baseline(self.reported_pace(now), now);
        self.errors.update_avoided(self.counts_of_others(now), now);
    }

    /// Discards another node's report of gateways' work here.
    pub fn forget_share(&mut self, from: NodeId) {
        self.shares.remove(&from);
    }

    /// Records a load report of the engine, which includes this gateway's requests in
    /// flight.
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
            self.pace.record_reported(pace, now);
            self.latest_pace.set(None);
        }
    }

    fn fresh_shares(&self, now: Timestamp) -> impl Iterator<Item = &Share> {
        let shares = self.shares.values();
        shares.filter(move |share| now.since(share.at) < SHARE_TTL)
    }

    /// Returns what others reported of its pace, and when.
    pub fn reported_paces(&self, now: Timestamp) -> impl Iterator<Item = (PaceReport, Timestamp)> {
        let shares = self.fresh_shares(now);
        shares.map(|share| (share.pace, share.at))
    }

    /// Returns the estimated number of requests there: this gateway's, and those of other
    /// gateways. If `others_report`, the latter come from their reports, else from the
    /// engine's last load report, which counts for less the older it is.
    pub fn load(&self, now: Timestamp, others_report: bool) -> f64 {
        let own = f64::from(self.own());
        if others_report {
            let others: u32 = self.fresh_shares(now).map(|share| share.requests).sum();
            return own + f64::from(others);
        }
        let Some(report) = self.report else {
            return own;
        };
        let age = now.since(report.at).as_secs_f64() / REPORT_MAX_AGE.as_secs_f64();
        own + f64::from(report.others) * (1.0 - age).max(0.0)
    }

    /// Returns the number of requests there by a load report no older than `age`, with this
    /// gateway's requests as they are now; `None` without such a report.
    pub fn fresh_load(&self, now: Timestamp, age: Duration) -> Option<f64> {
        let report = self.report.filter(|report| now.since(report.at) <= age)?;
        Some(f64::from(self.own() + report.others))
    }

    /// Returns the estimated number of online requests there; batch requests don't count,
    /// since they can be preempted.
    pub fn online_load(&self, now: Timestamp, others_report: bool) -> f64 {
        let batch = self.own_batch() + self.others_batch(now);
        (self.load(now, others_report) - f64::from(batch)).max(0.0)
    }

    /// Returns the prompt tokens to be read before those of a new request.
    pub fn unread_tokens(&self, now: Timestamp) -> u64 {
        let others: u64 = self
            .fresh_shares(now)
            .map(|share| share.unread_tokens)
            .sum();
        self.unread_tokens + others
    }

    /// Returns how many of this gateway's batch requests to preempt so that no online
    /// request waits for a slot: its share of what all gateways have in excess. `draw`,
    /// from 0 up to 1, rounds the share at random, so that the shares of all gateways add
    /// up to the excess. At least one is preempted where an online request of this gateway
    /// has just started: the other gateways then observe both changes at once.
    pub fn batch_to_preempt(&mut self, now: Timestamp, others_report: bool, draw: f64) -> u32 {
        let online_started = std::mem::take(&mut self.online_started);
        let excess = self.load(now, others_report) - f64::from(self.facts.slots);
        if excess <= 0.0 {
            return 0;
        }
        self.batch_holdoff_until = now + BATCH_HOLDOFF;
        if self.batch == 0 || (now < self.next_preemption && !online_started) {
            return 0;
        }
        let share = match now < self.next_preemption {
            true => 0.0,
            false => f64::from(self.batch) / f64::from(self.batch + self.others_batch(now)),
        };
        let cut = (excess * share + draw) as u32;
        let cut = cut.max(u32::from(online_started));
        if cut > 0 {
            self.next_preemption = now + PREEMPTION_VISIBILITY_DELAY;
        }
        cut.min(self.batch)
    }

    /// Whether online work recently needed all slots, so that batch work starting now would
    /// be preempted again.
    pub fn is_batch_held_off(&self, now: Timestamp) -> bool {
        now < self.batch_holdoff_until
    }

    /// Whether it is backed off after a recent failure or lack of capacity.
    pub fn is_backed_off(&self, now: Timestamp) -> bool {
        now < self.backoff_until
    }

    /// Records that the engine answered an online request, or failed it.
    pub fn answered(&mut self, failed: bool, now: Timestamp) {
        self.errors.note(failed, now);
        self.errors.update_avoided(self.counts_of_others(now), now);
    }

    fn counts_of_others(&self, now: Timestamp) -> Counts {
        let mut all = Counts::default();
        for share in self.fresh_shares(now) {
            all.errors += share.counts.errors;
            all.answers += share.counts.answers;
        }
        all
    }

    /// Whether it fails some of its requests.
    pub fn fails_some_requests(&self, now: Timestamp) -> bool {
        self.errors.is_avoided(self.counts_of_others(now), now)
    }

    /// Whether it recently failed for several other gateways and answered fewer: if some
    /// can't reach it and others can, it works. Gateways whose own backoff ends try it
    /// again, so that the state is always rechecked.
    pub fn fails_for_others(&self, now: Timestamp) -> bool {
        let failing: u32 = self.fresh_shares(now).map(|share| share.failing).sum();
        let answering: u32 = self.fresh_shares(now).map(|share| share.answering).sum();
        let answering = answering + u32::from(now < self.answering_until);
        failing >= MIN_FAILING_GATEWAYS && failing > answering
    }

    pub fn failed(&mut self, failure: Failure, now: Timestamp) {
        if failure == Failure::Full {
            return self.back_off(FULL_BACKOFF, now);
        }
        self.failures += 1;
        // A single broken answer may be the fault of that answer; two point to the engine.
        if failure == Failure::Broken && self.failures < 2 {
            return;
        }
        let doublings = (self.failures - 1).min(MAX_DOUBLINGS);
        let backoff = (INITIAL_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
        self.backoff_until = self.backoff_until.max(now + backoff);
        self.failing_until = self.backoff_until;
        if failure == Failure::Unreachable {
            self.unreachable_until = self.backoff_until;
        }
        self.answering_until = now;
    }

    /// Whether it could not be reached and is not tried again yet.
    pub fn is_unreachable(&self, now: Timestamp) -> bool {
        now < self.unreachable_until
    }

    /// Sends it no requests for a while.
    pub fn back_off(&mut self, backoff: Duration, now: Timestamp) {
        self.backoff_until = self.backoff_until.max(now + backoff);
    }

    /// Records that the engine is gone for good; when it restarts, it is a different
    /// incarnation.
    pub fn displaced(&mut self, now: Timestamp) {
        self.failures += 1;
        self.backoff_until = now + GONE_BACKOFF;
        self.failing_until = self.backoff_until;
        self.unreachable_until = self.backoff_until;
        self.answering_until = now;
    }

    pub fn succeeded(&mut self, now: Timestamp) {
        self.failures = 0;
        self.backoff = Backoff::default();
        self.failing_until = now;
        self.unreachable_until = now;
        self.answering_until = now + ANSWER_TTL;
    }
    /// Ends the backoff after its zone became reachable again: the failures may have been
    /// those of the network. An engine that is gone for good stays backed off.
    pub fn end_backoff(&mut self, now: Timestamp) {
        if self.backoff_until > now + MAX_BACKOFF {
            return;
        }
        self.failures = 0;
        self.backoff_until = self.backoff_until.min(now);
        self.failing_until = self.failing_until.min(now);
        self.unreachable_until = self.unreachable_until.min(now);
    }

    /// Whether its last answer came after a time.
    pub fn answered_after(&self, at: Timestamp) -> bool {
        self.answering_until > at + ANSWER_TTL
    }
}
