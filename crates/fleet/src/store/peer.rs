//! Answering gateways that want items, while this node leads.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use molespan_daemon::boot_clock::BootClock;
use molespan_daemon::replica::ReplicaRole;
use molespan_daemon::wall_clock::unix_millis;
use molespan_routing::renewal::LEADER_SURE_FOR;
use molespan_state::batch::{BatchAnswer, BatchQuery, ItemReference};
use molespan_types::{GroupId, NodeId, RunOutcome, Timestamp};
use molespan_wire::{Consistency, Handler, Request, Response, TakeItems};

use super::call_order::{Arrival, CallNumber, CallOrder};
use super::handout::Handout;
use super::open_index::OpenIndex;
use crate::wakeup::{Invitations, Wakeup};

/// A gateway that is silent for longer loses its items.
const LEASE: Duration = Duration::from_millis(2_500);
/// How long a new leader listens before it hands items out.
const WARM_UP: Duration = Duration::from_millis(700);
/// Open items that are looked at, of the oldest jobs first: those of many seconds
/// of work, since what lies beyond cannot be done first however urgent it is. Some
/// 50 bytes each in memory.
pub const OPEN_LIMIT: u32 = 16_384;
/// How old the order of the open items may be for a call; it is read again for the
/// first one behind that. An item that got an outcome meanwhile is left out when
/// what is needed to run it is read.
const OPEN_HOLDS: Duration = Duration::from_millis(25);

/// Answers other nodes.
pub(super) struct PeerHandler {
    own: NodeId,
    replica: Arc<ReplicaRole>,
    clock: BootClock,
    /// Set while this node leads.
    handout: Mutex<Option<Handout>>,
    /// Calls for items, of which only the latest of a gateway counts.
    calls: Mutex<CallOrder>,
    /// Changes of the jobs that were noted.
    changes: AtomicU64,
    /// Open work, read once for all that ask until the jobs change.
    open: async_lock::Mutex<Option<OpenAsOf>>,
    /// When this node last began to make sure that no other one leads, and whether it is.
    sure: async_lock::Mutex<Option<(Timestamp, bool)>>,
    /// Wakes as many gateways with room as there are items for them.
    items: Invitations,
    /// Wakes every gateway that waits when some item is to be stopped.
    stops: Wakeup,
}

/// Open work after so many changes.
struct OpenAsOf {
    changes: u64,
    at: Instant,
    index: Arc<OpenIndex>,
}

impl Handler for PeerHandler {
    async fn call(&self, request: Request) -> Response {
        match request {
            Request::TakeItems(ask) => self.take_items(&ask).await,
            other => self.replica.handle_peer(other).await,
        }
    }

    fn notify(&self, request: Request) {
        self.replica.notify(request);
    }
}

impl PeerHandler {
    /// Answers for a node that hands nothing out yet.
    pub fn new(own: NodeId, replica: Arc<ReplicaRole>) -> Self {
        Self {
            own,
            replica,
            clock: BootClock::start(),
            handout: Mutex::new(None),
            calls: Mutex::default(),
            changes: AtomicU64::new(0),
            open: async_lock::Mutex::new(None),
            sure: async_lock::Mutex::new(None),
            items: Invitations::default(),
            stops: Wakeup::default(),
        }
    }

    fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Reads the jobs as this replica has them, or as a quorum does.
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

