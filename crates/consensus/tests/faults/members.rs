//! Learners, replacements and removals of members.

use std::collections::BTreeSet;

use molespan_consensus::{Index, Membership, MembershipChange, ProposeError, ReplicaId, Role};

use crate::cluster::Cluster;
use crate::node::Disk;

const NEW: ReplicaId = ReplicaId(4);

fn change(cluster: &mut Cluster, change: MembershipChange) -> Result<Index, ProposeError> {
    let leader = cluster.elect();
    let result = cluster.node(leader).replica().change_membership(change);
    cluster.process_ready(leader);
    result
}

fn other_than(cluster: &Cluster, leader: ReplicaId) -> ReplicaId {
    let others = cluster.running().into_iter();
    others.rev().find(|id| *id != leader && *id != NEW).unwrap()
}

fn is_in_force(cluster: &Cluster, expected: &Membership) -> bool {
    cluster.leader().is_some_and(|leader| {
        let running = cluster.nodes[&leader].running.as_ref().unwrap();
        let status = running.replica.status();
        status.membership == *expected && status.commit >= status.membership_index
    })
}

/// Adds the new replica as a learner and waits until it has caught up.
fn add_learner(cluster: &mut Cluster) {
    cluster.start(NEW, Disk::default());
    change(cluster, MembershipChange::AddLearner(NEW)).unwrap();
    cluster.wait("a learner that has caught up", |cluster| {
        cluster.applied(NEW) == cluster.checker.last()
    });
}

#[test]
fn learner_neither_commits_nor_stands_for_election() {
    let mut cluster = Cluster::new(3, 1);
    let leader = cluster.elect();
    cluster.run(10);
    add_learner(&mut cluster);
    let voters: Vec<ReplicaId> = cluster.running();
    for id in voters.iter().filter(|id| **id != NEW && **id != leader) {
        cluster.crash(*id);
    }
    let before = cluster.checker.last();
    assert!(cluster.propose(leader));
    cluster.run(200);
    assert_eq!(cluster.checker.last(), before);
    assert_eq!(cluster.node(NEW).replica().role(), Role::Follower);
    assert_eq!(cluster.leader(), None);
}

#[test]
fn replacement_that_lags_is_refused() {
    let mut cluster = Cluster::new(3, 2);
    let leader = cluster.elect();
    cluster.run(10);
    let lost = other_than(&cluster, leader);
    let replace = MembershipChange::Replace {
        lost,
        replacement: NEW,
    };
    let unknown = change(&mut cluster, replace.clone());
    assert_eq!(unknown, Err(ProposeError::NotALearner { replica: NEW }));
    // The learner is not even running.
    change(&mut cluster, MembershipChange::AddLearner(NEW)).unwrap();
    cluster.run(20);
    let lagging = change(&mut cluster, replace);
    assert_eq!(lagging, Err(ProposeError::NotCaughtUp { replica: NEW }));
}

#[test]
fn second_change_is_refused_while_one_is_open() {
    let mut cluster = Cluster::new(3, 3);
    let leader = cluster.elect();
    cluster.run(10);
    let first = change(&mut cluster, MembershipChange::AddLearner(NEW));
    assert!(first.is_ok());
    let replica = cluster.node(leader).replica();
    let second = replica.change_membership(MembershipChange::RemoveLearner(NEW));
    assert_eq!(second, Err(ProposeError::ChangeInProgress));
}

#[test]
fn loss_of_a_second_disk_right_after_a_replacement_loses_nothing() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(3, seed);
        let leader = cluster.elect();
        for _ in 0..30 {
            cluster.propose(leader);
        }
        cluster.run(10);
        let lost = other_than(&cluster, leader);
        cluster.crash(lost);
        cluster.nodes.remove(&lost);
        add_learner(&mut cluster);
        let replace = MembershipChange::Replace {
            lost,
            replacement: NEW,
        };
        change(&mut cluster, replace).unwrap();
        let mut voters: BTreeSet<ReplicaId> = cluster.running().into_iter().collect();
        voters.insert(NEW);
        let expected = Membership::of_voters(voters);
        cluster.wait("the end of the change", |cluster| {
            is_in_force(cluster, &expected)
        });
        let acknowledged = cluster.checker.commands(cluster.checker.last());
        let leader = cluster.leader().unwrap();
        let second = if seed % 2 == 0 {
            leader
        } else {
            other_than(&cluster, leader)
        };
        cluster.crash(second);
        cluster.nodes.remove(&second);
        let leader = cluster.elect();
        cluster.wait("a commit of the two that are left", |cluster| {
            cluster.applied(leader) >= cluster.checker.last()
        });
        let stored = &cluster.node(leader).running.as_ref().unwrap().commands;
        assert!(stored.starts_with(&acknowledged), "seed {seed}");
    }
}

#[test]
fn replacement_waits_when_a_second_voter_is_lost_in_the_joint_step() {
    let mut cluster = Cluster::new(3, 7);
    let leader = cluster.elect();
    cluster.run(10);
    add_learner(&mut cluster);
    let lost = other_than(&cluster, leader);
    cluster.crash(lost);
    let replace = MembershipChange::Replace {
        lost,
        replacement: NEW,
    };
    let second = other_than(&cluster, leader);
    change(&mut cluster, replace).unwrap();
    cluster.crash(second);
    let before = cluster.checker.last();
    cluster.run(100);
    // The leader and the new replica are not a majority of the old voters.
    assert_eq!(cluster.checker.last(), before);
    cluster.restart(second);
    cluster.expect_recovery();
}

#[test]
fn leader_that_is_replaced_hands_over() {
    let mut cluster = Cluster::new(3, 8);
    let leader = cluster.elect();
    cluster.run(10);
    add_learner(&mut cluster);
    let replace = MembershipChange::Replace {
        lost: leader,
        replacement: NEW,
    };
    change(&mut cluster, replace).unwrap();
    cluster.wait("a leader among the rest", |cluster| {
        cluster.leader().is_some_and(|id| id != leader)
    });
    let new = cluster.leader().unwrap();
    assert!(cluster.propose(new));
    // The removed replica cannot win an election.
    cluster.run(300);
    assert_eq!(cluster.leader(), Some(new));
}
