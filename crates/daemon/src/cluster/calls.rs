//! Calls to a group's leader, retried until a deadline.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_io::Timer;
use molespan_state::{decode, encode};
use molespan_types::{GroupId, NodeId, RunOutcome};
use molespan_wire::{CallError, Consistency, LeaderHint, Request, Response};

use super::{Cluster, ClusterError};

/// The retry state of one call.
struct Attempts<'a> {
    cluster: &'a Cluster,
    group: GroupId,
    ends: Instant,
    pause: Duration,
    /// Timeout of the next attempt, not counting `held`.
    timeout: Duration,
    /// How long the leader may hold the request open before it answers.
    held: Duration,
    /// Index of the next replica to try.
    next_replica: usize,
    /// Nodes whose calls failed. They are skipped until every replica has failed or another
    /// node names them as leader: retrying a silent node uses up the remaining time while
    /// others may know the leader.
    failed: BTreeSet<NodeId>,
    /// Whether an earlier attempt may have taken effect.
    ambiguous: bool,
    reason: String,
}

impl Cluster {
    /// Proposes a command to `group` and decodes its reply.
    ///
    /// # Errors
    /// When no leader committed it before the deadline.
    pub(super) async fn propose<C, R>(&self, group: GroupId, command: &C) -> Result<R, ClusterError>
    where
        C: minicbor::Encode<()>,
        R: for<'b> minicbor::Decode<'b, ()>,
    {
        self.propose_within(group, command, self.limits.deadline)
            .await
    }

    /// Proposes a command to `group` with the given deadline.
    pub(super) async fn propose_within<C, R>(
        &self,
        group: GroupId,
        command: &C,
        deadline: Duration,
    ) -> Result<R, ClusterError>
    where
        C: minicbor::Encode<()>,
        R: for<'b> minicbor::Decode<'b, ()>,
    {
        let command = encode(command);
        let request = || Request::Propose {
            group,
            command: command.clone().into(),
        };
        match self.call_leader(group, request, deadline).await? {
            Response::Proposed { reply } => decode_reply(&reply),
            other => Err(unexpected(&other)),
        }
    }

    /// Runs a linearizable query on `group`: it observes every acknowledged write.
    ///
    /// # Errors
    /// When no leader answered before the deadline.
    pub(super) async fn query<Q, A>(&self, group: GroupId, query: &Q) -> Result<A, ClusterError>
    where
        Q: minicbor::Encode<()>,
        A: for<'b> minicbor::Decode<'b, ()>,
    {
        self.query_within(group, query, self.limits.deadline).await
    }

    /// Runs a linearizable query on `group` with the given deadline.
    pub(super) async fn query_within<Q, A>(
        &self,
        group: GroupId,
        query: &Q,
        deadline: Duration,
    ) -> Result<A, ClusterError>
    where
        Q: minicbor::Encode<()>,
        A: for<'b> minicbor::Decode<'b, ()>,
    {
        let query = encode(query);
        let request = || Request::Query {
            group,
            consistency: Consistency::Linearizable,
            query: query.clone().into(),
        };
        match self.call_leader(group, request, deadline).await? {
            Response::Answered { answer } => decode_reply(&answer),
            other => Err(unexpected(&other)),
        }
    }

    /// Sends a request to the leader of `group`, following leader changes, until it is
    /// answered or `deadline` has passed. The request must be idempotent.
    pub(super) async fn call_leader(
        &self,
        group: GroupId,
        request: impl Fn() -> Request,
        deadline: Duration,
    ) -> Result<Response, ClusterError> {
        self.call_leader_held(group, request, Duration::ZERO, deadline)
            .await
    }

    /// Like [`Self::call_leader`], for a request that the leader may hold open for `held`
    /// before it answers (long poll). Without the extra time, each call with nothing to
    /// report would time out and the cached leader would be dropped.
    pub(super) async fn call_leader_held(
        &self,
        group: GroupId,
        request: impl Fn() -> Request,
        held: Duration,
        deadline: Duration,
    ) -> Result<Response, ClusterError> {
        let mut attempts = Attempts {
            cluster: self,
            group,
            ends: Instant::now() + deadline,
            pause: self.limits.first_pause,
            timeout: self.limits.first_call_timeout,
            held,
            next_replica: self.next_replica.load(Ordering::Relaxed),
            failed: BTreeSet::new(),
            ambiguous: false,
            reason: "there are no replicas".to_owned(),
        };
        attempts.run(request).await
    }
}

