//! Operator configuration: services, models, adapters, tenants and policy.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};
use molespan_types::{ConfigVersion, ModelName, ServiceName, TenantId};
use serde::{Deserialize, Serialize};

/// Kind of back end that serves a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[cbor(index_only)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Model engines that serve completions.
    #[n(0)]
    Completion,
    /// Application back ends, proxied as ordinary HTTP.
    #[n(1)]
    Application,
}

/// A service that callers address by name.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Service {
    /// Kind of back end.
    #[n(0)]
    pub kind: ServiceKind,
    /// Model that its engines run; `None` for an application.
    #[n(1)]
    #[serde(default)]
    pub model: Option<ModelName>,
    /// Adapters that its engines must have loaded.
    #[n(2)]
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Maximum number of online requests in flight through one gateway.
    #[n(3)]
    pub max_concurrency: u32,
    /// Maximum number of online requests queued in one gateway.
    #[n(4)]
    pub max_queue: u32,
    /// Maximum time in that queue, in milliseconds.
    #[n(5)]
    pub queue_timeout_ms: u32,
    /// Whether batch work may use its engines.
    #[n(6)]
    pub batch: bool,
    /// Number of engines that should have the model loaded.
    #[n(7)]
    #[serde(default)]
    pub replicas: u32,
}

/// A model and the version of its weights to serve.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Model {
    /// Version of the weights.
    #[n(0)]
    pub version: u32,
}

/// An adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Adapter {
    /// Model that the adapter belongs to.
    #[n(0)]
    pub model: ModelName,
    /// Version of the adapter weights.
    #[n(1)]
    pub version: u32,
}

/// Limits of one tenant at one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct TenantLimits {
    /// Sustained rate of online requests per second.
    #[n(0)]
    pub requests_per_second: u32,
    /// Number of requests allowed in a burst above that rate.
    #[n(1)]
    pub burst: u32,
    /// Scheduling weight of its jobs relative to other tenants.
    #[n(2)]
    pub batch_weight: u32,
}

/// Trade-off between batch throughput and online latency.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Policy {
    /// From 0 to 100: 0 maximizes batch throughput, 100 gives priority to online tail
    /// latency.
    #[n(0)]
    pub tail_protection: u8,
}

impl Default for Policy {
    fn default() -> Self {
        const DEFAULT_TAIL_PROTECTION: u8 = 50;
        Self {
            tail_protection: DEFAULT_TAIL_PROTECTION,
        }
    }
}

/// A complete configuration at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Configuration {
    /// Increases by one with every confirmed intent.
    #[n(0)]
    pub version: ConfigVersion,
    /// Services by name.
    #[n(1)]
    pub services: BTreeMap<ServiceName, Service>,
    /// Models by name.
    #[n(2)]
    pub models: BTreeMap<ModelName, Model>,
    /// Adapters by name.
    #[n(3)]
    pub adapters: BTreeMap<String, Adapter>,
    /// Limits of tenants; a tenant without an entry has the gateway's defaults.
    #[n(4)]
    pub tenants: BTreeMap<TenantId, TenantLimits>,
    /// Batch policy.
    #[n(5)]
    pub policy: Policy,
}

/// One change of an intent.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// Creates or replaces a service.
    #[n(0)]
    PutService {
        /// Name.
        #[n(0)]
        name: ServiceName,
        /// New definition.
        #[n(1)]
        service: Service,
    },
    /// Removes a service.
    #[n(1)]
    DeleteService {
        /// Name.
        #[n(0)]
        name: ServiceName,
    },
    /// Creates or replaces a model.
    #[n(2)]
    PutModel {
        /// Name.
        #[n(0)]
        name: ModelName,
        /// New definition.
        #[n(1)]
        model: Model,
    },
    /// Removes a model.
    #[n(3)]
    DeleteModel {
        /// Name.
        #[n(0)]
        name: ModelName,
    },
    /// Creates or replaces an adapter.
    #[n(4)]
    PutAdapter {
        /// Name.
        #[n(0)]
        name: String,
        /// New definition.
        #[n(1)]
        adapter: Adapter,
    },
    /// Removes an adapter.
    #[n(5)]
    DeleteAdapter {
        /// Name.
        #[n(0)]
        name: String,
    },
    /// Sets the limits of a tenant.
    #[n(6)]
    PutTenant {
        /// Tenant.
        #[n(0)]
        name: TenantId,
        /// New limits.
        #[n(1)]
        limits: TenantLimits,
    },
    /// Replaces the policy.
    #[n(7)]
    PutPolicy {
        /// New policy.
        #[n(0)]
        policy: Policy,
    },
}
