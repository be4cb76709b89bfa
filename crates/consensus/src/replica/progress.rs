//! A leader's view of one follower.

use std::collections::VecDeque;

use crate::{FollowerState, FollowerStatus, Index};

/// How entries are sent to a follower.
#[derive(Clone, Debug, Hash)]
enum State {
    /// One request at a time; `waiting` while a request is in flight.
    Probe { waiting: bool },
    /// Pipelined requests. `in_flight` holds the last entry of each unacknowledged
    /// request.
    Replicate { in_flight: VecDeque<Index> },
    /// The follower has to fetch a snapshot. `heartbeats` counts its heartbeat
    /// responses since the offer.
    Snapshot { heartbeats: u32 },
}

/// A leader's view of one follower.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Progress {
    match_index: Index,
    next_index: Index,
    state: State,
    /// Whether to send a request even without new entries, to detect a lost one.
    probe_due: bool,
    recently_active: bool,
    /// The last read-confirmation round the follower has confirmed.
    confirmed_round: u64,
}

impl Progress {
    pub(crate) fn new(next_index: Index) -> Self {
        Self {
            match_index: Index::ZERO,
            next_index,
            state: State::Probe { waiting: false },
            probe_due: false,
            recently_active: false,
            confirmed_round: 0,
        }
    }

    pub(crate) fn match_index(&self) -> Index {
        self.match_index
    }

    pub(crate) fn next_index(&self) -> Index {
        self.next_index
    }

    pub(crate) fn confirmed_round(&self) -> u64 {
        self.confirmed_round
    }

    pub(crate) fn confirm_round(&mut self, round: u64) {
        self.confirmed_round = self.confirmed_round.max(round);
    }

    pub(crate) fn record_activity(&mut self) {
        self.recently_active = true;
    }

    /// Whether the follower has responded since the last call.
    pub(crate) fn take_activity(&mut self) -> bool {
        std::mem::take(&mut self.recently_active)
    }

    pub(crate) fn is_replicating(&self) -> bool {
        matches!(self.state, State::Replicate { .. })
    }

    /// Whether a request is due and may be sent.
    pub(crate) fn should_send_append(&self, last_index: Index, max_in_flight: usize) -> bool {
        let due = self.probe_due || self.next_index <= last_index;
        let free = match &self.state {
            State::Probe { waiting } => !waiting,
            State::Replicate { in_flight } => in_flight.len() < max_in_flight,
            State::Snapshot { .. } => false,
        };
        due && free
    }

    /// Records a sent request whose last entry is `last`; `None` if it has no entries.
    pub(crate) fn record_sent(&mut self, last: Option<Index>) {
        self.probe_due = false;
        match (&mut self.state, last) {
            (State::Probe { waiting }, _) => *waiting = true,
            (State::Replicate { in_flight }, Some(last)) => {
                in_flight.push_back(last);
                self.next_index = last.next();
            }
            (State::Replicate { .. } | State::Snapshot { .. }, _) => {}
        }
    }

    /// Records that a snapshot was offered.
    pub(crate) fn record_snapshot_offer(&mut self) {
        self.probe_due = false;
        self.state = State::Snapshot { heartbeats: 0 };
    }

    /// Records an accepted request. `reachable` states whether the leader's log still
    /// contains the entries after `match_index`.
    pub(crate) fn record_accepted(&mut self, match_index: Index, reachable: bool) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index.next());
        match &mut self.state {
            State::Probe { .. } => self.start_replicating(),
            State::Replicate { in_flight } => {
                while in_flight.front().is_some_and(|last| *last <= match_index) {
                    in_flight.pop_front();
                }
            }
            State::Snapshot { .. } => {
                if reachable {
                    self.start_replicating();
                }
            }
        }
    }

    fn start_replicating(&mut self) {
        self.next_index = self.match_index.next();
        self.state = State::Replicate {
            in_flight: VecDeque::new(),
        };
    }

    /// Records a rejected request; `agreement` is the last position at which the
    /// logs may agree.
    pub(crate) fn record_rejected(&mut self, previous_index: Index, agreement: Index) {
        let stale = match self.state {
            State::Probe { .. } => previous_index != self.next_index.previous(),
            State::Replicate { .. } => previous_index <= self.match_index,
            State::Snapshot { .. } => true,
        };
        if stale {
            return;
        }
        let next = agreement.next().min(previous_index);
        self.next_index = next.max(self.match_index.next());
        self.state = State::Probe { waiting: false };
        self.probe_due = true;
    }

    /// Records a heartbeat response. A follower that lacks entries may have missed a
    /// request, so another one becomes due.
    pub(crate) fn record_heartbeat_response(
        &mut self,
        last_index: Index,
        max_in_flight: usize,
        snapshot_retry_heartbeats: u32,
    ) {
        match &mut self.state {
            State::Probe { waiting } => *waiting = false,
            State::Replicate { in_flight } => {
                if in_flight.len() >= max_in_flight {
                    in_flight.pop_front();
                }
            }
            State::Snapshot { heartbeats } => {
                *heartbeats += 1;
                if *heartbeats >= snapshot_retry_heartbeats {
                    self.probe();
                }
                return;
            }
        }
        self.probe_due = self.match_index < last_index;
    }

    /// Returns to sending one request at a time.
    pub(crate) fn probe(&mut self) {
        self.next_index = self.match_index.next();
        self.state = State::Probe { waiting: false };
    }

    /// Records that the follower is unreachable.
    pub(crate) fn record_unreachable(&mut self) {
        if self.is_replicating() {
            self.probe();
        }
    }

    pub(crate) fn status(&self) -> FollowerStatus {
        FollowerStatus {
            match_index: self.match_index,
            next_index: self.next_index,
            state: match self.state {
                State::Probe { .. } => FollowerState::Probe,
                State::Replicate { .. } => FollowerState::Replicate,
                State::Snapshot { .. } => FollowerState::Snapshot,
            },
            recently_active: self.recently_active,
        }
    }
}
