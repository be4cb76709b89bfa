//! Requests to job groups: leasing items, renewing leases, resending failed
//! requests, and the timers for each.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use molespan_state::job::ItemResult;
use molespan_types::{BackendId, GroupId, ItemIndex, LeaseId, ServiceName, Timestamp};

use super::engine::Allowance;
use super::lease::LeaseKey;
use super::message::{BatchOutput, RequestNumber};
use super::owner::BatchOwner;

/// Items are requested for an engine only if their number is at least its stream
/// limit divided by this.
const REFILL_DIVISOR: u32 = 4;

/// A request to a job group that awaits its reply.
#[derive(Clone, Debug)]
pub(super) enum Request {
    /// Requests a lease on items.
    Lease {
        group: GroupId,
        service: ServiceName,
        backend: BackendId,
        max_items: u32,
        /// When the request was first sent; the lease is counted from this time.
        sent: Timestamp,
        /// Whether an attempt failed; the engine may meanwhile request items from
        /// other groups.
        failed: bool,
    },
    /// Renews leases.
    Renew { group: GroupId, sent: Timestamp },
    /// Records results of items.
    Record {
        key: LeaseKey,
        results: Vec<ItemResult>,
    },
    /// Returns items that were not run.
    Return {
        key: LeaseKey,
        items: Vec<ItemIndex>,
    },
}

/// Polling state of a service: which group to ask for items next, and when.
#[derive(Clone, Debug, Default)]
pub(super) struct ServicePoll {
    /// Index of the group to poll next, counted from 0.
    next_turn: u32,
    /// Consecutive polls that returned no items.
    empty_polls: u32,
    /// Current backoff; zero if the last poll returned items.
    backoff: Duration,
    /// Earliest time of the next poll.
    next_poll: Timestamp,
}

impl ServicePoll {
    /// Resets the backoff: a group returned items, or new work was announced.
    pub(super) fn reset_backoff(&mut self, now: Timestamp) {
        self.empty_polls = 0;
        self.backoff = Duration::ZERO;
        self.next_poll = now;
    }

    /// Records a poll without items. Once every group has returned none, doubles
    /// the backoff within the given bounds.
    pub(super) fn back_off(
        &mut self,
        now: Timestamp,
        groups: u32,
        min_backoff: Duration,
        max_backoff: Duration,
    ) {
        self.empty_polls += 1;
        if self.empty_polls < groups {
            return;
        }
        self.empty_polls = 0;
        self.backoff = (self.backoff * 2).clamp(min_backoff, max_backoff);
        self.next_poll = now + self.backoff;
    }

    /// Whether polling has backed off; then only one engine polls at a time for
    /// the whole service.
    fn is_backing_off(&self) -> bool {
        !self.backoff.is_zero()
    }
}

impl BatchOwner {
    /// Sends lease requests and renewals that are due.
    pub(super) fn send_requests(&mut self, now: Timestamp, outputs: &mut Vec<BatchOutput>) {
        self.renew(now, outputs);
        if self.draining {
            return;
        }
        let backends: Vec<BackendId> = self.engines.keys().copied().collect();
        for backend in backends {
            self.request_items(now, backend, outputs);
        }
    }

    /// Requests items for an engine that has free capacity and too few leased items.
    fn request_items(
        &mut self,
        now: Timestamp,
        backend: BackendId,
        outputs: &mut Vec<BatchOutput>,
    ) {
        let wanted = self.items_wanted(now, backend);
        let Some(engine) = self.engines.get(&backend) else {
            return;
        };
        if wanted == 0 {
            return;
        }
        let service = engine.owned.service.clone();
        let poll = self.polls.entry(service.clone()).or_default();
        let waiting = poll.next_poll > now;
        let probing = poll.is_backing_off() && has_pending_lease_request(&self.requests, &service);
        if waiting || probing {
            return;
        }
        let Some(group) = self.next_group(&service) else {
            return;
        };
        let request = self.next_request();
        if let Some(engine) = self.engines.get_mut(&backend) {
            engine.lease_request = Some(request);
        }
        self.send(
            request,
            Request::Lease {
                group,
                service,
                backend,
                max_items: wanted,
                sent: now,
                failed: false,
            },
            outputs,
        );
    }

    /// Returns the next group in round-robin order, skipping groups with a failed
    /// lease request.
    fn next_group(&mut self, service: &ServiceName) -> Option<GroupId> {
        let unreachable: BTreeSet<GroupId> = self
            .requests
            .values()
            .filter_map(Request::failed_group)
            .collect();
        let groups = self.settings.job_groups;
        let poll = self.polls.entry(service.clone()).or_default();
        let first = poll.next_turn;
        let mut turns = (0..groups).map(|step| first.wrapping_add(step));
        let turn = turns.find(|turn| !unreachable.contains(&group_of(*turn, groups)))?;
        poll.next_turn = turn.wrapping_add(1);
        Some(group_of(turn, groups))
    }

