//! Handling of job group replies, sending of results, and the end of leases.

use molespan_membership::STOP_SHARE;
use molespan_state::job::{GrantedLease, ItemOutcome};
use molespan_types::mechanism::{Mechanism, enabled};
use molespan_types::{BackendId, GroupId, ItemIndex, LeaseId, ServiceName, Timestamp};

use super::asking::Request;
use super::lease::{ItemLease, LeaseKey};
use super::message::{BatchDecision, BatchOutput, GroupReply, RequestNumber, StreamId};
use super::owner::BatchOwner;

impl BatchOwner {
    pub(super) fn handle_reply(
        &mut self,
        now: Timestamp,
        number: RequestNumber,
        reply: GroupReply,
        outputs: &mut Vec<BatchOutput>,
    ) {
        if reply == GroupReply::Failed {
            self.request_failed(now, number);
            return;
        }
        self.resend_at.remove(&number);
        let Some(request) = self.requests.remove(&number) else {
            return;
        };
        match (request, reply) {
            (
                Request::Lease {
                    group,
                    backend,
                    service,
                    sent,
                    ..
                },
                GroupReply::Leased(granted),
            ) => {
                self.clear_lease_request(backend, number);
                self.record_poll(now, &service, granted.is_some());
                if let Some(granted) = granted {
                    self.accept_lease(now, group, backend, granted, sent, outputs);
                }
            }
            (Request::Renew { group, sent }, GroupReply::Renewed { lost, cancelled }) => {
                self.extend_leases(group, sent, &lost);
                for lease in lost {
                    self.drop_lost_lease(LeaseKey { group, lease }, outputs);
                }
                for lease in cancelled {
                    self.cancel_lease(now, LeaseKey { group, lease }, outputs);
                }
            }
            (Request::Record { key, .. } | Request::Return { key, .. }, _) => {
                self.request_done(key);
            }
            // A reply of the wrong kind only completes the request.
            (Request::Lease { backend, .. }, _) => self.clear_lease_request(backend, number),
            (Request::Renew { .. }, _) => {}
        }
    }

