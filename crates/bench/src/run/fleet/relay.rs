//! Relays on the loopback interface that emulate the network between zones.
//!
//! A relay listens for connections from one zone and forwards them to one address of
//! another zone. It delays every byte by the one-way delay. While the link is cut it
//! forwards nothing and keeps connections open, like a network that drops packets.
//! Connections within a zone do not use a relay.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::future;
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};

/// Size of the read buffer in bytes.
const READ_BYTES: usize = 64 * 1024;
/// Maximum number of chunks in flight per direction of a connection.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;
/// Interval between checks whether a cut link is restored.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Switch for the links of one zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneLink {
    cut: Arc<AtomicBool>,
}

impl ZoneLink {
    /// Partitions the zone, or reconnects it.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::Relaxed)
    }
}

/// Properties of the link that a relay emulates.
#[derive(Clone, Debug)]
pub struct RelayLink {
    /// One-way delay of every byte.
    pub one_way: Duration,
    /// Switches of the zones at both ends; cutting either cuts the relay.
    pub ends: [ZoneLink; 2],
}

impl RelayLink {
    async fn wait_until_connected(&self) {
        while self.ends.iter().any(ZoneLink::is_cut) {
            Timer::after(CUT_POLL_INTERVAL).await;
        }
    }
}

/// Starts a relay to `target` and returns its listening address.
///
/// # Errors
///
/// Fails if no address can be bound.
pub fn start_relay(
    executor: &Arc<Executor<'static>>,
    target: SocketAddr,
    link: RelayLink,
) -> io::Result<SocketAddr> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
    let address = listener.get_ref().local_addr()?;
    let spawner = executor.clone();
    let accepting = async move {
        while let Ok((stream, _)) = listener.accept().await {
            let relaying = relay(stream, target, link.clone());
            spawner.spawn(relaying).detach();
        }
    };
    executor.spawn(accepting).detach();
    Ok(address)
}

/// Relays one connection until both directions have ended.
async fn relay(near: Async<TcpStream>, target: SocketAddr, link: RelayLink) {
    link.wait_until_connected().await;
    let Ok(far) = Async::<TcpStream>::connect(target).await else {
        return;
    };
    for stream in [&near, &far] {
        // Disables Nagle's algorithm, which delays small messages until acknowledgements.
        let _ = stream.get_ref().set_nodelay(true);
    }
    let there = forward(&near, &far, &link);
    let back = forward(&far, &near, &link);
    future::zip(there, back).await;
}

/// A chunk of bytes with its arrival time at the receiver.
struct Chunk {
    arrives: Instant,
    bytes: Vec<u8>,
}

/// Forwards one direction until the sender closes it, then closes it towards the
/// receiver.
async fn forward(from: &Async<TcpStream>, to: &Async<TcpStream>, link: &RelayLink) {
    let (sender, receiver) = async_channel::bounded(MAX_CHUNKS_IN_FLIGHT);
    let reading = read_chunks(from, sender, link);
    let writing = write_chunks(to, receiver, link);
    future::zip(reading, writing).await;
    // The peer may have closed both directions already.
    let _ = to.get_ref().shutdown(std::net::Shutdown::Write);
}

async fn read_chunks(mut from: &Async<TcpStream>, sender: Sender<Chunk>, link: &RelayLink) {
    let mut buffer = vec![0; READ_BYTES];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            return;
        }
        let chunk = Chunk {
            arrives: Instant::now() + link.one_way,
            bytes: buffer[..count].to_vec(),
        };
        if sender.send(chunk).await.is_err() {
            return;
        }
    }
}

async fn write_chunks(mut to: &Async<TcpStream>, receiver: Receiver<Chunk>, link: &RelayLink) {
    while let Ok(chunk) = receiver.recv().await {
        Timer::at(chunk.arrives).await;
        link.wait_until_connected().await;
        if to.write_all(&chunk.bytes).await.is_err() {
            return;
        }
    }
}
