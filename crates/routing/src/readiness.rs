//! The configuration in force on a node, and whether the node may serve.
//!
//! A node keeps the newest configuration that it has received and never reverts to
//! an older one. It serves only while a quorum has confirmed, within a time bound,
//! that no newer configuration was accepted. After that bound it rejects new work as
//! not run.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use molespan_state::control::Configuration;
use molespan_types::mechanism::{Mechanism, enabled};
use molespan_types::{ConfigVersion, Timestamp};

/// Default time without confirmation after which a node becomes unready.
pub const DEFAULT_CURRENCY_BOUND: Duration = Duration::from_secs(8);

/// Whether a node may take new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Readiness {
    /// The node may take new work.
    #[display("ready")]
    Ready,
    /// The node has no configuration yet.
    #[display("no configuration yet")]
    NoConfiguration,
    /// The node could not confirm in time that its configuration is the newest.
    #[display("configuration not confirmed for too long")]
    NotCurrent,
}

/// Effect of offering a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigurationChange {
    /// The offered configuration is now in force.
    InForce {
        /// Previous version.
        from: ConfigVersion,
        /// New version.
        to: ConfigVersion,
    },
    /// The configuration in force was kept, since it is as new or newer.
    Kept,
}

/// The configuration in force on one node.
#[derive(Clone, Debug)]
pub struct ConfigurationHolder {
    bound: Duration,
    in_force: Option<Arc<Configuration>>,
    confirmed: Option<Timestamp>,
}

impl ConfigurationHolder {
    /// Creates a holder without a configuration. `bound` is the maximum age of the
    /// last confirmation.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            in_force: None,
            confirmed: None,
        }
    }

    /// Restores the configuration read from disk at start. It comes into force
    /// but remains unconfirmed.
    pub fn restore(&mut self, configuration: Configuration) -> ConfigurationChange {
        self.offer(configuration)
    }

    /// Puts a configuration in force if it is newer.
    pub fn offer(&mut self, configuration: Configuration) -> ConfigurationChange {
        let from = self.version();
        let to = configuration.version;
        let newer = self.in_force.is_none() || to > from;
        // Replicas lag by different amounts, so a response may carry an older version.
        if !newer && enabled(Mechanism::MonotoneConfiguration) {
            return ConfigurationChange::Kept;
        }
        self.in_force = Some(Arc::new(configuration));
        ConfigurationChange::InForce { from, to }
    }

    /// Records that a quorum confirmed `current` as the newest version, in response
    /// to a request sent at `sent`. The confirmation counts only if that version or
    /// a newer one is in force here, and its age is measured from `sent`, since the
    /// response may have been slow. Returns whether the confirmation counts.
    pub fn confirm(&mut self, sent: Timestamp, current: ConfigVersion) -> bool {
        let counts = self.in_force.is_some() && self.version() >= current;
        if counts {
            self.confirmed = self.confirmed.max(Some(sent));
        }
        counts
    }

    /// Whether the node may take new work.
    #[must_use]
    pub fn readiness(&self, now: Timestamp) -> Readiness {
        if self.in_force.is_none() {
            return Readiness::NoConfiguration;
        }
        let current = self
            .confirmed
            .is_some_and(|confirmed| now.since(confirmed) <= self.bound);
        if current || !enabled(Mechanism::CurrencyBound) {
            Readiness::Ready
        } else {
            Readiness::NotCurrent
        }
    }

    /// Returns when the node becomes unready without a further confirmation; `None`
    /// if there has been none.
    #[must_use]
    pub fn unready_at(&self) -> Option<Timestamp> {
        self.confirmed.map(|confirmed| confirmed + self.bound)
    }

    /// Returns how long the next request may be held open to wait for a change, at
    /// most `longest`. Confirmations are dated from their request, so a request held
    /// open does not help until it is answered. Returns zero if the last confirmation
    /// is missing or older than half the bound, which asks for an immediate response.
    #[must_use]
    pub fn watch_wait(&self, now: Timestamp, longest: Duration) -> Duration {
        let Some(confirmed) = self.confirmed else {
            return Duration::ZERO;
        };
        let age = now.since(confirmed);
        (self.bound / 2).saturating_sub(age).min(longest)
    }

    /// Returns the version in force; 0 without a configuration.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.in_force
            .as_ref()
            .map_or(ConfigVersion::default(), |configuration| {
                configuration.version
            })
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn in_force(&self) -> Option<&Arc<Configuration>> {
        self.in_force.as_ref()
    }
}
