//! What was seen of one zone.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use molespan_types::{Timestamp, ZoneName};

/// Hosts that have to fail, of zones that have as many: enough that engines which crash
/// each for itself are hardly ever taken for a cut.
const FAILED_HOSTS: usize = 5;
/// Hosts that have to fail in any zone: one alone may have lost its own link.
const FAILED_AT_LEAST: usize = 2;
/// How long a failure counts: the longest connect a few times over.
const FAILURE_COUNTS: Duration = Duration::from_millis(1_500);
/// Time between two looks at a zone that is in doubt.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Time between two connects to a zone that is out of reach: callers gain by its return
/// as soon as it is seen.
const PROBE_EVERY: Duration = Duration::from_millis(100);
/// How long it is out of reach before it is looked at less often.
const PROBED_OFTEN: Duration = Duration::from_secs(10);
/// Time between two connects from then on.
const PROBE_RARELY: Duration = Duration::from_millis(500);
/// Shortest time for a connect that only asks whether an engine is within reach.
const SHORTEST_CONNECT: Duration = Duration::from_millis(100);
/// Longest time for one; also as long as it is not known how long they take.
const LONGEST_CONNECT: Duration = Duration::from_millis(300);
/// Multiple of the usual time of a connect that it may take.
const CONNECT_MARGIN: u32 = 4;
/// Connects over which their usual time is taken.
const CONNECTS_COUNTED: u32 = 8;
/// Hosts that have to fail here until a belief that others told is an own one.
const CONFIRMED_BY: usize = 2;
/// How long nothing is believed of others behind an own sign that a zone is there: what
/// they told before holds at their relay, and again at the next one, for as long as any
/// telling.
const DENIED_FOR: Duration = Duration::from_secs(3);
/// The same where nothing failed here: those who told may be cut off alone, and stay so.
const WRONG_FOR: Duration = Duration::from_secs(30);
/// Time between two looks for one other gateway's word: it may be the one that is cut off,
/// and stay so.
const LOOK_AS_TOLD_EVERY: Duration = Duration::from_secs(5);

/// What showed that a zone is within reach again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// A connect came up that asked for nothing.
    Connect,
    /// A request was answered.
    Answer,
    /// No engine of the zone is known any more.
    NoEngines,
}

impl Sign {
    /// Its name in log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Answer => "answer",
            Self::NoEngines => "no engines",
        }
    }
}

/// Whose word it is that a zone is out of reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Hosts failed here.
    Own {
        /// So many.
        failed: usize,
        /// Of so many that are known there.
        of: usize,
        /// Time since the first of these failures was seen.
        age: Duration,
    },
    /// Other gateways of the own zone say so.
    Told {
        /// So many.
        by: u32,
    },
}

/// A change of belief.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A zone is out of reach.
    Out {
        /// It.
        zone: ZoneName,
        /// Why.
        evidence: Evidence,
    },
    /// It was told that a zone is out of reach, and hosts of it failed here too.
    Confirmed {
        /// It.
        zone: ZoneName,
        /// How long it was out of reach by then.
        after: Duration,
    },
    /// A zone is back.
    Back {
        /// It.
        zone: ZoneName,
        /// How long it was out of reach.
        after: Duration,
        /// What showed that.
        by: Sign,
    },
}

/// A zone that is out of reach.
#[derive(Clone, Copy, Debug)]
struct Out {
    since: Timestamp,
    next_probe: Timestamp,
    /// Whether hosts failed here too, so that it holds without a word of others.
    own: bool,
}

/// One zone.
#[derive(Clone, Debug, Default)]
pub(super) struct Zone {
    /// When it last answered something.
    answered: Timestamp,
    /// Hosts that failed since, and when.
    failures: BTreeMap<IpAddr, Timestamp>,
    next_look: Timestamp,
    /// Whether the last look was at several hosts.
    looked_wide: bool,
    next_look_as_told: Timestamp,
    /// Until when nothing is believed of others.
    denied_until: Timestamp,
    out: Option<Out>,
    /// Usual time of a connect.
    connect: Option<Duration>,
}

impl Zone {
    pub fn is_out(&self) -> bool {
        self.out.is_some()
    }

    /// Whether a host failed lately.
    pub fn has_failed(&self, host: IpAddr, now: Timestamp) -> bool {
        let failed = self.failures.get(&host);
        failed.is_some_and(|&at| now.since(at) < FAILURE_COUNTS)
    }

    /// Whether it is out of reach by what was seen here.
    pub fn is_found_out(&self) -> bool {
        self.out.is_some_and(|out| out.own)
    }

    /// For how long it is out of reach.
    pub fn out_for(&self, now: Timestamp) -> Option<Duration> {
        self.out.map(|out| now.since(out.since))
    }

