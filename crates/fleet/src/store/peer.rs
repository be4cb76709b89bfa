//! Serves gateways that request items, while this node is the leader.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use molespan_daemon::boot_clock::BootClock;
use molespan_daemon::replica::ReplicaRole;
use molespan_daemon::wall_clock::unix_millis;
use molespan_routing::renewal::LEADER_CONFIRMATION_INTERVAL;
use molespan_state::batch::{BatchAnswer, BatchQuery, ItemReference};
use molespan_types::{GroupId, NodeId, RunOutcome, Timestamp};
use molespan_wire::{Consistency, Handler, Request, Response, TakeItems};

use super::call_order::{ArrivalNumber, CallNumber, CallOrder};
use super::handout::LeaseTable;
use super::open_index::OpenIndex;
use crate::wakeup::{WakeTokens, Wakeup};

/// Lease on the items of a gateway, renewed by each of its requests.
const LEASE: Duration = Duration::from_millis(2_500);
/// Time for which a new leader collects renewals before it hands out items.
const WARM_UP: Duration = Duration::from_millis(700);
/// Time for which a request that was woken in vain leaves the wake tokens to others: the
/// items that wait may be of routes that its gateway has no room for.
const FRUITLESS_PAUSE: Duration = Duration::from_millis(200);
/// Maximum number of open items to consider, oldest jobs of each directory first. Items beyond
/// the limit are not selected however urgent they are, so it covers many seconds of work. Each
/// item takes about 50 bytes of memory.
pub const OPEN_LIMIT: u32 = 16_384;
/// Maximum age of the index of open items that a request may use before the index is read
/// again. An item that got an outcome in the meantime is dropped when its content is
/// read.
const OPEN_INDEX_MAX_AGE: Duration = Duration::from_millis(25);

/// Handles the requests of other nodes.
pub(super) struct PeerHandler {
    own: NodeId,
    replica: Arc<ReplicaRole>,
    clock: BootClock,
    /// Leases on items; set while this node is the leader.
    leases: Mutex<Option<LeaseTable>>,
    /// Requests for items; only the latest of each gateway is served.
    calls: Mutex<CallOrder>,
    /// Number of changes of the replicated jobs seen so far.
    changes: AtomicU64,
    /// Index of open items, shared by all requests until the jobs change.
    open: async_lock::Mutex<Option<CachedOpenIndex>>,
    /// When this node last started to confirm its leadership, and whether that succeeded.
    leadership: async_lock::Mutex<Option<(Timestamp, bool)>>,
    /// Wakes as many gateways with free capacity as there are items for them.
    item_tokens: WakeTokens,
    /// Wakes every waiting gateway when an item must be stopped.
    stop_wakeup: Wakeup,
}

/// Index of open items as of a number of changes.
struct CachedOpenIndex {
    changes: u64,
    at: Instant,
    index: Arc<OpenIndex>,
}

impl Handler for PeerHandler {
    async fn call(&self, request: Request) -> Response {
        match request {
            Request::TakeItems(items_request) => self.take_items(&items_request).await,
            other => self.replica.handle_peer(other).await,
        }
    }

    fn notify(&self, request: Request) {
        self.replica.notify(request);
    }
}

impl PeerHandler {
    /// Creates a handler for a node that has not handed out any items.
    pub fn new(own: NodeId, replica: Arc<ReplicaRole>) -> Self {
        Self {
            own,
            replica,
            clock: BootClock::start(),
            leases: Mutex::new(None),
            calls: Mutex::default(),
            changes: AtomicU64::new(0),
            open: async_lock::Mutex::new(None),
            leadership: async_lock::Mutex::new(None),
            item_tokens: WakeTokens::default(),
            stop_wakeup: Wakeup::default(),
        }
    }

    fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Queries the jobs, from the local replica or confirmed by a quorum.
    pub async fn query(&self, query: &BatchQuery, consistency: Consistency) -> Option<BatchAnswer> {
        let request = Request::Query {
            group: GroupId::BATCH,
            consistency,
            query: molespan_state::encode(query).into(),
        };
        match self.replica.handle_peer(request).await {
            Response::Answered { answer } => molespan_state::decode(&answer).ok(),
            _ => None,
        }
    }

