//! Outputs of batch items across kills, lost disks and fetched snapshots.

mod cluster;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cluster::{Cluster, node};
use molespan_replica::{Consistency, Discovery, Input, ReplicaSettings};
use molespan_state::batch::{
    BatchAnswer, BatchCommand, BatchItem, BatchQuery, CompressedText, ItemOutcome, ItemRecord,
    ItemReference, RecordOutcome, SubmitJob,
};
use molespan_storage::Disk;
use molespan_types::{GroupId, NodeId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NODES: [u32; 3] = [1, 2, 3];
const ITEMS: u32 = 24;
/// Number of random runs.
const SEEDS: u64 = 3;
/// Length of an output in bytes. A few outputs fill a segment of the log.
const OUTPUT: usize = 200_000;

fn tune(settings: &mut ReplicaSettings) {
    let mut discovery = Discovery::new(GroupId::BATCH);
    discovery.contacts = NODES.into_iter().map(NodeId).collect();
    discovery.founders = discovery.contacts.clone();
    settings.peers = vec![settings.node];
    settings.discovery = Some(discovery);
    settings.snapshot_every_bytes = 1 << 20;
    settings.log.segment_bytes = 512 << 10;
}

fn founded_cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::stopped(3, seed, tune);
    for number in NODES {
        cluster.start(node(number));
    }
    cluster.run_until("a leader", |cluster| {
        cluster.leader(GroupId::BATCH).is_some()
    });
    cluster.first_start = false;
    cluster
}

fn commit(cluster: &mut Cluster, command: &BatchCommand) {
    cluster.commit(GroupId::BATCH, &molespan_state::encode(command));
}

fn submit(cluster: &mut Cluster, job: u64) {
    let items = (0..ITEMS).map(|place| BatchItem {
        id: format!("{job}-{place}"),
        path: "/p".to_owned(),
        headers: Vec::new(),
        body: b"body".to_vec().into(),
        tokens: 10,
    });
    let submit = SubmitJob {
        tenant: None,
        due_ms: None,
        queue: "q".to_owned(),
        max_queued_tokens: None,
        id: format!("job-{job}"),
        host: "h".to_owned(),
        path: "/p".to_owned(),
        submitted_ms: 1_000,
        items: items.collect(),
    };
    commit(cluster, &BatchCommand::Submit(Box::new(submit)));
}

/// Returns a text that compresses poorly, always the same for a given item.
fn output(job: u64, place: u32) -> String {
    let mut random = ChaCha8Rng::seed_from_u64(job << 32 | u64::from(place));
    let signs = (0..OUTPUT).map(|_| char::from(random.random_range(b'!'..=b'~')));
    signs.collect()
}

fn record(cluster: &mut Cluster, job: u64, place: u32) {
    let record = ItemRecord {
        item: ItemReference { job, place },
        outcome: ItemOutcome::Completed {
            text: CompressedText::compress(&output(job, place)),
        },
    };
    let records = vec![record];
    commit(cluster, &BatchCommand::Record(RecordOutcome { records }));
}

/// Returns the outputs of a job that a node has applied.
fn outputs(cluster: &mut Cluster, at: NodeId, job: u64) -> Option<Vec<String>> {
    let ticket = cluster.ticket();
    let query = BatchQuery::Results {
        id: format!("job-{job}"),
        after: 0,
        max_bytes: u64::MAX,
        tenant: None,
    };
    let input = Input::Query {
        ticket,
        group: GroupId::BATCH,
        consistency: Consistency::Local,
        query: molespan_state::encode(&query),
    };
    cluster.input(at, input);
    cluster.run_until("an answer", |cluster| cluster.answers.contains_key(&ticket));
    let answer = cluster.answers[&ticket].as_ref().expect("an answer");
    let page = match molespan_state::decode(answer) {
        Ok(BatchAnswer::Results(page)) => page?,
        other => panic!("{other:?}"),
    };
    let texts = page.results.into_iter().map(|listed| match listed.outcome {
        ItemOutcome::Completed { text } => text.decompress().expect("a whole text"),
        other @ ItemOutcome::DeadLettered => panic!("{other:?}"),
    });
    Some(texts.collect())
}

