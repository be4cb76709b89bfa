//! Identifies the tenant of a request and checks its limit.

use std::collections::HashMap;
use std::rc::Rc;

use molespan_routing::queue::Rank;
use molespan_routing::quota::Limit;
use molespan_state::declared::{KeyDigest, Route, ServingModel, Tenant};
use slog::info;

use crate::dialect::{Credential, Refusal};
use crate::request::CONFIGURATION_RETRY_AFTER;
use crate::state::{GatewayState, InForce};

/// Tenants by key, and their ranks.
#[derive(Debug)]
pub(crate) struct Keys {
    holders: HashMap<KeyDigest, Rc<str>>,
    /// Ranks of the tenants that have one.
    ranks: HashMap<Rc<str>, u32>,
}

impl Keys {
    pub fn new(tenants: &[Tenant]) -> Self {
        let mut holders = HashMap::new();
        let mut ranks = HashMap::new();
        for tenant in tenants {
            let name: Rc<str> = tenant.name.as_str().into();
            if let Some(rank) = tenant.priority {
                ranks.insert(name.clone(), rank);
            }
            for key in &tenant.keys {
                holders.insert(*key, name.clone());
            }
        }
        Self { holders, ranks }
    }

    fn rank(&self, tenant: &str) -> Option<u32> {
        self.ranks.get(tenant).copied()
    }
}

/// Returns the limits of all tenants that have one.
pub(crate) fn limits(model: &ServingModel) -> impl Iterator<Item = (&str, Limit)> {
    let tenants = model.tenants.iter().flatten();
    tenants.filter_map(|tenant| {
        let limit = tenant.limit?;
        let limit = Limit {
            per_second: limit.per_second(),
            burst: f64::from(limit.burst),
        };
        Some((tenant.name.as_str(), limit))
    })
}

impl InForce {
    /// Returns the rank of a tenant's requests on a route.
    pub fn rank(&self, route: &Route, tenant: Option<&str>) -> Rank {
        let keys = self.keys.as_ref().zip(tenant);
        let own = keys.and_then(|(keys, tenant)| keys.rank(tenant));
        Rank::new(own, route.priority)
    }

    /// Returns the tenant of a request that carries `credential`; `None` if there are no
    /// tenants, or for a request without a key on an anonymous route.
    ///
    /// # Errors
    /// When the key is unknown, malformed or missing.
    fn tenant(&self, credential: Credential, anonymous: bool) -> Result<Option<Rc<str>>, Refusal> {
        let Some(keys) = &self.keys else {
            return Ok(None);
        };
        match credential {
            Credential::Missing if anonymous => Ok(None),
            Credential::Key(key) => match keys.holders.get(&key) {
                Some(name) => Ok(Some(name.clone())),
                None => Err(Refusal::UnknownKey),
            },
            Credential::Missing | Credential::Malformed => Err(Refusal::UnknownKey),
        }
    }
}

impl GatewayState {
    /// Returns the tenant of a request; see [`InForce::tenant`].
    ///
    /// # Errors
    /// Also when this gateway may have missed the revocation of the key.
    pub fn tenant(
        &self,
        in_force: &InForce,
        credential: Credential,
        anonymous: bool,
    ) -> Result<Option<Rc<str>>, Refusal> {
        let tenant = in_force.tenant(credential, anonymous)?;
        match tenant.is_none() || self.has_current_keys() {
            true => Ok(tenant),
            false => Err(Refusal::NoConfiguration {
                retry_after: CONFIGURATION_RETRY_AFTER,
            }),
        }
    }

    /// Counts a tenant's request against its limit.
    ///
    /// # Errors
    /// When the tenant exceeds its limit.
    pub fn admit(&self, request: &str, tenant: &str) -> Result<(), Refusal> {
        let admitted = self.tenants.borrow_mut().admit(tenant, self.now());
        admitted.map_err(|refused| {
            info!(self.logger, "tenant over its limit"; "request" => request, "tenant" => tenant,
                "left" => format!("{:.1}", refused.left),
                "others_asked" => format!("{:.1}", refused.others_asked),
                "told_ago_ms" => refused.last_report_age.map(|ago| ago.as_millis() as u64),
                "retry_after_ms" => refused.retry_after.as_millis() as u64);
            Refusal::OverLimit {
                retry_after: refused.retry_after,
            }
        })
    }
}