    /// Returns the index of open items. It is read again if the jobs have changed and it
    /// is older than `age`. Concurrent requests share one read.
    async fn open_index(&self, age: Duration) -> Option<Arc<OpenIndex>> {
        let mut open = self.open.lock().await;
        let changes = self.changes.load(Ordering::SeqCst);
        let known = open
            .as_ref()
            .filter(|known| known.changes == changes || known.at.elapsed() < age);
        if let Some(known) = known {
            return Some(known.index.clone());
        }
        let at = Instant::now();
        let query = BatchQuery::Open { limit: OPEN_LIMIT };
        let answer = self.query(&query, Consistency::Local).await;
        let Some(BatchAnswer::Open(work)) = answer else {
            return None;
        };
        let index = Arc::new(OpenIndex::from(work));
        *open = Some(CachedOpenIndex {
            changes,
            at,
            index: index.clone(),
        });
        Some(index)
    }

    /// Hands out items, immediately if there are any, or else when some become available.
    async fn take_items(&self, items_request: &TakeItems) -> Response {
        let deadline = Instant::now() + Duration::from_millis(u64::from(items_request.wait_ms));
        let Some(arrival) = self.admit(items_request) else {
            return superseded();
        };
        let mut woken_by_token = false;
        let mut tokens_from = Instant::now();
        loop {
            let stop_waiter = self.stop_wakeup.waiter();
            if self.replica.leader(GroupId::BATCH) != Some(self.own) {
                return self.not_leader().await;
            }
            // A node that is partitioned or has just resumed may not know of a newer
            // leader.
            if !self.confirm_leadership().await {
                return self.not_leader().await;
            }
            let Some(open) = self.open_index(OPEN_INDEX_MAX_AGE).await else {
                return unavailable();
            };
            let Some((taken, stop)) = self.hand_out(items_request, arrival, &open) else {
                // Passes on a wake token that this request may have consumed.
                self.item_tokens.ensure_available(1);
                return superseded();
            };
            let idle = taken.is_empty() && stop.is_empty();
            if !idle || Instant::now() >= deadline {
                return self.items_response(taken, &stop).await;
            }
            if woken_by_token && !items_request.rooms.is_empty() {
                self.pass_token_on(&open);
                tokens_from = Instant::now() + FRUITLESS_PAUSE;
            }
            let other = async {
                let timeout = async {
                    Timer::at(deadline).await;
                };
                future::or(stop_waiter.wait(), timeout).await;
                false
            };
            let token = async {
                if items_request.capacity == 0 {
                    return future::pending().await;
                }
                Timer::at(tokens_from).await;
                self.item_tokens.consume().await;
                true
            };
            woken_by_token = future::or(other, token).await;
        }
    }

    /// Makes a token available again that woke a request in vain, if there are items for
    /// others.
    fn pass_token_on(&self, open: &Arc<OpenIndex>) {
        let now = self.now();
        let mut leases = self.leases.lock().unwrap_or_else(PoisonError::into_inner);
        let available = leases.as_mut().map(|one| one.available_count(now, open));
        self.item_tokens
            .ensure_available(available.unwrap_or_default().min(1));
    }

    /// Whether a quorum confirmed within [`LEADER_CONFIRMATION_INTERVAL`] that no other node
    /// is the leader.
    async fn confirm_leadership(&self) -> bool {
        // Concurrent requests share one round trip to the quorum.
        let mut leadership = self.leadership.lock().await;
        let began = self.now();
        if let Some((at, confirmed)) = *leadership
            && began.since(at) < LEADER_CONFIRMATION_INTERVAL
        {
            return confirmed;
        }
        let query = BatchQuery::Open { limit: 0 };
        let confirmed = self.query(&query, Consistency::Linearizable).await;
        // A failed read is dated to its end, so that the requests that waited for it do
        // not retry it one after the other.
        let known_at = match confirmed.is_some() {
            true => began,
            false => self.now(),
        };
        *leadership = Some((known_at, confirmed.is_some()));
        confirmed.is_some()
    }

