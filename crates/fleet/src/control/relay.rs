//! Relaying between gateways what they have at engines.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use molespan_daemon::cluster::{PeerTransport, WireTransport};
use molespan_routing::dispatch::{Teller, WorkRelay, WorkShare};
use molespan_types::{NodeId, Timestamp};
use molespan_wire::Request;

use super::hub::Hub;

/// Shortest time between two rounds of passing on.
const ROUND: Duration = Duration::from_millis(50);
/// Time after which other relays are told again what did not change.
const REPEATED_AFTER: Duration = Duration::from_millis(400);

/// What gateways and other relays told this node.
#[derive(Debug)]
pub(super) struct RelayedWork {
    started: Instant,
    relay: Mutex<WorkRelay>,
    /// Told that something came; a relay that nobody uses does nothing.
    heard: (Sender<()>, Receiver<()>),
}

impl Default for RelayedWork {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            relay: Mutex::default(),
            heard: async_channel::bounded(1),
        }
    }
}

impl RelayedWork {
    fn now(&self) -> Timestamp {
        Timestamp(self.started.elapsed().as_micros() as u64)
    }

    fn lock(&self) -> MutexGuard<'_, WorkRelay> {
        self.relay.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in what a gateway, or another relay, told.
    pub fn note(&self, from: NodeId, shares: &[u8], relayed: bool) {
        let Ok(shares) = molespan_state::decode::<Vec<WorkShare>>(shares) else {
            return;
        };
        let teller = match relayed {
            true => Teller::Relay,
            false => Teller::Gateway,
        };
        let changed = self.lock().note(from, teller, shares, self.now());
        // What gateways repeat is passed on, so that it holds. If relays did
        // the same with one another's words, they would never come to rest.
        if changed || teller == Teller::Gateway {
            let _already_told = self.heard.0.try_send(());
        }
    }
}

/// Passes on what comes, at most once a round.
pub(super) async fn relay_work(
    own: NodeId,
    work: Arc<RelayedWork>,
    hub: Arc<Hub>,
    wire: Arc<WireTransport>,
) {
    let mut told_relays = (Vec::new(), Instant::now());
    while work.heard.1.recv().await.is_ok() {
        let tell = |node: NodeId, shares: &[WorkShare]| {
            let request = Request::EngineWork {
                from: own,
                shares: molespan_state::encode(&shares).into(),
                relayed: true,
            };
            wire.send(node, request);
        };
        let (of_gateways, by_gateway) = {
            let mut relay = work.lock();
            relay.expire(work.now());
            (relay.sum_of_gateways(), relay.shares_by_gateway())
        };
        let (before, at) = &told_relays;
        let repeat = at.elapsed() >= REPEATED_AFTER;
        if !by_gateway.is_empty() && (repeat || *before != of_gateways) {
            let others = hub.control_nodes().into_iter();
            for relay in others.filter(|&node| node != own) {
                tell(relay, &of_gateways);
            }
            told_relays = (of_gateways, Instant::now());
        }
        for (gateway, shares) in by_gateway {
            tell(gateway, &shares);
        }
        Timer::after(ROUND).await;
    }
}
