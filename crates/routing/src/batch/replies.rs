//! Replies of job groups, results on their way there, and leases that end.

use molespan_membership::STOP_SHARE;
use molespan_state::job::{GrantedLease, ItemOutcome};
use molespan_types::mechanism::{Mechanism, enabled};
use molespan_types::{BackendId, GroupId, ItemIndex, LeaseId, ServiceName, Timestamp};

use super::asking::Request;
use super::lease::{ItemLease, LeaseKey};
use super::message::{BatchDecision, BatchOutput, GroupReply, RequestNumber, StreamId};
use super::owner::BatchOwner;

impl BatchOwner {
    pub(super) fn replied(
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
        self.resends.remove(&number);
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
                self.asked(backend, number);
                self.note_poll(now, &service, granted.is_some());
                if let Some(granted) = granted {
                    self.take_lease(now, group, backend, granted, sent, outputs);
                }
            }
            (Request::Renew { group, sent }, GroupReply::Renewed { lost, cancelled }) => {
                self.renewed_until(group, sent, &lost);
                for lease in lost {
                    self.lose(LeaseKey { group, lease }, outputs);
                }
                for lease in cancelled {
                    self.cancel_lease(now, LeaseKey { group, lease }, outputs);
                }
            }
            (Request::Record { key, .. } | Request::Return { key, .. }, _) => {
                self.request_done(key);
            }
            // A reply of the wrong kind says nothing.
            (Request::Lease { backend, .. }, _) => self.asked(backend, number),
            (Request::Renew { .. }, _) => {}
        }
    }

    /// Sends a failed request again later under its number, unless its time
    /// is over: a renewal is followed by the next, and what concerns a lease
    /// that the leader may have ended is left to its own expiry.
    fn request_failed(&mut self, now: Timestamp, number: RequestNumber) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let give_up = match request {
            Request::Lease { .. } => self.draining,
            Request::Renew { .. } => true,
            Request::Record { key, .. } | Request::Return { key, .. } => {
                let rest = self.settings.lease.mul_f64(1.0 - STOP_SHARE);
                let lease = self.leases.get(key);
                lease.is_none_or(|lease| lease.valid_until + rest <= now)
            }
        };
        if !give_up {
            let at = now + self.settings.resend_after;
            self.resends.insert(number, at);
            self.let_engine_ask_others(number);
            return;
        }
        match self.requests.remove(&number) {
            Some(Request::Record { key, .. } | Request::Return { key, .. }) => {
                self.request_done(key);
            }
            Some(Request::Lease { backend, .. }) => self.asked(backend, number),
            _ => {}
        }
    }

    /// A request for items failed. It stays out, since the group may have
    /// granted a lease, but its engine need not wait for that group.
    fn let_engine_ask_others(&mut self, number: RequestNumber) {
        let request = self.requests.get_mut(&number);
        if let Some(Request::Lease {
            backend, failed, ..
        }) = request
        {
            *failed = true;
            let backend = *backend;
            self.asked(backend, number);
        }
    }

    /// The engine's request for items is answered, or no longer waited for.
    fn asked(&mut self, backend: BackendId, number: RequestNumber) {
        if let Some(engine) = self.engines.get_mut(&backend)
            && engine.asking == Some(number)
        {
            engine.asking = None;
        }
    }

    fn note_poll(&mut self, now: Timestamp, service: &ServiceName, found: bool) {
        let settings = &self.settings;
        let poll = self.polls.entry(service.clone()).or_default();
        if found {
            poll.found(now);
        } else {
            poll.found_nothing(
                now,
                settings.job_groups,
                settings.shortest_poll,
                settings.longest_poll,
            );
        }
    }

    fn take_lease(
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
        // A resend may bring the same lease twice.
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

    fn renewed_until(&mut self, group: GroupId, sent: Timestamp, lost: &[LeaseId]) {
        let valid_until = sent + self.settings.lease.mul_f64(STOP_SHARE);
        for (key, lease) in &mut self.leases {
            let renewed = key.group == group && !lost.contains(&key.lease) && !lease.revoked;
            if renewed {
                lease.valid_until = lease.valid_until.max(valid_until);
            }
        }
    }

    /// The group no longer knows the lease: stop its streams and forget it.
    fn lose(&mut self, key: LeaseKey, outputs: &mut Vec<BatchOutput>) {
        let Some(lease) = self.leases.remove(&key) else {
            return;
        };
        let stopped = lease.streams.len() as u32;
        for id in lease.streams {
            self.forget_stream(id);
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

    /// Stops what runs under leases whose time is over on this node's clock.
    pub(super) fn expire_leases(&mut self, now: Timestamp, outputs: &mut Vec<BatchOutput>) {
        if !enabled(Mechanism::OwnerStopsAtExpiry) {
            return;
        }
        let over: Vec<LeaseKey> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.valid_until <= now && !lease.revoked)
            .map(|(key, _)| *key)
            .collect();
        for key in over {
            let Some(stopped) = self.revoke(now, key, outputs) else {
                continue;
            };
            outputs.push(BatchOutput::Decision(BatchDecision::LeaseRanOut {
                group: key.group,
                lease: key.lease,
                stopped,
            }));
        }
    }

    /// Stops all streams of a lease, sends the results that are there and
    /// gives the rest back. A stopped item that may not run again is recorded
    /// as unknown. Returns how many streams were stopped.
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
            self.stop(now, id, outputs);
        }
        self.flush(now, key, true, outputs);
        self.return_pending(now, key, outputs);
        Some(stopped)
    }

    /// Stops the streams of a lease that may run again elsewhere.
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
            self.stop(now, id, outputs);
        }
    }

    fn stop(&mut self, now: Timestamp, id: StreamId, outputs: &mut Vec<BatchOutput>) {
        let Some(stream) = self.forget_stream(id) else {
            return;
        };
        outputs.push(BatchOutput::Cancel(id));
        if stream.repeatable {
            self.requeue(stream);
        } else {
            self.journal(now, &stream, ItemOutcome::Unknown, Vec::new());
        }
    }

    /// Gives the items of a lease back that wait for their turn.
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
        lease.requests_out += 1;
        let request = self.next_request();
        self.send(request, Request::Return { key, items }, outputs);
    }

    /// Gives back what an engine had no room for, so that others run it.
    pub(super) fn return_unused(&mut self, now: Timestamp, outputs: &mut Vec<BatchOutput>) {
        let return_after = self.settings.return_after;
        let crowded: Vec<BackendId> = self
            .engines
            .iter()
            .filter(|(_, engine)| {
                let since = engine.no_room_since;
                since.is_some_and(|since| now.since(since) >= return_after)
            })
            .map(|(backend, _)| *backend)
            .collect();
        for backend in crowded {
            for key in self.leases_of(backend) {
                self.return_pending(now, key, outputs);
            }
        }
    }

    /// Sends the results of every lease that are due.
    pub(super) fn send_results(&mut self, now: Timestamp, outputs: &mut Vec<BatchOutput>) {
        let keys: Vec<LeaseKey> = self.leases.keys().copied().collect();
        for key in keys {
            let flush = self.leases.get(&key).is_some_and(ItemLease::has_run_all);
            self.flush(now, key, flush, outputs);
        }
    }

    fn flush(&mut self, now: Timestamp, key: LeaseKey, all: bool, outputs: &mut Vec<BatchOutput>) {
        let Some(lease) = self.leases.get_mut(&key) else {
            return;
        };
        let Some(results) = lease.journal.take_due(now, &self.settings.journal, all) else {
            return;
        };
        lease.requests_out += 1;
        let request = self.next_request();
        self.send(request, Request::Record { key, results }, outputs);
    }

    fn request_done(&mut self, key: LeaseKey) {
        if let Some(lease) = self.leases.get_mut(&key) {
            lease.requests_out = lease.requests_out.saturating_sub(1);
        }
    }

    /// Forgets leases with nothing left to do and engines that were given up.
    pub(super) fn drop_finished(&mut self, outputs: &mut Vec<BatchOutput>) {
        self.leases.retain(|_, lease| !lease.is_done());
        let leases = &self.leases;
        self.engines.retain(|backend, engine| {
            let leased = leases.values().any(|lease| lease.backend == *backend);
            !engine.released || leased || engine.asking.is_some()
        });
        let idle = self.leases.is_empty() && self.requests.is_empty();
        if self.draining && idle && !self.drained {
            self.drained = true;
            outputs.push(BatchOutput::Drained);
        }
    }
}