    /// Schedules a resend of a failed request under the same number, unless that
    /// is pointless. Renewals are not resent, since the next one follows anyway.
    /// Results and returned items are dropped once the leader may have ended the
    /// lease, and lease requests are dropped while draining.
    fn request_failed(&mut self, now: Timestamp, number: RequestNumber) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let abandon = match request {
            Request::Lease { .. } => self.draining,
            Request::Renew { .. } => true,
            Request::Record { key, .. } | Request::Return { key, .. } => {
                let remaining = self.settings.lease.mul_f64(1.0 - STOP_SHARE);
                let lease = self.leases.get(key);
                lease.is_none_or(|lease| lease.valid_until + remaining <= now)
            }
        };
        if !abandon {
            let at = now + self.settings.resend_after;
            self.resend_at.insert(number, at);
            self.unblock_engine(number);
            return;
        }
        match self.requests.remove(&number) {
            Some(Request::Record { key, .. } | Request::Return { key, .. }) => {
                self.request_done(key);
            }
            Some(Request::Lease { backend, .. }) => self.clear_lease_request(backend, number),
            _ => {}
        }
    }

    /// Marks a lease request as failed. It is still resent, since the group may
    /// have granted a lease, but its engine may request items from other groups.
    fn unblock_engine(&mut self, number: RequestNumber) {
        let request = self.requests.get_mut(&number);
        if let Some(Request::Lease {
            backend, failed, ..
        }) = request
        {
            *failed = true;
            let backend = *backend;
            self.clear_lease_request(backend, number);
        }
    }

    /// Clears the engine's lease request after its reply or failure.
    fn clear_lease_request(&mut self, backend: BackendId, number: RequestNumber) {
        if let Some(engine) = self.engines.get_mut(&backend)
            && engine.lease_request == Some(number)
        {
            engine.lease_request = None;
        }
    }

    fn record_poll(&mut self, now: Timestamp, service: &ServiceName, found: bool) {
        let settings = &self.settings;
        let poll = self.polls.entry(service.clone()).or_default();
        if found {
            poll.reset_backoff(now);
        } else {
            poll.back_off(
                now,
                settings.job_groups,
                settings.min_poll_backoff,
                settings.max_poll_backoff,
            );
        }
    }

    fn accept_lease(
        &mut self,
        now: Timestamp,
        group: GroupId,
        backend: BackendId,
        granted: GrantedLease,
        sent: Timestamp,
        outputs: &mut Vec<BatchOutput>,
    ) {
        let key = LeaseKey {
            group,
            lease: granted.lease,
        };
        // The replies to a request and its resend may carry the same lease.
        if self.leases.contains_key(&key) {
            return;
        }
        let valid_until = sent + self.settings.lease.mul_f64(STOP_SHARE);
        let lease = ItemLease::new(backend, granted, valid_until);
        self.leases.insert(key, lease);
        let open = self.engines.get(&backend).is_some_and(|engine| engine.open);
        if !open || self.draining || valid_until <= now {
            self.return_pending(now, key, outputs);
            return;
        }
        self.balance(now, backend, outputs);
    }

    fn extend_leases(&mut self, group: GroupId, sent: Timestamp, lost: &[LeaseId]) {
        let valid_until = sent + self.settings.lease.mul_f64(STOP_SHARE);
        for (key, lease) in &mut self.leases {
            let renewed = key.group == group && !lost.contains(&key.lease) && !lease.revoked;
            if renewed {
                lease.valid_until = lease.valid_until.max(valid_until);
            }
        }
    }

    /// Drops a lease that the group no longer holds, and cancels its streams.
    fn drop_lost_lease(&mut self, key: LeaseKey, outputs: &mut Vec<BatchOutput>) {
        let Some(lease) = self.leases.remove(&key) else {
            return;
        };
        let stopped = lease.streams.len() as u32;
        for id in lease.streams {
            self.remove_stream(id);
            outputs.push(BatchOutput::Cancel(id));
        }
        outputs.push(BatchOutput::Decision(BatchDecision::LeaseRevoked {
            group: key.group,
            lease: key.lease,
            stopped,
            cancelled: false,
        }));
    }

    fn cancel_lease(&mut self, now: Timestamp, key: LeaseKey, outputs: &mut Vec<BatchOutput>) {
        let Some(stopped) = self.revoke(now, key, outputs) else {
            return;
        };
        outputs.push(BatchOutput::Decision(BatchDecision::LeaseRevoked {
            group: key.group,
            lease: key.lease,
            stopped,
            cancelled: true,
        }));
    }

    /// Stops the streams of leases that have expired on this node's clock.
    pub(super) fn expire_leases(&mut self, now: Timestamp, outputs: &mut Vec<BatchOutput>) {
        if !enabled(Mechanism::OwnerStopsAtExpiry) {
            return;
        }
        let expired: Vec<LeaseKey> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.valid_until <= now && !lease.revoked)
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            let Some(stopped) = self.revoke(now, key, outputs) else {
                continue;
            };
            outputs.push(BatchOutput::Decision(BatchDecision::LeaseExpired {
                group: key.group,
                lease: key.lease,
                stopped,
            }));
        }
    }

    /// Stops all streams of a lease, sends its buffered results and returns the
    /// remaining items. A stopped item that is not repeatable is recorded as
    /// unknown. Returns the number of stopped streams, or `None` if the lease is
    /// missing or already revoked.
    fn revoke(
        &mut self,
        now: Timestamp,
        key: LeaseKey,
        outputs: &mut Vec<BatchOutput>,
    ) -> Option<u32> {
        let lease = self.leases.get_mut(&key)?;
        if lease.revoked {
            return None;
        }
        lease.revoked = true;
        let streams: Vec<StreamId> = lease.streams.iter().copied().collect();
        let stopped = streams.len() as u32;
        for id in streams {
            self.stop_stream(now, id, outputs);
        }
        self.send_lease_results(now, key, true, outputs);
        self.return_pending(now, key, outputs);
        Some(stopped)
    }

    /// Stops the streams of a lease if its items are repeatable.
    pub(super) fn stop_repeatable(
        &mut self,
        now: Timestamp,
        key: LeaseKey,
        outputs: &mut Vec<BatchOutput>,
    ) {
        let Some(lease) = self.leases.get(&key) else {
            return;
        };
        if !lease.repeatable {
            return;
        }
        let streams: Vec<StreamId> = lease.streams.iter().copied().collect();
        for id in streams {
            self.stop_stream(now, id, outputs);
        }
    }

    fn stop_stream(&mut self, now: Timestamp, id: StreamId, outputs: &mut Vec<BatchOutput>) {
        let Some(stream) = self.remove_stream(id) else {
            return;
        };
        outputs.push(BatchOutput::Cancel(id));
        if stream.repeatable {
            self.requeue(stream);
        } else {
            self.journal_result(now, &stream, ItemOutcome::Unknown, Vec::new());
        }
    }

    /// Returns the pending items of a lease to its group.
    pub(super) fn return_pending(
        &mut self,
        _now: Timestamp,
        key: LeaseKey,
        outputs: &mut Vec<BatchOutput>,
    ) {
        let Some(lease) = self.leases.get_mut(&key) else {
            return;
        };
        let items: Vec<ItemIndex> = lease
            .pending
            .drain(..)
            .map(|pending| pending.leased.item)
            .collect();
        if items.is_empty() {
            return;
        }
        lease.requests_in_flight += 1;
        let request = self.next_request();
        self.send(request, Request::Return { key, items }, outputs);
    }

    /// Returns the pending items of engines that have had no capacity for some
    /// time, so that other owners can run them.
    pub(super) fn return_blocked(&mut self, now: Timestamp, outputs: &mut Vec<BatchOutput>) {
        let return_pending_after = self.settings.return_pending_after;
        let blocked: Vec<BackendId> = self
            .engines
            .iter()
            .filter(|(_, engine)| {
                let since = engine.no_capacity_since;
                since.is_some_and(|since| now.since(since) >= return_pending_after)
            })
            .map(|(backend, _)| *backend)
            .collect();
        for backend in blocked {
            for key in self.leases_of(backend) {
                self.return_pending(now, key, outputs);
            }
        }
    }

    /// Sends the due results of every lease.
    pub(super) fn send_results(&mut self, now: Timestamp, outputs: &mut Vec<BatchOutput>) {
        let keys: Vec<LeaseKey> = self.leases.keys().copied().collect();
        for key in keys {
            let flush = self.leases.get(&key).is_some_and(ItemLease::has_run_all);
            self.send_lease_results(now, key, flush, outputs);
        }
    }

    fn send_lease_results(
        &mut self,
        now: Timestamp,
        key: LeaseKey,
        all: bool,
        outputs: &mut Vec<BatchOutput>,
    ) {
        let Some(lease) = self.leases.get_mut(&key) else {
            return;
        };
        let Some(results) = lease.journal.take_due(now, &self.settings.journal, all) else {
            return;
        };
        lease.requests_in_flight += 1;
        let request = self.next_request();
        self.send(request, Request::Record { key, results }, outputs);
    }

    fn request_done(&mut self, key: LeaseKey) {
        if let Some(lease) = self.leases.get_mut(&key) {
            lease.requests_in_flight = lease.requests_in_flight.saturating_sub(1);
        }
    }

    /// Removes finished leases and released engines, and reports a completed drain.
    pub(super) fn remove_finished(&mut self, outputs: &mut Vec<BatchOutput>) {
        self.leases.retain(|_, lease| !lease.is_done());
        let leases = &self.leases;
        self.engines.retain(|backend, engine| {
            let leased = leases.values().any(|lease| lease.backend == *backend);
            !engine.released || leased || engine.lease_request.is_some()
        });
        let idle = self.leases.is_empty() && self.requests.is_empty();
        if self.draining && idle && !self.drained {
            self.drained = true;
            outputs.push(BatchOutput::Drained);
        }
    }
}
