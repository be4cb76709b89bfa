//! A made-up fleet of any size: names, machines and configurations.

use molespan_engine_api::{Machine, MachineKind, MachineList, MachineState};
use molespan_membership::{GatewayRecord, GatewaySet, GatewaySetSettings};
use molespan_state::control::{Configuration, Model, Service, ServiceKind, TenantLimits};
use molespan_types::{
    BackendId, Incarnation, ModelName, NodeId, ServiceName, TenantId, Timestamp, ZoneName,
};

/// Zones of the fleet that the experiments build.
pub const ZONES: u32 = 17;
/// Models and services of it.
pub const SERVICES: u32 = 4;
/// A plausible incarnation: a start time in microseconds.
const INCARNATION: u64 = 1_790_000_000_000_000;

/// The zone that the thing of this number stands in.
#[must_use]
pub fn zone_of(number: u32) -> ZoneName {
    ZoneName(format!("zone-{:02}", number % ZONES))
}

/// The service of an engine, independent of its zone.
#[must_use]
pub fn service_of(engine: u32) -> ServiceName {
    service_name((engine / ZONES) % SERVICES)
}

/// Name of a service.
#[must_use]
pub fn service_name(number: u32) -> ServiceName {
    ServiceName(format!("service-{number:02}"))
}

/// Name of a tenant.
#[must_use]
pub fn tenant_name(number: u32) -> TenantId {
    TenantId(format!("tenant-{number:04}"))
}

/// The life of everything in the fleet.
#[must_use]
pub fn incarnation() -> Incarnation {
    Incarnation(INCARNATION)
}

/// The machine list of `engines` engines.
#[must_use]
pub fn machine_list(engines: u32, revision: u64) -> MachineList {
    MachineList {
        revision,
        machines: (0..engines).map(machine).collect(),
    }
}

fn machine(number: u32) -> Machine {
    Machine {
        id: BackendId(number),
        incarnation: incarnation(),
        kind: MachineKind::Engine,
        address: format!(
            "10.{}.{}.{}:8000",
            number >> 16,
            (number >> 8) & 255,
            number & 255
        ),
        zone: zone_of(number),
        service: service_of(number),
        state: MachineState::Live,
    }
}

/// What replicas say of `count` gateways.
#[must_use]
pub fn gateway_records(count: u32) -> Vec<GatewayRecord> {
    let records = (0..count).map(|number| GatewayRecord {
        node: NodeId(number),
        incarnation: incarnation(),
        zone: zone_of(number),
        draining: false,
    });
    records.collect()
}

/// A set of `count` live gateways.
#[must_use]
pub fn gateway_set(count: u32) -> GatewaySet {
    let mut set = GatewaySet::new(GatewaySetSettings::default());
    set.update(Timestamp::from_millis(1), gateway_records(count));
    set
}

/// A configuration with that many tenants and the services of the fleet.
#[must_use]
pub fn configuration(tenants: u32) -> Configuration {
    let mut configuration = Configuration::default();
    for number in 0..SERVICES {
        let model = ModelName(format!("model-{number:02}"));
        configuration
            .models
            .insert(model.clone(), Model { version: 1 });
        configuration
            .services
            .insert(service_name(number), service(model));
    }
    for number in 0..tenants {
        configuration
            .tenants
            .insert(tenant_name(number), tenant_limits(number));
    }
    configuration
}

fn service(model: ModelName) -> Service {
    Service {
        kind: ServiceKind::Completion,
        model: Some(model),
        adapters: Vec::new(),
        max_concurrency: 512,
        max_queue: 1024,
        queue_timeout_ms: 2000,
        batch: true,
        replicas: 2500,
    }
}

/// Limits of a tenant; they differ with `number`.
#[must_use]
pub fn tenant_limits(number: u32) -> TenantLimits {
    TenantLimits {
        requests_per_second: 100 + number % 100,
        burst: 200 + number % 100,
        batch_weight: 1 + number % 8,
    }
}
