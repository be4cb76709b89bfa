//! Groups that discover their members: founded by seeds, joined through any
//! responding node, and kept at the desired number of voters.

mod cluster;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cluster::{Cluster, node};
use molespan_replica::{Consistency, Discovery, Input, Refusal, ReplicaSettings, ReplicaStatus};
use molespan_types::{ConfigVersion, GroupId, NodeId};

const SEEDS: [u32; 3] = [1, 2, 3];

fn seeds() -> BTreeSet<NodeId> {
    SEEDS.into_iter().map(NodeId).collect()
}

/// Makes nodes 1 to 3 the seeds: they are the founders and the first contacts.
fn discover(settings: &mut ReplicaSettings) {
    let mut discovery = Discovery::new(GroupId::CONTROL);
    discovery.contacts = seeds();
    discovery.founders = seeds();
    settings.peers = vec![settings.node];
    settings.discovery = Some(discovery);
}

fn discover_five(settings: &mut ReplicaSettings) {
    discover(settings);
    if let Some(discovery) = &mut settings.discovery {
        discovery.voters = 5;
    }
}

/// Returns a cluster of `size` nodes of which only the seeds are started, with blank
/// disks.
fn founded_cluster(size: u32, seed: u64, tune: fn(&mut ReplicaSettings)) -> Cluster {
    let mut cluster = Cluster::stopped(size, seed, tune);
    cluster.job_groups = 0;
    for seed in SEEDS {
        cluster.start(node(seed));
    }
    cluster.run_until_leaders();
    cluster.first_start = false;
    cluster
}

fn voters(cluster: &Cluster) -> BTreeSet<NodeId> {
    let leader = cluster.leader(GroupId::CONTROL);
    let statuses = cluster.statuses();
    let status = statuses.iter().find(|status| Some(status.node) == leader);
    let group = status.and_then(|status| status.groups.first());
    group.map_or_else(BTreeSet::new, |group| {
        group.voters.iter().map(|(node, _)| *node).collect()
    })
}

/// Whether a node votes with its current incarnation, and no other incarnation of any
/// node votes as well.
fn is_settled(status: &ReplicaStatus) -> bool {
    status.groups.first().is_some_and(|group| {
        let nodes: BTreeSet<NodeId> = group.voters.iter().map(|(node, _)| *node).collect();
        let own = group.voters.contains(&(status.node, status.incarnation));
        own && nodes.len() == group.voters.len()
    })
}

fn run_until_voters(cluster: &mut Cluster, wanted: &[u32]) {
    let wanted: BTreeSet<NodeId> = wanted.iter().copied().map(NodeId).collect();
    cluster.run_until("the wanted voters", |cluster| {
        let settled = cluster.statuses();
        let of_wanted = settled
            .iter()
            .filter(|status| wanted.contains(&status.node));
        voters(cluster) == wanted
            && of_wanted.clone().count() == wanted.len()
            && of_wanted.clone().all(is_settled)
    });
}

fn latest_version(cluster: &mut Cluster) -> Option<ConfigVersion> {
    let leader = cluster.run_until_leaders();
    cluster.version_at(leader, Consistency::Linearizable)
}

#[test]
fn seeds_found_once_in_any_order_and_with_one_missing() {
    for (seed, order) in [[1, 2, 3], [3, 2, 1], [2, 3, 1]].into_iter().enumerate() {
        let mut cluster = Cluster::stopped(3, seed as u64, discover);
        cluster.job_groups = 0;
        cluster.start(node(order[0]));
        cluster.run_for(Duration::from_secs(1));
        assert_eq!(
            cluster.leader(GroupId::CONTROL),
            None,
            "one of three leads alone"
        );
        cluster.start(node(order[1]));
        cluster.run_until_leaders();
        cluster.first_start = false;
        cluster.confirm_many(5);
        // The third node starts late and does not know the founders.
        cluster.start(node(order[2]));
        run_until_voters(&mut cluster, &SEEDS);
        assert_eq!(latest_version(&mut cluster), Some(ConfigVersion(5)));
    }
}

