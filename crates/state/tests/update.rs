//! Configuration updates for nodes with an older version.

use molespan_state::control::{
    Adapter, Change, Configuration, ConfigurationDelta, ConfigurationHistory, ConfigurationUpdate,
    Model, Policy, Service, ServiceKind, TenantLimits, UpdateError, apply_changes,
};
use molespan_state::{decode, encode};
use molespan_types::{ConfigVersion, Digest, ModelName, ServiceName, TenantId};
use proptest::prelude::*;

/// Generates any change over few names, so that changes affect each other.
fn any_change() -> impl Strategy<Value = Change> {
    let name = 0..4_u8;
    let number = 1..4_u32;
    (0..8_u8, name, number).prop_map(|(kind, name, number)| change(kind, name, number))
}

fn change(kind: u8, name: u8, number: u32) -> Change {
    let text = format!("name-{name}");
    let service = ServiceName::from(text.as_str());
    let model = ModelName::from(text.as_str());
    match kind {
        0 => Change::PutService {
            name: service,
            service: service_of(number),
        },
        1 => Change::DeleteService { name: service },
        2 => Change::PutModel {
            name: model,
            model: Model { version: number },
        },
        3 => Change::DeleteModel { name: model },
        4 => Change::PutAdapter {
            name: text,
            adapter: Adapter {
                model,
                version: number,
            },
        },
        5 => Change::DeleteAdapter { name: text },
        6 => Change::PutTenant {
            name: TenantId::from(text.as_str()),
            limits: TenantLimits {
                requests_per_second: number,
                burst: number,
                batch_weight: number,
            },
        },
        _ => Change::PutPolicy {
            policy: Policy {
                tail_protection: number as u8,
            },
        },
    }
}

fn service_of(number: u32) -> Service {
    Service {
        kind: ServiceKind::Application,
        model: None,
        adapters: Vec::new(),
        max_concurrency: number,
        max_queue: number,
        queue_timeout_ms: number,
        batch: false,
        replicas: 0,
    }
}

/// Returns the configuration after `changes`, with the next version.
fn after(old: &Configuration, changes: &[Change]) -> Configuration {
    let mut new = old.clone();
    apply_changes(&mut new, changes);
    new.version = old.version.next();
    new
}

/// Returns versions 1 to `count` of a configuration with several tenants.
fn versions(count: u32) -> Vec<Configuration> {
    let mut first = Configuration::default();
    let tenants: Vec<Change> = (0..4).map(|name| change(6, name, 1)).collect();
    first = after(&first, &tenants);
    let mut all = vec![first];
    for number in 1..count {
        let last = &all[all.len() - 1];
        let next = after(last, &[change(7, 0, number % 100)]);
        all.push(next);
    }
    all
}

fn read(history: &mut ConfigurationHistory, held: ConfigVersion) -> Option<ConfigurationUpdate> {
    let bytes = history.update_for(held)?;
    Some(decode(&bytes).expect("an update"))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    /// An update leads to exactly the newest configuration from every version, whether or
    /// not the replica observed it.
    #[test]
    fn every_update_leads_to_the_newest(
        steps in prop::collection::vec(prop::collection::vec(any_change(), 0..4), 1..12),
        seen in prop::collection::vec(any::<bool>(), 12),
    ) {
        let mut all = vec![Configuration::default()];
        let mut history = ConfigurationHistory::default();
        for (changes, seen) in steps.iter().zip(&seen) {
            let next = after(&all[all.len() - 1], changes);
            if *seen {
                history.advance(next.clone());
            }
            all.push(next);
        }
        let newest = all.iter().find(|one| one.version == history.version());
        for held in &all {
            match read(&mut history, held.version) {
                Some(update) => {
                    let reached = update.apply_to(Some(held)).expect("the update applies");
                    prop_assert_eq!(Some(&reached), newest);
                }
                None => prop_assert!(held.version >= history.version()),
            }
        }
    }
}

#[test]
fn node_slightly_behind_gets_a_delta() {
    let all = versions(3);
    let mut history = ConfigurationHistory::default();
    for one in &all {
        history.advance(one.clone());
    }
    let update = read(&mut history, ConfigVersion(2)).expect("3 is newer");
    let ConfigurationUpdate::Delta(delta) = update else {
        panic!("{update:?}");
    };
    assert_eq!((delta.from, delta.to), (ConfigVersion(2), ConfigVersion(3)));
    assert_eq!(delta.changes.len(), 1);
}

#[test]
fn node_far_behind_or_without_configuration_gets_the_whole() {
    const MORE_THAN_RETAINED: u32 = 200;
    let all = versions(MORE_THAN_RETAINED);
    let mut history = ConfigurationHistory::default();
    for one in &all {
        history.advance(one.clone());
    }
    let newest = all[all.len() - 1].clone();
    for held in [0, 1] {
        let update = read(&mut history, ConfigVersion(held));
        assert_eq!(update, Some(ConfigurationUpdate::Whole(newest.clone())));
    }
    assert_eq!(read(&mut history, newest.version), None);
}

#[test]
fn an_older_configuration_changes_nothing() {
    let all = versions(3);
    let mut history = ConfigurationHistory::default();
    history.advance(all[2].clone());
    history.advance(all[0].clone());
    assert_eq!(history.version(), ConfigVersion(3));
}

#[test]
fn delta_applies_only_to_its_base_version() {
    let all = versions(3);
    let delta = ConfigurationDelta {
        from: ConfigVersion(2),
        to: ConfigVersion(3),
        changes: Vec::new(),
        digest: Digest(1),
    };
    let update = ConfigurationUpdate::Delta(delta);
    let other = UpdateError::OtherVersion {
        from: ConfigVersion(2),
        held: ConfigVersion(1),
    };
    assert_eq!(update.clone().apply_to(Some(&all[0])), Err(other));
    let none = UpdateError::OtherVersion {
        from: ConfigVersion(2),
        held: ConfigVersion(0),
    };
    assert_eq!(update.clone().apply_to(None), Err(none));
    // The version matches, but the content of the node differs from the replica's.
    let to = ConfigVersion(3);
    assert_eq!(
        update.apply_to(Some(&all[1])),
        Err(UpdateError::OtherResult { to })
    );
}

#[test]
fn updates_round_trip() {
    let whole = ConfigurationUpdate::Whole(versions(1)[0].clone());
    let read: ConfigurationUpdate = decode(&encode(&whole)).expect("an update");
    assert_eq!(read, whole);
}
