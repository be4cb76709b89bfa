//! Gateway selection: a caller uses the gateway of its zone while that is ready.
//!
//! This emulates the load balancer or name service in front of gateways, which
//! tracks their readiness with a lag.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use molespan_http::{Method, Pool, new_request};

/// Interval between readiness probes of a gateway.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Probe timeout, after which a gateway counts as not ready.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Path of the readiness check.
const READY_PATH: &str = "/ready";

struct Gateway {
    address: SocketAddr,
    ready: AtomicBool,
}

/// The gateways by zone, and which of them are ready.
pub struct GatewaySelector {
    gateways: Vec<Gateway>,
}

impl GatewaySelector {
    /// Creates a selection of gateways, one per zone, that are all assumed ready.
    #[must_use]
    pub fn new(addresses: &[SocketAddr]) -> Self {
        let gateways = addresses.iter().map(|address| Gateway {
            address: *address,
            ready: AtomicBool::new(true),
        });
        Self {
            gateways: gateways.collect(),
        }
    }

    /// Returns the gateway for a caller in `zone`: the one of the zone if ready, else
    /// the next ready one, else the one of the zone although it is not ready.
    #[must_use]
    pub fn gateway(&self, zone: usize) -> SocketAddr {
        let count = self.gateways.len();
        let in_turn = (0..count).map(|step| &self.gateways[(zone + step) % count]);
        let mut ready = in_turn.filter(|gateway| gateway.ready.load(Ordering::Relaxed));
        let own = &self.gateways[zone % count];
        ready.next().unwrap_or(own).address
    }

    /// Whether every gateway was ready at its last probe.
    #[must_use]
    pub fn all_ready(&self) -> bool {
        let mut gateways = self.gateways.iter();
        gateways.all(|gateway| gateway.ready.load(Ordering::Relaxed))
    }

    /// Probes every gateway once.
    pub async fn probe(&self, pool: &Pool) {
        for gateway in &self.gateways {
            let ready = is_ready(pool, gateway.address).await;
            gateway.ready.store(ready, Ordering::Relaxed);
        }
    }

    /// Probes all gateways periodically, without end.
    pub async fn keep_probing(&self, pool: &Pool) {
        loop {
            self.probe(pool).await;
            Timer::after(PROBE_INTERVAL).await;
        }
    }
}

async fn is_ready(pool: &Pool, address: SocketAddr) -> bool {
    let asking = async {
        let request = new_request(Method::Get, address, READY_PATH).ok()?;
        let response = pool.send(address, request).await.ok()?;
        let ready = response.status().is_success();
        response.bytes(64 * 1024).await.ok()?;
        Some(ready)
    };
    let timeout = async {
        Timer::after(PROBE_TIMEOUT).await;
        None
    };
    future::or(asking, timeout).await.unwrap_or(false)
}
