//! One enum over both machines, as the replica driver uses them.

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
    /// Of the control group.
    Control(ControlMachine),
    /// Of a job group.
    Job(JobMachine),
    /// Of the group of ordered batch jobs.
    Batch(BatchMachine),
}

impl Machine {
    /// The empty machine of `group`.
    #[must_use]
    pub fn for_group(group: GroupId) -> Self {
        match group {
            GroupId::CONTROL => Self::Control(ControlMachine::new()),
            GroupId::BATCH => Self::Batch(BatchMachine::new()),
            _ => Self::Job(JobMachine::new()),
        }
    }

    /// Applies a committed command and gives the encoded reply. Bytes that are
    /// no command change nothing and are replied to as malformed.
    ///
    /// # Errors
    /// When the payload log fails. The machine and its log may then disagree
    /// with other replicas: drop both and restore them from a snapshot.
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

    /// The machine's own bytes. A snapshot is these and the payload log as
    /// long as it is now.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        match self {
            Self::Control(machine) => machine.snapshot(),
            Self::Job(machine) => machine.snapshot(),
            Self::Batch(machine) => machine.snapshot(),
        }
    }

    /// Reads a snapshot of the machine of `group`.
    ///
    /// # Errors
    /// When the bytes are damaged or of another format.
    pub fn restore(group: GroupId, bytes: &[u8]) -> Result<Self, StateError> {
        match group {
            GroupId::CONTROL => ControlMachine::restore(bytes).map(Self::Control),
            GroupId::BATCH => BatchMachine::restore(bytes).map(Self::Batch),
            _ => JobMachine::restore(bytes).map(Self::Job),
        }
    }

    /// Where the first payload lies that is still needed, of a machine that needs each for
    /// some time only and whose log each replica keeps for itself; `None` for the others,
    /// whose logs are the same on every replica and never shortened.
    #[must_use]
    pub fn payloads_needed_from(&self, length: u64) -> Option<u64> {
        match self {
            Self::Control(_) | Self::Job(_) => None,
            Self::Batch(machine) => Some(machine.oldest_payload().unwrap_or(length)),
        }
    }

    /// The log of another replica was copied, with what lay at `from` at `to` now.
    pub fn move_payloads(&mut self, from: u64, to: u64) {
        match self {
            Self::Control(_) | Self::Job(_) => {}
            Self::Batch(machine) => machine.move_payloads(from, to),
        }
    }

    /// Leases that are out; none in the control group.
    pub fn leases(&self) -> impl Iterator<Item = LeaseRecord> {
        self.job().into_iter().flat_map(JobMachine::leases)
    }

    /// Jobs that are still being submitted, with the items they have; none in
    /// the control group.
    pub fn submissions(&self) -> impl Iterator<Item = (JobId, u32)> {
        self.job().into_iter().flat_map(JobMachine::submissions)
    }

    /// Claims that are open; none in the control group.
    pub fn open_claims(&self) -> impl Iterator<Item = OpenClaimRecord> {
        self.job().into_iter().flat_map(JobMachine::open_claims)
    }

    /// The machine of a job group.
    fn job(&self) -> Option<&JobMachine> {
        match self {
            Self::Control(_) | Self::Batch(_) => None,
            Self::Job(machine) => Some(machine),
        }
    }

    /// Rises when something changed that watchers of the group wait for.
    #[must_use]
    pub fn revision(&self) -> u64 {
        match self {
            Self::Control(machine) => machine.declared().revision(),
            Self::Job(_) => 0,
            Self::Batch(machine) => machine.revision(),
        }
    }
}
