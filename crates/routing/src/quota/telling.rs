//! What gateways and relays tell each other of tenants.

use minicbor::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_64;

/// Names a tenant between gateways, in eight bytes however long its name is.
pub type TenantKey = u64;

/// The key of the tenant of this name.
pub(super) fn tenant_key(name: &str) -> TenantKey {
    xxh3_64(name.as_bytes())
}

/// Requests of one tenant at one gateway, or at several together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct TenantUse {
    /// Tenant.
    #[n(0)]
    pub tenant: TenantKey,
    /// Requests admitted in a thousand seconds, as lately.
    #[n(1)]
    pub admitted: u64,
    /// Requests that came in a thousand seconds, as lately.
    #[n(2)]
    pub asked: u64,
    /// Thousandths of tokens that the teller believes to be left; `None` while it
    /// does not know.
    #[n(3)]
    pub left: Option<i64>,
}

impl TenantUse {
    /// Adds what others have. Of two beliefs the lower one counts.
    pub(super) fn add(&mut self, others: &Self) {
        self.admitted = self.admitted.saturating_add(others.admitted);
        self.asked = self.asked.saturating_add(others.asked);
        self.left = match (self.left, others.left) {
            (Some(one), Some(other)) => Some(one.min(other)),
            (one, other) => one.or(other),
        };
    }
}

/// What one gateway, or several together, tell of their tenants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Usage {
    /// Gateways that it is of.
    #[n(0)]
    pub gateways: u32,
    /// How many of them told it a moment ago; the others' words are older.
    #[n(3)]
    pub fresh: u32,
    /// Whether one of them knows how many tokens are left: a tenant that it does
    /// not name has all of them.
    #[n(1)]
    pub settled: bool,
    /// Tenants that sent requests lately or have not all of their tokens.
    #[n(2)]
    pub tenants: Vec<TenantUse>,
}
