//! Log lines and events of the replica role.

use molespan_replica::ReplicaEvent;
use molespan_telemetry::{EventBuffer, EventKind};
use molespan_types::{ConfigVersion, GroupId, NodeId};
use slog::{Logger, info, warn};

use crate::wall_clock::unix_millis;

/// Reports what operators should see, as log lines and events.
#[derive(Debug)]
pub(super) struct Reporter {
    logger: Logger,
    events: EventBuffer,
}

impl Reporter {
    /// Creates a reporter that writes to `logger` and `events`.
    pub fn new(logger: Logger, events: EventBuffer) -> Self {
        Self { logger, events }
    }

    /// Reports a change of a group's leader.
    pub fn leader(&self, group: GroupId, leader: Option<NodeId>) {
        let message = match leader {
            Some(node) => format!("node {node} leads"),
            None => "no leader is known".to_owned(),
        };
        info!(self.logger, "{}", message; "group" => group.0);
        self.record(format!("group {group}"), message);
    }

    /// Reports that a newer configuration was applied.
    pub fn configuration(&self, version: ConfigVersion) {
        info!(self.logger, "configuration applied"; "version" => version.0);
    }

    /// Reports an event of the replica's core.
    pub fn event(&self, event: &ReplicaEvent) {
        let is_warning = matches!(
            event,
            ReplicaEvent::Fault { .. } | ReplicaEvent::DiskFull { full: true }
        );
        if is_warning {
            warn!(self.logger, "{}", event);
        } else {
            info!(self.logger, "{}", event);
        }
        self.record("replica".to_owned(), event.to_string());
    }

    fn record(&self, subject: String, reason: String) {
        let kind = EventKind::Replication;
        self.events
            .record(unix_millis(), kind, subject, reason, Vec::new());
    }
}
