//! Agreement under random faults, by seed.

use std::collections::BTreeSet;

use molespan_consensus::{MembershipChange, ReplicaId};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::cluster::Cluster;
use crate::network::FaultRates;
use crate::node::Disk;

/// Duration of the faults, in ticks.
const TICKS: u64 = 600;

/// Faults to inject. `restart`, `cut`, `change_members` and `transfer` are rates
/// per thousand per tick.
#[derive(Clone, Copy, Debug, Default)]
struct FaultPlan {
    fault_rates: FaultRates,
    restart: u32,
    cut: u32,
    one_way: bool,
    change_members: u32,
    transfer: u32,
    sync_ticks: u64,
    compact_every: u64,
}

fn deterministic_config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn high_fault_rates() -> FaultRates {
    FaultRates {
        loss: 15,
        repetition: 10,
        max_delay: 6,
    }
}

/// Runs a group under the faults of `plan` and expects it to recover.
fn run_under_faults(voters: u64, seed: u64, plan: FaultPlan) {
    let mut cluster = Cluster::with_config(voters, seed, |config| {
        config.trailing_entries = 4;
        config.max_in_flight_appends = 4;
        config.max_append_bytes = 200;
        config.max_committed_bytes = 300;
    });
    cluster.network.fault_rates = plan.fault_rates;
    cluster.sync_ticks = plan.sync_ticks;
    cluster.compact_every = plan.compact_every;
    let mut next_id = voters + 1;
    for _ in 0..TICKS {
        inject_faults(&mut cluster, plan, &mut next_id);
        generate_load(&mut cluster);
        cluster.tick();
    }
    cluster.expect_recovery();
}

fn happens(cluster: &mut Cluster, rate: u32) -> bool {
    cluster.random.random_range(0..1_000) < rate
}

fn any_node(cluster: &mut Cluster) -> ReplicaId {
    let ids: Vec<ReplicaId> = cluster.nodes.keys().copied().collect();
    *ids.choose(&mut cluster.random).unwrap()
}

fn inject_faults(cluster: &mut Cluster, plan: FaultPlan, next_id: &mut u64) {
    if happens(cluster, plan.restart) {
        let id = any_node(cluster);
        cluster.crash(id);
    }
    for id in cluster.nodes.keys().copied().collect::<Vec<_>>() {
        let down = cluster.node(id).running.is_none();
        if down && happens(cluster, 100) {
            cluster.restart(id);
        }
    }
    if happens(cluster, plan.cut) {
        let (one, other) = (any_node(cluster), any_node(cluster));
        match plan.one_way {
            true => cluster.network.cut_one_way(one, other),
            false => cluster.network.cut(one, other),
        }
    }
    if happens(cluster, plan.cut / 2) {
        cluster.network.heal();
    }
    if happens(cluster, plan.change_members) {
        change_members(cluster, next_id);
    }
    if happens(cluster, plan.transfer)
        && let Some(leader) = cluster.leader()
    {
        let target = any_node(cluster);
        let _ = cluster.node(leader).replica().transfer_leadership(target);
    }
}

/// Attempts one membership change on the leader: adds or removes a learner,
/// replaces a voter by a learner, or sets other voters.
fn change_members(cluster: &mut Cluster, next_id: &mut u64) {
    let Some(leader) = cluster.leader() else {
        return;
    };
    let membership = cluster.node(leader).replica().membership().clone();
    let voters: Vec<ReplicaId> = membership.voters.iter().copied().collect();
    let voter = *voters.choose(&mut cluster.random).unwrap();
    let change = match membership.learners.first().copied() {
        None => {
            let learner = ReplicaId(*next_id);
            *next_id += 1;
            cluster.start(learner, Disk::default());
            MembershipChange::AddLearner(learner)
        }
        Some(learner) => match cluster.random.random_range(0..4) {
            0 => MembershipChange::RemoveLearner(learner),
            1 => MembershipChange::Set {
                voters: voters.iter().copied().chain([learner]).collect(),
                learners: BTreeSet::new(),
            },
            2 if voters.len() > 3 => MembershipChange::Set {
                voters: voters.iter().copied().filter(|id| *id != voter).collect(),
                learners: membership.learners.clone(),
            },
            _ => MembershipChange::Replace {
                lost: voter,
                replacement: learner,
            },
        },
    };
    let _ = cluster.node(leader).replica().change_membership(change);
}

/// Randomly proposes a command and requests a read on each replica that believes
/// to be the leader.
fn generate_load(cluster: &mut Cluster) {
    for id in cluster.running() {
        if cluster.node(id).replica().leader() != Some(id) {
            continue;
        }
        if happens(cluster, 300) {
            cluster.propose(id);
        }
        if happens(cluster, 200) {
            cluster.read(id);
        }
    }
}

proptest! {
    #![proptest_config(deterministic_config(24))]

    #[test]
    fn group_agrees_when_messages_are_lost_duplicated_and_reordered(
        seed in any::<u64>(),
        voters in 3..=5_u64,
    ) {
        let plan = FaultPlan { fault_rates: high_fault_rates(), ..FaultPlan::default() };
        run_under_faults(voters, seed, plan);
    }

    #[test]
    fn group_agrees_when_restarts_lose_unsynced_writes(
        seed in any::<u64>(),
        voters in 3..=5_u64,
    ) {
        let plan = FaultPlan { restart: 40, sync_ticks: 4, ..FaultPlan::default() };
        run_under_faults(voters, seed, plan);
    }

    #[test]
    fn group_agrees_when_links_are_cut_one_way(seed in any::<u64>(), voters in 3..=5_u64) {
        let plan = FaultPlan { cut: 60, one_way: true, transfer: 10, ..FaultPlan::default() };
        run_under_faults(voters, seed, plan);
    }

    #[test]
    fn group_agrees_when_members_change_under_faults(
        seed in any::<u64>(),
        voters in 3..=5_u64,
    ) {
        let plan = FaultPlan {
            fault_rates: high_fault_rates(),
            restart: 10,
            sync_ticks: 2,
            change_members: 60,
            transfer: 10,
            ..FaultPlan::default()
        };
        run_under_faults(voters, seed, plan);
    }

    #[test]
    fn group_agrees_when_parts_of_snapshots_are_lost(seed in any::<u64>(), voters in 3..=5_u64) {
        let plan = FaultPlan {
            fault_rates: high_fault_rates(),
            cut: 30,
            compact_every: 6,
            ..FaultPlan::default()
        };
        run_under_faults(voters, seed, plan);
    }

    #[test]
    fn group_agrees_when_everything_fails_at_once(seed in any::<u64>(), voters in 3..=5_u64) {
        let plan = FaultPlan {
            fault_rates: high_fault_rates(),
            restart: 20,
            cut: 20,
            one_way: true,
            change_members: 30,
            transfer: 10,
            sync_ticks: 3,
            compact_every: 8,
        };
        run_under_faults(voters, seed, plan);
    }
}
