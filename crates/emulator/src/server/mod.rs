//! Listening sockets of the stand-ins, with faults of their connections.
//!
//! The accept loop is not the one of `molespan-http`, since a stand-in must be
//! able to break every byte of a connection.

mod connection;
mod event_body;
mod reply;
mod switches;

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::future::{Boxed, FutureExt};
use http_types::{Request, Response};

use crate::faults::AnswerFault;
use connection::FaultyStream;

pub use event_body::{EventBody, StreamEnd, StreamEvent, StreamFaults};
pub use reply::{
    error_reply, header, json_reply, not_found, query_number, query_text, read_body, read_json,
};
use switches::Signal;
pub use switches::Switches;

/// Pause before another try to bind or accept.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Answers the requests of one stand-in.
pub trait Service: Send + Sync + 'static {
    /// Whether a request on `path` is work that answer faults may hit, rather
    /// than a probe or a switch.
    fn is_work(&self, path: &str) -> bool;

    /// Answers one request, showing `fault` as far as it concerns the answer.
    /// An error closes the connection without an answer.
    fn call(
        self: Arc<Self>,
        request: Request,
        fault: Option<AnswerFault>,
    ) -> Boxed<http_types::Result<Response>>;
}

/// A stand-in that serves.
pub struct Running {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its switches.
    pub switches: Arc<Switches>,
}

/// Starts to serve on `address`; port 0 takes a free one. It ends with
/// [`Switches::stop`].
///
/// # Errors
/// When the address cannot be bound.
pub fn start(
    executor: &Arc<Executor<'static>>,
    address: SocketAddr,
    switches: Arc<Switches>,
    service: Arc<dyn Service>,
) -> io::Result<Running> {
    let listener = Async::<TcpListener>::bind(address)?;
    let address = listener.get_ref().local_addr()?;
    let acceptor = Acceptor {
        executor: executor.clone(),
        address,
        switches: switches.clone(),
        service,
    };
    executor.spawn(acceptor.run(listener)).detach();
    Ok(Running { address, switches })
}

struct Acceptor {
    executor: Arc<Executor<'static>>,
    address: SocketAddr,
    switches: Arc<Switches>,
    service: Arc<dyn Service>,
}

impl Acceptor {
    /// Serves one life after the other.
    async fn run(self, first: Async<TcpListener>) {
        let mut listener = first;
        loop {
            let life = self.switches.life();
            life.clone().ended().or(self.accept(&listener, &life)).await;
            drop(listener);
            if !self.switches.until_restart().await {
                return;
            }
            listener = self.bind_again().await;
        }
    }

    async fn accept(&self, listener: &Async<TcpListener>, life: &Signal) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.spawn_connection(stream, life.clone()),
                // For example too many open files: others may close.
                Err(_) => {
                    Timer::after(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn bind_again(&self) -> Async<TcpListener> {
        loop {
            match Async::<TcpListener>::bind(self.address) {
                Ok(listener) => return listener,
                Err(_) => {
                    Timer::after(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Serves `stream` for as long as the life that accepted it.
    fn spawn_connection(&self, stream: Async<TcpStream>, life: Signal) {
        // Small writes follow each other; without this they wait for acks.
        let _ = stream.get_ref().set_nodelay(true);
        let connection = FaultyStream::new(stream, self.switches.clone(), self.service.clone());
        let served = connection::serve(connection, self.service.clone());
        self.executor.spawn(life.ended().or(served)).detach();
    }
}