impl Attempts<'_> {
    async fn run(&mut self, request: impl Fn() -> Request) -> Result<Response, ClusterError> {
        loop {
            let remaining = self.ends.saturating_duration_since(Instant::now());
            let Some(node) = self.target().filter(|_| !remaining.is_zero()) else {
                return Err(self.failure());
            };
            let timeout = (self.timeout + self.held).min(remaining);
            let call = self.cluster.transport.call(node, request(), timeout);
            match call.await {
                Ok(Response::NotLeader { leader }) => self.follow(node, leader).await,
                Ok(Response::Refused {
                    outcome,
                    message,
                    retry_after_ms,
                }) => {
                    self.ambiguous |= outcome == RunOutcome::Unknown;
                    self.reason = message;
                    self.try_next(node);
                    let wait = Duration::from_millis(u64::from(retry_after_ms));
                    self.pause_at_least(wait).await;
                }
                Ok(response) => {
                    self.cluster.leaders.set(self.group, node);
                    return Ok(response);
                }
                Err(error) => {
                    self.ambiguous |= matches!(error, CallError::Ambiguous(_));
                    self.reason = format!("node {node}: {error}");
                    self.timeout = (self.timeout * 2).min(self.cluster.limits.call_timeout);
                    self.failed.insert(node);
                    self.try_next(node);
                    self.pause_at_least(Duration::ZERO).await;
                }
            }
        }
    }

    /// Returns the known leader, or else the next replica in turn that has not failed.
    fn target(&mut self) -> Option<NodeId> {
        if let Some(leader) = self.cluster.leaders.get(self.group) {
            return Some(leader);
        }
        let replicas = self.cluster.replicas();
        if replicas.iter().all(|node| self.failed.contains(node)) {
            self.failed.clear();
        }
        let first = self.next_replica % replicas.len().max(1);
        let (before, from) = replicas.split_at(first);
        let order = from.iter().chain(before);
        let skipped = order.clone().position(|node| !self.failed.contains(node))?;
        self.next_replica = self.next_replica.wrapping_add(skipped);
        order.copied().nth(skipped)
    }

    async fn follow(&mut self, asked: NodeId, leader: Option<LeaderHint>) {
        self.reason = "no leader is known".to_owned();
        match leader {
            Some(hint) if hint.node != asked => {
                self.cluster
                    .transport
                    .update_address(hint.node, &hint.address);
                self.failed.remove(&hint.node);
                let is_repeated = self.cluster.leaders.get(self.group) == Some(hint.node);
                self.cluster.leaders.set(self.group, hint.node);
                if is_repeated {
                    self.pause_at_least(Duration::ZERO).await;
                }
            }
            _ => {
                self.try_next(asked);
                self.pause_at_least(Duration::ZERO).await;
            }
        }
    }

    fn try_next(&mut self, failed: NodeId) {
        self.cluster.leaders.forget(self.group, failed);
        self.next_replica = self.next_replica.wrapping_add(1);
        self.cluster
            .next_replica
            .store(self.next_replica, Ordering::Relaxed);
    }

    async fn pause_at_least(&mut self, least: Duration) {
        let longest = self.cluster.limits.longest_pause;
        let pause = self.pause.max(least).min(longest);
        let remaining = self.ends.saturating_duration_since(Instant::now());
        self.pause = (self.pause * 2).min(longest);
        Timer::after(pause.min(remaining)).await;
    }

    fn failure(&self) -> ClusterError {
        let outcome = if self.ambiguous {
            RunOutcome::Unknown
        } else {
            RunOutcome::NotRun
        };
        ClusterError::Unavailable {
            outcome,
            reason: self.reason.clone(),
        }
    }
}

fn decode_reply<R>(bytes: &[u8]) -> Result<R, ClusterError>
where
    R: for<'b> minicbor::Decode<'b, ()>,
{
    decode(bytes).map_err(|error| ClusterError::Unexpected {
        reason: error.to_string(),
    })
}

/// The error for a reply of an unexpected kind.
pub(super) fn unexpected(reply: &impl std::fmt::Debug) -> ClusterError {
    ClusterError::Unexpected {
        reason: format!("{reply:?}"),
    }
}