    /// An attempt that `began` then did not reach a host, of `hosts` that are known. Says
    /// if the zone is out of reach by what is seen here from now on.
    pub fn failed(
        &mut self,
        host: IpAddr,
        hosts: usize,
        began: Timestamp,
        now: Timestamp,
    ) -> Option<Evidence> {
        if began < self.answered {
            return None;
        }
        self.failures
            .retain(|_, at| now.since(*at) < FAILURE_COUNTS);
        self.failures.insert(host, now);
        let failed = self.failures.len();
        let wanted = match self.out {
            None => FAILED_HOSTS.min(hosts).max(FAILED_AT_LEAST),
            Some(_) => CONFIRMED_BY,
        };
        if failed < wanted || self.is_found_out() {
            return None;
        }
        let before = self.out;
        self.out = Some(Out {
            since: before.map_or(now, |out| out.since),
            next_probe: before.map_or(now + PROBE_EVERY, |out| out.next_probe),
            own: true,
        });
        let first = self.failures.values().min().copied().unwrap_or(now);
        Some(Evidence::Own {
            failed,
            of: hosts,
            age: now.since(first),
        })
    }

    /// Several gateways of the own zone say that it is out of reach. Says whether that is
    /// believed and news.
    pub fn told(&mut self, now: Timestamp) -> bool {
        if self.is_out() || self.denies(now) {
            return false;
        }
        self.out = Some(Out {
            since: now,
            next_probe: now + PROBE_EVERY,
            own: false,
        });
        true
    }

    /// One other gateway says that it is out of reach. Says whether to look; it is noted
    /// that somebody does.
    pub fn look_as_told(&mut self, now: Timestamp) -> bool {
        if self.is_out() || self.denies(now) || now < self.next_look_as_told {
            return false;
        }
        self.next_look_as_told = now + LOOK_AS_TOLD_EVERY;
        true
    }

    /// Whether it was seen here a short while ago that it is there.
    fn denies(&self, now: Timestamp) -> bool {
        now < self.denied_until
    }

    /// An attempt that `began` then reached it. Says, if it was out of reach until now,
    /// for how long. An answer to what was sent before may have been on its way.
    pub fn reached(&mut self, began: Timestamp, now: Timestamp) -> Option<Duration> {
        if self.out.is_some_and(|out| began < out.since) {
            return None;
        }
        self.answered = now;
        self.failures.clear();
        let out = self.out.take()?;
        let denied_for = if out.own { DENIED_FOR } else { WRONG_FOR };
        self.denied_until = now + denied_for;
        Some(now.since(out.since))
    }

    /// A connect came up after this time.
    pub fn connected(&mut self, took: Duration) {
        let usual = self.connect.unwrap_or(took);
        let sum = usual * (CONNECTS_COUNTED - 1) + took;
        self.connect = Some(sum / CONNECTS_COUNTED);
    }

    /// Usual time of a connect, if any came up.
    pub fn usual_connect(&self) -> Option<Duration> {
        self.connect
    }

    /// Time for a connect that only asks whether an engine is within reach.
    pub fn connect_timeout(&self) -> Duration {
        let usual = self.connect.map(|usual| usual * CONNECT_MARGIN);
        let timeout = usual.unwrap_or(LONGEST_CONNECT);
        timeout.clamp(SHORTEST_CONNECT, LONGEST_CONNECT)
    }

    /// Whether several hosts failed lately.
    pub fn have_several_failed(&self, now: Timestamp) -> bool {
        let failed = self.failures.values();
        let lately = failed.filter(|at| now.since(**at) < FAILURE_COUNTS);
        lately.count() >= FAILED_AT_LEAST
    }

    /// Whether to look now whether it is out of reach, at one host or `wide`, at several;
    /// it is noted that somebody does.
    pub fn look(&mut self, wide: bool, now: Timestamp) -> bool {
        let looked = now < self.next_look && (self.looked_wide || !wide);
        if self.is_out() || looked {
            return false;
        }
        self.next_look = now + LOOK_EVERY;
        self.looked_wide = wide;
        true
    }

    /// Whether to connect there now, since it is out of reach; it is noted that somebody
    /// does.
    pub fn probe(&mut self, now: Timestamp) -> bool {
        let Some(out) = self.out.as_mut().filter(|out| now >= out.next_probe) else {
            return false;
        };
        let pause = match now.since(out.since) < PROBED_OFTEN {
            true => PROBE_EVERY,
            false => PROBE_RARELY,
        };
        out.next_probe = now + pause;
        true
    }

    /// No engine of it is known any more. Says, if it was out of reach, for how long.
    pub fn forget(&mut self, now: Timestamp) -> Option<Duration> {
        self.failures.clear();
        self.out.take().map(|out| now.since(out.since))
    }
}
