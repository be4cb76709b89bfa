//! The batch work of a gateway: items through the batch owner.

use std::collections::VecDeque;
use std::time::Duration;

use minicbor::bytes::ByteVec;
use molespan_routing::batch::{
    BatchInput, BatchOutput, BatchOwner, BatchSettings, GroupReply, ItemEnd, OwnedEngine, StreamId,
};
use molespan_state::job::{GrantedLease, LeasedItem};
use molespan_types::{BackendId, ItemIndex, JobId, LeaseId, Timestamp};

use super::{REPEATS, micros};
use crate::scale::clock::thread_time;
use crate::scale::fleet::{incarnation, service_name};
use crate::scale::{Recorder, ScaleError};

/// Engines of one owner.
const ENGINES: u32 = 6;
/// Bytes of an item's input and of its result.
const PAYLOAD_BYTES: usize = 1024;
/// Virtual time between two rounds.
const ROUND: Duration = Duration::from_millis(50);

/// Processor time of items at their owner, group replies and ends included.
pub(super) fn owner(recorder: &mut Recorder) -> Result<(), ScaleError> {
    run_items(5_000)?;
    for items in [10_000, 20_000, 40_000] {
        for _ in 0..REPEATS {
            let before = thread_time()?;
            let (leases, records) = run_items(items)?;
            let spent = thread_time()?.saturating_sub(before);
            let measures = [
                ("owner_us", micros(spent)),
                ("lease_requests", f64::from(leases)),
                ("record_requests", f64::from(records)),
            ];
            recorder.note("items", f64::from(items), &measures);
        }
    }
    Ok(())
}

/// The world around one batch owner.
struct World {
    owner: BatchOwner,
    now: Timestamp,
    outputs: VecDeque<BatchOutput>,
    running: Vec<StreamId>,
    left: u32,
    recorded: u32,
    lease_requests: u32,
    record_requests: u32,
}

/// Runs that many items; gives the lease and record requests that took.
fn run_items(items: u32) -> Result<(u32, u32), ScaleError> {
    let mut world = World {
        owner: BatchOwner::new(BatchSettings::default(), 0),
        now: Timestamp::from_millis(1),
        outputs: VecDeque::new(),
        running: Vec::new(),
        left: items,
        recorded: 0,
        lease_requests: 0,
        record_requests: 0,
    };
    for engine in 0..ENGINES {
        let owned = OwnedEngine {
            backend: BackendId(engine),
            incarnation: incarnation(),
            service: service_name(1),
        };
        world.input(BatchInput::Acquired(owned));
    }
    let most_rounds = 100 + items;
    for _ in 0..most_rounds {
        if world.recorded >= items {
            return Ok((world.lease_requests, world.record_requests));
        }
        world.round();
    }
    Err(ScaleError::Timeout {
        what: "batch items",
    })
}

impl World {
    /// Every stream that runs ends, and time passes.
    fn round(&mut self) {
        for stream in std::mem::take(&mut self.running) {
            self.input(BatchInput::Progress { stream, tokens: 1 });
            let answer = ByteVec::from(vec![b'a'; PAYLOAD_BYTES]);
            let end = ItemEnd::Completed(answer);
            self.input(BatchInput::Ended { stream, end });
        }
        self.now = self.now + ROUND;
        self.input(BatchInput::Tick);
    }

    fn input(&mut self, input: BatchInput) {
        let outputs = self.owner.handle(self.now, input);
        self.outputs.extend(outputs);
        while let Some(output) = self.outputs.pop_front() {
            if let Some(reply) = self.carry_out(output) {
                let outputs = self.owner.handle(self.now, reply);
                self.outputs.extend(outputs);
            }
        }
    }

    /// Carries an output out; gives the reply of a job group.
    fn carry_out(&mut self, output: BatchOutput) -> Option<BatchInput> {
        let (request, reply) = match output {
            BatchOutput::Dispatch { stream, .. } => {
                self.running.push(stream);
                return None;
            }
            BatchOutput::LeaseItems {
                request, max_items, ..
            } => (request, GroupReply::Leased(self.lease(max_items))),
            BatchOutput::Record {
                request, results, ..
            } => {
                let taken = results.len() as u32;
                self.recorded += taken;
                self.record_requests += 1;
                (request, GroupReply::Taken { taken, dropped: 0 })
            }
            BatchOutput::Renew { request, .. } => {
                let (lost, cancelled) = (Vec::new(), Vec::new());
                (request, GroupReply::Renewed { lost, cancelled })
            }
            BatchOutput::Return { request, items, .. } => {
                let taken = items.len() as u32;
                self.left += taken;
                (request, GroupReply::Taken { taken, dropped: 0 })
            }
            _ => return None,
        };
        Some(BatchInput::Reply { request, reply })
    }

    fn lease(&mut self, max_items: u32) -> Option<GrantedLease> {
        self.lease_requests += 1;
        let count = max_items.min(self.left);
        if count == 0 {
            return None;
        }
        let first = self.left - count;
        self.left = first;
        let item = |number| LeasedItem {
            item: ItemIndex(number),
            input: ByteVec::from(vec![b'p'; PAYLOAD_BYTES]),
        };
        Some(GrantedLease {
            lease: LeaseId(u64::from(self.lease_requests)),
            job: JobId(1),
            repeatable: true,
            items: (first..first + count).map(item).collect(),
        })
    }
}
