//! Identifiers: numeric where they are sent often, text where people choose them.

use derive_more::{Display, From};
use minicbor::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Declares a numeric identifier that is encoded as a bare integer.
macro_rules! numeric_identifier {
    ($(#[$meta:meta])* $name:ident($inner:ty)) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From,
            Encode, Decode, Serialize, Deserialize,
        )]
        #[cbor(transparent)]
        #[serde(transparent)]
        pub struct $name(#[n(0)] pub $inner);

        impl $name {
            /// Returns the next identifier.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

/// Declares a name chosen by people, encoded as text.
macro_rules! text_identifier {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From,
            Encode, Decode, Serialize, Deserialize,
        )]
        #[cbor(transparent)]
        #[serde(transparent)]
        pub struct $name(#[n(0)] pub String);

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
    };
}

numeric_identifier! {
    /// A `molespand` process, identified by the number in its settings file.
    NodeId(u32)
}
numeric_identifier! {
    /// An engine or application back end, identified by its number in the platform list.
    BackendId(u32)
}
numeric_identifier! {
    /// An incarnation of a back end or node. Increases with every restart.
    Incarnation(u64)
}
numeric_identifier! {
    /// A replicated group. Group 0 holds configuration; the others hold jobs.
    GroupId(u32)
}
numeric_identifier! {
    /// The position of an item in its job, from 0.
    ItemIndex(u32)
}
numeric_identifier! {
    /// A lease on a range of items, unique within its group.
    LeaseId(u64)
}
numeric_identifier! {
    /// The version of the configuration. Increases by one with every accepted change.
    ConfigVersion(u64)
}
numeric_identifier! {
    /// A number that increases with every order. A back end rejects orders with a lower
    /// number.
    FencingToken(u64)
}

text_identifier! {
    /// A tenant, the unit of rate limiting and fair sharing.
    TenantId
}
text_identifier! {
    /// A service that callers address.
    ServiceName
}
text_identifier! {
    /// A model that engines serve.
    ModelName
}
text_identifier! {
    /// A version of the software that an engine runs.
    SoftwareVersion
}
text_identifier! {
    /// A zone: the set of processes that a network partition may isolate together.
    ZoneName
}

impl NodeId {
    /// Returns the number of the node that listens on `address`. Addresses are
    /// unique in a cluster, so a node needs no other identifier, and its address
    /// can be derived without a directory.
    #[must_use]
    pub fn of_address(address: std::net::Ipv4Addr) -> Self {
        Self(u32::from(address))
    }

    /// Returns the address from which [`NodeId::of_address`] derived this number.
    #[must_use]
    pub fn address(self) -> std::net::Ipv4Addr {
        std::net::Ipv4Addr::from(self.0)
    }
}

impl GroupId {
    /// The group of ordered batch jobs, outside the range of the numbered job groups.
    pub const BATCH: GroupId = GroupId(1 << 16);

    /// The group that holds configuration, nodes and placement.
    pub const CONTROL: GroupId = GroupId(0);
}

/// A batch job. The number is derived from the tenant and the job key, so that a
/// resubmission through any gateway refers to the same job.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Encode, Decode,
)]
#[display("job-{_0:016x}")]
#[cbor(transparent)]
pub struct JobId(#[n(0)] pub u64);

impl JobId {
    /// Prefix of the text form.
    const PREFIX: &'static str = "job-";

    /// Returns the identifier of the job that `tenant` submits under `key`.
    #[must_use]
    pub fn from_key(tenant: &TenantId, key: &str) -> Self {
        let joined = format!("{}\n{}", tenant.0, key);
        Self(xxhash_rust::xxh3::xxh3_64(joined.as_bytes()))
    }

    /// Parses the text form: `job-` followed by 16 hexadecimal digits.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix(Self::PREFIX)?;
        u64::from_str_radix(digits, 16).ok().map(Self)
    }

    /// Returns the group that holds this job, out of `job_groups` groups numbered
    /// from 1.
    ///
    /// # Panics
    /// When `job_groups` is 0, which the settings reject.
    #[must_use]
    pub fn group(self, job_groups: u32) -> GroupId {
        let slot = self.0 % u64::from(job_groups);
        GroupId(1 + slot as u32)
    }
}

/// One attempt at running a request on a back end. Engines echo the identifier, and
/// a response with a different one is rejected as belonging to another attempt.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Encode, Decode,
)]
#[display("{node:x}-{sequence:x}")]
pub struct AttemptId {
    /// The node that started the attempt, combined with its incarnation, so that it
    /// changes with each restart.
    #[n(0)]
    pub node: u64,
    /// Sequence number of the attempt at that node.
    #[n(1)]
    pub sequence: u64,
}
