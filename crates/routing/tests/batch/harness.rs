//! A batch owner with helpers for feeding inputs and collecting outputs.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use minicbor::bytes::ByteVec;
use molespan_routing::batch::{
    BatchDecision, BatchInput, BatchOutput, BatchOwner, BatchSettings, GroupReply, ItemEnd,
    OnlineNotice, OwnedEngine, RequestNumber, StreamId,
};
use molespan_routing::pick::LoadSample;
use molespan_state::job::{GrantedLease, ItemOutcome, ItemResult, LeasedItem};
use molespan_types::{
    BackendId, GroupId, Incarnation, ItemIndex, JobId, LeaseId, NodeId, ServiceName, Timestamp,
};

pub const ENGINE: BackendId = BackendId(7);

/// Tail protection from which batch streams never run beside online work.
pub const BALANCED: u8 = 50;

pub fn captions() -> ServiceName {
    ServiceName::from("captions")
}

pub fn owned(backend: BackendId, incarnation: u64) -> OwnedEngine {
    OwnedEngine {
        backend,
        incarnation: Incarnation(incarnation),
        service: captions(),
    }
}

pub fn lease(number: u64, items: std::ops::Range<u32>) -> GrantedLease {
    let leased = |item| LeasedItem {
        item: ItemIndex(item),
        input: ByteVec::from(format!("input {item}").into_bytes()),
    };
    GrantedLease {
        lease: LeaseId(number),
        job: JobId(1),
        repeatable: true,
        items: items.map(leased).collect(),
    }
}

pub fn non_repeatable(lease: GrantedLease) -> GrantedLease {
    GrantedLease {
        repeatable: false,
        ..lease
    }
}

pub fn completed(text: &str) -> ItemEnd {
    ItemEnd::Completed(ByteVec::from(text.as_bytes().to_vec()))
}

/// Returns a load report in which all `online` and `batch` requests are running.
pub fn load_report(sequence: u64, observed: u64, online: u32, batch: u32) -> LoadSample {
    LoadSample {
        backend: ENGINE,
        incarnation: Incarnation(1),
        sequence,
        observed: Timestamp::from_millis(observed),
        online,
        online_waiting: 0,
        batch,
        batch_running: batch,
        max_running: 32,
        kv_used: 0.2,
        step: Duration::from_millis(5),
    }
}

pub fn notice(from: u32, in_flight: u32, prompt_tokens: u32) -> BatchInput {
    BatchInput::OnlineNotice(OnlineNotice {
        from: NodeId(from),
        backend: ENGINE,
        in_flight,
        prompt_tokens,
    })
}

/// State of a stream according to the outputs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamStatus {
    Running,
    Paused,
    Cancelled,
    Ended,
}

/// A lease request that awaits its reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRequested {
    pub request: RequestNumber,
    pub group: GroupId,
    pub backend: BackendId,
    pub max_items: u32,
}

/// A record or return request sent to a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemRequest {
    pub request: RequestNumber,
    pub lease: LeaseId,
    pub items: Vec<u32>,
}

/// The owner and the state that results from its outputs.
pub struct Harness {
    pub owner: BatchOwner,
    pub now: u64,
    pub streams: BTreeMap<StreamId, (ItemIndex, StreamStatus)>,
    pub lease_requests: Vec<LeaseRequested>,
    pub renewals: Vec<(RequestNumber, Vec<LeaseId>)>,
    pub records: Vec<(ItemRequest, Vec<ItemOutcome>)>,
    pub returns: Vec<ItemRequest>,
    pub decisions: Vec<BatchDecision>,
    pub drained: bool,
}

impl Harness {
    pub fn new(settings: BatchSettings, tail_protection: u8) -> Self {
        Self {
            owner: BatchOwner::new(settings, tail_protection),
            now: 0,
            streams: BTreeMap::new(),
            lease_requests: Vec::new(),
            renewals: Vec::new(),
            records: Vec::new(),
            returns: Vec::new(),
            decisions: Vec::new(),
            drained: false,
        }
    }

    /// Creates an owner of [`ENGINE`] with a granted lease. All streams that may run are
    /// running and have their first token.
    pub fn running(tail_protection: u8, granted: GrantedLease) -> Self {
        let mut harness = Self::new(BatchSettings::default(), tail_protection);
        harness.feed(BatchInput::Acquired(owned(ENGINE, 1)));
        harness.grant(granted);
        harness.progress_all(1);
        harness
    }

    pub fn at(&mut self, now: u64) -> &mut Self {
        self.now = now;
        self
    }

