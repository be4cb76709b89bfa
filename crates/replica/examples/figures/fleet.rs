//! Three replica processes and clients for them.

use std::collections::HashMap;
use std::error::Error;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use molespan_replica::{Consistency, Input, ReplicaSettings, ReplicaStatus, Ticket};
use molespan_types::{GroupId, NodeId};
use tempfile::TempDir;

use crate::process::{Answer, Counters, Process, Request, open};

const NODES: u32 = 3;
/// Maximum wait for an expected condition.
const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Three replicas, each with its own folder.
pub struct Fleet {
    folder: TempDir,
    start: Instant,
    tune: fn(&mut ReplicaSettings),
    senders: HashMap<NodeId, Sender<Request>>,
    threads: HashMap<NodeId, JoinHandle<Receiver<Request>>>,
    counters: Arc<Counters>,
}

/// Sends requests to one process.
#[derive(Clone)]
pub struct Client {
    sender: Sender<Request>,
    group: GroupId,
}

impl Fleet {
    /// Starts blank replicas and waits until every group has a leader.
    pub fn start(tune: fn(&mut ReplicaSettings)) -> Result<Self, Box<dyn Error>> {
        let mut fleet = Self {
            folder: tempfile::tempdir()?,
            start: Instant::now(),
            tune,
            senders: HashMap::new(),
            threads: HashMap::new(),
            counters: Arc::default(),
        };
        let nodes: Vec<NodeId> = (1..=NODES).map(NodeId).collect();
        let mut inboxes = HashMap::new();
        for &node in &nodes {
            let (sender, inbox) = channel();
            fleet.senders.insert(node, sender);
            inboxes.insert(node, inbox);
        }
        for (node, inbox) in inboxes {
            fleet.run(node, inbox)?;
        }
        fleet.wait_for_leaders()?;
        Ok(fleet)
    }

    pub fn settings(&self, node: NodeId) -> ReplicaSettings {
        let seed = u64::from(node.0) << 32 | self.start.elapsed().as_nanos() as u64;
        let mut settings = ReplicaSettings::new(node, (1..=NODES).map(NodeId).collect(), seed);
        (self.tune)(&mut settings);
        settings
    }

    pub fn folder(&self, node: NodeId) -> PathBuf {
        self.folder.path().join(node.to_string())
    }

    fn run(&mut self, node: NodeId, inbox: Receiver<Request>) -> Result<(), Box<dyn Error>> {
        let core = open(&self.folder(node), self.settings(node), self.start)?;
        let mut peers = self.senders.clone();
        peers.remove(&node);
        let process = Process::new(node, core, self.start, inbox, peers, self.counters.clone());
        let thread = std::thread::spawn(move || process.run());
        self.threads.insert(node, thread);
        Ok(())
    }

    /// Stops a process abruptly, without a graceful shutdown.
    pub fn stop(&mut self, node: NodeId) -> Option<Receiver<Request>> {
        let _ = self.senders[&node].send(Request::Stop);
        self.threads.remove(&node)?.join().ok()
    }

    /// Stops a process, removes its folder and starts it again.
    pub fn lose_disk(&mut self, node: NodeId) -> Result<(), Box<dyn Error>> {
        let inbox = self.stop(node).ok_or("the process does not run")?;
        std::fs::remove_dir_all(self.folder(node))?;
        // Discards messages to the previous incarnation.
        while inbox.try_recv().is_ok() {}
        self.run(node, inbox)
    }

    /// Whether the voters of each group have exactly the given incarnations.
    pub fn voters_are(&self, incarnations: &[u32]) -> bool {
        (1..=NODES).map(NodeId).all(|node| {
            let groups = self.status(node).map(|status| status.groups);
            groups.is_some_and(|groups| {
                groups.iter().all(|group| {
                    let voter_incarnations: Vec<u32> = group
                        .voters
                        .iter()
                        .map(|(_, incarnation)| *incarnation)
                        .collect();
                    voter_incarnations == incarnations
                })
            })
        })
    }

