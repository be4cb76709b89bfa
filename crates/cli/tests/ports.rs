//! Port selection for the processes of a fleet.

use std::collections::BTreeSet;

use molespan_cli::free_addresses;

#[test]
fn ports_lie_below_the_ephemeral_range() {
    let addresses = free_addresses(12).expect("free ports");
    let ports: BTreeSet<u16> = addresses.iter().map(|address| address.port()).collect();
    assert_eq!(ports.len(), 12);
    // Ephemeral ports, which the system assigns to outgoing connections.
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let range = range.expect("the range of ports for connections");
    let first: u16 = range
        .split_whitespace()
        .next()
        .and_then(|first| first.parse().ok())
        .expect("a port");
    assert!(ports.iter().all(|&port| port < first), "{ports:?} {first}");
}