#[test]
fn a_blank_disk_at_the_old_address_becomes_a_voter_again() {
    for seed in 0..6 {
        let mut cluster = founded_cluster(3, seed, discover);
        cluster.confirm_many(20);
        for round in 0..3_u32 {
            let lost = node(1 + (seed as u32 + round) % 3);
            cluster.lose_disk(lost);
            run_until_voters(&mut cluster, &SEEDS);
        }
        assert_eq!(
            latest_version(&mut cluster),
            Some(ConfigVersion(20)),
            "seed {seed}"
        );
        assert!(cluster.errors.is_empty(), "{:?}", cluster.errors);
    }
}

#[test]
fn a_machine_at_another_address_takes_the_place_of_one_that_is_gone() {
    for (seed, gone) in [(1, 1), (2, 2), (3, 3)] {
        let mut cluster = founded_cluster(4, seed, discover);
        cluster.confirm_many(20);
        cluster.kill(node(gone));
        cluster.start(node(4));
        let wanted: Vec<u32> = (1..=4).filter(|&number| number != gone).collect();
        run_until_voters(&mut cluster, &wanted);
        assert_eq!(latest_version(&mut cluster), Some(ConfigVersion(20)));
        // Another node loses its disk right afterwards.
        let second = node(wanted[0]);
        cluster.lose_disk(second);
        run_until_voters(&mut cluster, &wanted);
        assert_eq!(latest_version(&mut cluster), Some(ConfigVersion(20)));
    }
}

#[test]
fn a_spare_machine_waits_until_it_is_needed() {
    let mut cluster = founded_cluster(4, 7, discover);
    cluster.start(node(4));
    cluster.run_for(Duration::from_secs(10));
    assert_eq!(voters(&cluster), seeds());
}

#[test]
fn a_spare_machine_names_a_voter_to_whoever_looks_for_the_leader() {
    let mut cluster = founded_cluster(4, 18, discover);
    cluster.start(node(4));
    cluster.run_for(Duration::from_secs(2));
    let query = Input::Query {
        ticket: cluster.ticket(),
        group: GroupId::CONTROL,
        consistency: Consistency::Linearizable,
        query: Vec::new(),
    };
    cluster.input(node(4), query);
    cluster.propose_to(node(4), GroupId::CONTROL, Vec::new());
    cluster.run_for(Duration::from_secs(1));
    assert_eq!(cluster.answers.len(), 2);
    for answer in cluster.answers.values() {
        let Err(Refusal::NotLeader {
            leader: Some(named),
        }) = answer
        else {
            panic!("{answer:?}");
        };
        assert!(seeds().contains(named), "{named:?}");
    }
}

/// Returns the average bytes per second that a node sends in a cluster of three voters
/// and `spares` spare nodes.
fn bytes_a_second(spares: u32) -> u64 {
    const SECONDS: u64 = 20;
    let size = 3 + spares;
    let mut cluster = founded_cluster(size, 17, discover);
    for spare in 4..=size {
        cluster.start(node(spare));
    }
    // The control nodes announce all nodes to each other.
    for receiver in cluster.nodes() {
        let members = Input::Members {
            contacts: cluster.nodes().into_iter().collect(),
            retiring: BTreeSet::new(),
        };
        cluster.input(receiver, members);
    }
    cluster.run_for(Duration::from_secs(10));
    assert_eq!(voters(&cluster), seeds());
    let before = cluster.bytes_sent;
    cluster.run_for(Duration::from_secs(SECONDS));
    (cluster.bytes_sent - before) / SECONDS / u64::from(size)
}

#[test]
fn what_a_spare_machine_says_does_not_grow_with_the_square_of_the_spares() {
    let few = bytes_a_second(5);
    let many = bytes_a_second(40);
    // Each node periodically sends a hello to all others, so some growth is expected.
    assert!(
        many < 3 * few,
        "{many} bytes beside 40 spares, {few} beside 5"
    );
}

#[test]
fn a_group_grows_to_the_wanted_number() {
    let mut cluster = founded_cluster(5, 8, discover_five);
    cluster.confirm_many(10);
    cluster.start(node(4));
    cluster.start(node(5));
    run_until_voters(&mut cluster, &[1, 2, 3, 4, 5]);
    // The final joint membership has the same voters until the group leaves it.
    cluster.run_for(Duration::from_secs(1));
    cluster.lose_disk(node(1));
    cluster.lose_disk(node(2));
    run_until_voters(&mut cluster, &[1, 2, 3, 4, 5]);
    assert_eq!(latest_version(&mut cluster), Some(ConfigVersion(10)));
}

