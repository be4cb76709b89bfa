//! Model of leases: two owners and one job of two items, with every command possible in
//! every state.

use std::collections::{BTreeMap, BTreeSet};

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};
use molespan_types::{BackendId, Digest, ItemIndex, JobId, LeaseId, NodeId, ServiceName, TenantId};

use super::Model;
use super::interned_log::InternedLog;
use crate::codec::encode;
use crate::job::{
    AppendItems, BeginJob, GrantedLease, ItemOutcome, ItemResult, JobAnswer, JobCommand,
    JobMachine, JobPhase, JobQuery, JobReply, LeaseRequest,
};

const JOB: JobId = JobId(1);
const ITEMS: u32 = 2;
const OWNERS: u32 = 2;
/// Maximum number of items of each request of an owner, by sequence number.
const REQUESTS: [u32; 2] = [1, 2];
/// Maximum number of renewals of a lease.
const MAX_RENEWALS: u64 = 1;

/// Model of the leases of one job.
#[derive(Debug)]
pub struct LeaseModel {
    /// Whether items may run again after an interrupted run.
    pub repeatable: bool,
}

/// Reference state: the guarantees given by earlier replies.
#[derive(Clone, Debug, Default, Encode, Decode)]
struct ReferenceState {
    #[n(0)]
    accepted: bool,
    #[n(1)]
    cancelled: bool,
    /// Items held by each lease.
    #[n(2)]
    held: BTreeMap<LeaseId, BTreeSet<u32>>,
    /// First result of each item.
    #[n(3)]
    results: BTreeMap<u32, Vec<u8>>,
}

/// The machine and its reference state.
#[derive(Clone, Debug)]
pub struct LeaseState {
    machine: JobMachine,
    payloads: InternedLog,
    reference: ReferenceState,
}

impl Model for LeaseModel {
    type State = LeaseState;

    fn initial(&self) -> LeaseState {
        LeaseState {
            machine: JobMachine::new(),
            payloads: InternedLog::default(),
            reference: ReferenceState::default(),
        }
    }

    fn commands(&self, state: &LeaseState) -> Vec<JobCommand> {
        let mut commands = vec![
            begin(self.repeatable),
            append(),
            JobCommand::Accept { job: JOB },
            JobCommand::Cancel { job: JOB },
        ];
        for owner in 1..=OWNERS {
            for (sequence, &max_items) in REQUESTS.iter().enumerate() {
                commands.push(request(owner, sequence as u64, max_items));
            }
        }
        for &lease in state.reference.held.keys() {
            commands.extend(commands_of(lease, state));
        }
        commands
    }

    fn step(&self, state: &LeaseState, command: &JobCommand) -> Result<LeaseState, &'static str> {
        let mut after = state.clone();
        let before_renewals = renewals(&state.machine, command);
        let reply = after
            .machine
            .apply(command, &mut after.payloads)
            .map_err(|_| "a payload is lost")?;
        match (command, reply) {
            (JobCommand::Lease(_), JobReply::Leased(Some(lease))) => {
                after.reference.check_lease(&lease)?;
            }
            (JobCommand::Record { lease, results }, JobReply::Recorded { taken, .. }) => {
                after.reference.check_record(*lease, results, taken)?;
            }
            (JobCommand::Return { lease, .. }, JobReply::Recorded { .. }) => {
                after.reference.release(*lease);
            }
            (JobCommand::Expire { lease, renewals }, JobReply::Recorded { .. })
                if before_renewals == Some(*renewals) =>
            {
                after.reference.expire(*lease, self.repeatable);
            }
            (JobCommand::Accept { .. }, JobReply::Job(_)) => after.reference.accepted = true,
            (JobCommand::Cancel { .. }, JobReply::Job(status)) => {
                after.reference.cancelled |= status.phase != JobPhase::Completed;
            }
            _ => {}
        }
        after.check_status()?;
        after.check_results()?;
        Ok(after)
    }

    fn key(&self, state: &LeaseState) -> Vec<u8> {
        let mut key = state.machine.snapshot();
        key.extend(encode(&state.reference));
        key
    }
}

