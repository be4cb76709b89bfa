//! Selection of a back end for one request, with the reason recorded.

use std::time::Duration;

use async_io::Timer;
use molespan_membership::BackendState;
use molespan_routing::pick::{Pick, PickError, PickRequest};
use molespan_telemetry::EventKind;
use molespan_types::{BackendId, ServiceName, TenantId};

use super::answer::Target;
use super::dispatch::ChosenBackend;
use super::state::GatewayState;

/// How long an admitted request waits for a back end below its limit.
const LIMIT_WAIT: Duration = Duration::from_millis(100);
/// Interval between checks for such a back end.
const LIMIT_PAUSE: Duration = Duration::from_millis(2);

impl GatewayState {
    /// Selects a back end and records the reason. An admitted request waits up to
    /// [`LIMIT_WAIT`] while all back ends are at their limits.
    pub(super) async fn choose(
        &self,
        service: &ServiceName,
        tenant: &TenantId,
        request: PickRequest<'_>,
    ) -> Result<ChosenBackend, PickError> {
        let until = self.clock.now() + LIMIT_WAIT;
        loop {
            let now = self.clock.now();
            match self.pickers.pick(now, service, request) {
                Ok(pick) => {
                    self.record_pick(service, tenant, &pick);
                    return self.chosen(pick.backend).ok_or(PickError::NoEngine);
                }
                Err(PickError::AllAtLimit) if now < until => {
                    Timer::after(LIMIT_PAUSE).await;
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Returns a selected back end, unless it no longer accepts new work.
    fn chosen(&self, backend: BackendId) -> Option<ChosenBackend> {
        let directory = self.directory();
        let known = directory.backend(backend)?;
        if !known.state.accepts_new_work() {
            return None;
        }
        Some(ChosenBackend {
            target: Target {
                backend,
                incarnation: known.incarnation,
                address: known.address.parse().ok()?,
            },
            zone: known.zone.clone(),
        })
    }

    /// Whether the incarnation of a back end that received a request has ended, or the
    /// back end was ejected after failures. A back end that is leaving still answers.
    pub(super) fn is_given_up(&self, target: &Target) -> bool {
        let directory = self.directory();
        let Some(known) = directory.backend(target.backend) else {
            return true;
        };
        let out = matches!(known.state, BackendState::Ejected | BackendState::Gone);
        out || known.incarnation != target.incarnation
    }

    /// Records which back end was selected and why.
    fn record_pick(&self, service: &ServiceName, tenant: &TenantId, pick: &Pick) {
        let reason = &pick.reason;
        let load = reason.considered.first().map_or(0.0, |one| one.load);
        self.events.record(
            EventKind::Route,
            format!("service {service}"),
            reason.rule.to_string(),
            [
                ("backend", pick.backend.0.into()),
                ("tenant", tenant.as_str().into()),
                ("load", load.into()),
                ("least_load", reason.least_load.into()),
                ("matched_blocks", reason.matched_blocks.into()),
                ("open", reason.open.into()),
                ("spilled", reason.spilled.into()),
            ],
        );
    }
}
