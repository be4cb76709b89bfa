//! Ports for processes that must keep them over a restart.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port of a range below the system's ephemeral ports. An outgoing connection
/// could otherwise take the port of a process while it is down.
const FIRST: u16 = 15_000;
const COUNT: u16 = 16_000;
/// Distance between the ports at which two test processes start their search.
const STRIDE: u32 = 97;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address that nothing listens on.
pub fn free_address() -> SocketAddr {
    let start = std::process::id().wrapping_mul(STRIDE) % u32::from(COUNT);
    loop {
        let offset = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = FIRST + ((start + offset) % u32::from(COUNT)) as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
