//! Batch owners against real job groups, with random failures of requests, replies,
//! engines and ownership.

use std::collections::{BTreeMap, BTreeSet};

use minicbor::bytes::ByteVec;
use molespan_routing::batch::{
    BatchInput, BatchOutput, BatchOwner, BatchSettings, GroupReply, ItemEnd, RequestNumber,
    StreamId,
};
use molespan_state::MemoryPayloadLog;
use molespan_state::job::{
    AppendItems, BeginJob, JobAnswer, JobCommand, JobMachine, JobPhase, JobQuery, JobReply,
    JobStatus, LeaseRequest,
};
use molespan_types::{
    BackendId, Digest, GroupId, ItemIndex, JobId, LeaseId, NodeId, ServiceName, TenantId, Timestamp,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::harness::{BALANCED, captions, owned};

const GROUPS: u32 = 2;
const OWNERS: usize = 2;
const ENGINES: u32 = 3;
const STEP_MILLIS: u64 = 20;
/// End of fault injection; afterwards every job must finish.
const FAULTY_MILLIS: u64 = 15_000;
const END_MILLIS: u64 = 90_000;
/// Full duration of an item lease, as counted by the leader.
const LEASE_MILLIS: u64 = 10_000;
/// Share of the lease after which an owner stops, plus a margin of 5 steps.
const STOP_MILLIS: u64 = 6_000 + 5 * STEP_MILLIS;

/// A job group and, for each lease, the last renewal count with the time it was seen.
#[derive(Default)]
struct Group {
    machine: JobMachine,
    payloads: MemoryPayloadLog,
    last_renewals: BTreeMap<LeaseId, (u64, u64)>,
}

impl Group {
    fn apply(&mut self, command: &JobCommand) -> JobReply {
        let reply = self.machine.apply(command, &mut self.payloads);
        reply.expect("a payload log in memory does not fail")
    }

    /// Expires leases that were not renewed for their full duration.
    fn expire(&mut self, now: u64) {
        let leases: Vec<_> = self.machine.leases().collect();
        for record in leases {
            let last_renewals = self.last_renewals.entry(record.lease);
            let (renewals, since) = *last_renewals.or_insert((record.renewals, now));
            if renewals != record.renewals {
                self.last_renewals
                    .insert(record.lease, (record.renewals, now));
            } else if now - since >= LEASE_MILLIS {
                let (lease, renewals) = (record.lease, record.renewals);
                self.apply(&JobCommand::Expire { lease, renewals });
            }
        }
    }

    fn status(&self, job: JobId) -> JobStatus {
        let answer = self
            .machine
            .query(&JobQuery::Status { job }, &self.payloads);
        match answer {
            JobAnswer::Status(Some(status)) => status,
            other => panic!("{other:?}"),
        }
    }
}

/// A stream that runs on an engine.
struct Running {
    owner: usize,
    backend: BackendId,
    job: JobId,
    item: ItemIndex,
    ends_at: u64,
}

struct World {
    random: ChaCha8Rng,
    now: u64,
    groups: Vec<Group>,
    owners: Vec<BatchOwner>,
    /// Owner and incarnation of each engine.
    engines: BTreeMap<BackendId, (usize, u64)>,
    streams: BTreeMap<(usize, StreamId), Running>,
    /// Inputs in transit, by delivery time and sending order.
    queue: BTreeMap<(u64, u64), (usize, BatchInput)>,
    sent: u64,
    /// Non-repeatable items that may have run.
    may_have_run: BTreeSet<(JobId, ItemIndex)>,
    non_repeatable: JobId,
    /// End of each partition between an owner and a group.
    partitions: BTreeMap<(usize, GroupId), u64>,
}

fn submission(key: &str, items: u32, repeatable: bool) -> BeginJob {
    let tenant = TenantId::from("archive");
    BeginJob {
        job: JobId::from_key(&tenant, key),
        tenant,
        key: key.to_owned(),
        digest: Digest(1),
        service: captions(),
        item_count: items,
        repeatable,
        deadline_unix_seconds: 1_000,
    }
}

impl World {
    fn new(seed: u64) -> Self {
        let settings = BatchSettings {
            job_groups: GROUPS,
            ..BatchSettings::default()
        };
        let owner = |_| BatchOwner::new(settings.clone(), BALANCED);
        let mut world = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            groups: (0..GROUPS).map(|_| Group::default()).collect(),
            owners: (0..OWNERS).map(owner).collect(),
            engines: BTreeMap::new(),
            streams: BTreeMap::new(),
            queue: BTreeMap::new(),
            sent: 0,
            may_have_run: BTreeSet::new(),
            non_repeatable: JobId::default(),
            partitions: BTreeMap::new(),
        };
        for number in 0..ENGINES {
            let (backend, owner) = (BackendId(number), number as usize % OWNERS);
            world.engines.insert(backend, (owner, 1));
            world.feed(owner, BatchInput::Acquired(owned(backend, 1)));
        }
        world
    }

    fn group(&mut self, job: JobId) -> &mut Group {
        let group = job.group(GROUPS);
        &mut self.groups[group.0 as usize - 1]
    }

    fn submit(&mut self, key: &str, items: u32, repeatable: bool) -> JobId {
        let begin = submission(key, items, repeatable);
        let job = begin.job;
        let append = AppendItems {
            job,
            first: ItemIndex(0),
            inputs: (0..items).map(|_| ByteVec::from(vec![7])).collect(),
        };
        let group = self.group(job);
        group.apply(&begin.into());
        group.apply(&append.into());
        group.apply(&JobCommand::Accept { job });
        job
    }

    fn is_faulty(&self) -> bool {
        self.now < FAULTY_MILLIS
    }

    fn chance(&mut self, share: f64) -> bool {
        self.random.random_bool(share)
    }

    fn schedule(&mut self, wait: u64, owner: usize, input: BatchInput) {
        self.sent += 1;
        self.queue
            .insert((self.now + wait, self.sent), (owner, input));
    }

    fn step(&mut self) {
        self.now += STEP_MILLIS;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (owner, input) = entry.remove();
            self.feed(owner, input);
        }
        self.end_streams();
        if self.is_faulty() {
            self.inject_faults();
        }
        for group in &mut self.groups {
            group.expire(self.now);
        }
        for owner in 0..OWNERS {
            self.feed(owner, BatchInput::Tick);
        }
    }

    fn end_streams(&mut self) {
        let now = self.now;
        let ended = self
            .streams
            .iter()
            .filter(|(_, stream)| stream.ends_at <= now);
        let ended: Vec<(usize, StreamId)> = ended.map(|(key, _)| *key).collect();
        for key in ended {
            let draw: u32 = self.random.random_range(0..100);
            let end = match draw {
                0..=7 if self.is_faulty() => ItemEnd::NotRun,
                8..=15 if self.is_faulty() => ItemEnd::Unknown,
                _ => ItemEnd::Completed(ByteVec::from(vec![1])),
            };
            self.end(key, end);
        }
    }

    fn end(&mut self, key: (usize, StreamId), end: ItemEnd) {
        let Some(stream) = self.streams.remove(&key) else {
            return;
        };
        if end == ItemEnd::NotRun {
            self.may_have_run.remove(&(stream.job, stream.item));
        }
        let (owner, id) = key;
        self.feed(owner, BatchInput::Ended { stream: id, end });
    }

    /// Randomly restarts an engine, moves it to another owner, partitions its owner from a
    /// group, or adds an online request.
    fn inject_faults(&mut self) {
        let backend = BackendId(self.random.random_range(0..ENGINES));
        let (owner, incarnation) = self.engines[&backend];
        if self.chance(0.01) {
            self.engines.insert(backend, (owner, incarnation + 1));
            let on_engine = self
                .streams
                .iter()
                .filter(|(_, stream)| stream.backend == backend);
            let lost: Vec<(usize, StreamId)> = on_engine.map(|(key, _)| *key).collect();
            for key in lost {
                self.end(key, ItemEnd::Unknown);
            }
            self.feed(owner, BatchInput::Acquired(owned(backend, incarnation + 1)));
        }
        if self.chance(0.01) {
            let next = (owner + 1) % OWNERS;
            self.engines.insert(backend, (next, incarnation));
            self.feed(owner, BatchInput::Released(backend));
            self.feed(next, BatchInput::Acquired(owned(backend, incarnation)));
        }
        if self.chance(0.01) {
            let group = GroupId(self.random.random_range(1..=GROUPS));
            let until = self.now + self.random.random_range(1_000..14_000);
            self.partitions.insert((owner, group), until);
        }
        if self.chance(0.02) {
            self.feed(owner, BatchInput::OnlineStarted { backend });
            self.schedule(200, owner, BatchInput::OnlineFinished { backend });
        }
    }

    fn feed(&mut self, owner: usize, input: BatchInput) {
        let now = Timestamp::from_millis(self.now);
        for output in self.owners[owner].handle(now, input) {
            self.execute(owner, output);
        }
    }

    fn execute(&mut self, owner: usize, output: BatchOutput) {
        match output {
            BatchOutput::Cancel(stream) => drop(self.streams.remove(&(owner, stream))),
            BatchOutput::Dispatch {
                stream,
                backend,
                job,
                item,
                ..
            } => self.dispatch(owner, stream, backend, (job, item)),
            BatchOutput::LeaseItems {
                request,
                group,
                service,
                backend,
                max_items,
            } => {
                let command = lease_request(owner, request, service, backend, max_items);
                self.send(owner, group, request, &command.into());
            }
            BatchOutput::Renew {
                request,
                group,
                leases,
            } => self.send(owner, group, request, &JobCommand::Renew { leases }),
            BatchOutput::Record {
                request,
                group,
                lease,
                results,
            } => self.send(
                owner,
                group,
                request,
                &JobCommand::Record { lease, results },
            ),
            BatchOutput::Return {
                request,
                group,
                lease,
                items,
            } => self.send(owner, group, request, &JobCommand::Return { lease, items }),
            BatchOutput::Pause(_)
            | BatchOutput::Resume(_)
            | BatchOutput::Decision(_)
            | BatchOutput::Drained => {}
        }
    }

    /// Checks two invariants: an item runs in only one stream at a time, and a
    /// non-repeatable item is not started again after it may have run.
    fn dispatch(
        &mut self,
        owner: usize,
        stream: StreamId,
        backend: BackendId,
        (job, item): (JobId, ItemIndex),
    ) {
        let mut running = self.streams.values();
        let twice = running.any(|other| (other.job, other.item) == (job, item));
        assert!(!twice, "{job} item {item} runs in two streams");
        if job == self.non_repeatable {
            assert!(
                self.may_have_run.insert((job, item)),
                "{job} item {item} runs again"
            );
        }
        let longest = if self.chance(0.2) { 12_000 } else { 1_500 };
        let ends_at = self.now + self.random.random_range(50..longest);
        let running = Running {
            owner,
            backend,
            job,
            item,
            ends_at,
        };
        self.streams.insert((owner, stream), running);
    }

    /// Sends a command to its group. During fault injection, the command or its reply may
    /// be lost, or the reply may be late.
    fn send(&mut self, owner: usize, group: GroupId, request: RequestNumber, command: &JobCommand) {
        let faulty = self.is_faulty();
        let partitioned = self.partitions.get(&(owner, group));
        let partitioned = partitioned.is_some_and(|until| self.now < *until);
        let lost = partitioned || (faulty && self.chance(0.1));
        if lost {
            let reply = GroupReply::Failed;
            self.schedule(100, owner, BatchInput::Reply { request, reply });
            return;
        }
        let group = &mut self.groups[group.0 as usize - 1];
        let reply = reply_of(group.apply(command));
        let reply_lost = faulty && self.chance(0.1);
        let slow = faulty && self.chance(0.05);
        let (wait, reply) = match (reply_lost, slow) {
            (true, _) => (100, GroupReply::Failed),
            (false, true) => (self.random.random_range(100..9_000), reply),
            (false, false) => (10, reply),
        };
        self.schedule(wait, owner, BatchInput::Reply { request, reply });
    }
}

