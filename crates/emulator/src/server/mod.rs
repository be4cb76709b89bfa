//! Listening sockets of the emulated services, with connection faults.
//!
//! The accept loop of `molespan-http` is not used, since an emulated service must
//! be able to break a connection at any byte.

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
pub use switches::ServiceControls;
use switches::Signal;

/// Delay before retrying to bind or accept.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Request handler of one emulated service.
pub trait Service: Send + Sync + 'static {
    /// Whether answer faults may affect requests to `path`. Probes and control
    /// requests are exempt.
    fn accepts_answer_faults(&self, path: &str) -> bool;

    /// Handles one request and applies `fault` if it concerns the content of the
    /// response. An error closes the connection without a response.
    fn call(
        self: Arc<Self>,
        request: Request,
        fault: Option<AnswerFault>,
    ) -> Boxed<http_types::Result<Response>>;
}

/// A running emulated service.
pub struct Running {
    /// Bound listen address.
    pub address: SocketAddr,
    /// Fault and lifecycle controls.
    pub controls: Arc<ServiceControls>,
}

/// Starts serving on `address` until [`ServiceControls::stop`] is called. Port 0 selects
/// a free port.
///
/// # Errors
/// If the address cannot be bound.
pub fn start(
    executor: &Arc<Executor<'static>>,
    address: SocketAddr,
    controls: Arc<ServiceControls>,
    service: Arc<dyn Service>,
) -> io::Result<Running> {
    let listener = Async::<TcpListener>::bind(address)?;
    let address = listener.get_ref().local_addr()?;
    let acceptor = Acceptor {
        executor: executor.clone(),
        address,
        controls: controls.clone(),
        service,
    };
    executor.spawn(acceptor.run(listener)).detach();
    Ok(Running { address, controls })
}

struct Acceptor {
    executor: Arc<Executor<'static>>,
    address: SocketAddr,
    controls: Arc<ServiceControls>,
    service: Arc<dyn Service>,
}

impl Acceptor {
    /// Serves one incarnation after the other until the service is stopped.
    async fn run(self, first: Async<TcpListener>) {
        let mut listener = first;
        loop {
            let incarnation_end = self.controls.incarnation_end();
            incarnation_end
                .clone()
                .wait()
                .or(self.accept(&listener, &incarnation_end))
                .await;
            drop(listener);
            if !self.controls.wait_for_restart().await {
                return;
            }
            listener = self.rebind().await;
        }
    }

    async fn accept(&self, listener: &Async<TcpListener>, incarnation_end: &Signal) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.spawn_connection(stream, incarnation_end.clone()),
                // A temporary error such as too many open files, which may
                // resolve when other connections close.
                Err(_) => {
                    Timer::after(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn rebind(&self) -> Async<TcpListener> {
        loop {
            match Async::<TcpListener>::bind(self.address) {
                Ok(listener) => return listener,
                Err(_) => {
                    Timer::after(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Serves `stream` until it is closed or the incarnation that accepted it ends.
    fn spawn_connection(&self, stream: Async<TcpStream>, incarnation_end: Signal) {
        // Responses consist of several small writes; with Nagle's algorithm they
        // would wait for acknowledgements.
        let _ = stream.get_ref().set_nodelay(true);
        let connection = FaultyStream::new(stream, self.controls.clone(), self.service.clone());
        let served = connection::serve(connection, self.service.clone());
        self.executor
            .spawn(incarnation_end.wait().or(served))
            .detach();
    }
}