impl ReferenceState {
    /// Checks a granted lease.
    fn check_lease(&mut self, granted: &GrantedLease) -> Result<(), &'static str> {
        if !self.accepted {
            return Err("a job that was not accepted runs");
        }
        if self.cancelled {
            return Err("a cancelled job leases items");
        }
        let items: BTreeSet<u32> = granted.items.iter().map(|leased| leased.item.0).collect();
        for item in &items {
            if self.results.contains_key(item) {
                return Err("an item that has a result is leased again");
            }
            let held_by_other_lease = self
                .held
                .iter()
                .any(|(lease, held)| *lease != granted.lease && held.contains(item));
            if held_by_other_lease {
                return Err("an item is held by two leases");
            }
        }
        let known = self.held.get(&granted.lease);
        if known.is_some_and(|held| *held != items) {
            return Err("a retried request gets different items");
        }
        self.held.insert(granted.lease, items);
        Ok(())
    }

    /// Checks the number of results accepted by a record command.
    fn check_record(
        &mut self,
        lease: LeaseId,
        results: &[ItemResult],
        taken: u32,
    ) -> Result<(), &'static str> {
        let held = self.held.entry(lease).or_default();
        let mut expected = 0;
        for result in results {
            if held.remove(&result.item.0) {
                expected += 1;
                let payload = result.payload.to_vec();
                self.results.insert(result.item.0, payload);
            }
        }
        if taken > expected {
            return Err("an item gets a second result");
        }
        if taken < expected {
            return Err("the result of a held item is dropped");
        }
        Ok(())
    }

    /// Records that all items of a lease were returned.
    fn release(&mut self, lease: LeaseId) {
        self.held.entry(lease).or_default().clear();
    }

    /// Records that a lease expired. Its items may have run, so those of a non-repeatable
    /// job get an empty result.
    fn expire(&mut self, lease: LeaseId, repeatable: bool) {
        let held = std::mem::take(self.held.entry(lease).or_default());
        if !repeatable {
            let unknown = held.into_iter().map(|item| (item, Vec::new()));
            self.results.extend(unknown);
        }
    }

    /// Whether any lease holds an item.
    fn any_item_leased(&self) -> bool {
        self.held.values().any(|held| !held.is_empty())
    }
}

impl LeaseState {
    /// Checks the status of the job.
    fn check_status(&self) -> Result<(), &'static str> {
        let query = JobQuery::Status { job: JOB };
        let status = match self.machine.query(&query, &self.payloads) {
            JobAnswer::Status(Some(status)) => status,
            JobAnswer::Status(None) if !self.reference.accepted => return Ok(()),
            _ => return Err("a job is lost"),
        };
        if self.reference.accepted && status.phase == JobPhase::Submitting {
            return Err("an accepted job is forgotten");
        }
        let results = status.completed + status.failed + status.unknown;
        if results as usize != self.reference.results.len() {
            return Err("the count of results is wrong");
        }
        match status.phase {
            JobPhase::Completed if results != ITEMS => Err("a job completes without every result"),
            JobPhase::Cancelled if self.reference.any_item_leased() => {
                Err("a job is cancelled while a lease is out")
            }
            JobPhase::Running if self.reference.cancelled => Err("a cancelled job runs on"),
            _ => Ok(()),
        }
    }

    /// Checks that each result can be read and is the first one recorded.
    fn check_results(&self) -> Result<(), &'static str> {
        let query = JobQuery::Results {
            job: JOB,
            first: ItemIndex(0),
            limit: ITEMS,
        };
        let JobAnswer::Results { results, .. } = self.machine.query(&query, &self.payloads) else {
            return Err("results cannot be read");
        };
        let read: BTreeMap<u32, Vec<u8>> = results
            .into_iter()
            .map(|record| (record.item.0, record.payload.into()))
            .collect();
        if read == self.reference.results {
            Ok(())
        } else {
            Err("a result is lost or replaced")
        }
    }
}

/// Returns the renewals of the lease named by an expire command.
fn renewals(machine: &JobMachine, command: &JobCommand) -> Option<u64> {
    let JobCommand::Expire { lease, .. } = command else {
        return None;
    };
    let record = machine.leases().find(|record| record.lease == *lease);
    record.map(|record| record.renewals)
}

/// Returns the commands for a granted lease, whether it is still active or not.
fn commands_of(lease: LeaseId, state: &LeaseState) -> Vec<JobCommand> {
    let mut commands = vec![JobCommand::Return {
        lease,
        items: Vec::new(),
    }];
    for item in 0..ITEMS {
        commands.push(record(lease, item));
    }
    for renewals in 0..=MAX_RENEWALS {
        commands.push(JobCommand::Expire { lease, renewals });
    }
    let renewable = state
        .machine
        .leases()
        .any(|record| record.lease == lease && record.renewals < MAX_RENEWALS);
    if renewable {
        let leases = vec![lease];
        commands.push(JobCommand::Renew { leases });
    }
    commands
}

/// Creates a record command for `item` under `lease`; its payload encodes the lease.
fn record(lease: LeaseId, item: u32) -> JobCommand {
    let result = ItemResult {
        item: ItemIndex(item),
        outcome: ItemOutcome::Completed,
        payload: ByteVec::from(encode(&lease)),
    };
    JobCommand::Record {
        lease,
        results: vec![result],
    }
}

/// Creates the command that opens the job.
fn begin(repeatable: bool) -> JobCommand {
    JobCommand::Begin(BeginJob {
        job: JOB,
        tenant: TenantId::default(),
        key: String::new(),
        digest: Digest(1),
        service: ServiceName::default(),
        item_count: ITEMS,
        repeatable,
        deadline_unix_seconds: 0,
    })
}

/// Creates the command that adds all items.
fn append() -> JobCommand {
    JobCommand::Append(AppendItems {
        job: JOB,
        first: ItemIndex(0),
        inputs: vec![ByteVec::from(vec![0]); ITEMS as usize],
    })
}

/// Creates a lease request.
fn request(owner: u32, sequence: u64, max_items: u32) -> JobCommand {
    JobCommand::Lease(LeaseRequest {
        owner: NodeId(owner),
        owner_incarnation: 1,
        sequence,
        service: ServiceName::default(),
        backend: BackendId(owner),
        max_items,
    })
}
