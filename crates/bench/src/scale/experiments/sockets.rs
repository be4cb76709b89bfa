//! The internal protocol over loopback sockets.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use molespan_types::{BackendId, NodeId};
use molespan_wire::{
    Client, ClientLimits, Handler, LoadDigest, Request, Response, Server, ServerHandle,
    ServerLimits,
};

use super::{REPEATS, micros};
use crate::scale::clock::process_time;
use crate::scale::fleet::incarnation;
use crate::scale::{Recorder, ScaleError};

/// Hollow gateways that listen.
const GATEWAYS: u32 = 300;
/// Longest wait for messages to arrive.
const LONGEST_WAIT: Duration = Duration::from_secs(20);
/// Time between two rounds of messages.
const ROUND: Duration = Duration::from_millis(100);

/// Counts what arrives.
#[derive(Default)]
struct Counting {
    messages: AtomicU64,
    digests: AtomicU64,
}

impl Handler for Counting {
    async fn call(&self, _request: Request) -> Response {
        Response::Acknowledged
    }

    fn notify(&self, request: Request) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        if let Request::Loads { digests, .. } = request {
            let count = digests.len() as u64;
            self.digests.fetch_add(count, Ordering::Relaxed);
        }
    }
}

/// One owner sends load digests to hundreds of hollow gateways: processor time
/// of both ends and bytes, by the number of messages.
pub(super) fn messages(recorder: &mut Recorder) -> Result<(), ScaleError> {
    let executor = Arc::new(Executor::new());
    async_io::block_on(executor.run(async {
        let counting = Arc::new(Counting::default());
        let gateways = Gateways::start(&executor, &counting)?;
        gateways.send_rounds(&counting, 2).await?;
        for rounds in [4_u32, 8, 16] {
            for _ in 0..REPEATS {
                let before = process_time()?;
                let bytes_before = gateways.bytes_written();
                gateways.send_rounds(&counting, rounds).await?;
                let spent = process_time()?.saturating_sub(before);
                let bytes = gateways.bytes_written() - bytes_before;
                let measures = [
                    ("both_ends_us", micros(spent)),
                    ("bytes", bytes as f64),
                    ("connections", f64::from(GATEWAYS)),
                ];
                recorder.note("messages", f64::from(rounds * GATEWAYS), &measures);
            }
        }
        gateways.stop();
        Ok(())
    }))
}

/// Listening gateways and the clients that reach them.
struct Gateways {
    servers: Vec<ServerHandle>,
    clients: Vec<Client>,
}

impl Gateways {
    fn start(
        executor: &Arc<Executor<'static>>,
        counting: &Arc<Counting>,
    ) -> Result<Self, ScaleError> {
        let mut gateways = Self {
            servers: Vec::new(),
            clients: Vec::new(),
        };
        for number in 0..GATEWAYS {
            let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let server = Server::bind(any_port, ServerLimits::default());
            let server = server.map_err(ScaleError::unexpected)?;
            let address = server.local_address();
            gateways.servers.push(server.handle());
            let serve = server.serve(executor.clone(), counting.clone());
            executor.spawn(serve).detach();
            let limits = ClientLimits::default();
            let client = Client::new(executor, address, limits, u64::from(number));
            gateways.clients.push(client);
        }
        Ok(gateways)
    }

    /// Sends a message to each gateway in each round, and waits for them all.
    async fn send_rounds(&self, counting: &Counting, rounds: u32) -> Result<(), ScaleError> {
        let wanted = counting.messages.load(Ordering::Relaxed) + u64::from(rounds * GATEWAYS);
        for round in 0..rounds {
            for client in &self.clients {
                client.send(loads(u64::from(round)));
            }
            Timer::after(ROUND).await;
        }
        let end = Instant::now() + LONGEST_WAIT;
        while counting.messages.load(Ordering::Relaxed) < wanted {
            if Instant::now() > end {
                return Err(ScaleError::Timeout { what: "messages" });
            }
            Timer::after(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    fn bytes_written(&self) -> u64 {
        let counters = self.clients.iter().map(Client::counters);
        counters.map(|counters| counters.bytes_written).sum()
    }

    fn stop(&self) {
        for server in &self.servers {
            server.stop();
        }
    }
}

/// A message with the load of two engines, as an owner sends it.
fn loads(sequence: u64) -> Request {
    let digest = |number| LoadDigest {
        backend: BackendId(number),
        incarnation: incarnation(),
        sequence,
        online: 30,
        batch: 40,
        kv_used: 200,
        step: 300,
        leaving: false,
    };
    Request::Loads {
        from: NodeId(1000),
        digests: vec![digest(5000), digest(6000)],
    }
}