fn run_until_synced(cluster: &mut Cluster) {
    cluster.run_until("equal nodes that all vote", |cluster| {
        let statuses = cluster.statuses();
        let groups = statuses.iter().filter_map(|status| status.groups.first());
        let applied: BTreeSet<u64> = groups.clone().map(|group| group.applied).collect();
        let own = statuses.iter().all(|status| {
            let member = (status.node, status.incarnation);
            let group = status.groups.first();
            let votes = group
                .is_some_and(|group| group.voters.len() == 3 && group.voters.contains(&member));
            votes && status.takes_part
        });
        groups.count() == NODES.len() && applied.len() == 1 && own
    });
}

/// Asserts that each node has exactly the recorded outputs of the kept jobs.
fn assert_outputs(cluster: &mut Cluster, recorded: &BTreeMap<u64, u32>, seed: u64) {
    run_until_synced(cluster);
    for number in NODES {
        for (&job, &places) in recorded {
            let wanted: Vec<String> = (0..places).map(|place| output(job, place)).collect();
            let found = outputs(cluster, node(number), job).expect("the job is kept");
            assert!(found == wanted, "seed {seed}: job {job} at {number}");
        }
    }
    assert!(
        cluster.errors.is_empty(),
        "seed {seed}: {:?}",
        cluster.errors
    );
}

/// Each node has a payload log of its own that starts at its kept jobs, so payloads
/// fetched from another node have different offsets locally.
#[test]
fn outputs_are_the_same_at_every_node_through_kills_lost_disks_and_fetched_snapshots() {
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut cluster = founded_cluster(seed);
        let mut recorded = BTreeMap::new();
        let mut isolated: Option<NodeId> = None;
        for job in 1..=5 {
            submit(&mut cluster, job);
            recorded.insert(job, 0);
            for place in 0..ITEMS {
                record(&mut cluster, job, place);
                recorded.insert(job, place + 1);
                let number = node(random.random_range(1..=3));
                match random.random_range(0..12) {
                    0 if isolated.is_none() => cluster.restart(number),
                    1 if isolated.is_none() => {
                        cluster.isolate(number, true);
                        isolated = Some(number);
                    }
                    2 | 3 => {
                        if let Some(back) = isolated.take() {
                            cluster.isolate(back, false);
                        }
                    }
                    _ => {}
                }
            }
            if let Some(back) = isolated.take() {
                cluster.isolate(back, false);
            }
            assert_outputs(&mut cluster, &recorded, seed);
            if job > 2 {
                commit(&mut cluster, &BatchCommand::Forget { job: job - 2 });
                recorded.remove(&(job - 2));
                cluster.run_for(Duration::from_secs(2));
            }
            if random.random_bool(0.5) {
                cluster.lose_disk(node(random.random_range(1..=3)));
            }
            assert_outputs(&mut cluster, &recorded, seed);
        }
        for number in NODES {
            cluster.kill(node(number));
        }
        for number in NODES {
            cluster.start(node(number));
        }
        assert_outputs(&mut cluster, &recorded, seed);
    }
}

/// If the payload log kept growing, the disk would eventually fill up.
#[test]
fn the_log_of_payloads_does_not_grow_with_jobs_that_are_forgotten() {
    let mut cluster = founded_cluster(9);
    let mut highest = 0;
    for job in 1..=8 {
        submit(&mut cluster, job);
        for place in 0..ITEMS {
            record(&mut cluster, job, place);
        }
        if job > 1 {
            commit(&mut cluster, &BatchCommand::Forget { job: job - 1 });
        }
        run_until_synced(&mut cluster);
        let used = cluster.disks.values().map(|disk| {
            let payloads = disk.files().into_iter();
            let payloads = payloads.filter(|file| file.starts_with("payload/"));
            let bytes = payloads.map(|file| disk.length(&file).unwrap().unwrap_or(0));
            bytes.sum::<u64>()
        });
        let used = used.max().unwrap_or_default();
        if job == 4 {
            highest = used;
        }
        assert!(
            job <= 4 || used <= highest + (8 << 20),
            "{used} bytes, {highest} before"
        );
    }
}