    /// The open items, at most `age` old. Calls share one read of them.
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
        *open = Some(OpenAsOf {
            changes,
            at,
            index: index.clone(),
        });
        Some(index)
    }

    /// Hands items out, at once or when some come.
    async fn take_items(&self, ask: &TakeItems) -> Response {
        let ends = Instant::now() + Duration::from_millis(u64::from(ask.wait_ms));
        let Some(arrival) = self.arrive(ask) else {
            return superseded();
        };
        loop {
            let stops = self.stops.waiter();
            if self.replica.leader(GroupId::BATCH) != Some(self.own) {
                return self.not_leader().await;
            }
            // Cut off or just woken, it does not know of a later leader.
            if !self.is_surely_leader().await {
                return self.not_leader().await;
            }
            let Some(open) = self.open_index(OPEN_HOLDS).await else {
                return unavailable();
            };
            let Some((taken, stop)) = self.hand_out(ask, arrival, &open) else {
                // An invitation that it took is for another gateway.
                self.items.wake_some(1);
                return superseded();
            };
            let idle = taken.is_empty() && stop.is_empty();
            if !idle || Instant::now() >= ends {
                return self.items(taken, &stop).await;
            }
            let late = async {
                Timer::at(ends).await;
            };
            let wanted = async {
                match ask.capacity {
                    0 => future::pending().await,
                    _ => self.items.invited().await,
                }
            };
            future::or(future::or(stops.woken(), wanted), late).await;
        }
    }

    /// Whether no other node led a short while ago: a quorum says so.
    async fn is_surely_leader(&self) -> bool {
        // Calls that come at the same time share one round.
        let mut sure = self.sure.lock().await;
        let began = self.now();
        if let Some((at, confirmed)) = *sure
            && began.since(at) < LEADER_SURE_FOR
        {
            return confirmed;
        }
        let query = BatchQuery::Open { limit: 0 };
        let confirmed = self.query(&query, Consistency::Linearizable).await;
        // Those who waited for a read in vain do not repeat it one after the other.
        let known_at = match confirmed.is_some() {
            true => began,
            false => self.now(),
        };
        *sure = Some((known_at, confirmed.is_some()));
        confirmed.is_some()
    }

    fn arrive(&self, ask: &TakeItems) -> Option<Arrival> {
        let call = CallNumber {
            life: ask.life,
            number: ask.number,
        };
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.arrive(ask.node, call)
    }

    /// What goes out, and what is to be stopped; `None` when the gateway asked
    /// anew meanwhile.
    fn hand_out(
        &self,
        ask: &TakeItems,
        arrival: Arrival,
        open: &Arc<OpenIndex>,
    ) -> Option<(Vec<ItemReference>, Vec<ItemReference>)> {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        if !calls.is_latest(ask.node, arrival) {
            return None;
        }
        let now = self.now();
        let held = ask.held.iter();
        let running = held
            .map(|&(job, place)| ItemReference { job, place })
            .collect();
        let mut handout = self.handout.lock().unwrap_or_else(PoisonError::into_inner);
        let handout = handout.get_or_insert_with(|| Handout::new(now, LEASE, WARM_UP));
        let stop = handout.renew(now, ask.node, &running, open);
        let taken = handout.take(now, unix_millis(), ask.node, ask.capacity as usize, open);
        Some((taken, stop))
    }

    async fn items(&self, items: Vec<ItemReference>, stop: &[ItemReference]) -> Response {
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

    /// Says who leads, in the words of the replica itself.
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

    /// Notes that the jobs changed.
    pub fn note_change(&self) {
        self.changes.fetch_add(1, Ordering::SeqCst);
    }

    /// Wakes the gateways for which there is something to hear. To wake all of
    /// them at each change would cost the leader more the more there are.
    pub async fn wake(&self) {
        if self.replica.leader(GroupId::BATCH) != Some(self.own) {
            // They hear who leads now.
            self.stops.wake();
            return;
        }
        let Some(open) = self.open_index(Duration::ZERO).await else {
            return;
        };
        let now = self.now();
        let mut handout = self.handout.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(handout) = handout.as_mut() else {
            return;
        };
        if handout.has_ended(&open) {
            self.stops.wake();
        }
        self.items.wake_some(handout.free(now, &open));
    }

    /// Whether this node leads. What was handed out before is forgotten when it
    /// does not.
    pub fn note_leadership(&self) -> bool {
        let leads = self.replica.leader(GroupId::BATCH) == Some(self.own);
        if !leads {
            *self.handout.lock().unwrap_or_else(PoisonError::into_inner) = None;
            let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
            calls.forget();
        }
        leads
    }
}

/// To a call that a later one of the same gateway took the place of. Nobody waits
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