    /// Returns the number of items to lease for an engine now. The total of running
    /// and pending items may reach 1.5 times the stream limit, so that the next item
    /// can start as soon as a stream ends.
    fn items_wanted(&self, now: Timestamp, backend: BackendId) -> u32 {
        let Some(engine) = self.engines.get(&backend) else {
            return 0;
        };
        let no_capacity = engine.allowance(now, &self.policy) == Allowance::UpTo(0);
        let busy = engine.lease_request.is_some() || !engine.open || engine.backoff_until > now;
        if no_capacity || busy {
            return 0;
        }
        let limit = engine.limit();
        let pending: usize = self
            .leases
            .values()
            .filter(|lease| lease.backend == backend)
            .map(|lease| lease.pending.len())
            .sum();
        let current = (engine.streams.len() + pending) as u32;
        let wanted = (limit + limit.div_ceil(2)).saturating_sub(current);
        let enough = wanted >= limit.div_ceil(REFILL_DIVISOR);
        if enough { wanted } else { 0 }
    }

    /// Renews the leases of each group at a fixed interval.
    fn renew(&mut self, now: Timestamp, outputs: &mut Vec<BatchOutput>) {
        let mut by_group: BTreeMap<GroupId, Vec<LeaseId>> = BTreeMap::new();
        for (key, lease) in &self.leases {
            if !lease.revoked {
                by_group.entry(key.group).or_default().push(key.lease);
            }
        }
        self.last_renewals
            .retain(|group, _| by_group.contains_key(group));
        for (group, leases) in by_group {
            let last = *self.last_renewals.entry(group).or_insert(now);
            if now.since(last) < self.settings.renew_interval {
                continue;
            }
            self.last_renewals.insert(group, now);
            let request = self.next_request();
            self.requests
                .insert(request, Request::Renew { group, sent: now });
            outputs.push(BatchOutput::Renew {
                request,
                group,
                leases,
            });
        }
    }

    /// Sends a request and tracks it until its reply.
    pub(super) fn send(
        &mut self,
        number: RequestNumber,
        request: Request,
        outputs: &mut Vec<BatchOutput>,
    ) {
        outputs.extend(output_for(number, &request));
        self.requests.insert(number, request);
    }

    /// Resends failed requests whose retry delay has passed.
    pub(super) fn resend(&mut self, now: Timestamp, outputs: &mut Vec<BatchOutput>) {
        let due: Vec<RequestNumber> = self
            .resend_at
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            self.resend_at.remove(&number);
            if let Some(request) = self.requests.get(&number) {
                outputs.extend(output_for(number, request));
            }
        }
    }

    pub(super) fn work_available(&mut self, now: Timestamp, service: &ServiceName) {
        self.polls
            .entry(service.clone())
            .or_default()
            .reset_backoff(now);
    }

    /// Returns the time by which the next [`super::BatchInput::Tick`] must be fed.
    #[must_use]
    pub fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        let journals = self
            .leases
            .values()
            .filter_map(|lease| lease.journal.due_at(&self.settings.journal));
        let expiries = self
            .leases
            .values()
            .filter(|lease| !lease.revoked)
            .map(|lease| lease.valid_until);
        let renewals = self
            .last_renewals
            .values()
            .map(|last| *last + self.settings.renew_interval);
        let quiet = self.engines.values().filter_map(|engine| {
            let until = engine.online.quiet_until(self.policy.quiet_factor);
            until.filter(|until| *until > now)
        });
        let backoffs = self.engines.values().map(|engine| engine.backoff_until);
        let blocked = self.engines.values().filter_map(|engine| {
            let since = engine.no_capacity_since?;
            Some(since + self.settings.return_pending_after)
        });
        let polls = self.polls.values().map(|poll| poll.next_poll);
        let resends = self.resend_at.values().copied();
        let future = backoffs.chain(blocked).chain(polls).filter(|at| *at > now);
        journals
            .chain(expiries)
            .chain(renewals)
            .chain(quiet)
            .chain(resends)
            .chain(future)
            .min()
    }
}

impl Request {
    /// Returns the group if this is a lease request that failed.
    fn failed_group(&self) -> Option<GroupId> {
        match self {
            Request::Lease {
                group,
                failed: true,
                ..
            } => Some(*group),
            _ => None,
        }
    }
}

fn group_of(turn: u32, groups: u32) -> GroupId {
    GroupId(1 + turn % groups)
}

/// Whether a lease request for `service` is in flight and has not failed.
fn has_pending_lease_request(
    requests: &BTreeMap<RequestNumber, Request>,
    service: &ServiceName,
) -> bool {
    requests.values().any(|request| {
        let waits = request.failed_group().is_none();
        waits
            && matches!(request, Request::Lease { service: requested, .. } if requested == service)
    })
}

/// Returns the output that sends a request; `None` for renewals, which are never
/// resent.
fn output_for(number: RequestNumber, request: &Request) -> Option<BatchOutput> {
    let request = request.clone();
    match request {
        Request::Lease {
            group,
            service,
            backend,
            max_items,
            ..
        } => Some(BatchOutput::LeaseItems {
            request: number,
            group,
            service,
            backend,
            max_items,
        }),
        Request::Record { key, results } => Some(BatchOutput::Record {
            request: number,
            group: key.group,
            lease: key.lease,
            results,
        }),
        Request::Return { key, items } => Some(BatchOutput::Return {
            request: number,
            group: key.group,
            lease: key.lease,
            items,
        }),
        Request::Renew { .. } => None,
    }
}
