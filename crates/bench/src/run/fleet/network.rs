//! Emulated network between zones, with a relay per address and remote zone.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use futures_lite::future;

use super::relay::{RelayLink, ZoneLink, start_relay};
use crate::BenchError;

/// Network between the zones of a fleet.
pub struct ZoneNetwork {
    executor: Arc<Executor<'static>>,
    one_way: Duration,
    links: Vec<ZoneLink>,
    relays: HashMap<RelayKey, SocketAddr>,
    /// Stops the relays' thread on drop.
    _running: async_channel::Sender<()>,
}

/// A zone and an address of another zone that it connects to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RelayKey {
    from_zone: usize,
    target: SocketAddr,
}

impl ZoneNetwork {
    /// Creates a network of `zones` with its own thread.
    #[must_use]
    pub fn new(zones: usize, one_way: Duration) -> Self {
        let executor = Arc::new(Executor::new());
        let (running, ended) = async_channel::bounded::<()>(1);
        let relays = executor.clone();
        std::thread::spawn(move || {
            // `recv` returns once the network is dropped.
            let _ = future::block_on(relays.run(ended.recv()));
        });
        Self {
            executor,
            one_way,
            links: (0..zones).map(|_| ZoneLink::default()).collect(),
            relays: HashMap::new(),
            _running: running,
        }
    }

    /// Makes `target`, which is in `zone`, reachable from every other zone.
    ///
    /// # Errors
    ///
    /// Fails if no address can be bound for a relay.
    pub fn expose(&mut self, target: SocketAddr, zone: usize) -> Result<(), BenchError> {
        for from_zone in 0..self.links.len() {
            if from_zone == zone {
                continue;
            }
            let link = RelayLink {
                one_way: self.one_way,
                ends: [self.links[from_zone].clone(), self.links[zone].clone()],
            };
            let relay = start_relay(&self.executor, target, link);
            let relay = relay.map_err(|source| BenchError::Address { source })?;
            let key = RelayKey { from_zone, target };
            self.relays.insert(key, relay);
        }
        Ok(())
    }

    /// Returns the address at which `from_zone` reaches `target`.
    #[must_use]
    pub fn address_from(&self, from_zone: usize, target: SocketAddr) -> SocketAddr {
        let key = RelayKey { from_zone, target };
        self.relays.get(&key).copied().unwrap_or(target)
    }

    /// Partitions a zone from all others, or reconnects it.
    pub fn set_cut(&self, zone: usize, cut: bool) {
        if let Some(link) = self.links.get(zone) {
            link.set_cut(cut);
        }
    }
}