    fn admit(&self, items_request: &TakeItems) -> Option<ArrivalNumber> {
        let call = CallNumber {
            life: items_request.life,
            number: items_request.number,
        };
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.admit(items_request.node, call)
    }

    /// Returns the items to run and the items to stop; `None` if a later request of the
    /// gateway has superseded this one.
    fn hand_out(
        &self,
        items_request: &TakeItems,
        arrival: ArrivalNumber,
        open: &Arc<OpenIndex>,
    ) -> Option<(Vec<ItemReference>, Vec<ItemReference>)> {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        if !calls.is_latest(items_request.node, arrival) {
            return None;
        }
        let now = self.now();
        let held = items_request.held.iter();
        let running = held
            .map(|&(job, place)| ItemReference { job, place })
            .collect();
        let mut leases = self.leases.lock().unwrap_or_else(PoisonError::into_inner);
        let leases = leases.get_or_insert_with(|| LeaseTable::new(now, LEASE, WARM_UP));
        let stop = leases.renew(now, items_request.node, &running, open);
        let (node, capacity) = (items_request.node, items_request.capacity as usize);
        let taken = match items_request.inspects {
            true => leases.take_to_inspect(now, node, capacity, open),
            false => {
                let rooms = &items_request.rooms;
                leases.take_by_route(now, unix_millis(), node, capacity, rooms, open)
            }
        };
        Some((taken, stop))
    }

    async fn items_response(&self, items: Vec<ItemReference>, stop: &[ItemReference]) -> Response {
        let found = match items.is_empty() {
            true => Some(BatchAnswer::Items(Vec::new())),
            false => {
                self.query(&BatchQuery::Items { items }, Consistency::Local)
                    .await
            }
        };
        match found {
            Some(BatchAnswer::Items(items)) => Response::Items {
                items: molespan_state::encode(&items).into(),
                stop: stop.iter().map(|item| (item.job, item.place)).collect(),
            },
            _ => unavailable(),
        }
    }

    /// Returns the replica's own response, which names the leader.
    async fn not_leader(&self) -> Response {
        let query = BatchQuery::Open { limit: 0 };
        let request = Request::Query {
            group: GroupId::BATCH,
            consistency: Consistency::Linearizable,
            query: molespan_state::encode(&query).into(),
        };
        match self.replica.handle_peer(request).await {
            Response::Answered { .. } => unavailable(),
            refusal => refusal,
        }
    }

    /// Records a change of the jobs.
    pub fn record_change(&self) {
        self.changes.fetch_add(1, Ordering::SeqCst);
    }

    /// Wakes the gateways that have something to receive. Waking all of them on each
    /// change would cost the leader more with each additional gateway.
    pub async fn wake(&self) {
        if self.replica.leader(GroupId::BATCH) != Some(self.own) {
            // Their requests are answered with the current leader.
            self.stop_wakeup.wake();
            return;
        }
        let Some(open) = self.open_index(Duration::ZERO).await else {
            return;
        };
        let now = self.now();
        let mut leases = self.leases.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(leases) = leases.as_mut() else {
            return;
        };
        if leases.has_ended_job(&open) {
            self.stop_wakeup.wake();
        }
        self.item_tokens
            .ensure_available(leases.available_count(now, &open));
    }

    /// Returns whether this node is the leader. If not, all leases and requests are
    /// dropped.
    pub fn update_leadership(&self) -> bool {
        let leads = self.replica.leader(GroupId::BATCH) == Some(self.own);
        if !leads {
            *self.leases.lock().unwrap_or_else(PoisonError::into_inner) = None;
            let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
            calls.clear();
        }
        leads
    }
}

/// Response to a request that a later one of the same gateway superseded. Nobody waits
/// for it any more.
fn superseded() -> Response {
    not_run("a later call took its place", 0)
}

fn unavailable() -> Response {
    not_run("the batch group cannot be read now", 50)
}

fn not_run(message: &str, retry_after_ms: u32) -> Response {
    Response::Refused {
        outcome: RunOutcome::NotRun,
        message: message.to_owned(),
        retry_after_ms,
    }
}
