//! Relays between zones forward bytes and hold them while a zone is partitioned.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use molespan_bench::run::fleet::network::ZoneNetwork;

/// Timeout for expected bytes.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which no bytes may arrive.
const QUIET_PERIOD: Duration = Duration::from_millis(100);

/// Starts a server that echoes the bytes of each connection.
fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || echo(stream));
        }
    });
    address
}

fn echo(mut stream: TcpStream) {
    let mut buffer = [0; 1_024];
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        if stream.write_all(&buffer[..count]).is_err() {
            return;
        }
    }
}

fn network_to(target: SocketAddr) -> (ZoneNetwork, TcpStream) {
    let mut network = ZoneNetwork::new(2, Duration::from_millis(1));
    network.expose(target, 0).expect("a relay");
    let stream = TcpStream::connect(network.address_from(1, target)).expect("a connection");
    (network, stream)
}

fn expect_echo(stream: &mut TcpStream, text: &[u8]) {
    stream
        .set_read_timeout(Some(RECEIVE_TIMEOUT))
        .expect("a read timeout");
    let mut answer = vec![0; text.len()];
    stream.read_exact(&mut answer).expect("an answer");
    assert_eq!(answer, text);
}

#[test]
fn only_foreign_zones_go_through_a_relay() {
    let target = echo_server();
    let (network, mut stream) = network_to(target);
    assert_eq!(network.address_from(0, target), target);
    assert_ne!(network.address_from(1, target), target);
    stream.write_all(b"hello").expect("bytes are taken");
    expect_echo(&mut stream, b"hello");
}

#[test]
fn a_cut_holds_bytes_until_the_zone_is_joined_again() {
    for cut_zone in [0, 1] {
        let (network, mut stream) = network_to(echo_server());
        network.set_cut(cut_zone, true);
        stream.write_all(b"held").expect("bytes are taken");
        stream
            .set_read_timeout(Some(QUIET_PERIOD))
            .expect("a read timeout");
        let error = stream.read(&mut [0; 4]).expect_err("nothing comes");
        assert!(matches!(
            error.kind(),
            ErrorKind::WouldBlock | ErrorKind::TimedOut
        ));
        network.set_cut(cut_zone, false);
        expect_echo(&mut stream, b"held");
    }
}
