//! The origins of this gateway's streams, reported to control nodes, and the search for
//! those of streams that callers take up here.

use std::cell::{Cell, RefCell};
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
    Found, HOLDERS, Holder, HolderAnswer, KnownOrigin, OriginReport, Origins, ReportPace, Search,
    in_order, report_interval,
};
use molespan_state::declared::{StreamKey, StreamOrigin};
use molespan_types::NodeId;
use molespan_wire::{Request, Response};
use slog::{debug, warn};

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
    /// Whether a holder may have lost what it held.
    repeat: Cell<bool>,
    /// Signalled when there is something to report.
    reports_due: (Sender<()>, Receiver<()>),
}

impl Streams {
    /// Creates the record of a gateway without streams.
    pub fn new(wire: Arc<WireTransport>) -> Self {
        Self {
            wire,
            known: RefCell::default(),
            running: RefCell::default(),
            unreported: RefCell::default(),
            repeat: Cell::new(false),
            reports_due: async_channel::bounded(1),
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

    /// Reports the running streams again, since a control node that may have lost them is
    /// back.
    pub fn repeat_soon(&self) {
        self.repeat.set(true);
        let _already_signalled = self.reports_due.0.try_send(());
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

/// What was found out about a stream that a caller takes up.
#[derive(Clone, Debug)]
pub(crate) struct Lookup {
    /// Its origin, if anybody knows it.
    pub known: Option<KnownOrigin>,
    /// Who knows it.
    pub source: Source,
    /// Holders that were asked last, and how many of them answered by then.
    pub asked: usize,
    pub answered: usize,
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
    /// Nobody.
    #[display("nobody")]
    Nobody,
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
        let _already_signalled = streams.reports_due.0.try_send(());
        RunningStream {
            state: self.clone(),
            key,
        }
    }

    /// Finds out where a stream began: this gateway knows it, or a holder.
    pub async fn find_stream(&self, key: StreamKey) -> Lookup {
        let known = self.streams.known.borrow().find(key, self.now());
        if known.is_some() {
            return Lookup {
                known,
                source: Source::Own,
                asked: 0,
                answered: 0,
            };
        }
        let holders = self.stream_holders().into_iter();
        let holders: Vec<NodeId> = holders.map(|holder| holder.node).collect();
        let (mut lookup, responsive) = self.search_stream(key, &holders).await;
        if lookup.known.is_none() && !responsive.is_empty() {
            Timer::after(SEARCH_PAUSE).await;
            let (again, _) = self.search_stream(key, &responsive).await;
            lookup.known = again.known;
            lookup.source = again.source;
        }
        if let Some(known) = &lookup.known {
            let mut own = self.streams.known.borrow_mut();
            own.record(key, &known.origin, self.now());
        }
        lookup
    }

    /// Asks holders for the origin of a stream. Returns also those that answered.
    async fn search_stream(&self, key: StreamKey, holders: &[NodeId]) -> (Lookup, Vec<NodeId>) {
        let mut search = Search::new(holders.len());
        let mut responsive = Vec::new();
        let calls = holders.iter();
        let calls = calls.map(|&holder| Box::pin(self.ask_holder(holder, key)));
        let decided = first_deciding(calls.collect(), |place, answer| {
            if answer != HolderAnswer::None {
                responsive.push(holders[place]);
            }
            search.record(answer);
            (search.result() != Found::Open).then_some(())
        });
        decided.await;
        let (known, source) = match search.result() {
            Found::Known(known) => (Some(known), Source::Holder),
            Found::Unknown | Found::Open => (None, Source::Nobody),
        };
        let lookup = Lookup {
            known,
            source,
            asked: holders.len(),
            answered: responsive.len(),
        };
        (lookup, responsive)
    }

    /// Asks one holder.
    async fn ask_holder(&self, holder: NodeId, key: StreamKey) -> HolderAnswer {
        let request = Request::FindStream {
            stream: molespan_state::encode(&key).into(),
        };
        let call = self.streams.wire.call(holder, request, SEARCH_TIMEOUT);
        match call.await {
            Ok(Response::StreamOrigin { origin: None, .. }) => HolderAnswer::Unknown,
            Ok(Response::StreamOrigin {
                origin: Some(origin),
                age_ms,
            }) => match molespan_state::decode(&origin) {
                Ok(origin) => HolderAnswer::Known(KnownOrigin {
                    origin,
                    age: Duration::from_millis(age_ms),
                }),
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
    let mut pace = ReportPace::default();
    loop {
        let signalled = async {
            let _signalled = streams.reports_due.1.recv().await;
        };
        let due = async {
            Timer::after(REPEAT_INTERVAL).await;
        };
        future::or(signalled, due).await;
        if streams.repeat.take() || state.now().since(repeated) >= REPEAT_INTERVAL {
            repeated = state.now();
            streams.repeat_running();
        }
        let nodes = state.stream_holders();
        if let Some(reports) = streams.take_reports() {
            send_reports(&state, &nodes, &reports);
        }
        let interval = report_interval(state.gateways(), nodes.len());
        let pause = pace.pause(interval, state.now());
        if !pause.is_zero() {
            Timer::after(pause).await;
        }
    }
}

/// Sends reports to the first holders that can be sent to.
fn send_reports(state: &GatewayState, nodes: &[Holder], reports: &[u8]) {
    let order = in_order(state.own, state.zone(), nodes);
    let sent = order.into_iter().filter(|&node| {
        let request = Request::StreamsBegan {
            from: state.own,
            streams: reports.to_vec().into(),
        };
        state.streams.wire.send(node, request)
    });
    let sent = sent.take(HOLDERS).count();
    if sent == 0 {
        debug!(state.logger, "no holder for the streams that began"; "known" => nodes.len());
    }
}
