//! Reachability of one zone as observed by this gateway.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use molespan_types::{Timestamp, ZoneName};

/// Number of hosts that have to fail, in zones that have as many: enough that engines
/// that crash independently are hardly ever taken for a network partition.
const FAILED_HOSTS: usize = 5;
/// Number of hosts that have to fail in any zone: a single host may have lost its own
/// link.
const FAILED_AT_LEAST: usize = 2;
/// How long a failure counts: a few times the longest connect.
const FAILURE_COUNTS: Duration = Duration::from_millis(1_500);
/// Time between two checks of a zone in doubt.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Time between two probes of a zone out of reach: callers benefit as soon as its return
/// is detected.
const PROBE_EVERY: Duration = Duration::from_millis(100);
/// How long a zone is out of reach before it is probed less often.
const PROBED_OFTEN: Duration = Duration::from_secs(10);
/// Time between two probes from then on.
const PROBE_RARELY: Duration = Duration::from_millis(500);
/// Minimum timeout of a probe.
const SHORTEST_CONNECT: Duration = Duration::from_millis(100);
/// Maximum timeout of a probe, also used while the usual connect time is not known.
const LONGEST_CONNECT: Duration = Duration::from_millis(300);
/// Timeout of a probe as a multiple of the usual connect time.
const CONNECT_MARGIN: u32 = 4;
/// Number of connects over which the usual connect time is averaged.
const CONNECTS_COUNTED: u32 = 8;
/// Number of hosts that have to fail here to confirm what other gateways reported.
const CONFIRMED_BY: usize = 2;
/// How long reports of others are ignored after a zone was found reachable from here:
/// earlier reports are held by their relay, and again by the next one, for as long as any
/// report.
const DENIED_FOR: Duration = Duration::from_secs(3);
/// The same if no host failed here: the gateways that reported may be cut off themselves,
/// and stay so.
const WRONG_FOR: Duration = Duration::from_secs(30);
/// Time between two checks because of a report by a single gateway: it may be the one
/// that is cut off, and stay so.
const LOOK_AS_TOLD_EVERY: Duration = Duration::from_secs(5);

/// What showed that a zone is reachable again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// A probe connected.
    Connect,
    /// A request was answered.
    Answer,
    /// No engine of the zone is known any more.
    NoEngines,
}

impl Sign {
    /// Name in log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Answer => "answer",
            Self::NoEngines => "no engines",
        }
    }
}

/// Why a zone counts as out of reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Hosts failed at this gateway.
    Own {
        /// Number of failed hosts.
        failed: usize,
        /// Number of known hosts in the zone.
        of: usize,
        /// Time since the first of these failures.
        age: Duration,
    },
    /// Other gateways of this gateway's zone reported it.
    Told {
        /// Number of gateways that reported it.
        by: u32,
    },
}

/// A change in the reachability of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A zone went out of reach.
    Out {
        /// The zone.
        zone: ZoneName,
        /// Why it counts as out of reach.
        evidence: Evidence,
    },
    /// Other gateways had reported that a zone is out of reach, and now hosts failed here
    /// too.
    Confirmed {
        /// The zone.
        zone: ZoneName,
        /// How long it had been out of reach by then.
        after: Duration,
    },
    /// A zone is reachable again.
    Back {
        /// The zone.
        zone: ZoneName,
        /// How long it was out of reach.
        after: Duration,
        /// What showed that it is reachable.
        by: Sign,
    },
}

/// State of a zone that is out of reach.
#[derive(Clone, Copy, Debug)]
struct Out {
    since: Timestamp,
    next_probe: Timestamp,
    /// Whether hosts failed here too, so that it does not depend on reports of others.
    own: bool,
}

