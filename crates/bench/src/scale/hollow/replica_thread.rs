//! One hollow replica: the real core on a real disk, with a thread of its own
//! and channels in place of sockets. Messages pass through the frames of the
//! internal protocol, so that their cost is part of what is measured.

use std::collections::BTreeMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

use molespan_replica::{
    Input, Output, Refusal, ReplicaCore, ReplicaSettings, ReplicaStatus, Ticket,
};
use molespan_types::{NodeId, Timestamp};
use molespan_wire::{
    DEFAULT_MAX_FRAME_BYTES, Envelope, FrameDecoder, GroupMessage, Request, encode_frame,
};

use super::counting_disk::{CountingDisk, DiskUse};
use crate::scale::ScaleError;
use crate::scale::clock::thread_time;

/// What a hollow replica is told.
#[derive(Debug)]
pub(super) enum ReplicaInput {
    /// A frame of another replica.
    Frame(Vec<u8>),
    /// A request of a client.
    Request(Input),
    /// Says what was used so far.
    Report(Sender<Result<ReplicaUse, ScaleError>>),
    /// Ends the thread.
    Stop,
}

/// The answer to a request.
pub(super) type Answer = (NodeId, Ticket, Result<Vec<u8>, Refusal>);

/// What a hollow replica used since its start.
#[derive(Clone, Debug)]
pub struct ReplicaUse {
    /// Processor time of its thread.
    pub processor: Duration,
    /// What it wrote.
    pub disk: DiskUse,
    /// Frames sent to other replicas.
    pub frames: u64,
    /// Bytes of those frames.
    pub frame_bytes: u64,
    /// Its own view.
    pub status: ReplicaStatus,
}

/// What a hollow replica is made of.
pub(super) struct ReplicaThread {
    pub(super) disk: CountingDisk,
    pub(super) settings: ReplicaSettings,
    pub(super) peers: BTreeMap<NodeId, Sender<ReplicaInput>>,
    pub(super) inputs: Receiver<ReplicaInput>,
    pub(super) answers: Sender<Answer>,
    pub(super) started: Instant,
}

/// The running replica.
struct Running {
    thread: ReplicaThread,
    core: ReplicaCore<CountingDisk>,
    decoder: FrameDecoder,
    frames: u64,
    frame_bytes: u64,
}

impl ReplicaThread {
    /// Runs until it is told to stop; gives its inputs back for the next life.
    ///
    /// # Errors
    /// When the replica stops by itself.
    pub(super) fn run(self) -> Result<Receiver<ReplicaInput>, ScaleError> {
        let now = self.now();
        let core = ReplicaCore::open(self.disk.clone(), self.settings.clone(), now)?;
        let mut running = Running {
            thread: self,
            core,
            decoder: FrameDecoder::new(DEFAULT_MAX_FRAME_BYTES),
            frames: 0,
            frame_bytes: 0,
        };
        while running.turn()? {}
        Ok(running.thread.inputs)
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(1) + self.started.elapsed()
    }
}

impl Running {
    /// Takes what came in and does what is due. Says whether to go on.
    fn turn(&mut self) -> Result<bool, ScaleError> {
        let wait = self.core.next_deadline().since(self.thread.now());
        match self.thread.inputs.recv_timeout(wait) {
            Ok(input) => {
                if !self.take(input)? {
                    return Ok(false);
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return Ok(false),
        }
        while let Ok(input) = self.thread.inputs.try_recv() {
            if !self.take(input)? {
                return Ok(false);
            }
        }
        let now = self.thread.now();
        for output in self.core.poll(now)? {
            self.carry_out(output);
        }
        Ok(true)
    }

    fn take(&mut self, input: ReplicaInput) -> Result<bool, ScaleError> {
        let now = self.thread.now();
        match input {
            ReplicaInput::Frame(frame) => self.receive(now, &frame),
            ReplicaInput::Request(request) => self.core.handle(now, request),
            ReplicaInput::Report(to) => {
                // The asker may have given up; that is its own matter.
                let _given_up = to.send(self.used());
            }
            ReplicaInput::Stop => return Ok(false),
        }
        Ok(true)
    }

    fn receive(&mut self, now: Timestamp, frame: &[u8]) {
        self.decoder.push(frame);
        while let Ok(Some(envelope)) = self.decoder.next_message() {
            let Envelope::OneWay(Request::Consensus { from, messages }) = envelope else {
                continue;
            };
            for GroupMessage { group, message } in messages {
                let bytes = message.into();
                self.core.handle(now, Input::Message { from, group, bytes });
            }
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { to, group, bytes } => {
                let message = bytes.into();
                let messages = vec![GroupMessage { group, message }];
                let from = self.thread.settings.node;
                let envelope = Envelope::OneWay(Request::Consensus { from, messages });
                let mut frame = Vec::new();
                let encoded = encode_frame(&envelope, DEFAULT_MAX_FRAME_BYTES, &mut frame);
                let peer = self.thread.peers.get(&to);
                if let (Ok(()), Some(peer)) = (encoded, peer) {
                    self.frames += 1;
                    self.frame_bytes += frame.len() as u64;
                    // A peer that stopped is as good as unreachable.
                    let _stopped = peer.send(ReplicaInput::Frame(frame));
                }
            }
            Output::Reply { ticket, result } => {
                let node = self.thread.settings.node;
                let _stopped = self.thread.answers.send((node, ticket, result));
            }
            Output::LeaderChanged { .. }
            | Output::ConfigurationChanged { .. }
            | Output::StateChanged { .. }
            | Output::Event(_) => {}
        }
    }

    fn used(&self) -> Result<ReplicaUse, ScaleError> {
        Ok(ReplicaUse {
            processor: thread_time()?,
            disk: self.thread.disk.used(),
            frames: self.frames,
            frame_bytes: self.frame_bytes,
            status: self.core.status(),
        })
    }
}
