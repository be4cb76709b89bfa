//! Processing of the work requested by consensus.

use molespan_consensus::{Fault, Message, Outgoing, ReplicaId};
use molespan_storage::Disk;

use super::Group;
use crate::ReplicaError;
use crate::message::GroupPayload;
use crate::turn::Turn;

/// The result of processing consensus work once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// There was no work.
    Idle,
    /// Work was processed.
    Worked,
    /// The leader has acknowledgements from this replica for entries that its disk lost.
    RolledBack,
}

impl<D: Disk> Group<D> {
    pub fn step(&mut self, from: ReplicaId, message: Message) {
        self.replica.step(from, message);
    }

    /// Processes the work requested by consensus, up to the sync of the log.
    pub fn process_ready(&mut self, turn: &mut Turn<'_, D>) -> Result<Progress, ReplicaError> {
        let Some(ready) = self.replica.ready() else {
            return Ok(Progress::Idle);
        };
        match ready.fault {
            Some(Fault::AcknowledgedEntriesLost { .. }) => return Ok(Progress::RolledBack),
            Some(source) => {
                let group = self.id;
                return Err(ReplicaError::Fault { group, source });
            }
            None => {}
        }
        self.send_all(turn, ready.messages);
        let needs_sync = ready.hard_state.is_some() || !ready.entries.is_empty();
        if let Some(hard_state) = ready.hard_state {
            let bytes = molespan_state::encode(&hard_state);
            turn.log.set_hard_state(self.id, &bytes);
        }
        for entry in &ready.entries {
            let bytes = molespan_state::encode(entry);
            turn.log.append_entry(self.id, entry.index.0, &bytes);
        }
        if needs_sync {
            self.awaiting_sync = Some(ready.messages_after_sync);
        } else {
            self.send_all(turn, ready.messages_after_sync);
        }
        self.to_apply.extend(ready.committed);
        self.confirm_reads(&ready.reads);
        self.fail_reads(turn, &ready.failed_reads);
        self.apply(turn)?;
        if let Some(offer) = ready.snapshot_offer {
            self.handle_offer(turn, offer);
        }
        Ok(Progress::Worked)
    }

    /// Confirms the sync to consensus and sends the messages that waited for it.
    pub fn after_sync(&mut self, turn: &mut Turn<'_, D>) {
        if let Some(messages) = self.awaiting_sync.take() {
            self.replica.persisted();
            self.send_all(turn, messages);
        }
    }

    fn send_all(&self, turn: &mut Turn<'_, D>, messages: Vec<Outgoing>) {
        for outgoing in messages {
            let payload = GroupPayload::Consensus(outgoing.message);
            turn.send(self.id, outgoing.to, payload);
        }
    }
}
