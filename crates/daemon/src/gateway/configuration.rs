//! The active configuration of this node: fetched by long polls, never replaced by an
//! older version, persisted to disk, and periodically confirmed as current by a quorum.

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use async_io::Timer;
use molespan_routing::admission::{Refusal, RefusalCode, ServiceLimits, TenantPolicy};
use molespan_routing::batch::BatchInput;
use molespan_routing::readiness::{ConfigurationChange, ConfigurationHolder, Readiness};
use molespan_state::control::{Configuration, ConfigurationUpdate, Service, ServiceKind};
use molespan_state::{decode, encode};
use molespan_storage::{Disk, RealDisk, StorageError, read_checked, write_checked};
use molespan_telemetry::EventKind;
use molespan_types::{ConfigVersion, ServiceName, TenantId, Timestamp};
use molespan_wire::WatchConfiguration;
use slog::{info, warn};

use super::state::GatewayState;

/// Subfolder of the data folder used by the gateway.
const FOLDER: &str = "gateway";
/// File with the last active configuration.
const FILE: &str = "configuration";
/// A long poll waits for at most this fraction of the currency bound, so that
/// several polls fit into it.
const POLL_SHARE: u32 = 4;
/// Delay after a replica did not answer.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);
/// Retry delay reported while this node has no current configuration.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Shared access to the active configuration.
#[derive(Debug)]
pub(super) struct ActiveConfiguration {
    holder: RwLock<ConfigurationHolder>,
}

impl ActiveConfiguration {
    pub(super) fn new(bound: Duration) -> Self {
        Self {
            holder: RwLock::new(ConfigurationHolder::new(bound)),
        }
    }

    /// Returns the active configuration; `None` before the first one.
    pub(super) fn in_force(&self) -> Option<Arc<Configuration>> {
        self.read(|holder| holder.in_force().cloned())
    }

    /// Returns the active version; 0 without a configuration.
    pub(super) fn version(&self) -> ConfigVersion {
        self.read(ConfigurationHolder::version)
    }

    /// Returns whether the node may accept new work.
    pub(super) fn readiness(&self, now: Timestamp) -> Readiness {
        self.read(|holder| holder.readiness(now))
    }

    fn read<T>(&self, read: impl FnOnce(&ConfigurationHolder) -> T) -> T {
        read(&self.holder.read().unwrap_or_else(PoisonError::into_inner))
    }

    fn write<T>(&self, write: impl FnOnce(&mut ConfigurationHolder) -> T) -> T {
        write(&mut self.holder.write().unwrap_or_else(PoisonError::into_inner))
    }
}

impl GatewayState {
    /// Returns a service that may accept new work now.
    pub(super) fn active_service(&self, name: &ServiceName) -> Result<Service, Refusal> {
        if self.configuration.readiness(self.clock.now()) != Readiness::Ready {
            let code = RefusalCode::ConfigurationNotCurrent;
            return Err(Refusal::after(code, RETRY_AFTER));
        }
        let configuration = self.configuration.in_force();
        let service = configuration
            .as_ref()
            .and_then(|configuration| configuration.services.get(name));
        service
            .cloned()
            .ok_or(Refusal::permanent(RefusalCode::UnknownService))
    }

    /// Returns the model of a completion service.
    pub(super) fn model_of(&self, name: &ServiceName) -> Result<String, Refusal> {
        let service = self.active_service(name)?;
        match (service.kind, service.model) {
            (ServiceKind::Completion, Some(model)) => Ok(model.0),
            _ => Err(Refusal::permanent(RefusalCode::UnknownService)),
        }
    }

    /// Checks that an application service may accept new work now.
    pub(super) fn check_application(&self, name: &ServiceName) -> Result<(), Refusal> {
        match self.active_service(name)?.kind {
            ServiceKind::Application => Ok(()),
            ServiceKind::Completion => Err(Refusal::permanent(RefusalCode::UnknownService)),
        }
    }

    /// Activates the configuration on disk, if there is one. It counts as
    /// current only once a quorum confirms it.
    pub(super) async fn restore_configuration(&self) {
        let folder = self.options.data_folder.clone();
        match blocking::unblock(move || load(&folder)).await {
            Ok(Some(configuration)) => self.activate(configuration, "restored from disk"),
            Ok(None) => {}
            Err(error) => {
                warn!(self.logger, "cannot read the stored configuration"; "error" => %error);
            }
        }
    }

