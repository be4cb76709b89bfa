//! A gateway on a suspended machine: its monotonic clock stops while its leases expire
//! and new configurations become active.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use molespan_daemon::boot_clock::BootClock;
use molespan_emulator::fleet::FleetSettings;
use support::client::{get, post};
use support::{RunningGateway, World, small_fleet, wait_for};

/// Longer than any lease, and than the bound for confirming the configuration.
const SUSPENDED: Duration = Duration::from_secs(60);

fn suspended(world: &World, node: u32) -> (RunningGateway, Arc<AtomicU64>) {
    let skipped = Arc::new(AtomicU64::new(0));
    let clock = BootClock::with_offset(skipped.clone());
    let gateway = world.tuned_gateway(node, |options| options.clock = clock);
    (gateway, skipped)
}

fn suspend(skipped: &AtomicU64) {
    skipped.fetch_add(SUSPENDED.as_micros() as u64, Ordering::Relaxed);
}

/// Guards against a gateway that continues with items whose leases expired during the
/// suspension: other gateways ran them too, which produced two results for each.
#[test]
fn leases_expire_while_the_machine_is_suspended() {
    let world = World::start(&FleetSettings {
        engines: 1,
        ..small_fleet()
    });
    let (gateway, skipped) = suspended(&world, 11);
    let lines: String = (0..200)
        .map(|item| format!("{{\"prompt\":\"night {item}\",\"max_tokens\":100}}\n"))
        .collect();
    let path = "/v1/batches?service=caption&key=suspended";
    let accepted = post(gateway.address, path, &lines);
    assert_eq!(accepted.status, 202, "{accepted:?}");
    let engine = world.fleet.members[0].address;
    let running = || get(engine, "/load").json_value()["batch_running"].as_u64();
    wait_for("running batch work", || running().unwrap_or(0) > 2);
    assert!(
        !gateway
            .decisions()
            .contains("it ran out on this node's clock")
    );
    suspend(&skipped);
    wait_for("a lease that ran out", || {
        gateway
            .decisions()
            .contains("it ran out on this node's clock")
    });
}

/// Another configuration may have become active during the suspension.
#[test]
fn a_suspended_gateway_is_not_ready_until_it_confirms_its_configuration() {
    let world = World::start(&small_fleet());
    let (gateway, skipped) = suspended(&world, 11);
    assert!(gateway.gateway.is_ready());
    suspend(&skipped);
    assert!(!gateway.gateway.is_ready());
    wait_for("a confirmation", || gateway.gateway.is_ready());
}
