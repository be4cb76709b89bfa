//! A replica process on a thread of its own.

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

/// Inputs taken in before the next turn of work.
const MOST_INPUTS: usize = 4_096;

/// How a request ended.
pub type Answer = Result<Vec<u8>, Refusal>;

/// What a process is asked.
pub enum Request {
    Input(Input),
    /// A request whose answer goes to the sender.
    Ask(Box<dyn FnOnce(Ticket) -> Input + Send>, Sender<Answer>),
    Status(Sender<ReplicaStatus>),
    Stop,
}

/// What all processes of a fleet count together.
#[derive(Debug, Default)]
pub struct Counters {
    /// The longest turn, in microseconds: while it lasts no heartbeat goes out.
    pub longest_turn: AtomicU64,
    /// Bytes sent from one replica to another.
    pub bytes_sent: AtomicU64,
}

/// What drives one replica core.
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

/// Opens the replica of a folder.
pub fn open(
    folder: &Path,
    settings: ReplicaSettings,
    start: Instant,
) -> Result<ReplicaCore<RealDisk>, Box<dyn std::error::Error>> {
    let disk = RealDisk::open(folder)?;
    Ok(ReplicaCore::open(disk, settings, now(start))?)
}

pub fn now(start: Instant) -> Timestamp {
    // Zero stands for "never" in timestamps.
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

    /// Works until it is told to stop; gives the inbox back for another start.
    pub fn run(mut self) -> Receiver<Request> {
        while self.take_inputs() {
            let began = Instant::now();
            let polled = self.core.poll(now(self.start));
            let took = began.elapsed().as_micros() as u64;
            self.counters
                .longest_turn
                .fetch_max(took, Ordering::Relaxed);
            match polled {
                Ok(outputs) => outputs
                    .into_iter()
                    .for_each(|output| self.carry_out(output)),
                Err(error) => {
                    eprintln!("node {}: {error}", self.node);
                    break;
                }
            }
        }
        self.inbox
    }

    /// Waits for inputs or the next deadline; says whether to go on.
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
                Ok(request) if taken < MOST_INPUTS => Some(request),
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

    fn carry_out(&mut self, output: Output) {
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
