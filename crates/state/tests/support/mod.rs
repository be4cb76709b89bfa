//! Helpers for tests of the job machine.
#![allow(dead_code)]

use minicbor::bytes::ByteVec;
use molespan_state::MemoryPayloadLog;
use molespan_state::job::{
    AppendItems, BeginJob, ClaimReply, ClaimRequest, GrantedLease, ItemOutcome, ItemRecord,
    ItemResult, JobAnswer, JobCommand, JobMachine, JobPhase, JobQuery, JobReply, JobStatus,
    LeaseRequest, SettleClaim,
};
use molespan_types::{
    AttemptId, BackendId, Digest, ItemIndex, JobId, LeaseId, NodeId, RunOutcome, ServiceName,
    TenantId,
};

/// A machine and its payload log.
#[derive(Clone, Default)]
pub struct Group {
    pub machine: JobMachine,
    pub payloads: MemoryPayloadLog,
}

/// Creates a submission of `items` repeatable items.
pub fn submission(key: &str, items: u32) -> BeginJob {
    let tenant = TenantId::from("archive");
    BeginJob {
        job: JobId::from_key(&tenant, key),
        tenant,
        key: key.to_owned(),
        digest: Digest(7),
        service: ServiceName::from("captions"),
        item_count: items,
        repeatable: true,
        deadline_unix_seconds: 1_000,
    }
}

/// Returns the input of item `item`.
pub fn input(item: u32) -> ByteVec {
    ByteVec::from(format!("input {item}").into_bytes())
}

/// Creates a completed result of item `item`.
pub fn result(item: u32, text: &str) -> ItemResult {
    ItemResult {
        item: ItemIndex(item),
        outcome: ItemOutcome::Completed,
        payload: ByteVec::from(text.as_bytes().to_vec()),
    }
}

/// Creates a lease request for `max_items` by owner `owner`.
pub fn request(owner: u32, sequence: u64, max_items: u32) -> LeaseRequest {
    LeaseRequest {
        owner: NodeId(owner),
        owner_incarnation: 1,
        sequence,
        service: ServiceName::from("captions"),
        backend: BackendId(owner),
        max_items,
    }
}

/// Creates a claim of `attempt` on `key`.
pub fn claim(key: &str, attempt: u64) -> ClaimRequest {
    ClaimRequest {
        tenant: TenantId::from("archive"),
        key: key.to_owned(),
        digest: Digest(7),
        attempt: AttemptId {
            node: attempt,
            sequence: 1,
        },
    }
}

/// Creates a settlement by `attempt` on `key`.
pub fn settle(key: &str, attempt: u64, outcome: RunOutcome, answer: &str) -> SettleClaim {
    let request = claim(key, attempt);
    SettleClaim {
        tenant: request.tenant,
        key: request.key,
        attempt: request.attempt,
        outcome,
        answer: ByteVec::from(answer.as_bytes().to_vec()),
    }
}

/// Returns the item positions of a lease.
pub fn positions(lease: &GrantedLease) -> Vec<u32> {
    lease.items.iter().map(|leased| leased.item.0).collect()
}

impl Group {
    /// Applies a command.
    pub fn apply(&mut self, command: impl Into<JobCommand>) -> JobReply {
        self.machine
            .apply(&command.into(), &mut self.payloads)
            .expect("a payload log in memory does not fail")
    }

    /// Submits and accepts a job.
    pub fn submit(&mut self, begin: &BeginJob) -> JobId {
        self.apply(begin.clone());
        self.apply(AppendItems {
            job: begin.job,
            first: ItemIndex(0),
            inputs: (0..begin.item_count).map(input).collect(),
        });
        let reply = self.apply(JobCommand::Accept { job: begin.job });
        assert!(matches!(reply, JobReply::Job(_)), "{reply:?}");
        begin.job
    }

    /// Requests items and returns the lease, if one was granted.
    pub fn try_lease(&mut self, request: LeaseRequest) -> Option<GrantedLease> {
        match self.apply(request) {
            JobReply::Leased(lease) => lease,
            other => panic!("not a reply to a lease request: {other:?}"),
        }
    }

    /// Requests items and panics if none are granted.
    pub fn lease(&mut self, owner: u32, sequence: u64, max_items: u32) -> GrantedLease {
        self.try_lease(request(owner, sequence, max_items))
            .expect("items are free")
    }

    /// Records results and returns how many were accepted and dropped.
    pub fn record(&mut self, lease: LeaseId, results: Vec<ItemResult>) -> (u32, u32) {
        match self.apply(JobCommand::Record { lease, results }) {
            JobReply::Recorded { taken, dropped } => (taken, dropped),
            other => panic!("not a reply to a record: {other:?}"),
        }
    }

    /// Expires a lease that was renewed `renewals` times.
    pub fn expire(&mut self, lease: LeaseId, renewals: u64) -> JobReply {
        self.apply(JobCommand::Expire { lease, renewals })
    }

    /// Returns every item of a lease.
    pub fn return_items(&mut self, lease: LeaseId) -> JobReply {
        let items = Vec::new();
        self.apply(JobCommand::Return { lease, items })
    }

    /// Claims a key.
    pub fn claim(&mut self, key: &str, attempt: u64) -> ClaimReply {
        match self.apply(claim(key, attempt)) {
            JobReply::Claim(reply) => reply,
            other => panic!("not a reply to a claim: {other:?}"),
        }
    }

    /// Returns the summary of a job.
    pub fn status(&self, job: JobId) -> JobStatus {
        match self
            .machine
            .query(&JobQuery::Status { job }, &self.payloads)
        {
            JobAnswer::Status(Some(status)) => status,
            other => panic!("no such job: {other:?}"),
        }
    }

    /// Returns the phase of a job.
    pub fn phase(&self, job: JobId) -> JobPhase {
        self.status(job).phase
    }

    /// Returns one page of results.
    pub fn page(&self, job: JobId, first: u32, limit: u32) -> (Vec<ItemRecord>, Option<ItemIndex>) {
        let first = ItemIndex(first);
        let query = JobQuery::Results { job, first, limit };
        match self.machine.query(&query, &self.payloads) {
            JobAnswer::Results { results, next } => (results, next),
            other => panic!("no results: {other:?}"),
        }
    }

    /// Returns the results of a job as text, by item.
    pub fn results(&self, job: JobId) -> Vec<(u32, String)> {
        let (results, _) = self.page(job, 0, u32::MAX);
        let text = |record: ItemRecord| String::from_utf8(record.payload.to_vec()).unwrap();
        results
            .into_iter()
            .map(|record| (record.item.0, text(record)))
            .collect()
    }

    /// Returns the group restored from a snapshot of its current state.
    pub fn restored(&self) -> Self {
        Self {
            machine: JobMachine::restore(&self.machine.snapshot()).expect("a snapshot just taken"),
            payloads: MemoryPayloadLog::from_bytes(self.payloads.bytes().to_vec()),
        }
    }
}
