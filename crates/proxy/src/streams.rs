//! The origins of this gateway's streams, reported to control nodes, and the search for
//! those of streams that callers take up here.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use derive_more::Display;
use futures_lite::future;
use molespan_daemon::cluster::{PeerTransport, WireTransport};
use molespan_routing::streams::{
    Found, HolderAnswer, OriginReport, Origins, Search, holders, report_interval,
};
use molespan_state::declared::{StreamKey, StreamOrigin};
use molespan_types::NodeId;
use molespan_wire::{Request, Response};
use slog::warn;

use crate::first::first_deciding;
use crate::state::GatewayState;

/// Time for the nodes that may know a stream to answer; a caller is told no later.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause before a search is repeated once, since the report of a stream whose gateway has
/// just ended may still be on its way.
const SEARCH_PAUSE: Duration = Duration::from_millis(60);
/// Interval at which running streams are reported again, so that holders that started later
/// know them too.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// The streams of a gateway.
pub(crate) struct Streams {
    wire: Arc<WireTransport>,
    /// Streams that began here or were searched from here.
    known: RefCell<Origins>,
    /// Streams that run here, with the number of answers they have.
    running: RefCell<BTreeMap<StreamKey, (StreamOrigin, usize)>>,
    /// Streams to report next.
    unreported: RefCell<BTreeMap<StreamOrigin, Vec<StreamKey>>>,
    began: (Sender<()>, Receiver<()>),
}

impl Streams {
    /// Creates the record of a gateway without streams.
    pub fn new(wire: Arc<WireTransport>) -> Self {
        Self {
            wire,
            known: RefCell::default(),
            running: RefCell::default(),
            unreported: RefCell::default(),
            began: async_channel::bounded(1),
        }
    }

    fn report_later(&self, key: StreamKey, origin: StreamOrigin) {
        let mut unreported = self.unreported.borrow_mut();
        unreported.entry(origin).or_default().push(key);
    }

    /// Returns the encoded reports of the streams that were not reported yet.
    fn take_reports(&self) -> Option<Vec<u8>> {
        let unreported = std::mem::take(&mut *self.unreported.borrow_mut());
        let reports = unreported
            .into_iter()
            .map(|(origin, streams)| OriginReport { origin, streams });
        let reports: Vec<OriginReport> = reports.collect();
        (!reports.is_empty()).then(|| molespan_state::encode(&reports))
    }

    /// Queues a report of each running stream.
    fn repeat_running(&self) {
        for (key, (origin, _)) in self.running.borrow().iter() {
            self.report_later(*key, origin.clone());
        }
    }
}

/// Guard of a stream whose events go to a caller.
pub(crate) struct RunningStream {
    state: Rc<GatewayState>,
    key: StreamKey,
}

impl Drop for RunningStream {
    fn drop(&mut self) {
        let mut running = self.state.streams.running.borrow_mut();
        if let Some((_, answers)) = running.get_mut(&self.key) {
            *answers -= 1;
            if *answers == 0 {
                running.remove(&self.key);
            }
        }
    }
}

/// The origin of a stream that a caller takes up.
#[derive(Clone, Debug)]
pub(crate) struct KnownStream {
    pub origin: StreamOrigin,
    pub source: Source,
}

/// Who knew the origin of a stream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Source {
    /// This gateway.
    #[display("own")]
    Own,
    /// A control node.
    #[display("holder")]
    Holder,
}

impl GatewayState {
    /// Records where a stream began, before its first event goes to the caller, and reports
    /// it to the holders without waiting for them.
    pub fn note_stream(self: &Rc<Self>, key: StreamKey, origin: StreamOrigin) -> RunningStream {
        let streams = &self.streams;
        streams.known.borrow_mut().record(key, &origin, self.now());
        let mut running = streams.running.borrow_mut();
        running.entry(key).or_insert_with(|| (origin.clone(), 0)).1 += 1;
        drop(running);
        streams.report_later(key, origin);
        let _already_signalled = streams.began.0.try_send(());
        RunningStream {
            state: self.clone(),
            key,
        }
    }

    /// Returns where a stream began and who knew it, if any node does.
    pub async fn find_stream(&self, key: StreamKey) -> Option<KnownStream> {
        let known = self.streams.known.borrow().find(key).cloned();
        if let Some(origin) = known {
            return Some(KnownStream {
                origin,
                source: Source::Own,
            });
        }
        let mut result = self.search_stream(key).await;
        if result == Found::Unknown {
            Timer::after(SEARCH_PAUSE).await;
            result = self.search_stream(key).await;
        }
        let Found::Known(origin) = result else {
            return None;
        };
        self.streams
            .known
            .borrow_mut()
            .record(key, &origin, self.now());
        Some(KnownStream {
            origin,
            source: Source::Holder,
        })
    }

    /// Asks all holders for the origin of a stream.
    async fn search_stream(&self, key: StreamKey) -> Found {
        let holders = self.stream_holders();
        let mut search = Search::new(holders.len());
        let calls = holders.into_iter();
        let calls = calls.map(|holder| Box::pin(self.ask_holder(holder.node, key)));
        let result = first_deciding(calls.collect(), |_, answer| {
            search.record(answer);
            match search.result() {
                Found::Open => None,
                decided => Some(decided),
            }
        });
        let decided = result.await;
        decided.unwrap_or(Found::Unanswered)
    }

    /// Asks one holder.
    async fn ask_holder(&self, holder: NodeId, key: StreamKey) -> HolderAnswer {
        let request = Request::FindStream {
            stream: molespan_state::encode(&key).into(),
        };
        let call = self.streams.wire.call(holder, request, SEARCH_TIMEOUT);
        match call.await {
            Ok(Response::StreamOrigin { origin: None }) => HolderAnswer::Unknown,
            Ok(Response::StreamOrigin {
                origin: Some(origin),
            }) => match molespan_state::decode(&origin) {
                Ok(origin) => HolderAnswer::Known(origin),
                Err(error) => {
                    warn!(self.logger, "malformed origin of a stream";
                        "holder" => holder.address().to_string(), "error" => %error);
                    HolderAnswer::None
                }
            },
            other => {
                warn!(self.logger, "holder did not answer a search for a stream";
                    "holder" => holder.address().to_string(), "answer" => ?other.err());
                HolderAnswer::None
            }
        }
    }
}

/// Reports the streams that begin here to their holders. Runs until dropped.
pub(crate) async fn report_streams(state: Rc<GatewayState>) {
    let streams = &state.streams;
    let mut repeated = state.now();
    loop {
        let began = async {
            let _began = streams.began.1.recv().await;
        };
        let due = async {
            Timer::after(REPEAT_INTERVAL).await;
        };
        future::or(began, due).await;
        if state.now().since(repeated) >= REPEAT_INTERVAL {
            repeated = state.now();
            streams.repeat_running();
        }
        let nodes = state.stream_holders();
        if let Some(reports) = streams.take_reports() {
            for node in holders(state.own, state.zone(), &nodes) {
                let request = Request::StreamsBegan {
                    from: state.own,
                    streams: reports.clone().into(),
                };
                let _queued = streams.wire.send(node, request);
            }
        }
        Timer::after(report_interval(state.gateways(), nodes.len())).await;
    }
}
