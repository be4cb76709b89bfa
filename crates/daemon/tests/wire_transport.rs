//! The addresses under which the transport reaches other nodes.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use futures_lite::future;
use molespan_daemon::cluster::{PeerTransport, WireTransport};
use molespan_types::NodeId;
use molespan_wire::{ClientLimits, Request};

/// Maximum wait for an expected connection.
const PATIENCE: Duration = Duration::from_secs(30);

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    (listener, address)
}

#[test]
fn an_address_from_the_settings_overrides_a_learned_one() {
    let (configured, configured_address) = listener();
    let (learnt, learnt_address) = listener();
    let executor = Arc::new(Executor::new());
    let addresses = [(NodeId(1), configured_address)];
    let limits = ClientLimits::default();
    let transport = WireTransport::new(executor.clone(), addresses, limits, 1);
    transport.update_address(NodeId(1), &learnt_address.to_string());
    transport.update_address(NodeId(2), &learnt_address.to_string());
    for (node, expected) in [(NodeId(1), configured), (NodeId(2), learnt)] {
        let accepting = blocking_accept(expected);
        let call = transport.call(node, request(), PATIENCE);
        let connected = async {
            // The listener does not answer; only the connection is checked.
            future::or(async { accepting.recv().await.is_ok() }, async {
                call.await.is_ok()
            })
            .await
        };
        assert!(async_io::block_on(executor.run(connected)), "{node}");
    }
}

/// Returns the connection that `listener` accepts, still open: a call on a connection
/// that is closed immediately could fail before the test receives the connection.
fn blocking_accept(listener: TcpListener) -> async_channel::Receiver<TcpStream> {
    let (sender, receiver) = async_channel::bounded(1);
    std::thread::spawn(move || {
        if let Ok((stream, _)) = listener.accept() {
            // The receiver is dropped if the test has already failed.
            let _ = sender.send_blocking(stream);
        }
    });
    receiver
}

/// Any request.
fn request() -> Request {
    Request::Consensus {
        from: NodeId(9),
        messages: Vec::new(),
    }
}
