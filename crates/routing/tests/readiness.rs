//! Whether a node may serve with its configuration.

use std::time::Duration;

use molespan_routing::readiness::{
    ConfigurationChange, ConfigurationHolder, DEFAULT_CURRENCY_BOUND, Readiness,
};
use molespan_state::control::Configuration;
use molespan_types::{ConfigVersion, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn version(number: u64) -> Configuration {
    Configuration {
        version: ConfigVersion(number),
        ..Configuration::default()
    }
}

fn holder() -> ConfigurationHolder {
    ConfigurationHolder::new(DEFAULT_CURRENCY_BOUND)
}

#[test]
fn a_node_without_configuration_is_not_ready() {
    let mut holder = holder();
    assert_eq!(holder.readiness(at(0)), Readiness::NoConfiguration);
    // A confirmation of a version that the node does not have has no effect.
    assert!(!holder.confirm(at(0), ConfigVersion(3)));
    assert_eq!(holder.readiness(at(0)), Readiness::NoConfiguration);
}

#[test]
fn a_restarted_node_is_not_ready_until_its_version_is_confirmed() {
    let mut holder = holder();
    holder.restore(version(7));
    assert_eq!(holder.readiness(at(0)), Readiness::NotCurrent);
    assert!(!holder.confirm(at(1), ConfigVersion(8)));
    assert_eq!(holder.readiness(at(1)), Readiness::NotCurrent);
    holder.offer(version(8));
    assert!(holder.confirm(at(2), ConfigVersion(8)));
    assert_eq!(holder.readiness(at(2)), Readiness::Ready);
}

#[test]
fn a_partitioned_node_becomes_unready_after_the_bound() {
    let mut holder = holder();
    holder.offer(version(1));
    holder.confirm(at(1_000), ConfigVersion(1));
    assert_eq!(holder.unready_at(), Some(at(9_000)));
    assert_eq!(holder.readiness(at(9_000)), Readiness::Ready);
    assert_eq!(holder.readiness(at(9_001)), Readiness::NotCurrent);
}

#[test]
fn a_slow_response_counts_from_its_request() {
    let mut holder = holder();
    holder.offer(version(1));
    // A request sent at 1 s and answered at 8 s leaves only 1 s of the bound.
    holder.confirm(at(1_000), ConfigVersion(1));
    // The response to an earlier request does not shorten the validity.
    holder.confirm(at(500), ConfigVersion(1));
    assert_eq!(holder.unready_at(), Some(at(9_000)));
}

#[test]
fn a_request_is_held_open_only_while_the_last_confirmation_is_recent() {
    let longest = Duration::from_secs(2);
    let mut holder = holder();
    holder.offer(version(1));
    // Without a confirmation, a restarted node must get an immediate response.
    assert_eq!(holder.watch_wait(at(0), longest), Duration::ZERO);
    holder.confirm(at(1_000), ConfigVersion(1));
    for (now, wait) in [
        (1_000, 2_000),
        (3_000, 2_000),
        (4_500, 500),
        (5_000, 0),
        (20_000, 0),
    ] {
        let wait = Duration::from_millis(wait);
        assert_eq!(holder.watch_wait(at(now), longest), wait, "at {now} ms");
    }
}

#[test]
fn an_older_version_from_a_lagging_replica_is_not_applied() {
    let mut holder = holder();
    holder.offer(version(5));
    assert_eq!(holder.offer(version(4)), ConfigurationChange::Kept);
    assert_eq!(holder.offer(version(5)), ConfigurationChange::Kept);
    assert_eq!(
        holder.offer(version(9)),
        ConfigurationChange::InForce {
            from: ConfigVersion(5),
            to: ConfigVersion(9)
        }
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// A ready node has a version at least as new as one confirmed within the bound, and
    /// its version never decreases.
    #[test]
    fn ready_means_confirmed_within_the_bound(
        inputs in prop::collection::vec((0_u64..2_000, 0_u64..6, any::<bool>()), 1..60),
    ) {
        let bound = Duration::from_secs(8);
        let mut holder = ConfigurationHolder::new(bound);
        let mut now = 0;
        let mut confirmed: Option<u64> = None;
        let mut highest = 0;
        for (passed, number, confirms) in inputs {
            now += passed;
            if confirms {
                let counts = holder.confirm(at(now), ConfigVersion(number));
                prop_assert!(!counts || holder.version().0 >= number);
                confirmed = if counts { Some(now) } else { confirmed };
            } else {
                holder.offer(version(number));
            }
            prop_assert!(holder.version().0 >= highest);
            highest = holder.version().0;
            let fresh = confirmed.is_some_and(|confirmed| now - confirmed <= 8_000);
            let ready = holder.readiness(at(now)) == Readiness::Ready;
            prop_assert_eq!(ready, fresh && holder.in_force().is_some());
        }
    }
}
