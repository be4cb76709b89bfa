//! The configuration for those who wait for a newer one.
//!
//! However many wait, one read that a quorum confirms serves them all, once in
//! an interval or as soon as this replica applied a change.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use minicbor::bytes::ByteVec;
use molespan_replica::{Consistency, Refusal};
use molespan_state::control::{ControlAnswer, ControlQuery};
use molespan_types::{ConfigVersion, GroupId, RunOutcome};
use molespan_wire::{Consistency as WireConsistency, Request, Response, WatchConfiguration};

use super::driver::{Call, DriverHandle};
use super::outbox::Outbox;

/// Time between two reads.
const INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait for the leader's answer to a read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// A read that began earlier confirms nothing any more.
const CONFIRMED_FOR: Duration = Duration::from_secs(1);
/// Longest wait of one watcher.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
/// When to come back if no quorum confirms, in milliseconds.
const RETRY_MS: u32 = 250;

/// Asks for a read at once.
#[derive(Clone, Debug)]
pub(super) struct Nudge(Sender<()>);

impl Nudge {
    /// Asks for a read at once.
    pub fn now(&self) {
        let _already_asked = self.0.try_send(());
    }
}

/// What the latest read showed.
#[derive(Clone, Debug, Default)]
struct Confirmed {
    /// When it began; `None` before the first one.
    began: Option<Instant>,
    version: ConfigVersion,
    configuration: Option<ByteVec>,
}

impl Confirmed {
    fn is_fresh(&self) -> bool {
        self.began
            .is_some_and(|began| began.elapsed() < CONFIRMED_FOR)
    }
}

#[derive(Debug)]
struct State {
    confirmed: Confirmed,
    /// Closes once the next read is done.
    next: Sender<()>,
    next_done: Receiver<()>,
}

/// The configuration for those who wait for a newer one.
#[derive(Debug)]
pub(super) struct ConfigurationFeed {
    driver: DriverHandle,
    outbox: Arc<Outbox>,
    state: Mutex<State>,
    demand: Sender<()>,
}

/// What drives the reads of a feed.
#[derive(Debug)]
pub(super) struct FeedWork {
    feed: Arc<ConfigurationFeed>,
    demanded: Receiver<()>,
    nudged: Receiver<()>,
}

/// The two ends of a [`Nudge`].
pub(super) fn nudge() -> (Nudge, Receiver<()>) {
    let (sender, nudged) = async_channel::bounded(1);
    (Nudge(sender), nudged)
}

impl ConfigurationFeed {
    /// A feed, and the work that must run for it.
    pub fn new(
        driver: DriverHandle,
        outbox: Arc<Outbox>,
        nudged: Receiver<()>,
    ) -> (Arc<Self>, FeedWork) {
        let (next, next_done) = async_channel::bounded(1);
        let (demand, demanded) = async_channel::bounded(1);
        let state = State {
            confirmed: Confirmed::default(),
            next,
            next_done,
        };
        let feed = Arc::new(Self {
            driver,
            outbox,
            state: Mutex::new(state),
            demand,
        });
        let work = FeedWork {
            feed: feed.clone(),
            demanded,
            nudged,
        };
        (feed, work)
    }

    /// Waits for a configuration that is newer than the asker's, at most as
    /// long as it wants to.
    pub async fn watch(&self, watch: &WatchConfiguration) -> Response {
        let wait = Duration::from_millis(u64::from(watch.wait_ms)).min(LONGEST_WAIT);
        let deadline = Instant::now() + wait.max(INTERVAL);
        loop {
            let (confirmed, next_done) = self.current();
            let newer = confirmed.version > watch.in_force;
            if confirmed.is_fresh() && newer {
                return configuration(&confirmed, true);
            }
            let _already_demanded = self.demand.try_send(());
            if !wait_until(deadline, &next_done).await {
                return self.after_the_wait(watch.in_force);
            }
        }
    }

    fn after_the_wait(&self, in_force: ConfigVersion) -> Response {
        let (confirmed, _) = self.current();
        if confirmed.is_fresh() {
            return configuration(&confirmed, confirmed.version > in_force);
        }
        Response::Refused {
            outcome: RunOutcome::NotRun,
            message: "no quorum confirmed the configuration".to_owned(),
            retry_after_ms: RETRY_MS,
        }
    }

    fn current(&self) -> (Confirmed, Receiver<()>) {
        let state = self.lock();
        (state.confirmed.clone(), state.next_done.clone())
    }

    /// Reads once and tells everybody who waits.
    async fn read(&self) {
        let began = Instant::now();
        let after = self.lock().confirmed.version;
        let answer = self.ask(after).await;
        let mut state = self.lock();
        if let Some(ControlAnswer::Configuration(newer)) = answer {
            state.confirmed.began = Some(began);
            if let Some(newer) = newer {
                state.confirmed.version = newer.version;
                state.confirmed.configuration = Some(molespan_state::encode(&newer).into());
            }
        }
        let (next, next_done) = async_channel::bounded(1);
        state.next = next;
        state.next_done = next_done;
    }

    /// Asks the leader, which is here or at another replica.
    async fn ask(&self, after: ConfigVersion) -> Option<ControlAnswer> {
        let query = molespan_state::encode(&ControlQuery::ConfigurationAfter { after });
        let own = self.driver.call(Call::Query {
            group: GroupId::CONTROL,
            consistency: Consistency::Linearizable,
            query: query.clone(),
        });
        let answer = match own.await {
            Ok(answer) => answer,
            Err(Refusal::NotLeader { leader }) => {
                let leader = self.outbox.client(leader?)?;
                let request = Request::Query {
                    group: GroupId::CONTROL,
                    consistency: WireConsistency::Linearizable,
                    query: query.into(),
                };
                match leader.call(request, READ_TIMEOUT).await {
                    Ok(Response::Answered { answer }) => answer.into(),
                    _ => return None,
                }
            }
            Err(Refusal::Refused { .. }) => return None,
        };
        molespan_state::decode(&answer).ok()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl FeedWork {
    /// Reads while somebody waits.
    pub async fn run(self) {
        while self.demanded.recv().await.is_ok() {
            self.feed.read().await;
            let interval = async {
                Timer::after(INTERVAL).await;
            };
            let nudged = async {
                let _ended = self.nudged.recv().await;
            };
            future::or(interval, nudged).await;
        }
    }
}

/// Waits for the next read; `false` when the deadline came first.
async fn wait_until(deadline: Instant, next_done: &Receiver<()>) -> bool {
    let done = async {
        let _closed = next_done.recv().await;
        true
    };
    let late = async {
        Timer::at(deadline).await;
        false
    };
    future::or(done, late).await
}

fn configuration(confirmed: &Confirmed, newer: bool) -> Response {
    let configuration = confirmed.configuration.clone();
    Response::Configuration {
        current: confirmed.version,
        configuration: configuration.filter(|_| newer),
    }
}
