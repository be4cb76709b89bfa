//! Usage reports about tenants that gateways and relays exchange.

use minicbor::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a tenant between gateways, in eight bytes regardless of the length of its
/// name.
pub type TenantKey = u64;

/// Returns the key of the tenant with this name.
pub(super) fn tenant_key(name: &str) -> TenantKey {
    xxh3_64(name.as_bytes())
}

/// Recent requests of one tenant at one gateway, or at several together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TenantUse {
    /// Key of the tenant.
    #[n(0)]
    pub tenant: TenantKey,
    /// Recent rate of admitted requests, per thousand seconds.
    #[n(1)]
    pub admitted: u64,
    /// Recent rate of incoming requests, per thousand seconds.
    #[n(2)]
    pub requested: u64,
    /// Estimate of the tokens left, in thousandths; `None` while the sender does not
    /// know.
    #[n(3)]
    pub left: Option<i64>,
}

impl TenantUse {
    /// Adds the usage at others. The lower of two estimates of the tokens left counts.
    pub(super) fn add(&mut self, others: &Self) {
        self.admitted = self.admitted.saturating_add(others.admitted);
        self.requested = self.requested.saturating_add(others.requested);
        self.left = match (self.left, others.left) {
            (Some(one), Some(other)) => Some(one.min(other)),
            (one, other) => one.or(other),
        };
    }
}

/// Usage report of one gateway, or of several together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Usage {
    /// Number of gateways that the report covers.
    #[n(0)]
    pub gateways: u32,
    /// Number of these gateways that reported recently; reports of the others are older.
    #[n(3)]
    pub fresh: u32,
    /// Whether one of the gateways knows how many tokens are left. If so, a tenant that
    /// is not listed has all of its tokens.
    #[n(1)]
    pub settled: bool,
    /// Tenants that sent requests recently or do not have all of their tokens.
    #[n(2)]
    pub tenants: Vec<TenantUse>,
}
