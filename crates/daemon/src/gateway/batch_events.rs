//! Records the batch owner's decisions as events.

use molespan_routing::batch::BatchDecision;
use molespan_telemetry::EventKind;

use super::state::GatewayState;

impl GatewayState {
    /// Records one decision.
    pub(super) fn record_batch_decision(&self, decision: &BatchDecision) {
        match decision {
            BatchDecision::Preempted(preemption) => {
                self.metrics
                    .preempted(preemption.paused + preemption.cancelled);
                self.events.record(
                    EventKind::Preempt,
                    format!("engine {}", preemption.backend),
                    "batch streams make way for online work",
                    [
                        ("online", preemption.online.into()),
                        ("allowed", preemption.allowed.into()),
                        ("paused", preemption.paused.into()),
                        ("cancelled", preemption.cancelled.into()),
                    ],
                );
            }
            BatchDecision::Filled {
                backend,
                online,
                allowed,
                resumed,
                started,
            } => self.events.record(
                EventKind::Resume,
                format!("engine {backend}"),
                "batch streams go on or start",
                [
                    ("online", (*online).into()),
                    ("allowed", (*allowed).into()),
                    ("resumed", (*resumed).into()),
                    ("started", (*started).into()),
                ],
            ),
            BatchDecision::LimitChanged {
                backend,
                from,
                to,
                step,
                target,
            } => self.events.record(
                EventKind::Preempt,
                format!("engine {backend}"),
                "the limit of batch streams changed",
                [
                    ("from", (*from).into()),
                    ("to", (*to).into()),
                    ("step_us", (step.as_micros() as u64).into()),
                    ("target_us", (target.as_micros() as u64).into()),
                ],
            ),
            BatchDecision::LeaseExpired {
                group,
                lease,
                stopped,
            } => self.events.record(
                EventKind::Lease,
                format!("lease {lease} of group {group}"),
                "it ran out on this node's clock",
                [("stopped", (*stopped).into())],
            ),
            BatchDecision::LeaseRevoked {
                group,
                lease,
                stopped,
                cancelled,
            } => self.events.record(
                EventKind::Lease,
                format!("lease {lease} of group {group}"),
                if *cancelled {
                    "its job was cancelled"
                } else {
                    "it is no longer held"
                },
                [("stopped", (*stopped).into())],
            ),
        }
    }
}
