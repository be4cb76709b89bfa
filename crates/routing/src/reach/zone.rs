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
const MIN_FAILED_HOSTS: usize = 2;
/// How long a failure counts: a few times the longest connect.
const FAILURE_TTL: Duration = Duration::from_millis(1_500);
/// Time between two checks of a zone in doubt.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two probes of a zone out of reach: callers benefit as soon as its return
/// is detected.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// How long a zone is out of reach before it is probed less often.
const FREQUENT_PROBES_FOR: Duration = Duration::from_secs(10);
/// Time between two probes from then on.
const RARE_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum timeout of a probe.
const MIN_PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum timeout of a probe, also used while the usual connect time is not known.
const MAX_PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a probe as a multiple of the usual connect time.
const PROBE_TIMEOUT_FACTOR: u32 = 4;
/// Number of connects over which the usual connect time is averaged.
const CONNECTS_AVERAGED: u32 = 8;
/// Number of hosts that have to fail here to confirm what other gateways reported.
const CONFIRMING_HOSTS: usize = 2;
/// How long reports of others are ignored after a zone was found reachable from here:
/// earlier reports are held by their relay, and again by the next one, for as long as any
/// report.
const IGNORE_REPORTS_FOR: Duration = Duration::from_secs(3);
/// The same if no host failed here: the gateways that reported may be cut off themselves,
/// and stay so.
const IGNORE_WRONG_REPORTS_FOR: Duration = Duration::from_secs(30);
/// Time between two checks because of a report by a single gateway: it may be the one
/// that is cut off, and stay so.
const REPORTED_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// What showed that a zone is reachable again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnEvidence {
    /// A probe connected.
    Connect,
    /// A request was answered.
    Answer,
    /// No engine of the zone is known any more.
    NoEngines,
}

impl ReturnEvidence {
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
    Reported {
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
        by: ReturnEvidence,
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
    last_answer: Timestamp,
    /// Hosts that failed since then, with the time of the latest failure.
    failures: BTreeMap<IpAddr, Timestamp>,
    next_check: Timestamp,
    /// Whether the latest check covered several hosts.
    last_check_wide: bool,
    next_reported_check: Timestamp,
    /// Time until which reports of others are ignored.
    ignore_reports_until: Timestamp,
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
        failed.is_some_and(|&at| now.since(at) < FAILURE_TTL)
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
        if began < self.last_answer {
            return None;
        }
        self.failures.retain(|_, at| now.since(*at) < FAILURE_TTL);
        self.failures.insert(host, now);
        let failed = self.failures.len();
        let required = match self.out {
            None => FAILED_HOSTS.min(hosts).max(MIN_FAILED_HOSTS),
            Some(_) => CONFIRMING_HOSTS,
        };
        if failed < required || self.is_found_out() {
            return None;
        }
        let before = self.out;
        self.out = Some(Out {
            since: before.map_or(now, |out| out.since),
            next_probe: before.map_or(now + PROBE_INTERVAL, |out| out.next_probe),
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
    pub fn report(&mut self, now: Timestamp) -> bool {
        if self.is_out() || self.ignores_reports(now) {
            return false;
        }
        self.out = Some(Out {
            since: now,
            next_probe: now + PROBE_INTERVAL,
            own: false,
        });
        true
    }

    /// Records that one other gateway reports the zone as out of reach. Returns whether
    /// to check the zone now; if so, the check counts as done.
    pub fn check_reported(&mut self, now: Timestamp) -> bool {
        if self.is_out() || self.ignores_reports(now) || now < self.next_reported_check {
            return false;
        }
        self.next_reported_check = now + REPORTED_CHECK_INTERVAL;
        true
    }

    /// Whether the zone was recently found reachable from here.
    fn ignores_reports(&self, now: Timestamp) -> bool {
        now < self.ignore_reports_until
    }

    /// Records that an attempt started at `began` reached the zone. If the zone was out
    /// of reach until now, returns for how long. Ignores attempts from before it went out
    /// of reach: their answer may have been in transit.
    pub fn reached(&mut self, began: Timestamp, now: Timestamp) -> Option<Duration> {
        if self.out.is_some_and(|out| began < out.since) {
            return None;
        }
        self.last_answer = now;
        self.failures.clear();
        let out = self.out.take()?;
        let ignore_for = if out.own {
            IGNORE_REPORTS_FOR
        } else {
            IGNORE_WRONG_REPORTS_FOR
        };
        self.ignore_reports_until = now + ignore_for;
        Some(now.since(out.since))
    }

    /// Records the time that a connect took.
    pub fn connected(&mut self, took: Duration) {
        let usual = self.connect.unwrap_or(took);
        let sum = usual * (CONNECTS_AVERAGED - 1) + took;
        self.connect = Some(sum / CONNECTS_AVERAGED);
    }

    /// Usual time that a connect takes, if any succeeded.
    pub fn usual_connect(&self) -> Option<Duration> {
        self.connect
    }

    /// Timeout of a probe.
    pub fn connect_timeout(&self) -> Duration {
        let usual = self.connect.map(|usual| usual * PROBE_TIMEOUT_FACTOR);
        let timeout = usual.unwrap_or(MAX_PROBE_TIMEOUT);
        timeout.clamp(MIN_PROBE_TIMEOUT, MAX_PROBE_TIMEOUT)
    }

    /// Whether several hosts failed recently.
    pub fn have_several_failed(&self, now: Timestamp) -> bool {
        let failed = self.failures.values();
        let recent = failed.filter(|at| now.since(**at) < FAILURE_TTL);
        recent.count() >= MIN_FAILED_HOSTS
    }

    /// Whether to check now whether the zone is out of reach, at one host or, if `wide`,
    /// at several. If so, the check counts as done.
    pub fn check(&mut self, wide: bool, now: Timestamp) -> bool {
        let checked = now < self.next_check && (self.last_check_wide || !wide);
        if self.is_out() || checked {
            return false;
        }
        self.next_check = now + CHECK_INTERVAL;
        self.last_check_wide = wide;
        true
    }

    /// Whether to probe the zone now since it is out of reach. If so, schedules the next
    /// probe.
    pub fn probe(&mut self, now: Timestamp) -> bool {
        let Some(out) = self.out.as_mut().filter(|out| now >= out.next_probe) else {
            return false;
        };
        let interval = match now.since(out.since) < FREQUENT_PROBES_FOR {
            true => PROBE_INTERVAL,
            false => RARE_PROBE_INTERVAL,
        };
        out.next_probe = now + interval;
        true
    }

    /// Clears the state, since no engine of the zone is known any more. If the zone was
    /// out of reach, returns for how long.
    pub fn clear(&mut self, now: Timestamp) -> Option<Duration> {
        self.failures.clear();
        self.out.take().map(|out| now.since(out.since))
    }
}
