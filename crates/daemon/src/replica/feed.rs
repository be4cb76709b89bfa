//! Serves long polls for a newer configuration.
//!
//! A single quorum-confirmed read serves all watchers; it runs once per interval, or as
//! soon as this replica has applied a change. Watchers receive the difference from their
//! version, or the complete configuration when they lag too far behind.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use molespan_replica::{Consistency, Refusal};
use molespan_state::control::{ConfigurationHistory, ControlAnswer, ControlQuery};
use molespan_types::{ConfigVersion, GroupId, RunOutcome};
use molespan_wire::{Consistency as WireConsistency, Request, Response, WatchConfiguration};

use super::orders::{Call, DriverHandle};
use super::outbox::Outbox;

/// Interval between reads.
const READ_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of the leader's answer to a read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Age, from its start, up to which a read confirms a version.
const MAX_READ_AGE: Duration = Duration::from_secs(1);
/// Maximum wait of one watcher.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Retry delay reported without a quorum, in milliseconds.
const RETRY_AFTER_MS: u32 = 250;

/// Triggers an immediate read.
#[derive(Clone, Debug)]
pub(super) struct Trigger(Sender<()>);

impl Trigger {
    /// Triggers an immediate read.
    pub fn fire(&self) {
        let _already_asked = self.0.try_send(());
    }
}

#[derive(Debug)]
struct State {
    /// Start of the latest successful read; `None` before the first one.
    began: Option<Instant>,
    /// Configurations returned by the reads.
    history: ConfigurationHistory,
    /// Closed when the next read completes.
    next: Sender<()>,
    next_done: Receiver<()>,
}

/// Serves long polls for a newer configuration.
#[derive(Debug)]
pub(super) struct ConfigurationFeed {
    driver: DriverHandle,
    outbox: Arc<Outbox>,
    state: Mutex<State>,
    demand: Sender<()>,
}

impl State {
    /// Whether the latest read is recent enough to confirm a version.
    fn is_fresh(&self) -> bool {
        self.began
            .is_some_and(|began| began.elapsed() < MAX_READ_AGE)
    }

    /// Returns the answer to a watcher with version `held`, if there is a newer
    /// one.
    fn newer(&mut self, held: ConfigVersion) -> Option<Response> {
        let configuration = self.history.update_for(held)?;
        Some(Response::Configuration {
            current: self.history.version(),
            configuration: Some(configuration),
        })
    }
}

/// The task that runs a feed's reads.
#[derive(Debug)]
pub(super) struct FeedTask {
    feed: Arc<ConfigurationFeed>,
    demanded: Receiver<()>,
    triggered: Receiver<()>,
}

/// Creates both ends of a [`Trigger`].
pub(super) fn trigger() -> (Trigger, Receiver<()>) {
    let (sender, triggered) = async_channel::bounded(1);
    (Trigger(sender), triggered)
}

impl ConfigurationFeed {
    /// Creates a feed, and the task that must run for it.
    pub fn new(
        driver: DriverHandle,
        outbox: Arc<Outbox>,
        triggered: Receiver<()>,
    ) -> (Arc<Self>, FeedTask) {
        let (next, next_done) = async_channel::bounded(1);
        let (demand, demanded) = async_channel::bounded(1);
        let state = State {
            began: None,
            history: ConfigurationHistory::default(),
            next,
            next_done,
        };
        let feed = Arc::new(Self {
            driver,
            outbox,
            state: Mutex::new(state),
            demand,
        });
        let work = FeedTask {
            feed: feed.clone(),
            demanded,
            triggered,
        };
        (feed, work)
    }

    /// Waits for a configuration newer than the caller's, at most for the
    /// requested time.
    pub async fn watch(&self, watch: &WatchConfiguration) -> Response {
        let wait = Duration::from_millis(u64::from(watch.wait_ms)).min(MAX_WAIT);
        let deadline = Instant::now() + wait.max(READ_INTERVAL);
        loop {
            let next_done = {
                let mut state = self.lock();
                let newer = state.is_fresh().then(|| state.newer(watch.in_force));
                if let Some(response) = newer.flatten() {
                    return response;
                }
                state.next_done.clone()
            };
            let _already_demanded = self.demand.try_send(());
            if !wait_until(deadline, &next_done).await {
                return self.answer_after_wait(watch.in_force);
            }
        }
    }

    fn answer_after_wait(&self, in_force: ConfigVersion) -> Response {
        let mut state = self.lock();
        if state.is_fresh() {
            let current = state.history.version();
            return state.newer(in_force).unwrap_or(Response::Configuration {
                current,
                configuration: None,
            });
        }
        Response::Refused {
            outcome: RunOutcome::NotRun,
            message: "no quorum confirmed the configuration".to_owned(),
            retry_after_ms: RETRY_AFTER_MS,
        }
    }

    /// Reads once and wakes all watchers.
    async fn read(&self) {
        let began = Instant::now();
        let after = self.lock().history.version();
        let answer = self.ask(after).await;
        let mut state = self.lock();
        if let Some(ControlAnswer::Configuration(newer)) = answer {
            state.began = Some(began);
            if let Some(newer) = newer {
                state.history.advance(newer);
            }
        }
        let (next, next_done) = async_channel::bounded(1);
        state.next = next;
        state.next_done = next_done;
    }

    /// Queries the leader, which is this replica or another one.
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

impl FeedTask {
    /// Runs reads while there are watchers.
    pub async fn run(self) {
        while self.demanded.recv().await.is_ok() {
            self.feed.read().await;
            let interval = async {
                Timer::after(READ_INTERVAL).await;
            };
            let triggered = async {
                let _ended = self.triggered.recv().await;
            };
            future::or(interval, triggered).await;
        }
    }
}

/// Waits for the next read; returns `false` if the deadline passes first.
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