    pub fn feed(&mut self, input: BatchInput) -> Vec<BatchOutput> {
        if let BatchInput::Ended { stream, .. } = &input
            && let Some((_, status)) = self.streams.get_mut(stream)
            && *status != StreamStatus::Cancelled
        {
            *status = StreamStatus::Ended;
        }
        let outputs = self.owner.handle(Timestamp::from_millis(self.now), input);
        for output in &outputs {
            self.record_output(output.clone());
        }
        outputs
    }

    pub fn tick(&mut self, now: u64) -> Vec<BatchOutput> {
        self.now = now;
        self.feed(BatchInput::Tick)
    }

    /// Replies to the oldest lease request with `granted`.
    pub fn grant(&mut self, granted: GrantedLease) {
        let lease_request = self.lease_requests.remove(0);
        self.reply(lease_request.request, GroupReply::Leased(Some(granted)));
    }

    pub fn reply(&mut self, request: RequestNumber, reply: GroupReply) -> Vec<BatchOutput> {
        self.feed(BatchInput::Reply { request, reply })
    }

    pub fn acknowledge(&mut self, request: RequestNumber) {
        let (taken, dropped) = (1, 0);
        self.reply(request, GroupReply::Accepted { taken, dropped });
    }

    /// Reports `tokens` generated tokens for every running stream, including streams
    /// that start as a result.
    pub fn progress_all(&mut self, tokens: u32) {
        loop {
            let before = (self.streams.len(), self.count(&StreamStatus::Running));
            for stream in self.with_status(&StreamStatus::Running) {
                self.feed(BatchInput::Progress { stream, tokens });
            }
            if (self.streams.len(), self.count(&StreamStatus::Running)) == before {
                return;
            }
        }
    }

    pub fn with_status(&self, wanted: &StreamStatus) -> Vec<StreamId> {
        let streams = self.streams.iter();
        let found = streams.filter(|(_, (_, status))| status == wanted);
        found.map(|(stream, _)| *stream).collect()
    }

    pub fn count(&self, wanted: &StreamStatus) -> usize {
        self.with_status(wanted).len()
    }

    pub fn end(&mut self, stream: StreamId, end: ItemEnd) {
        self.feed(BatchInput::Ended { stream, end });
    }

    fn record_output(&mut self, output: BatchOutput) {
        match output {
            BatchOutput::Pause(stream) => self.set_status(stream, StreamStatus::Paused),
            BatchOutput::Resume(stream) => self.set_status(stream, StreamStatus::Running),
            BatchOutput::Cancel(stream) => self.set_status(stream, StreamStatus::Cancelled),
            BatchOutput::Dispatch { stream, item, .. } => {
                let twice = self.streams.insert(stream, (item, StreamStatus::Running));
                assert_eq!(twice, None, "a stream must be started only once");
            }
            BatchOutput::LeaseItems {
                request,
                group,
                backend,
                max_items,
                ..
            } => self.lease_requests.push(LeaseRequested {
                request,
                group,
                backend,
                max_items,
            }),
            BatchOutput::Renew {
                request, leases, ..
            } => self.renewals.push((request, leases)),
            BatchOutput::Record {
                request,
                lease,
                results,
                ..
            } => {
                let items = results.iter().map(|result| result.item.0).collect();
                let outcomes = results.iter().map(|result: &ItemResult| result.outcome);
                let sent = ItemRequest {
                    request,
                    lease,
                    items,
                };
                self.records.push((sent, outcomes.collect()));
            }
            BatchOutput::Return {
                request,
                lease,
                items,
                ..
            } => {
                let items: Vec<u32> = items.iter().map(|item| item.0).collect();
                assert!(
                    !items.is_empty(),
                    "an empty return request would return every item"
                );
                self.returns.push(ItemRequest {
                    request,
                    lease,
                    items,
                });
            }
            BatchOutput::Decision(decision) => self.decisions.push(decision),
            BatchOutput::Drained => {
                assert!(!self.drained, "a drain must complete only once");
                self.drained = true;
            }
        }
    }

    fn set_status(&mut self, stream: StreamId, status: StreamStatus) {
        let entry = self.streams.get_mut(&stream).expect("a known stream");
        let ended = [StreamStatus::Cancelled, StreamStatus::Ended];
        assert!(
            !ended.contains(&entry.1),
            "{status:?} after the end of the stream"
        );
        entry.1 = status;
    }

    /// Returns all items returned so far.
    pub fn returned(&self) -> BTreeSet<u32> {
        let items = self.returns.iter().flat_map(|sent| sent.items.iter());
        items.copied().collect()
    }
}