    /// Watches for newer configurations until the gateway stops.
    pub(super) async fn watch_configuration(self: Arc<Self>) {
        // Gateways start at different replicas to spread the load.
        let mut replica_index = self.options.node.0 as usize;
        let mut previous = Readiness::NoConfiguration;
        let mut needs_full_configuration = false;
        let mut waited_for_reports = false;
        loop {
            let replicas = self.cluster.replicas();
            let Some(replica) = replicas.get(replica_index % replicas.len().max(1)).copied() else {
                return;
            };
            let longest = self.options.currency_bound / POLL_SHARE;
            let longest = self.options.config_watch.min(longest);
            let sent = self.clock.now();
            let wait = self
                .configuration
                .read(|holder| holder.watch_wait(sent, longest));
            let watch = WatchConfiguration {
                node: self.options.node,
                incarnation: self.options.incarnation,
                in_force: if needs_full_configuration {
                    ConfigVersion::default()
                } else {
                    self.configuration.version()
                },
                wait_ms: wait.as_millis() as u32,
            };
            match self.cluster.watch(replica, watch).await {
                Ok(watched) => {
                    needs_full_configuration = match watched.newer {
                        Some(update) => !self.apply_update(update).await,
                        None => false,
                    };
                    if !waited_for_reports && self.configuration.in_force().is_some() {
                        self.wait_for_first_reports().await;
                        waited_for_reports = true;
                    }
                    let current = watched.current;
                    self.configuration
                        .write(|holder| holder.confirm(sent, current));
                }
                Err(_) => {
                    replica_index += 1;
                    Timer::after(FAILURE_PAUSE).await;
                }
            }
            self.record_readiness(&mut previous);
        }
    }

    /// Records a change of readiness; a node that becomes unready rejects queued
    /// requests.
    pub(super) fn record_readiness(&self, previous: &mut Readiness) {
        let is = self.configuration.readiness(self.clock.now());
        if is == *previous {
            return;
        }
        *previous = is;
        info!(self.logger, "readiness changed"; "readiness" => %is);
        self.events.record(
            EventKind::Configuration,
            format!("node {}", self.options.node),
            is.to_string(),
            [("version", self.configuration.version().0.into())],
        );
        if is != Readiness::Ready {
            self.refuse_waiting(RefusalCode::ConfigurationNotCurrent);
        }
    }

    /// Applies a configuration update. Returns whether it applied to the active
    /// configuration; otherwise the complete configuration must be fetched.
    async fn apply_update(&self, update: ConfigurationUpdate) -> bool {
        let held = self.configuration.in_force();
        match update.apply_to(held.as_deref()) {
            Ok(newer) => {
                self.store_and_activate(newer).await;
                true
            }
            Err(error) => {
                warn!(self.logger, "configuration update does not apply to the active version"; "error" => %error);
                false
            }
        }
    }

    /// Persists a newer configuration, then activates it.
    async fn store_and_activate(&self, newer: Configuration) {
        if newer.version <= self.configuration.version() && newer.version.0 > 0 {
            return;
        }
        let folder = self.options.data_folder.clone();
        let bytes = encode(&newer);
        let stored = blocking::unblock(move || store(&folder, &bytes)).await;
        if let Err(error) = stored {
            // The configuration is activated anyway: replicas store it, and only a restart
            // would begin with an older one.
            warn!(self.logger, "configuration could not be stored"; "error" => %error);
        }
        self.activate(newer, "accepted by a quorum");
    }

    fn activate(&self, configuration: Configuration, reason: &str) {
        let change = self
            .configuration
            .write(|holder| holder.offer(configuration));
        let ConfigurationChange::InForce { from, to } = change else {
            return;
        };
        let Some(configuration) = self.configuration.in_force() else {
            return;
        };
        self.configure_admission(
            service_limits(&configuration),
            tenant_policies(&configuration, &self.options.admission.default_policy),
        );
        let tail_protection_override = self.options.policy.tail_protection;
        let tail_protection =
            tail_protection_override.unwrap_or(configuration.policy.tail_protection);
        self.batch_input(BatchInput::Policy { tail_protection });
        self.mark_candidates_stale();
        info!(self.logger, "configuration is in force"; "version" => to.0);
        self.events.record(
            EventKind::Configuration,
            format!("version {to}"),
            reason,
            [("from", from.0.into()), ("to", to.0.into())],
        );
    }
}

fn service_limits(configuration: &Configuration) -> BTreeMap<ServiceName, ServiceLimits> {
    let services = configuration.services.iter();
    services
        .map(|(name, service)| {
            let limits = ServiceLimits {
                max_concurrency: service.max_concurrency,
                max_queue: service.max_queue,
                queue_timeout: Duration::from_millis(u64::from(service.queue_timeout_ms)),
            };
            (name.clone(), limits)
        })
        .collect()
}

fn tenant_policies(
    configuration: &Configuration,
    default: &TenantPolicy,
) -> BTreeMap<TenantId, TenantPolicy> {
    let tenants = configuration.tenants.iter();
    tenants
        .map(|(name, limits)| {
            let policy = TenantPolicy {
                requests_per_second: limits.requests_per_second,
                burst: limits.burst,
                ..default.clone()
            };
            (name.clone(), policy)
        })
        .collect()
}

fn load(folder: &std::path::Path) -> Result<Option<Configuration>, StorageError> {
    let disk = RealDisk::open(folder)?;
    let Some(bytes) = read_checked(&disk, FOLDER, FILE)? else {
        return Ok(None);
    };
    // Treats a configuration of another format as missing: replicas have the newest one.
    Ok(decode(&bytes).ok())
}

fn store(folder: &std::path::Path, bytes: &[u8]) -> Result<(), StorageError> {
    let disk = RealDisk::open(folder)?;
    disk.create_dir(FOLDER)?;
    write_checked(&disk, FOLDER, FILE, &[bytes])
}
