//! Placement and settings of the fleet's nodes.

use std::net::SocketAddr;
use std::path::Path;

use expect_test::expect;
use molespan_bench::run::arms::{Arm, Variant};
use molespan_bench::run::fleet::layout::{
    NodePlacement, ReservedAddresses, SettingsContext, node_places, node_settings,
};
use molespan_bench::run::fleet::operator::set_up_intent;
use molespan_bench::run::profile::Profile;
use molespan_settings::{Preemption, Role, Settings};

const ZONES: usize = 3;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn places() -> Vec<NodePlacement> {
    let addresses: Vec<_> = (9_001..9_013).map(address).collect();
    node_places(ZONES, &addresses)
}

fn settings_of(variant: Variant, position: usize) -> Settings {
    let profile = Profile::lab();
    let platforms = [address(8_001), address(8_002), address(8_003)];
    let context = SettingsContext {
        profile: &profile,
        variant,
        folder: Path::new("/data"),
        platforms: &platforms,
        weights: address(8_010),
    };
    let places = places();
    let place = &places[position];
    node_settings(&context, place, &places, |other| {
        match other.zone == place.zone {
            true => other.internal,
            false => address(other.internal.port() + 1_000),
        }
    })
}

#[test]
fn each_zone_has_a_replica_and_a_gateway() {
    let places = places();
    let names: Vec<_> = places.iter().map(|place| place.name.as_str()).collect();
    expect![[r#"
        [
            "replica-1",
            "replica-2",
            "replica-3",
            "gateway-1",
            "gateway-2",
            "gateway-3",
        ]
    "#]]
    .assert_debug_eq(&names);
}

#[test]
fn written_settings_are_valid_and_read_back() {
    for variant in [
        Variant::Molespan,
        Variant::RoundRobin,
        Variant::NoPreemption,
        Variant::EnginePriority,
    ] {
        for position in 0..places().len() {
            let settings = settings_of(variant, position);
            let parsed = Settings::parse(&settings.to_toml());
            assert_eq!(parsed.as_ref(), Ok(&settings));
        }
    }
}

#[test]
fn nodes_reach_other_zones_through_relays() {
    let settings = settings_of(Variant::Molespan, 3);
    assert!(settings.has_role(Role::Gateway));
    assert_eq!(settings.node.zone.as_str(), "north");
    let seen: Vec<_> = settings
        .peers
        .iter()
        .map(|peer| format!("{} {}", peer.name, peer.internal_address.port()))
        .collect();
    expect![[r#"
        [
            "replica-1 9002",
            "replica-2 10004",
            "replica-3 10006",
            "gateway-2 10010",
            "gateway-3 10012",
        ]
    "#]]
    .assert_debug_eq(&seen);
}

#[test]
fn baselines_differ_in_one_policy() {
    let molespan = settings_of(Variant::Molespan, 3);
    let baseline = settings_of(Variant::NoPreemption, 3);
    assert_eq!(molespan.policy.preemption, Preemption::OnArrival);
    assert_eq!(baseline.policy.preemption, Preemption::None);
    assert_eq!(molespan.policy.engine_choice, baseline.policy.engine_choice);
}

#[test]
fn reserved_addresses_differ_and_are_held() {
    let first = ReservedAddresses::new(16).expect("the system has free ports");
    let second = ReservedAddresses::new(16).expect("the system has free ports");
    let mut addresses = first.addresses().expect("bound addresses");
    addresses.extend(second.addresses().expect("bound addresses"));
    addresses.sort();
    addresses.dedup();
    assert_eq!(addresses.len(), 32);
}

#[test]
fn the_intent_creates_both_services() {
    let intent = set_up_intent(&Profile::archive());
    let json = serde_json::to_value(&intent).expect("an intent is plain data");
    let kinds: Vec<_> = json["changes"]
        .as_array()
        .expect("changes are a list")
        .iter()
        .map(|change| format!("{} {}", change["change"], change["name"]))
        .collect();
    expect![[r#"
        [
            "\"put_model\" \"caption\"",
            "\"put_service\" \"caption\"",
            "\"put_service\" \"albums\"",
            "\"put_policy\" null",
            "\"put_tenant\" \"residents\"",
            "\"put_tenant\" \"clerks\"",
        ]
    "#]]
    .assert_debug_eq(&kinds);
}

#[test]
fn lists_of_arms_are_checked_and_ordered() {
    let arms = Arm::parse_list("both,online,both").expect("the names are known");
    assert_eq!(arms, [Arm::Online, Arm::Both]);
    let error = Arm::parse_list("online,sometimes").expect_err("the name is unknown");
    expect!["--arms sometimes is unknown; known are direct, online, batch, both, throughput-end, tail-end, round-robin, no-preemption, engine-priority, faults"]
        .assert_eq(&error.to_string());
}
