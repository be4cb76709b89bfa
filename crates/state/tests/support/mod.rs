//! Short ways to drive a job machine.
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

/// A submission of `items` repeatable items.
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

/// The input of item `item`.
pub fn input(item: u32) -> ByteVec {
    ByteVec::from(format!("input {item}").into_bytes())
}

/// A completed result of item `item`.
pub fn result(item: u32, text: &str) -> ItemResult {
    ItemResult {
        item: ItemIndex(item),
        outcome: ItemOutcome::Completed,
        payload: ByteVec::from(text.as_bytes().to_vec()),
    }
}

/// A request for `max_items` by owner `owner`.
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

/// A claim of `attempt` on `key`.
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

/// The end of `attempt` on `key`.
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

/// Positions of a lease's items.
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

    /// Asks for items and gives the lease, if there is one.
    pub fn try_lease(&mut self, request: LeaseRequest) -> Option<GrantedLease> {
        match self.apply(request) {
            JobReply::Leased(lease) => lease,
            other => panic!("not a reply to a lease request: {other:?}"),
        }
    }

    /// Asks for items, which there must be.
    pub fn lease(&mut self, owner: u32, sequence: u64, max_items: u32) -> GrantedLease {
        self.try_lease(request(owner, sequence, max_items))
            .expect("items are free")
    }

    /// Records results and gives how many were taken and dropped.
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

    /// Gives back every item of a lease.
    pub fn give_back(&mut self, lease: LeaseId) -> JobReply {
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

    /// Summary of a job.
    pub fn status(&self, job: JobId) -> JobStatus {
        match self
            .machine
            .query(&JobQuery::Status { job }, &self.payloads)
        {
            JobAnswer::Status(Some(status)) => status,
            other => panic!("no such job: {other:?}"),
        }
    }

    /// Phase of a job.
    pub fn phase(&self, job: JobId) -> JobPhase {
        self.status(job).phase
    }

    /// One page of results.
    pub fn page(&self, job: JobId, first: u32, limit: u32) -> (Vec<ItemRecord>, Option<ItemIndex>) {
        let first = ItemIndex(first);
        let query = JobQuery::Results { job, first, limit };
        match self.machine.query(&query, &self.payloads) {
            JobAnswer::Results { results, next } => (results, next),
            other => panic!("no results: {other:?}"),
        }
    }

    /// Results of a job as text by item.
    pub fn results(&self, job: JobId) -> Vec<(u32, String)> {
        let (results, _) = self.page(job, 0, u32::MAX);
        let text = |record: ItemRecord| String::from_utf8(record.payload.to_vec()).unwrap();
        results
            .into_iter()
            .map(|record| (record.item.0, text(record)))
            .collect()
    }

    /// The group as restored from a snapshot taken now.
    pub fn restored(&self) -> Self {
        Self {
            machine: JobMachine::restore(&self.machine.snapshot()).expect("a snapshot just taken"),
            payloads: MemoryPayloadLog::from_bytes(self.payloads.bytes().to_vec()),
        }
    }
}