#[test]
fn a_retiring_node_is_replaced_and_does_not_become_a_voter_again() {
    for (seed, leaving) in [(11, 1), (12, 2), (13, 3)] {
        let mut cluster = founded_cluster(4, seed, discover);
        cluster.confirm_many(10);
        cluster.start(node(4));
        for number in 1..=4 {
            let members = Input::Members {
                contacts: (1..=4).map(NodeId).collect(),
                retiring: BTreeSet::from([node(leaving)]),
            };
            cluster.input(node(number), members);
        }
        let wanted: Vec<u32> = (1..=4).filter(|&number| number != leaving).collect();
        run_until_voters(&mut cluster, &wanted);
        cluster.run_for(Duration::from_secs(10));
        assert!(!voters(&cluster).contains(&node(leaving)));
        // The retiring node is removed, and another node loses its disk right afterwards.
        cluster.kill(node(leaving));
        cluster.lose_disk(node(wanted[1]));
        run_until_voters(&mut cluster, &wanted);
        assert_eq!(latest_version(&mut cluster), Some(ConfigVersion(10)));
    }
}

#[test]
fn all_nodes_recover_everything_after_being_killed() {
    for seed in 20..26 {
        let mut cluster = founded_cluster(3, seed, discover);
        cluster.confirm_many(15);
        for seed in SEEDS {
            cluster.kill(node(seed));
        }
        for seed in SEEDS {
            cluster.start(node(seed));
        }
        run_until_voters(&mut cluster, &SEEDS);
        assert_eq!(
            latest_version(&mut cluster),
            Some(ConfigVersion(15)),
            "seed {seed}"
        );
    }
}

#[test]
fn a_voter_that_was_replaced_while_it_was_cut_off_begins_anew() {
    let mut cluster = founded_cluster(4, 31, discover);
    cluster.confirm_many(10);
    let isolated = cluster.other_than(cluster.leader(GroupId::CONTROL).expect("a leader"));
    cluster.isolate(isolated, true);
    cluster.start(node(4));
    let wanted: Vec<u32> = (1..=4).filter(|&number| node(number) != isolated).collect();
    run_until_voters(&mut cluster, &wanted);
    let before = cluster.cores[&isolated].status().incarnation;
    cluster.isolate(isolated, false);
    cluster.run_until("a new incarnation", |cluster| {
        cluster.cores[&isolated].status().incarnation != before
    });
    cluster.run_for(Duration::from_secs(5));
    let wanted = wanted.into_iter().map(NodeId).collect();
    assert_eq!(voters(&cluster), wanted);
    assert!(cluster.errors.is_empty(), "{:?}", cluster.errors);
}

#[test]
fn founders_that_are_announced_later_found_once() {
    fn without_founders(settings: &mut ReplicaSettings) {
        discover(settings);
        if let Some(discovery) = &mut settings.discovery {
            discovery.founders.clear();
            discovery.contacts.clear();
        }
    }
    let mut cluster = Cluster::stopped(4, 41, without_founders);
    cluster.job_groups = 0;
    for number in 1..=4 {
        cluster.start(node(number));
    }
    let started_nodes = cluster.statuses();
    let founders: BTreeMap<NodeId, u32> = started_nodes
        .iter()
        .filter(|status| SEEDS.contains(&status.node.0))
        .map(|status| (status.node, status.incarnation))
        .collect();
    for _ in 0..2 {
        for number in 1..=4 {
            let founders = founders.clone();
            cluster.input(node(number), Input::Found { founders });
        }
    }
    run_until_voters(&mut cluster, &SEEDS);
    cluster.confirm_many(3);
    // The fourth node joins through the founders when one of them is gone.
    cluster.kill(node(2));
    run_until_voters(&mut cluster, &[1, 3, 4]);
    assert_eq!(latest_version(&mut cluster), Some(ConfigVersion(3)));
}
