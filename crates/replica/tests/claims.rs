//! Expiry of claims whose holders do not settle them.

mod cluster;

use std::time::Duration;

use cluster::Cluster;
use molespan_replica::ReplicaSettings;
use molespan_state::job::{ClaimReply, ClaimRequest, JobCommand, JobReply, SettleClaim};
use molespan_types::{AttemptId, Digest, GroupId, RunOutcome, TenantId};

const GROUP: GroupId = GroupId(1);

fn short_claims(settings: &mut ReplicaSettings) {
    settings.claim_timeout = Duration::from_secs(20);
}

fn attempt(number: u64) -> AttemptId {
    AttemptId {
        node: number,
        sequence: 1,
    }
}

fn apply(cluster: &mut Cluster, command: JobCommand) -> JobReply {
    let reply = cluster.commit(GROUP, &molespan_state::encode(&command));
    molespan_state::decode(&reply).unwrap()
}

fn claim(cluster: &mut Cluster, key: &str, number: u64) -> ClaimReply {
    let request = ClaimRequest {
        tenant: TenantId::from("archive"),
        key: key.to_owned(),
        digest: Digest(7),
        attempt: attempt(number),
    };
    match apply(cluster, request.into()) {
        JobReply::Claim(reply) => reply,
        other => panic!("{other:?}"),
    }
}

fn settle(cluster: &mut Cluster, key: &str, number: u64, outcome: RunOutcome) -> JobReply {
    let settle = SettleClaim {
        tenant: TenantId::from("archive"),
        key: key.to_owned(),
        attempt: attempt(number),
        outcome,
        answer: Vec::new().into(),
    };
    apply(cluster, settle.into())
}

fn settled(outcome: RunOutcome) -> ClaimReply {
    ClaimReply::Settled {
        outcome,
        answer: Vec::new().into(),
    }
}

#[test]
fn open_claim_is_settled_as_unknown_even_after_a_leader_change() {
    let mut cluster = Cluster::with_settings(3, 5, short_claims);
    cluster.run_until_leaders();
    assert_eq!(claim(&mut cluster, "bill", 1), ClaimReply::Granted);
    let held = ClaimReply::Held {
        attempt: attempt(1),
    };
    cluster.run_for(Duration::from_secs(15));
    let leader = cluster.leader(GROUP).unwrap();
    cluster.restart(leader);
    // The new leader has not observed the claim for the claim timeout yet.
    cluster.run_for(Duration::from_secs(10));
    assert_eq!(claim(&mut cluster, "bill", 2), held);
    cluster.run_for(Duration::from_secs(20));
    let unknown = settled(RunOutcome::Unknown);
    assert_eq!(claim(&mut cluster, "bill", 2), unknown);

    // A late settlement has no effect, and the outcome survives restarts.
    let late = settle(&mut cluster, "bill", 1, RunOutcome::Completed);
    let stands = JobReply::Settled {
        outcome: RunOutcome::Unknown,
    };
    assert_eq!(late, stands);
    for node in cluster.nodes() {
        cluster.restart(node);
        cluster.run_for(Duration::from_secs(5));
        assert_eq!(claim(&mut cluster, "bill", 1), unknown);
    }
    assert!(cluster.errors.is_empty(), "{:?}", cluster.errors);
}

#[test]
fn claim_that_is_settled_or_granted_again_in_time_does_not_expire_early() {
    let mut cluster = Cluster::with_settings(3, 6, short_claims);
    cluster.run_until_leaders();
    claim(&mut cluster, "paid", 1);
    claim(&mut cluster, "freed", 1);
    cluster.run_for(Duration::from_secs(15));
    settle(&mut cluster, "paid", 1, RunOutcome::Completed);
    settle(&mut cluster, "freed", 1, RunOutcome::NotRun);
    assert_eq!(claim(&mut cluster, "freed", 2), ClaimReply::Granted);
    cluster.run_for(Duration::from_secs(15));
    let held = ClaimReply::Held {
        attempt: attempt(2),
    };
    assert_eq!(claim(&mut cluster, "freed", 3), held);
    cluster.run_for(Duration::from_secs(15));
    let unknown = settled(RunOutcome::Unknown);
    assert_eq!(claim(&mut cluster, "freed", 3), unknown);
    let completed = settled(RunOutcome::Completed);
    assert_eq!(claim(&mut cluster, "paid", 3), completed);
}