/// Reachability of one zone.
#[derive(Clone, Debug, Default)]
pub(super) struct Zone {
    /// Time of the latest answer from the zone.
    answered: Timestamp,
    /// Hosts that failed since then, with the time of the latest failure.
    failures: BTreeMap<IpAddr, Timestamp>,
    next_look: Timestamp,
    /// Whether the latest check covered several hosts.
    looked_wide: bool,
    next_look_as_told: Timestamp,
    /// Time until which reports of others are ignored.
    denied_until: Timestamp,
    out: Option<Out>,
    /// Usual time that a connect takes.
    connect: Option<Duration>,
}

impl Zone {
    pub fn is_out(&self) -> bool {
        self.out.is_some()
    }

    /// Whether a host failed recently.
    pub fn has_failed(&self, host: IpAddr, now: Timestamp) -> bool {
        let failed = self.failures.get(&host);
        failed.is_some_and(|&at| now.since(at) < FAILURE_COUNTS)
    }

    /// Whether the zone is out of reach by failures seen here.
    pub fn is_found_out(&self) -> bool {
        self.out.is_some_and(|out| out.own)
    }

    /// How long the zone has been out of reach; `None` if it is reachable.
    pub fn out_for(&self, now: Timestamp) -> Option<Duration> {
        self.out.map(|out| now.since(out.since))
    }

    /// Records that an attempt started at `began` did not reach a host of the `hosts`
    /// known ones. Returns the evidence if the zone is out of reach by failures seen here
    /// from now on.
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

    /// Records that several gateways of this gateway's zone report the zone as out of
    /// reach. Returns whether that is accepted and new.
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

    /// Records that one other gateway reports the zone as out of reach. Returns whether
    /// to check the zone now; if so, the check counts as done.
    pub fn look_as_told(&mut self, now: Timestamp) -> bool {
        if self.is_out() || self.denies(now) || now < self.next_look_as_told {
            return false;
        }
        self.next_look_as_told = now + LOOK_AS_TOLD_EVERY;
        true
    }

    /// Whether the zone was recently found reachable from here.
    fn denies(&self, now: Timestamp) -> bool {
        now < self.denied_until
    }

    /// Records that an attempt started at `began` reached the zone. If the zone was out
    /// of reach until now, returns for how long. Ignores attempts from before it went out
    /// of reach: their answer may have been in transit.
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

    /// Records the time that a connect took.
    pub fn connected(&mut self, took: Duration) {
        let usual = self.connect.unwrap_or(took);
        let sum = usual * (CONNECTS_COUNTED - 1) + took;
        self.connect = Some(sum / CONNECTS_COUNTED);
    }

    /// Usual time that a connect takes, if any succeeded.
    pub fn usual_connect(&self) -> Option<Duration> {
        self.connect
    }

    /// Timeout of a probe.
    pub fn connect_timeout(&self) -> Duration {
        let usual = self.connect.map(|usual| usual * CONNECT_MARGIN);
        let timeout = usual.unwrap_or(LONGEST_CONNECT);
        timeout.clamp(SHORTEST_CONNECT, LONGEST_CONNECT)
    }

    /// Whether several hosts failed recently.
    pub fn have_several_failed(&self, now: Timestamp) -> bool {
        let failed = self.failures.values();
        let lately = failed.filter(|at| now.since(**at) < FAILURE_COUNTS);
        lately.count() >= FAILED_AT_LEAST
    }

    /// Whether to check now whether the zone is out of reach, at one host or, if `wide`,
    /// at several. If so, the check counts as done.
    pub fn look(&mut self, wide: bool, now: Timestamp) -> bool {
        let looked = now < self.next_look && (self.looked_wide || !wide);
        if self.is_out() || looked {
            return false;
        }
        self.next_look = now + LOOK_EVERY;
        self.looked_wide = wide;
        true
    }

    /// Whether to probe the zone now since it is out of reach. If so, schedules the next
    /// probe.
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

    /// Clears the state, since no engine of the zone is known any more. If the zone was
    /// out of reach, returns for how long.
    pub fn forget(&mut self, now: Timestamp) -> Option<Duration> {
        self.failures.clear();
        self.out.take().map(|out| now.since(out.since))
    }
}