fn lease_request(
    owner: usize,
    request: RequestNumber,
    service: ServiceName,
    backend: BackendId,
    max_items: u32,
) -> LeaseRequest {
    LeaseRequest {
        owner: NodeId(owner as u32),
        owner_incarnation: 1,
        sequence: request.0,
        service,
        backend,
        max_items,
    }
}

fn reply_of(reply: JobReply) -> GroupReply {
    match reply {
        JobReply::Leased(lease) => GroupReply::Leased(lease),
        JobReply::Renewed { lost, cancelled } => GroupReply::Renewed { lost, cancelled },
        JobReply::Recorded { taken, dropped } => GroupReply::Accepted { taken, dropped },
        other => panic!("{other:?}"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(37),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_item_ends_once_and_a_cancelled_job_stops(seed: u64, cancel_at in 100_u64..3_000) {
        let mut world = World::new(seed);
        let cancelled_job = world.submit("memorial", 300, true);
        let non_repeatable = world.submit("grades", 80, false);
        let album = world.submit("album", 200, true);
        world.non_repeatable = non_repeatable;
        let mut cancelled = false;
        while world.now < END_MILLIS || !world.streams.is_empty() {
            world.step();
            if !cancelled && world.now >= cancel_at {
                cancelled = true;
                world.group(cancelled_job).apply(&JobCommand::Cancel { job: cancelled_job });
            }
            // The reply to a renewal reports the cancellation; a partitioned owner stops when
            // its lease expires.
            let running = world.streams.values().filter(|stream| stream.job == cancelled_job);
            let overdue = world.now > cancel_at + STOP_MILLIS;
            prop_assert!(
                !overdue || running.count() == 0,
                "an item runs on its engine after the job was cancelled"
            );
        }
        prop_assert!(world.streams.values().all(|stream| stream.owner < OWNERS));
        let album = world.group(album).status(album);
        prop_assert_eq!((album.phase, album.completed), (JobPhase::Completed, 200));
        let non_repeatable = world.group(non_repeatable).status(non_repeatable);
        prop_assert_eq!(non_repeatable.phase, JobPhase::Completed);
        prop_assert_eq!(non_repeatable.completed + non_repeatable.unknown, 80);
        let phase = world.group(cancelled_job).status(cancelled_job).phase;
        let ended = matches!(phase, JobPhase::Cancelled | JobPhase::Completed);
        prop_assert!(ended, "{}", phase);
        prop_assert!(world.owners.iter().all(|owner| owner.leases_held() == 0));
    }
}
