//! Trials of barred requests: single sends that show whether a bar is still justified.

use std::collections::BTreeMap;
use std::time::Duration;

use minicbor::{Decode, Encode};

use super::bars::BAR_DURATION;
use super::request_digest::RequestDigest;

/// Maximum number of trials within the duration of a bar, over all gateways. Operators allow
/// three sends after the crashes that lead to a bar; one of them is left for a gateway that has
/// not heard of the bar.
pub const MAX_TRIALS: u32 = 2;
/// Number of trials that are allowed for accepted work: it is owed until it is done or given up,
/// so that trials of it only have to keep their distance.
pub const UNLIMITED_TRIALS: u32 = u32::MAX;
/// Least time between two trials: longer than an answer takes, and than an engine that the
/// first one ended takes to return.
const TRIAL_INTERVAL: Duration = Duration::from_secs(8);
/// The same behind a trial in which no engine ran the request.
const RETURNED_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of retained entries; those with the oldest trials are evicted first. Each
/// takes about 30 bytes.
const MAX_ENTRIES: usize = 1_024;

/// How a trial ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum TrialOutcome {
    /// An engine stayed up while it ran the request, which is therefore not the cause of
    /// earlier crashes.
    #[n(0)]
    Sound,
    /// No engine ran the request.
    #[n(1)]
    NotRun {
        /// When the trial was asked for, in milliseconds since 1970.
        #[n(0)]
        asked_ms: u64,
    },
}

/// Reply to a gateway that asks for a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum TrialReply {
    /// The gateway may send one request.
    #[n(0)]
    Granted,
    /// No request may be sent now.
    #[n(1)]
    Denied {
        /// Time until the next trial may be granted, in milliseconds.
        #[n(0)]
        again_in_ms: u64,
        /// Whether the next one is the last, which is not granted before the service is calm.
        #[n(1)]
        needs_calm: bool,
    },
}

/// Trials of one barred request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
struct Granted {
    #[n(0)]
    count: u32,
    /// When the latest trial was asked for, in milliseconds since 1970.
    #[n(1)]
    asked_ms: u64,
    /// When the next one may be granted.
    #[n(2)]
    due_ms: u64,
    /// Number of trials that were left at the first one, whose own crashes do not count.
    #[n(3)]
    allowed: u32,
}

/// Trials of barred requests. One count for all gateways, so that those that start anew do
/// not grant themselves more.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Trials {
    #[n(0)]
    granted: BTreeMap<RequestDigest, Granted>,
}

impl Trials {
    /// Grants or denies a trial at `now_ms`, in milliseconds since 1970, if fewer were granted
    /// within the duration of a bar than were `allowed` at the first one, or if it is for work
    /// that is owed. The last one needs a calm service: if its engine ended for another reason,
    /// none would be left.
    pub(super) fn grant(
        &mut self,
        request: RequestDigest,
        now_ms: u64,
        allowed: u32,
        is_calm: bool,
    ) -> TrialReply {
        let known = self.granted.get(&request).copied();
        let known = known.filter(|known| known.forgotten_ms() > now_ms);
        let count = known.map_or(0, |known| known.count);
        let is_owed = allowed == UNLIMITED_TRIALS;
        let allowed = known.map_or(allowed.min(MAX_TRIALS), |known| known.allowed);
        let due_ms = known.map_or(0, |known| match is_owed || count < allowed {
            true => known.due_ms,
            false => known.forgotten_ms(),
        });
        let again_in_ms = due_ms.saturating_sub(now_ms);
        let needs_calm = !is_owed && count + 1 >= allowed;
        if again_in_ms > 0 || needs_calm && !is_calm {
            return TrialReply::Denied {
                again_in_ms,
                needs_calm,
            };
        }
        let granted = Granted {
            count: count.saturating_add(1),
            asked_ms: now_ms,
            due_ms: now_ms + TRIAL_INTERVAL.as_millis() as u64,
            allowed,
        };
        self.granted.insert(request, granted);
        self.evict_oldest();
        TrialReply::Granted
    }

    /// Takes back a trial in which no engine ran the request.
    pub(super) fn take_back(&mut self, request: &RequestDigest, asked_ms: u64) {
        let granted = self.granted.get_mut(request);
        if let Some(granted) = granted.filter(|one| one.asked_ms == asked_ms && one.count > 0) {
            granted.count -= 1;
            granted.due_ms = asked_ms + RETURNED_INTERVAL.as_millis() as u64;
        }
    }

    /// Forgets the trials of a request that is no longer barred.
    pub(super) fn remove(&mut self, request: &RequestDigest) {
        self.granted.remove(request);
    }

    fn evict_oldest(&mut self) {
        while self.granted.len() > MAX_ENTRIES {
            let oldest = self.granted.iter().min_by_key(|(_, one)| one.asked_ms);
            let Some(request) = oldest.map(|(request, _)| *request) else {
                return;
            };
            self.granted.remove(&request);
        }
    }
}

impl Granted {
    /// Returns when the trials no longer count, in milliseconds since 1970.
    fn forgotten_ms(&self) -> u64 {
        self.asked_ms + BAR_DURATION.as_millis() as u64
    }
}
