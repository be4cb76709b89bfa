//! Every request gets exactly one answer across leader changes, and many groups
//! share one sync of the disk.

mod cluster;

use std::time::Duration;

use cluster::{Cluster, intent};
use molespan_replica::{Input, Refusal, ReplicaCore, Ticket};
use molespan_storage::SimulatedDisk;
use molespan_types::{ConfigVersion, GroupId, NodeId, RunOutcome};

/// Proposes to `node` without waiting for answers.
fn propose_many(cluster: &mut Cluster, node: NodeId, count: u64) -> Vec<Ticket> {
    (0..count)
        .map(|number| {
            let command = intent(1_000 + number, ConfigVersion(0));
            cluster.propose_to(node, GroupId::CONTROL, command)
        })
        .collect()
}

#[test]
fn proposals_of_a_cut_leader_are_answered_when_it_leads_again() {
    for seed in 0..5 {
        let mut cluster = Cluster::new(3, seed);
        let old = cluster.run_until_leaders();
        cluster.confirm_many(3);
        cluster.isolate(old, true);
        let mut tickets = propose_many(&mut cluster, old, 20);
        cluster.run_until("another leader", |cluster| {
            let leads = |core: &ReplicaCore<SimulatedDisk>| {
                core.status().leads().any(|group| group == GroupId::CONTROL)
            };
            let mut others = cluster.cores.iter().filter(|(node, _)| **node != old);
            others.any(|(_, core)| leads(core))
        });
        cluster.isolate(old, false);
        cluster.run_for(Duration::from_millis(700));
        let new = cluster.leader(GroupId::CONTROL).unwrap();
        let ticket = cluster.ticket();
        let transfer = Input::TransferLeadership {
            ticket,
            group: GroupId::CONTROL,
            to: old,
        };
        cluster.input(new, transfer);
        cluster.run_until("the first leader again", |cluster| {
            cluster.leader(GroupId::CONTROL) == Some(old)
        });
        tickets.extend(propose_many(&mut cluster, old, 20));
        cluster.run_for(Duration::from_secs(10));
        for ticket in tickets {
            assert!(
                cluster.answers.contains_key(&ticket),
                "{ticket:?} has no answer"
            );
        }
    }
}

#[test]
fn overwritten_proposal_is_not_reported_as_completed() {
    let mut cluster = Cluster::new(3, 9);
    let old = cluster.run_until_leaders();
    cluster.confirm_many(3);
    cluster.isolate(old, true);
    let lost = propose_many(&mut cluster, old, 5);
    cluster.run_for(Duration::from_secs(3));
    cluster.isolate(old, false);
    cluster.run_for(Duration::from_secs(8));
    for ticket in lost {
        let answer = &cluster.answers[&ticket];
        assert!(
            matches!(answer, Err(Refusal::Refused { outcome, .. }) if *outcome != RunOutcome::Completed),
            "{answer:?}"
        );
    }
}

#[test]
fn one_sync_serves_proposals_of_many_groups() {
    let mut cluster = Cluster::with_settings(1, 1, |settings| settings.job_groups = 16);
    cluster.run_until_leaders();
    cluster.run_for(Duration::from_secs(1));
    let node = NodeId(1);
    let syncs = |cluster: &Cluster| cluster.statuses()[0].log_syncs;
    let before = syncs(&cluster);
    let core = cluster.cores.get_mut(&node).unwrap();
    for group in 0..=16 {
        for number in 0..10 {
            let input = Input::Propose {
                ticket: Ticket(10_000 + group * 100 + number),
                group: GroupId(group as u32),
                command: vec![0xff],
            };
            core.handle(cluster.now, input);
        }
    }
    cluster.run_for(Duration::from_millis(200));
    let answered = cluster.answers.keys().filter(|ticket| ticket.0 >= 10_000);
    assert_eq!(answered.count(), 170);
    assert!(
        syncs(&cluster) - before <= 2,
        "{} syncs",
        syncs(&cluster) - before
    );
}
