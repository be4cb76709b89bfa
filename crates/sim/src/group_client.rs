//! A client of the replica groups, which finds leaders and retries calls.
//!
//! Every command sent through this client is idempotent, so it retries after
//! unknown outcomes too.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_replica::Refusal;
use molespan_types::{GroupId, RunOutcome, Timestamp};
use rand::Rng;

use crate::address::Address;
use crate::context::Context;
use crate::message::{Message, Operation};

/// Time without an answer after which a call is sent to the next replica.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay before a call is retried after a refusal.
const RETRY_DELAY: Duration = Duration::from_millis(30);

#[derive(Debug)]
struct Pending<T> {
    tag: T,
    group: GroupId,
    operation: Operation,
    target: u32,
    started: Timestamp,
    deadline: Timestamp,
    next_send: Timestamp,
    waits: bool,
}

/// The end of a call.
#[derive(Debug)]
pub struct Ended<T> {
    /// Tag given by the caller.
    pub tag: T,
    /// When the call started, on the caller's clock.
    pub started: Timestamp,
    /// The answer; `None` after a timeout.
    pub answer: Option<Vec<u8>>,
}

/// A client of the replica groups.
#[derive(Debug)]
pub struct GroupClient<T> {
    own: Address,
    replicas: u32,
    leaders: BTreeMap<GroupId, u32>,
    calls: BTreeMap<u64, Pending<T>>,
}

impl<T> GroupClient<T> {
    /// Creates a client that knows no leader.
    #[must_use]
    pub fn new(own: Address, replicas: u32) -> Self {
        Self {
            own,
            replicas,
            leaders: BTreeMap::new(),
            calls: BTreeMap::new(),
        }
    }

    /// Starts a call to the leader.
    pub fn call(
        &mut self,
        context: &mut Context,
        now: Timestamp,
        group: GroupId,
        operation: Operation,
        within: Duration,
        tag: T,
    ) {
        let any = context.random.random_range(1..=self.replicas);
        let target = *self.leaders.entry(group).or_insert(any);
        self.call_at(context, now, (group, target), operation, within, tag);
    }

    /// Starts a call to a random replica.
    pub fn call_random(
        &mut self,
        context: &mut Context,
        now: Timestamp,
        group: GroupId,
        operation: Operation,
        within: Duration,
        tag: T,
    ) {
        let target = context.random.random_range(1..=self.replicas);
        self.call_at(context, now, (group, target), operation, within, tag);
    }

    fn call_at(
        &mut self,
        context: &mut Context,
        now: Timestamp,
        (group, target): (GroupId, u32),
        operation: Operation,
        within: Duration,
        tag: T,
    ) {
        let call = context.random_id();
        let pending = Pending {
            tag,
            group,
            operation,
            target,
            started: now,
            deadline: now + within,
            next_send: now + ANSWER_TIMEOUT,
            waits: true,
        };
        self.send(context, call, &pending);
        self.calls.insert(call, pending);
    }

    fn send(&self, context: &mut Context, call: u64, pending: &Pending<T>) {
        let message = Message::Call {
            call,
            group: pending.group,
            operation: pending.operation.clone(),
        };
        context.send(self.own, Address::Replica(pending.target), message);
    }

    /// Handles an answer. Returns the end of the call, if it ended.
    pub fn replied(
        &mut self,
        now: Timestamp,
        call: u64,
        result: Result<Vec<u8>, Refusal>,
    ) -> Option<Ended<T>> {
        let refusal = match result {
            Ok(answer) => {
                let pending = self.calls.remove(&call)?;
                self.leaders.insert(pending.group, pending.target);
                return Some(Ended {
                    tag: pending.tag,
                    started: pending.started,
                    answer: Some(answer),
                });
            }
            Err(refusal) => refusal,
        };
        let replicas = self.replicas;
        let pending = self.calls.get_mut(&call)?;
        pending.waits = false;
        pending.next_send = now + RETRY_DELAY;
        match refusal {
            Refusal::NotLeader { leader } => {
                let next = 1 + pending.target % replicas;
                pending.target = leader.map_or(next, |leader| leader.0);
                self.leaders.insert(pending.group, pending.target);
            }
            Refusal::Refused {
                outcome,
                retry_after_ms,
                ..
            } => {
                if outcome == RunOutcome::NotRun {
                    let after = Duration::from_millis(u64::from(retry_after_ms));
                    pending.next_send = now + after.min(ANSWER_TIMEOUT);
                }
                pending.target = 1 + pending.target % replicas;
            }
        }
        None
    }

    /// Resends calls that are due, and returns those that timed out.
    pub fn tick(&mut self, context: &mut Context, now: Timestamp) -> Vec<Ended<T>> {
        let due: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, pending)| pending.next_send <= now)
            .map(|(call, _)| *call)
            .collect();
        let mut ended = Vec::new();
        for call in due {
            let Some(mut pending) = self.calls.remove(&call) else {
                continue;
            };
            if pending.deadline <= now {
                ended.push(Ended {
                    tag: pending.tag,
                    started: pending.started,
                    answer: None,
                });
                continue;
            }
            if pending.waits {
                pending.target = 1 + pending.target % self.replicas;
                self.leaders.insert(pending.group, pending.target);
            }
            pending.waits = true;
            pending.next_send = now + ANSWER_TIMEOUT;
            self.send(context, call, &pending);
            self.calls.insert(call, pending);
        }
        ended
    }

    /// Returns when [`GroupClient::tick`] is due.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.calls.values().map(|pending| pending.next_send).min()
    }

    /// Returns the tags of the open calls.
    pub fn open(&self) -> impl Iterator<Item = &T> {
        self.calls.values().map(|pending| &pending.tag)
    }
}
