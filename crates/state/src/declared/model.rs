//! The typed content of a declared configuration.

use std::collections::BTreeSet;

use derive_more::Display;
use minicbor::{Decode, Encode};

use super::tenants::{self, Tenant};

/// Kind of a route, which determines whether its requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Encode, Decode)]
#[cbor(index_only)]
pub enum RouteKind {
    /// Requests may run more than once.
    #[n(0)]
    #[display("safe")]
    Safe,
    /// Requests run at most once.
    #[n(1)]
    #[display("unsafe")]
    Unsafe,
    /// The answer is an event stream; requests run at most once unless resumable.
    #[n(2)]
    #[display("stream")]
    Stream,
    /// Batch jobs of many items that run later.
    #[n(3)]
    #[display("batch")]
    Batch,
}

/// A target service of a route and its weight.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Destination {
    /// Name of the service.
    #[n(0)]
    pub service: String,
    /// Weight among the destinations of the route.
    #[n(1)]
    pub weight: u32,
}

/// Routing rule for one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Route {
    /// Human-readable name.
    #[n(0)]
    pub name: String,
    /// Host, in lower case, without a port.
    #[n(1)]
    pub host: String,
    /// Path prefix, with a slash at both ends.
    #[n(2)]
    pub path_prefix: String,
    /// Kind of the route.
    #[n(3)]
    pub kind: RouteKind,
    /// Request timeout, in milliseconds.
    #[n(4)]
    pub timeout_ms: u32,
    /// Target latency of an answer, in milliseconds.
    #[n(5)]
    pub target_latency_ms: u32,
    /// Target for the maximum gap between events of an answer, in milliseconds.
    #[n(6)]
    pub gap_target_ms: Option<u32>,
    /// Target completion time of a batch job, in milliseconds.
    #[n(7)]
    pub completion_target_ms: Option<u32>,
    /// Time after which a batch item may be given up, in milliseconds.
    #[n(8)]
    pub retention_ms: Option<u32>,
    /// Priority; 0 is the highest.
    #[n(9)]
    pub priority: u32,
    /// Maximum number of engines that a request may be sent to.
    #[n(10)]
    pub max_attempts: u32,
    /// Whether requests benefit from an engine that has their prompt cached.
    #[n(11)]
    pub sticky: bool,
    /// Whether an interrupted stream may resume at another engine.
    #[n(12)]
    pub resumable: bool,
    /// Target services and their weights.
    #[n(13)]
    pub destinations: Vec<Destination>,
    /// Maximum number of waiting tokens of batch items; `None` means unlimited.
    #[n(14)]
    pub max_queued_tokens: Option<u64>,
    /// Whether requests need no API key although tenants are configured.
    #[n(15)]
    #[cbor(default)]
    pub anonymous: bool,
}

impl Route {
    /// Whether a request may run more than once.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe | RouteKind::Batch => true,
            RouteKind::Unsafe => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// Capacity of the token-generating engines of a service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EngineModel {
    /// Maximum number of concurrent requests.
    #[n(0)]
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    #[n(1)]
    pub kv_capacity: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServiceModel {
    /// Name.
    #[n(0)]
    pub name: String,
    /// Health check path of its engines.
    #[n(1)]
    pub health_path: String,
    /// Maximum number of connections that an engine accepts from all clients together.
    #[n(2)]
    pub max_connections: u32,
    /// Capacity of its token-generating engines; `None` for an application.
    #[n(3)]
    pub engine: Option<EngineModel>,
}

/// Size and time limits for requests from callers.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    #[n(0)]
    pub max_header_bytes: u32,
    /// Maximum size of a request body, in bytes.
    #[n(1)]
    pub max_body_bytes: u64,
    /// Maximum time to receive a request head, in milliseconds.
    #[n(2)]
    pub header_timeout_ms: u32,
    /// Maximum idle time of a connection between requests, in milliseconds.
    #[n(3)]
    pub idle_timeout_ms: u32,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// The content of a declared configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ServingModel {
    /// Routes.
    #[n(0)]
    pub routes: Vec<Route>,
    /// Services.
    #[n(1)]
    pub services: Vec<ServiceModel>,
    /// Limits for callers.
    #[n(2)]
    pub limits: CallerLimits,
    /// Tenants, identified by the API keys of requests; `None` if no request needs a key.
    #[n(3)]
    pub tenants: Option<Vec<Tenant>>,
}

impl ServingModel {
    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceModel> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the route of a request: among the routes of `host`, the one with the longest
    /// matching prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let fitting = self.fitting_routes(host, path);
        fitting.max_by_key(|route| route.path_prefix.len())
    }

    /// Returns the route of a job that was submitted to `path` and accepted by the route with
    /// this prefix, if that is known. All its items take it, whatever their own paths and
    /// whatever other routes have a longer prefix of the job's.
    #[must_use]
    pub fn batch_route(&self, host: &str, path: &str, prefix: Option<&str>) -> Option<&Route> {
        let fitting = self.fitting_routes(host, path);
        let batch = fitting.filter(|route| route.kind == RouteKind::Batch);
        let own = batch.filter(|route| prefix.is_none_or(|prefix| route.path_prefix == prefix));
        own.max_by_key(|route| route.path_prefix.len())
    }

    fn fitting_routes(&self, host: &str, path: &str) -> impl Iterator<Item = &Route> {
        let of_host = self.routes.iter().filter(move |route| route.host == host);
        of_host.filter(move |route| path.starts_with(&route.path_prefix))
    }

    /// Returns every reason why the configuration is invalid.
    #[must_use]
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let services: BTreeSet<&str> = self
            .services
            .iter()
            .map(|service| service.name.as_str())
            .collect();
        if services.len() != self.services.len() {
            problems.push("two services share a name".to_owned());
        }
        let mut places = BTreeSet::new();
        for route in &self.routes {
            route_problems(route, &services, &mut problems);
            if !places.insert((&route.host, &route.path_prefix)) {
                let message = format!("route {}: another one has its host and prefix", route.name);
                problems.push(message);
            }
        }
        tenants::problems(self.tenants.as_deref().unwrap_or_default(), &mut problems);
        problems
    }
}

fn route_problems(route: &Route, services: &BTreeSet<&str>, problems: &mut Vec<String>) {
    let mut report = |message: String| problems.push(format!("route {}: {message}", route.name));
    for destination in &route.destinations {
        if !services.contains(destination.service.as_str()) {
            report(format!("there is no service {}", destination.service));
        }
    }
    let total: u64 = route
        .destinations
        .iter()
        .map(|destination| u64::from(destination.weight))
        .sum();
    if total == 0 {
        report("the weights sum to 0".to_owned());
    }
    if route.timeout_ms == 0 {
        report("the timeout is 0".to_owned());
    }
    let prefix = &route.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        report(format!(
            "prefix {prefix} does not begin and end with a slash"
        ));
    }
}
