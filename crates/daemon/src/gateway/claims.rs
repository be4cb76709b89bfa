//! Claims on requests that may run at most once.

use molespan_state::job::{ClaimReply, ClaimRequest, SettleClaim};
use molespan_telemetry::EventKind;
use molespan_types::{AttemptId, Digest, GroupId, JobId, RunOutcome, TenantId};
use slog::warn;

use super::state::GatewayState;
use crate::cluster::ClusterError;

/// A claim that this gateway asked for.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    group: GroupId,
    tenant: TenantId,
    key: String,
    /// Names the claim's holder; it is never sent to a back end.
    attempt: AttemptId,
}

impl GatewayState {
    /// A claim of `tenant` under `key`.
    pub(super) fn claim_for(&self, tenant: &TenantId, key: &str) -> Claim {
        Claim {
            group: JobId::from_key(tenant, key).group(self.options.job_groups),
            tenant: tenant.clone(),
            key: key.to_owned(),
            attempt: self.next_attempt(),
        }
    }

    /// Asks for a claim. Nothing may be sent to a back end before it is
    /// granted.
    pub(super) async fn ask_claim(
        &self,
        claim: &Claim,
        digest: Digest,
    ) -> Result<ClaimReply, ClusterError> {
        let request = ClaimRequest {
            tenant: claim.tenant.clone(),
            key: claim.key.clone(),
            digest,
            attempt: claim.attempt,
        };
        let reply = self.cluster.claim(claim.group, request).await;
        let said = match &reply {
            Ok(ClaimReply::Granted) => "granted".to_owned(),
            Ok(ClaimReply::Held { attempt }) => format!("held by attempt {attempt}"),
            Ok(ClaimReply::Settled { outcome, .. }) => format!("settled as {outcome}"),
            Ok(ClaimReply::KeyConflict) => "the key was used for another body".to_owned(),
            Err(error) => error.to_string(),
        };
        self.events.record(
            EventKind::Lease,
            format!("claim {}", claim.key),
            said,
            [
                ("tenant", claim.tenant.as_str().into()),
                ("attempt", claim.attempt.to_string().into()),
                ("group", claim.group.0.into()),
            ],
        );
        reply
    }

    /// Records how a claimed request ended. When that fails, the claim stays
    /// held: the request never runs again, and its outcome stays unknown.
    pub(super) async fn settle_claim(&self, claim: &Claim, outcome: RunOutcome, answer: Vec<u8>) {
        let settle = SettleClaim {
            tenant: claim.tenant.clone(),
            key: claim.key.clone(),
            attempt: claim.attempt,
            outcome,
            answer: answer.into(),
        };
        if let Err(error) = self.cluster.settle(claim.group, settle).await {
            warn!(self.logger, "A claim could not be settled.";
                "key" => &claim.key, "outcome" => %outcome, "error" => %error);
        }
    }
}
