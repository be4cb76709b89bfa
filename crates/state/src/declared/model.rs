//! The typed content of a declared configuration.

use std::collections::BTreeSet;

use derive_more::Display;
use minicbor::{Decode, Encode};

use super::tenants::{self, Tenant};

/// What may be done with the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Encode, Decode)]
#[cbor(index_only)]
pub enum RouteKind {
    /// May run more than once.
    #[n(0)]
    #[display("safe")]
    Safe,
    /// Runs at most once.
    #[n(1)]
    #[display("unsafe")]
    Unsafe,
    /// The answer is a series of events; runs at most once unless resumable.
    #[n(2)]
    #[display("stream")]
    Stream,
    /// Jobs of many items that run later.
    #[n(3)]
    #[display("batch")]
    Batch,
}

/// A service that a route leads to, and its share.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Destination {
    /// Name of the service.
    #[n(0)]
    pub service: String,
    /// Share among the destinations of the route.
    #[n(1)]
    pub weight: u32,
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Route {
    /// Name for people.
    #[n(0)]
    pub name: String,
    /// Host, in lower case, without a port.
    #[n(1)]
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    #[n(2)]
    pub path_prefix: String,
    /// What may be repeated.
    #[n(3)]
    pub kind: RouteKind,
    /// Longest time that a request is held, in milliseconds.
    #[n(4)]
    pub timeout_ms: u32,
    /// Time within which an answer is worth most, in milliseconds.
    #[n(5)]
    pub target_latency_ms: u32,
    /// Longest pause between events of an answer in time, in milliseconds.
    #[n(6)]
    pub gap_target_ms: Option<u32>,
    /// Time within which a batch job is to be done, in milliseconds.
    #[n(7)]
    pub completion_target_ms: Option<u32>,
    /// Time after which an item may be given up, in milliseconds.
    #[n(8)]
    pub retention_ms: Option<u32>,
    /// Rank; 0 goes first.
    #[n(9)]
    pub priority: u32,
    /// Most engines that one request may be sent to.
    #[n(10)]
    pub max_attempts: u32,
    /// Whether requests gain from an engine that holds their prompt.
    #[n(11)]
    pub sticky: bool,
    /// Whether a broken stream may go on at another engine.
    #[n(12)]
    pub resumable: bool,
    /// Services and their shares.
    #[n(13)]
    pub destinations: Vec<Destination>,
    /// Tokens of batch items that may wait at once; none without a limit.
    #[n(14)]
    pub max_queued_tokens: Option<u64>,
    /// Whether its requests need no key where there are tenants.
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

/// What is known of the engines of a service that generate tokens.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EngineModel {
    /// Requests that run at the same time.
    #[n(0)]
    pub slots: u32,
    /// Tokens that fit in memory.
    #[n(1)]
    pub kv_capacity: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServiceModel {
    /// Name.
    #[n(0)]
    pub name: String,
    /// Path of the health check of its engines.
    #[n(1)]
    pub health_path: String,
    /// Most connections that an engine accepts from everybody together.
    #[n(2)]
    pub max_connections: u32,
    /// Engines that generate tokens; `None` for a plain application.
    #[n(3)]
    pub engine: Option<EngineModel>,
}

/// Bounds on what a caller may send and how long it may take.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CallerLimits {
    /// Longest head of a request, in bytes.
    #[n(0)]
    pub max_header_bytes: u32,
    /// Longest body of a request, in bytes.
    #[n(1)]
    pub max_body_bytes: u64,
    /// Longest time for a head to arrive, in milliseconds.
    #[n(2)]
    pub header_timeout_ms: u32,
    /// Longest rest of a connection between requests, in milliseconds.
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
    /// Bounds on callers.
    #[n(2)]
    pub limits: CallerLimits,
    /// Tenants, whose keys requests carry; `None` where nobody needs a key.
    #[n(3)]
    pub tenants: Option<Vec<Tenant>>,
}

impl ServingModel {
    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceModel> {
        self.services.iter().find(|service| service.name == name)
    }

    /// The route of a request: of those of `host`, the one with the longest
    /// prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let of_host = self.routes.iter().filter(|route| route.host == host);
        let fitting = of_host.filter(|route| path.starts_with(&route.path_prefix));
        fitting.max_by_key(|route| route.path_prefix.len())
    }

    /// Every reason why this must not come into force.
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
