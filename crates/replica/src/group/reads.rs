//! Reads waiting for their log position to be confirmed and applied.

use std::collections::BTreeMap;

use molespan_consensus::{Index, ReadError, ReadReady};
use molespan_storage::Disk;

use super::Group;
use crate::identity::node_of;
use crate::turn::{Turn, not_run};
use crate::{Consistency, Refusal, Ticket};

/// Retry delay suggested when too many reads are waiting, in milliseconds.
const RETRY_MS: u32 = 50;

#[derive(Debug)]
struct Read {
    ticket: Ticket,
    query: Vec<u8>,
}

/// Reads waiting for their log position to be confirmed and applied.
#[derive(Debug, Default)]
pub(super) struct Reads {
    last_context: u64,
    /// Reads waiting for a quorum to confirm leadership, by context.
    unconfirmed: BTreeMap<u64, Read>,
    /// Reads waiting for an entry to be applied.
    confirmed: Vec<(Index, Read)>,
}

impl<D: Disk> Group<D> {
    /// Answers a query: immediately if a local read is enough, otherwise once its log
    /// position is confirmed and applied.
    pub fn query(
        &mut self,
        turn: &mut Turn<'_, D>,
        ticket: Ticket,
        consistency: Consistency,
        query: Vec<u8>,
    ) {
        if consistency == Consistency::Local {
            let answer = self.machine.query_bytes(&query, &self.payloads);
            return turn.reply(ticket, Ok(answer));
        }
        self.reads.last_context += 1;
        let context = self.reads.last_context;
        match self.replica.read_index(context) {
            Ok(()) => {
                let read = Read { ticket, query };
                self.reads.unconfirmed.insert(context, read);
            }
            Err(ReadError::NotLeader { leader }) => {
                let leader = leader.map(node_of);
                turn.reply(ticket, Err(Refusal::NotLeader { leader }));
            }
            Err(error) => turn.reply(ticket, Err(not_run(error, RETRY_MS))),
        }
    }

    pub(super) fn confirm_reads(&mut self, ready: &[ReadReady]) {
        for one in ready {
            if let Some(read) = self.reads.unconfirmed.remove(&one.context) {
                self.reads.confirmed.push((one.index, read));
            }
        }
    }

    pub(super) fn fail_reads(&mut self, turn: &mut Turn<'_, D>, contexts: &[u64]) {
        let leader = self.leader();
        for context in contexts {
            if let Some(read) = self.reads.unconfirmed.remove(context) {
                turn.reply(read.ticket, Err(Refusal::NotLeader { leader }));
            }
        }
    }

    pub(super) fn fail_all_reads(&mut self, turn: &mut Turn<'_, D>) {
        let unconfirmed = std::mem::take(&mut self.reads.unconfirmed);
        let confirmed = std::mem::take(&mut self.reads.confirmed);
        let confirmed = confirmed.into_iter().map(|(_, read)| read);
        for read in unconfirmed.into_values().chain(confirmed) {
            let refusal = Refusal::NotLeader { leader: None };
            turn.reply(read.ticket, Err(refusal));
        }
    }

    /// Answers the reads whose log position is applied.
    pub(super) fn answer_reads(&mut self, turn: &mut Turn<'_, D>) {
        let applied = self.applied;
        let due = self
            .reads
            .confirmed
            .extract_if(.., |(index, _)| *index <= applied);
        for (_, read) in due {
            let answer = self.machine.query_bytes(&read.query, &self.payloads);
            turn.reply(read.ticket, Ok(answer));
        }
    }
}
