//! Which configuration is in force on a node, and whether the node may serve.
//!
//! A node keeps the newest configuration it was given and never steps back. It
//! serves only while a quorum confirmed, not longer than a bound ago, that
//! nothing newer was accepted. Past the bound it refuses new work as not run.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use molespan_state::control::Configuration;
use molespan_types::mechanism::{Mechanism, enabled};
use molespan_types::{ConfigVersion, Timestamp};

/// Longest time without confirmation before a node turns unready.
pub const DEFAULT_CURRENCY_BOUND: Duration = Duration::from_secs(8);

/// Whether a node may take new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Readiness {
    /// It may.
    #[display("ready")]
    Ready,
    /// It has no configuration yet.
    #[display("no configuration yet")]
    NoConfiguration,
    /// It cannot confirm that its configuration is the newest.
    #[display("configuration not confirmed for too long")]
    NotCurrent,
}

/// What an offered configuration changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigurationChange {
    /// It is in force now.
    InForce {
        /// Version before.
        from: ConfigVersion,
        /// Version now.
        to: ConfigVersion,
    },
    /// The one in force is as new or newer.
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
    /// Holds nothing; `bound` is the currency bound.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            in_force: None,
            confirmed: None,
        }
    }

    /// Takes the configuration that was on disk at start. It is in force, but
    /// nothing confirms it yet.
    pub fn restore(&mut self, configuration: Configuration) -> ConfigurationChange {
        self.offer(configuration)
    }

    /// Puts a configuration in force if it is newer.
    pub fn offer(&mut self, configuration: Configuration) -> ConfigurationChange {
        let from = self.version();
        let to = configuration.version;
        let newer = self.in_force.is_none() || to > from;
        // Replicas lag differently, so an answer may carry an older version.
        if !newer && enabled(Mechanism::MonotoneConfiguration) {
            return ConfigurationChange::Kept;
        }
        self.in_force = Some(Arc::new(configuration));
        ConfigurationChange::InForce { from, to }
    }

    /// A quorum confirmed `current` as the newest version, in answer to a
    /// question sent at `sent`. That counts only if it is in force here, and
    /// from the time of the question, since the answer may have been slow.
    /// Returns whether it counts.
    pub fn confirm(&mut self, sent: Timestamp, current: ConfigVersion) -> bool {
        let holds_it = self.in_force.is_some() && self.version() >= current;
        if holds_it {
            self.confirmed = self.confirmed.max(Some(sent));
        }
        holds_it
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

    /// When the node turns unready unless it is confirmed before.
    #[must_use]
    pub fn unready_at(&self) -> Option<Timestamp> {
        self.confirmed.map(|confirmed| confirmed + self.bound)
    }

    /// How long the next question may be held open for news, at most
    /// `longest`. A confirmation counts from its question, so one that is held
    /// open helps only when it is answered; a node whose last confirmation is
    /// missing or old asks for an answer at once.
    #[must_use]
    pub fn watch_wait(&self, now: Timestamp, longest: Duration) -> Duration {
        let Some(confirmed) = self.confirmed else {
            return Duration::ZERO;
        };
        let age = now.since(confirmed);
        (self.bound / 2).saturating_sub(age).min(longest)
    }

    /// Version in force; 0 without a configuration.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.in_force
            .as_ref()
            .map_or(ConfigVersion::default(), |held| held.version)
    }

    /// The configuration in force.
    #[must_use]
    pub fn in_force(&self) -> Option<&Arc<Configuration>> {
        self.in_force.as_ref()
    }
}
