//! Three hollow replicas in one process, and a client that keeps a number of
//! requests in flight.

use std::collections::BTreeMap;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use molespan_replica::{Input, ReplicaSettings, Ticket};
use molespan_types::{GroupId, NodeId};
use tempfile::TempDir;

use super::cluster_use::{ClusterUse, difference};
use super::counting_disk::CountingDisk;
use super::replica_thread::{Answer, ReplicaInput, ReplicaThread, ReplicaUse};
use crate::scale::ScaleError;

/// Replicas of each group.
pub const REPLICAS: u32 = 3;
/// Longest wait for anything.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
/// Time between two looks at something that is waited for.
const LOOK_AGAIN: Duration = Duration::from_millis(20);
/// Rounds of resending refused requests.
const MOST_ROUNDS: u32 = 100;

/// A command for a group's leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Group.
    pub group: GroupId,
    /// The command, encoded.
    pub command: Vec<u8>,
}

struct Member {
    inputs: Sender<ReplicaInput>,
    thread: JoinHandle<Result<Receiver<ReplicaInput>, ScaleError>>,
}

/// Hollow replicas under one temporary folder.
pub struct Cluster {
    folder: TempDir,
    started: Instant,
    members: BTreeMap<NodeId, Member>,
    senders: BTreeMap<NodeId, Sender<ReplicaInput>>,
    answer: Sender<Answer>,
    answers: Receiver<Answer>,
    leaders: BTreeMap<GroupId, NodeId>,
    job_groups: u32,
    last_ticket: u64,
}

impl Cluster {
    /// Starts replicas that hold the control group and `job_groups` job groups,
    /// and waits until each group has a leader.
    ///
    /// # Errors
    /// When the disk refuses or no leader is elected.
    pub fn start(job_groups: u32) -> Result<Self, ScaleError> {
        let folder = tempfile::tempdir().map_err(|source| ScaleError::File {
            path: std::env::temp_dir(),
            source,
        })?;
        let (answer, answers) = channel();
        let mut cluster = Self {
            folder,
            started: Instant::now(),
            members: BTreeMap::new(),
            senders: BTreeMap::new(),
            answer,
            answers,
            leaders: BTreeMap::new(),
            job_groups,
            last_ticket: 0,
        };
        cluster.start_members()?;
        cluster.await_leaders()?;
        Ok(cluster)
    }

    fn start_members(&mut self) -> Result<(), ScaleError> {
        let mut receivers = BTreeMap::new();
        for node in (1..=REPLICAS).map(NodeId) {
            let (sender, receiver) = channel();
            self.senders.insert(node, sender);
            receivers.insert(node, receiver);
        }
        for (node, inputs) in receivers {
            self.start_member(node, inputs, u64::from(node.0))?;
        }
        Ok(())
    }

    fn start_member(
        &mut self,
        node: NodeId,
        inputs: Receiver<ReplicaInput>,
        seed: u64,
    ) -> Result<(), ScaleError> {
        let nodes = self.senders.keys().copied().collect();
        let mut settings = ReplicaSettings::new(node, nodes, seed);
        settings.job_groups = self.job_groups;
        let replica = ReplicaThread {
            disk: CountingDisk::open(&self.data_folder(node))?,
            settings,
            peers: self.senders.clone(),
            inputs,
            answers: self.answer.clone(),
            started: self.started,
        };
        let thread = std::thread::spawn(move || replica.run());
        let inputs = self.senders[&node].clone();
        self.members.insert(node, Member { inputs, thread });
        Ok(())
    }

    /// Takes a replica that leads no job group away with its disk, starts it
    /// anew on a blank one, and waits until it votes and has caught up.
    ///
    /// # Errors
    /// When that takes too long.
    pub fn replace_one(&mut self, seed: u64) -> Result<(), ScaleError> {
        let leader = self.leaders.get(&GroupId(1)).copied();
        let others = self.members.keys().copied();
        let lost = others.into_iter().find(|node| Some(*node) != leader);
        let Some((node, member)) = lost.and_then(|node| Some((node, self.members.remove(&node)?)))
        else {
            return Err(ScaleError::Timeout { what: "election" });
        };
        let inputs = stop_member(member)?;
        let folder = self.data_folder(node);
        std::fs::remove_dir_all(&folder).map_err(|source| ScaleError::File {
            path: folder,
            source,
        })?;
        self.start_member(node, inputs, seed)?;
        let end = Instant::now() + LONGEST_WAIT;
        while Instant::now() < end {
            if self.has_caught_up(node)? {
                return Ok(());
            }
            std::thread::sleep(LOOK_AGAIN);
        }
        Err(ScaleError::Timeout {
            what: "catching up",
        })
    }

    /// Whether `node` votes with its present life in every group and has
    /// applied what the others have.
    fn has_caught_up(&self, node: NodeId) -> Result<bool, ScaleError> {
        let reports = self.report()?;
        let statuses = || reports.iter().map(|report| &report.status);
        let Some(own) = statuses().find(|status| status.node == node) else {
            return Ok(false);
        };
        let caught_up = own.groups.iter().all(|group| {
            let others = statuses().flat_map(|status| &status.groups);
            let mut same = others.filter(|other| other.group == group.group);
            let votes = group.voters.contains(&(node, own.incarnation));
            votes && same.all(|other| other.applied == group.applied)
        });
        Ok(caught_up && own.groups.len() as u32 > self.job_groups)
    }

