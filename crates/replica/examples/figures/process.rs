//! A replica process on its own thread.

use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, TryRecvError};
use std::time::{Duration, Instant};

use molespan_replica::{
    Input, Output, Refusal, ReplicaCore, ReplicaEvent, ReplicaSettings, ReplicaStatus, Ticket,
};
use molespan_storage::RealDisk;
use molespan_types::{NodeId, Timestamp};

/// Maximum number of inputs processed between two polls.
const MAX_INPUTS: usize = 4_096;

/// The result of a request.
pub type Answer = Result<Vec<u8>, Refusal>;

/// A request to a process.
pub enum Request {
    Input(Input),
    /// An input whose answer is sent to the given sender.
    Ask(Box<dyn FnOnce(Ticket) -> Input + Send>, Sender<Answer>),
    Status(Sender<ReplicaStatus>),
    Stop,
}

/// Counters shared by all processes of a fleet.
#[derive(Debug, Default)]
pub struct Counters {
    /// The longest poll, in microseconds. No heartbeat is sent during a poll.
    pub longest_poll: AtomicU64,
    /// Total bytes sent between replicas.
    pub bytes_sent: AtomicU64,
}

/// The driver of one replica core.
pub struct Process {
    pub core: ReplicaCore<RealDisk>,
    pub start: Instant,
    pub inbox: Receiver<Request>,
    pub peers: HashMap<NodeId, Sender<Request>>,
    pub node: NodeId,
    pub counters: Arc<Counters>,
    waiting: HashMap<Ticket, Sender<Answer>>,
    last_ticket: u64,
}

/// Opens the replica stored in a folder.
pub fn open(
    folder: &Path,
    settings: ReplicaSettings,
    start: Instant,
) -> Result<ReplicaCore<RealDisk>, Box<dyn std::error::Error>> {
    let disk = RealDisk::open(folder)?;
    Ok(ReplicaCore::open(disk, settings, now(start))?)
}

pub fn now(start: Instant) -> Timestamp {
    // A timestamp of zero means "never".
    Timestamp::ZERO + start.elapsed() + Duration::from_millis(1)
}

impl Process {
    pub fn new(
        node: NodeId,
        core: ReplicaCore<RealDisk>,
        start: Instant,
        inbox: Receiver<Request>,
        peers: HashMap<NodeId, Sender<Request>>,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            core,
            start,
            inbox,
            peers,
            node,
            counters,
            waiting: HashMap::new(),
            last_ticket: 0,
        }
    }

    /// Runs until it receives a stop request or fails; returns the inbox for a restart.
    pub fn run(mut self) -> Receiver<Request> {
        while self.take_inputs() {
            let started = Instant::now();
            let polled = self.core.poll(now(self.start));
            let took = started.elapsed().as_micros() as u64;
            self.counters
                .longest_poll
                .fetch_max(took, Ordering::Relaxed);
            match polled {
                Ok(outputs) => outputs
                    .into_iter()
                    .for_each(|output| self.handle_output(output)),
                Err(error) => {
                    eprintln!("node {}: {error}", self.node);
                    break;
                }
            }
        }
        self.inbox
    }

    /// Waits for inputs or the next deadline; returns whether to continue.
    fn take_inputs(&mut self) -> bool {
        let wait = self.core.next_deadline().since(now(self.start));
        let mut next = match self.inbox.recv_timeout(wait) {
            Ok(request) => Some(request),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return false,
        };
        let mut taken = 0;
        while let Some(request) = next.take() {
            if !self.take(request) {
                return false;
            }
            taken += 1;
            next = match self.inbox.try_recv() {
                Ok(request) if taken < MAX_INPUTS => Some(request),
                Ok(request) => return self.take(request),
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => None,
            };
        }
        true
    }

    fn take(&mut self, request: Request) -> bool {
        match request {
            Request::Input(input) => self.core.handle(now(self.start), input),
            Request::Ask(input, answer) => {
                self.last_ticket += 1;
                let ticket = Ticket(self.last_ticket);
                self.waiting.insert(ticket, answer);
                self.core.handle(now(self.start), input(ticket));
            }
            Request::Status(reply) => {
                let _ = reply.send(self.core.status());
            }
            Request::Stop => return false,
        }
        true
    }

    fn handle_output(&mut self, output: Output) {
        match output {
            Output::Send { to, group, bytes } => {
                let length = bytes.len() as u64;
                self.counters
                    .bytes_sent
                    .fetch_add(length, Ordering::Relaxed);
                let from = self.node;
                let input = Input::Message { from, group, bytes };
                if let Some(peer) = self.peers.get(&to) {
                    let _ = peer.send(Request::Input(input));
                }
            }
            Output::Reply { ticket, result } => {
                if let Some(answer) = self.waiting.remove(&ticket) {
                    let _ = answer.send(result);
                }
            }
            Output::Event(ReplicaEvent::Fault { message }) => eprintln!("{message}"),
            Output::Event(_)
            | Output::LeaderChanged { .. }
            | Output::ConfigurationChanged { .. }
            | Output::StateChanged { .. } => {}
        }
    }
}
