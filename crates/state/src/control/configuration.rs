//! What operators decide: services, models, adapters, tenants and policy.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};
use molespan_types::{ConfigVersion, ModelName, ServiceName, TenantId};
use serde::{Deserialize, Serialize};

/// What kind of back end serves a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[cbor(index_only)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Model engines that answer completions.
    #[n(0)]
    Completion,
    /// Plain application back ends, passed through as ordinary HTTP.
    #[n(1)]
    Application,
}

/// A service that callers address by name.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Service {
    /// What serves it.
    #[n(0)]
    pub kind: ServiceKind,
    /// Model it runs; `None` for an application.
    #[n(1)]
    #[serde(default)]
    pub model: Option<ModelName>,
    /// Adapters its engines must have ready.
    #[n(2)]
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Most online requests in flight through one gateway.
    #[n(3)]
    pub max_concurrency: u32,
    /// Most online requests queued in one gateway.
    #[n(4)]
    pub max_queue: u32,
    /// Longest time in that queue, in milliseconds.
    #[n(5)]
    pub queue_timeout_ms: u32,
    /// Whether batch work may use its engines.
    #[n(6)]
    pub batch: bool,
    /// Engines that should have its model loaded.
    #[n(7)]
    #[serde(default)]
    pub replicas: u32,
}

/// A model and the version of its weights that should be in service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Model {
    /// Version of the weights.
    #[n(0)]
    pub version: u32,
}

/// An adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Adapter {
    /// Model it belongs to.
    #[n(0)]
    pub model: ModelName,
    /// Version of its weights.
    #[n(1)]
    pub version: u32,
}

/// Limits of one tenant at one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct TenantLimits {
    /// Sustained online requests a second.
    #[n(0)]
    pub requests_per_second: u32,
    /// Requests that may come at once above that rate.
    #[n(1)]
    pub burst: u32,
    /// Weight of its jobs against those of other tenants.
    #[n(2)]
    pub batch_weight: u32,
}

/// How batch work and online latency are weighed.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Policy {
    /// 0 fills engines with batch work, 100 guards the online tail above all.
    #[n(0)]
    pub tail_protection: u8,
}

impl Default for Policy {
    fn default() -> Self {
        const EVEN: u8 = 50;
        Self {
            tail_protection: EVEN,
        }
    }
}

/// The whole configuration at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Configuration {
    /// Rises by one with every accepted change.
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
    /// Limits of tenants; one that is missing has the defaults of the gateway.
    #[n(4)]
    pub tenants: BTreeMap<TenantId, TenantLimits>,
    /// Policy.
    #[n(5)]
    pub policy: Policy,
}

/// One change that an intent asks for.
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
