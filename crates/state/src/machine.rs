//! An enum over all state machines, used by the replica driver.

use molespan_types::{GroupId, JobId};

use crate::batch::{BatchAnswer, BatchMachine, BatchReply};
use crate::codec::{decode, encode};
use crate::control::{ControlAnswer, ControlMachine, ControlReply};
use crate::error::StateError;
use crate::job::{JobAnswer, JobMachine, JobReply, LeaseRecord, OpenClaimRecord};
use crate::payload::{PayloadError, PayloadLog};

/// The state machine of a group.
#[derive(Clone, Debug, PartialEq)]
pub enum Machine {
    /// Machine of the control group.
    Control(ControlMachine),
    /// Machine of a job group.
    Job(JobMachine),
    /// Machine of the group of ordered batch jobs.
    Batch(BatchMachine),
}

impl Machine {
    /// Creates the empty machine of `group`.
    #[must_use]
    pub fn for_group(group: GroupId) -> Self {
        match group {
            GroupId::CONTROL => Self::Control(ControlMachine::new()),
            GroupId::BATCH => Self::Batch(BatchMachine::new()),
            _ => Self::Job(JobMachine::new()),
        }
    }

    /// Applies a committed command and returns the encoded reply. Bytes that are not a
    /// command change nothing and get a malformed reply.
    ///
    /// # Errors
    /// Fails if the payload log fails. The machine and its log may then differ from other
    /// replicas: drop both and restore them from a snapshot.
    pub fn apply_bytes(
        &mut self,
        command: &[u8],
        payloads: &mut dyn PayloadLog,
    ) -> Result<Vec<u8>, PayloadError> {
        match self {
            Self::Control(machine) => {
                let reply = match decode(command) {
                    Ok(command) => machine.apply(&command),
                    Err(_) => ControlReply::Malformed,
                };
                Ok(encode(&reply))
            }
            Self::Job(machine) => {
                let reply = match decode(command) {
                    Ok(command) => machine.apply(&command, payloads)?,
                    Err(_) => JobReply::Malformed,
                };
                Ok(encode(&reply))
            }
            Self::Batch(machine) => {
                let reply = match decode(command) {
                    Ok(command) => machine.apply_logged(&command, payloads)?,
                    Err(_) => BatchReply::Malformed,
                };
                Ok(encode(&reply))
            }
        }
    }

    /// Answers an encoded query.
    #[must_use]
    pub fn query_bytes(&self, query: &[u8], payloads: &dyn PayloadLog) -> Vec<u8> {
        match self {
            Self::Control(machine) => encode(&match decode(query) {
                Ok(query) => machine.query(&query),
                Err(_) => ControlAnswer::Malformed,
            }),
            Self::Job(machine) => encode(&match decode(query) {
                Ok(query) => machine.query(&query, payloads),
                Err(error) => JobAnswer::Failed {
                    message: error.to_string(),
                },
            }),
            Self::Batch(machine) => encode(&match decode(query) {
                Ok(query) => machine.query_logged(&query, payloads),
                Err(_) => BatchAnswer::Malformed,
            }),
        }
    }

    /// Encodes the machine. A full snapshot is these bytes plus the payload log at its
    /// current length.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        match self {
            Self::Control(machine) => machine.snapshot(),
            Self::Job(machine) => machine.snapshot(),
            Self::Batch(machine) => machine.snapshot(),
        }
    }

    /// Restores the machine of `group` from the bytes of [`Self::snapshot`].
    ///
    /// # Errors
    /// Fails if the bytes are damaged or have another format.
    pub fn restore(group: GroupId, bytes: &[u8]) -> Result<Self, StateError> {
        match group {
            GroupId::CONTROL => ControlMachine::restore(bytes).map(Self::Control),
            GroupId::BATCH => BatchMachine::restore(bytes).map(Self::Batch),
            _ => JobMachine::restore(bytes).map(Self::Job),
        }
    }

    /// Returns the offset of the oldest payload that is still needed, or `length` if none
    /// is, for a batch machine: it needs payloads only for some time, and its log is local
    /// to each replica. Returns `None` for other machines, whose logs are identical on
    /// every replica and never truncated.
    #[must_use]
    pub fn oldest_needed_payload(&self, length: u64) -> Option<u64> {
        match self {
            Self::Control(_) | Self::Job(_) => None,
            Self::Batch(machine) => Some(machine.oldest_payload().unwrap_or(length)),
        }
    }

    /// Adjusts payload locations after the log of another replica was copied so that offset
    /// `from` became `to`.
    pub fn relocate_payloads(&mut self, from: u64, to: u64) {
        match self {
            Self::Control(_) | Self::Job(_) => {}
            Self::Batch(machine) => machine.relocate_payloads(from, to),
        }
    }

    /// Returns the active leases; empty except in job groups.
    pub fn leases(&self) -> impl Iterator<Item = LeaseRecord> {
        self.job().into_iter().flat_map(JobMachine::leases)
    }

    /// Returns the jobs that are still being submitted, with the number of items received;
    /// empty except in job groups.
    pub fn submissions(&self) -> impl Iterator<Item = (JobId, u32)> {
        self.job().into_iter().flat_map(JobMachine::submissions)
    }

    /// Returns the open claims; empty except in job groups.
    pub fn open_claims(&self) -> impl Iterator<Item = OpenClaimRecord> {
        self.job().into_iter().flat_map(JobMachine::open_claims)
    }

    /// Returns the machine if it is one of a job group.
    fn job(&self) -> Option<&JobMachine> {
        match self {
            Self::Control(_) | Self::Batch(_) => None,
            Self::Job(machine) => Some(machine),
        }
    }

    /// Returns a number that increases with every change that watchers of the group wait
    /// for; always 0 for a job group.
    #[must_use]
    pub fn revision(&self) -> u64 {
        match self {
            Self::Control(machine) => machine.declared().revision(),
            Self::Job(_) => 0,
            Self::Batch(machine) => machine.revision(),
        }
    }
}