    fn data_folder(&self, node: NodeId) -> std::path::PathBuf {
        self.folder.path().join(format!("replica-{node}"))
    }

    /// What each replica used since its start.
    ///
    /// # Errors
    /// When a replica stopped.
    pub fn report(&self) -> Result<Vec<ReplicaUse>, ScaleError> {
        let mut reports = Vec::new();
        for member in self.members.values() {
            let (sender, receiver) = channel();
            let what = "report of a replica";
            let _stopped = member.inputs.send(ReplicaInput::Report(sender));
            let report = receiver.recv_timeout(LONGEST_WAIT);
            reports.push(report.map_err(|_| ScaleError::Timeout { what })??);
        }
        Ok(reports)
    }

    /// Waits until every group has a leader that its members agree on.
    ///
    /// # Errors
    /// When that takes too long.
    pub fn await_leaders(&mut self) -> Result<(), ScaleError> {
        let end = Instant::now() + LONGEST_WAIT;
        while Instant::now() < end {
            self.leaders.clear();
            for report in self.report()? {
                let led = report
                    .status
                    .leads()
                    .map(|group| (group, report.status.node));
                self.leaders.extend(led.collect::<Vec<_>>());
            }
            if self.leaders.len() as u32 > self.job_groups {
                return Ok(());
            }
            std::thread::sleep(LOOK_AGAIN);
        }
        Err(ScaleError::Timeout { what: "election" })
    }

    /// Runs `requests` with at most `window` in flight; gives the answers in
    /// the order of the requests. What a replica refuses is sent again.
    ///
    /// # Errors
    /// When requests stay unanswered or are refused again and again.
    pub fn run(
        &mut self,
        requests: Vec<Proposal>,
        window: usize,
    ) -> Result<Vec<Vec<u8>>, ScaleError> {
        let mut answers: Vec<Option<Vec<u8>>> = vec![None; requests.len()];
        let mut open: Vec<usize> = (0..requests.len()).collect();
        for _ in 0..MOST_ROUNDS {
            open = self.run_once(&requests, &open, window, &mut answers)?;
            if open.is_empty() {
                return Ok(answers.into_iter().flatten().collect());
            }
            self.await_leaders()?;
        }
        Err(ScaleError::Timeout { what: "requests" })
    }

    /// Sends each of `open` once; gives those that were refused.
    fn run_once(
        &mut self,
        requests: &[Proposal],
        open: &[usize],
        window: usize,
        answers: &mut [Option<Vec<u8>>],
    ) -> Result<Vec<usize>, ScaleError> {
        let mut in_flight = BTreeMap::new();
        let mut refused = Vec::new();
        let mut waiting = open.iter().copied();
        loop {
            while in_flight.len() < window {
                let Some(index) = waiting.next() else {
                    break;
                };
                in_flight.insert(self.send(requests[index].clone()), index);
            }
            if in_flight.is_empty() {
                return Ok(refused);
            }
            let answer = self.answers.recv_timeout(LONGEST_WAIT);
            let what = "answer of a replica";
            let (_, ticket, result) = answer.map_err(|_| ScaleError::Timeout { what })?;
            let Some(index) = in_flight.remove(&ticket) else {
                continue;
            };
            match result {
                Ok(bytes) => answers[index] = Some(bytes),
                Err(_) => refused.push(index),
            }
        }
    }

    fn send(&mut self, proposal: Proposal) -> Ticket {
        let Proposal { group, command } = proposal;
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let input = Input::Propose {
            ticket,
            group,
            command,
        };
        if let Some(member) = self
            .leaders
            .get(&group)
            .and_then(|node| self.members.get(node))
        {
            let _stopped = member.inputs.send(ReplicaInput::Request(input));
        }
        ticket
    }

    /// Runs `work` and says what the replicas used meanwhile.
    ///
    /// # Errors
    /// As `work` does, or when a replica stopped.
    pub fn measure<T>(
        &mut self,
        work: impl FnOnce(&mut Self) -> Result<T, ScaleError>,
    ) -> Result<(T, ClusterUse), ScaleError> {
        let before = self.report()?;
        let began = Instant::now();
        let result = work(self)?;
        let elapsed = began.elapsed();
        let after = self.report()?;
        Ok((result, difference(elapsed, &before, &after)))
    }

    /// Stops every replica; gives the folder with their data.
    ///
    /// # Errors
    /// When a replica had stopped by itself.
    pub fn stop(self) -> Result<TempDir, ScaleError> {
        for member in self.members.into_values() {
            stop_member(member)?;
        }
        Ok(self.folder)
    }
}

/// Stops a replica; gives what it takes its inputs from.
fn stop_member(member: Member) -> Result<Receiver<ReplicaInput>, ScaleError> {
    let _stopped = member.inputs.send(ReplicaInput::Stop);
    let what = "end of a replica";
    let ended = member.thread.join();
    ended.map_err(|_| ScaleError::Timeout { what })?
}
