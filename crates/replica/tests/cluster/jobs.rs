//! Jobs of one item each, whose input is also recorded as the result.

use minicbor::bytes::ByteVec;
use molespan_replica::{Consistency, Input};
use molespan_state::job::{
    AppendItems, BeginJob, ItemOutcome, ItemResult, JobAnswer, JobCommand, JobPhase, JobQuery,
    JobReply, LeaseRequest,
};
use molespan_types::{BackendId, Digest, GroupId, ItemIndex, JobId, NodeId, ServiceName, TenantId};

use super::Cluster;

const GROUP: GroupId = GroupId(1);

fn begin(number: u32) -> BeginJob {
    let tenant = TenantId::from("archive");
    let key = format!("job {number}");
    BeginJob {
        job: JobId::from_key(&tenant, &key),
        tenant,
        key,
        digest: Digest(7),
        service: ServiceName::from("captions"),
        item_count: 1,
        repeatable: true,
        deadline_unix_seconds: 1_000,
    }
}

fn payload(number: u32) -> ByteVec {
    ByteVec::from(format!("payload {number}").repeat(4).into_bytes())
}

/// Begins a job without appending its items.
pub fn begin_only(cluster: &mut Cluster, number: u32) {
    let command = JobCommand::from(begin(number));
    cluster.commit(GROUP, &molespan_state::encode(&command));
}

/// Returns the phase of a job on a node, if the node knows the job.
pub fn phase(cluster: &mut Cluster, node: NodeId, number: u32) -> Option<JobPhase> {
    let job = begin(number).job;
    match query(cluster, node, &JobQuery::Status { job }) {
        JobAnswer::Status(status) => status.map(|status| status.phase),
        other => panic!("{other:?}"),
    }
}

/// Queries the applied state of a node.
fn query(cluster: &mut Cluster, node: NodeId, query: &JobQuery) -> JobAnswer {
    let ticket = cluster.ticket();
    let input = Input::Query {
        ticket,
        group: GROUP,
        consistency: Consistency::Local,
        query: molespan_state::encode(query),
    };
    cluster.input(node, input);
    let answer = cluster.answers[&ticket].clone().unwrap();
    molespan_state::decode(&answer).unwrap()
}

/// Submits and runs a job; returns whether its result was acknowledged.
pub fn submit(cluster: &mut Cluster, number: u32, stopped: impl Fn(&Cluster) -> bool) -> bool {
    let mut apply = |command: JobCommand| -> Option<JobReply> {
        let bytes = molespan_state::encode(&command);
        let reply = cluster.try_commit(GROUP, &bytes, &stopped)?;
        molespan_state::decode(&reply).ok()
    };
    let begin = begin(number);
    let job = begin.job;
    let append = AppendItems {
        job,
        first: ItemIndex(0),
        inputs: vec![payload(number)],
    };
    let lease = LeaseRequest {
        owner: NodeId(9),
        owner_incarnation: 1,
        sequence: u64::from(number),
        service: ServiceName::from("captions"),
        backend: BackendId(1),
        max_items: 1,
    };
    for command in [begin.into(), append.into(), JobCommand::Accept { job }] {
        if apply(command).is_none() {
            return false;
        }
    }
    let Some(JobReply::Leased(Some(granted))) = apply(lease.into()) else {
        return false;
    };
    let result = ItemResult {
        item: ItemIndex(0),
        outcome: ItemOutcome::Completed,
        payload: granted.items[0].input.clone(),
    };
    let record = JobCommand::Record {
        lease: granted.lease,
        results: vec![result],
    };
    matches!(apply(record), Some(JobReply::Recorded { taken: 1, .. }))
}

/// Asserts that a node has the result of a job.
pub fn assert_readable(cluster: &mut Cluster, node: NodeId, number: u32) {
    let results = JobQuery::Results {
        job: begin(number).job,
        first: ItemIndex(0),
        limit: 10,
    };
    let JobAnswer::Results { results, .. } = query(cluster, node, &results) else {
        panic!("job {number} has no results");
    };
    assert_eq!(results.len(), 1, "job {number}");
    assert_eq!(results[0].payload, payload(number));
}
