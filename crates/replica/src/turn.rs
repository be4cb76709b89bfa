//! The context of a group during one call of the driver.

use std::collections::BTreeSet;

use molespan_consensus::ReplicaId;
use molespan_storage::{Disk, WriteAheadLog};
use molespan_types::{GroupId, RunOutcome, Timestamp};

use crate::identity::node_of;
use crate::message::{GroupPayload, PeerMessage};
use crate::{Output, Refusal, ReplicaEvent, ReplicaSettings, Ticket};

/// The context of a group during one call of the driver.
pub(crate) struct Turn<'a, D> {
    pub now: Timestamp,
    pub settings: &'a ReplicaSettings,
    /// Identifier of this replica, including its incarnation.
    pub own: ReplicaId,
    /// Random identifier of this start of the process.
    pub session: u64,
    pub log: &'a mut WriteAheadLog<D>,
    pub outputs: &'a mut Vec<Output>,
    /// Voters that were removed by membership changes applied during this call.
    pub replaced: &'a mut BTreeSet<ReplicaId>,
}

impl<D: Disk> Turn<'_, D> {
    /// Sends a message to another replica of `group`.
    pub fn send(&mut self, group: GroupId, to: ReplicaId, payload: GroupPayload) {
        let message = PeerMessage::Group {
            from: self.own,
            to,
            session: self.session,
            sequence: self.log.sequence(),
            payload,
        };
        self.outputs.push(Output::Send {
            to: node_of(to),
            group,
            bytes: molespan_state::encode(&message),
        });
    }

    pub fn reply(&mut self, ticket: Ticket, result: Result<Vec<u8>, Refusal>) {
        self.outputs.push(Output::Reply { ticket, result });
    }

    pub fn event(&mut self, event: ReplicaEvent) {
        self.outputs.push(Output::Event(event));
    }
}

/// Returns a refusal of a request that will never take effect.
pub(crate) fn not_run(message: impl ToString, retry_after_ms: u32) -> Refusal {
    Refusal::Refused {
        outcome: RunOutcome::NotRun,
        message: message.to_string(),
        retry_after_ms,
    }
}

/// Returns the reply to a request that may have taken effect or may still do so.
pub(crate) fn unknown(message: impl ToString) -> Refusal {
    Refusal::Refused {
        outcome: RunOutcome::Unknown,
        message: message.to_string(),
        retry_after_ms: 0,
    }
}