    /// Returns the current incarnation of each node.
    pub fn incarnations(&self) -> Vec<u32> {
        let nodes = (1..=NODES).map(NodeId);
        let statuses = nodes.filter_map(|node| self.status(node));
        statuses.map(|status| status.incarnation).collect()
    }

    pub fn status(&self, node: NodeId) -> Option<ReplicaStatus> {
        if !self.threads.contains_key(&node) {
            return None;
        }
        let (sender, reply) = channel();
        self.senders[&node].send(Request::Status(sender)).ok()?;
        reply.recv_timeout(TIMEOUT).ok()
    }

    /// Returns the longest poll of any process so far.
    pub fn longest_poll(&self) -> Duration {
        Duration::from_micros(self.counters.longest_poll.load(Ordering::Relaxed))
    }

    /// Returns the total bytes sent between the processes so far.
    pub fn bytes_sent(&self) -> u64 {
        self.counters.bytes_sent.load(Ordering::Relaxed)
    }

    pub fn leader(&self, group: GroupId) -> Option<NodeId> {
        let mut nodes = (1..=NODES).map(NodeId);
        nodes.find(|&node| {
            let status = self.status(node);
            status.is_some_and(|status| status.leads().any(|led| led == group))
        })
    }

    pub fn wait_for_leader(&self, group: GroupId) -> Result<NodeId, Box<dyn Error>> {
        let end = Instant::now() + TIMEOUT;
        while Instant::now() < end {
            if let Some(leader) = self.leader(group) {
                return Ok(leader);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(format!("group {group} has no leader").into())
    }

    /// Waits until the current incarnation of each node votes in each group.
    pub fn wait_until_all_vote(&self) -> Result<(), Box<dyn Error>> {
        let end = Instant::now() + TIMEOUT;
        while Instant::now() < end {
            if self.voters_are(&self.incarnations()) {
                return Ok(());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err("the new incarnation does not vote in every group".into())
    }

    fn wait_for_leaders(&self) -> Result<(), Box<dyn Error>> {
        let groups = self.settings(NodeId(1)).job_groups;
        for group in 0..=groups {
            self.wait_for_leader(GroupId(group))?;
        }
        Ok(())
    }

    /// Returns a client for the leader of `group`.
    pub fn client(&self, group: GroupId) -> Result<Client, Box<dyn Error>> {
        let leader = self.wait_for_leader(group)?;
        let sender = self.senders[&leader].clone();
        Ok(Client { sender, group })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in (1..=NODES).map(NodeId) {
            self.stop(node);
        }
    }
}

impl Client {
    /// Proposes a command; the answer arrives on the returned receiver.
    pub fn propose(&self, command: Vec<u8>) -> Receiver<Answer> {
        let group = self.group;
        self.ask(move |ticket| Input::Propose {
            ticket,
            group,
            command,
        })
    }

    /// Starts a linearizable read; the answer arrives on the returned receiver.
    pub fn query(&self, query: Vec<u8>) -> Receiver<Answer> {
        let group = self.group;
        self.ask(move |ticket| Input::Query {
            ticket,
            group,
            consistency: Consistency::Linearizable,
            query,
        })
    }

    fn ask(&self, input: impl FnOnce(Ticket) -> Input + Send + 'static) -> Receiver<Answer> {
        let (sender, answer) = channel();
        let _ = self.sender.send(Request::Ask(Box::new(input), sender));
        answer
    }
}

/// Waits for the reply to a request; a refusal is an error.
pub fn reply(answer: &Receiver<Answer>) -> Result<Vec<u8>, Box<dyn Error>> {
    match answer.recv_timeout(TIMEOUT)? {
        Ok(reply) => Ok(reply),
        Err(refusal) => Err(format!("{refusal:?}").into()),
    }
}
