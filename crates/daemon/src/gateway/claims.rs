//! Claims on requests that may run at most once.

use std::sync::Arc;
use std::time::Duration;

use http_types::StatusCode;
use molespan_routing::retry::ClaimAnswer;
use molespan_state::job::{ClaimReply, ClaimRequest, SettleClaim};
use molespan_telemetry::EventKind;
use molespan_types::{AttemptId, Digest, GroupId, JobId, RunOutcome, TenantId};
use slog::warn;

use super::error::ApiError;
use super::state::GatewayState;
use super::validation::Repeatability;
use crate::cluster::ClusterError;

/// Retry delay while another submission of the same request is running.
const HELD_CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A claim that this gateway requested.
#[derive(Clone, Debug)]
struct Claim {
    group: GroupId,
    tenant: TenantId,
    key: String,
    /// Identifies the claim's holder; never sent to a back end.
    attempt: AttemptId,
}

/// The claim of one request and its result.
#[derive(Debug, Default)]
pub(super) struct RequestClaim {
    /// The claim held by this request until it is settled.
    held: Option<Claim>,
    /// Answer recorded under the key.
    recorded: Vec<u8>,
    /// Why the claim was not granted.
    error: Option<ApiError>,
}

impl RequestClaim {
    /// Whether this request holds a claim.
    pub(super) fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Claims the right to run. A request without a key needs no claim: duplicates of it
    /// cannot be recognized.
    pub(super) async fn ask(
        &mut self,
        state: &Arc<GatewayState>,
        tenant: &TenantId,
        repeatability: &Repeatability,
        digest: Digest,
    ) -> ClaimAnswer {
        let Repeatability::Once { key } = repeatability else {
            return ClaimAnswer::Granted;
        };
        let claim = Claim {
            group: JobId::from_key(tenant, key).group(state.options.job_groups),
            tenant: tenant.clone(),
            key: key.clone(),
            attempt: state.next_attempt(),
        };
        match state.request_claim(&claim, digest).await {
            Ok(ClaimReply::Granted) => {
                self.held = Some(claim);
                ClaimAnswer::Granted
            }
            Ok(ClaimReply::Held { attempt }) => {
                self.error = Some(held_elsewhere(attempt));
                ClaimAnswer::Held
            }
            Ok(ClaimReply::Settled { outcome, answer }) => {
                self.recorded = answer.into();
                ClaimAnswer::Settled(outcome)
            }
            Ok(ClaimReply::KeyConflict) => {
                self.error = Some(key_conflict());
                ClaimAnswer::KeyConflict
            }
            Err(error) => {
                // Whether or not the claim was granted, nothing is sent under it.
                state.release_claim(claim);
                let error = ApiError::from(error).with_outcome(RunOutcome::NotRun);
                self.error = Some(error);
                ClaimAnswer::Failed
            }
        }
    }

    /// Takes the reason why the claim was not granted.
    pub(super) fn take_error(&mut self) -> Option<ApiError> {
        self.error.take()
    }

    /// Takes the recorded answer of a request that ended with `outcome`.
    pub(super) fn take_recorded(&mut self, outcome: RunOutcome) -> Result<Vec<u8>, ApiError> {
        if outcome == RunOutcome::Completed {
            return Ok(std::mem::take(&mut self.recorded));
        }
        let message = "the request under this key ended before without an answer";
        let error = ApiError::not_run(StatusCode::Conflict, "outcome_on_record", message);
        Err(error.with_outcome(outcome))
    }

    /// Records the outcome of the request, if it holds a claim.
    pub(super) async fn settle(
        &mut self,
        state: &GatewayState,
        outcome: RunOutcome,
        answer: Vec<u8>,
    ) {
        if let Some(claim) = self.held.take() {
            state.settle_claim(&claim, outcome, answer).await;
        }
    }
}

/// The error while another submission of the same request is running.
fn held_elsewhere(attempt: AttemptId) -> ApiError {
    let message = format!("attempt {attempt} holds the claim on this key and has not ended");
    ApiError::not_run(StatusCode::Conflict, "request_in_progress", message)
        .with_outcome(RunOutcome::Unknown)
        .with_retry_after(HELD_CLAIM_RETRY_AFTER)
}

fn key_conflict() -> ApiError {
    let message = "the idempotency key was used for another request";
    ApiError::not_run(StatusCode::Conflict, "key_conflict", message)
}

impl GatewayState {
    /// Requests a claim. Nothing may be sent to a back end before it is
    /// granted.
    async fn request_claim(
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
        let reason = match &reply {
            Ok(ClaimReply::Granted) => "granted".to_owned(),
            Ok(ClaimReply::Held { attempt }) => format!("held by attempt {attempt}"),
            Ok(ClaimReply::Settled { outcome, .. }) => format!("settled as {outcome}"),
            Ok(ClaimReply::KeyConflict) => "the key was used for another request".to_owned(),
            Err(error) => error.to_string(),
        };
        self.events.record(
            EventKind::Lease,
            format!("claim {}", claim.key),
            reason,
            [
                ("tenant", claim.tenant.as_str().into()),
                ("attempt", claim.attempt.to_string().into()),
                ("group", claim.group.0.into()),
            ],
        );
        reply
    }

    /// Releases a claim that may or may not have been granted.
    fn release_claim(self: &Arc<Self>, claim: Claim) {
        let state = self.clone();
        self.spawn(async move {
            let not_run = RunOutcome::NotRun;
            state.settle_claim(&claim, not_run, Vec::new()).await;
        });
    }

    /// Records the outcome of a claimed request. If that fails, the claim stays held
    /// until the leader settles it as unknown: the request never runs again. A later
    /// settlement does not change the recorded outcome.
    async fn settle_claim(&self, claim: &Claim, outcome: RunOutcome, answer: Vec<u8>) {
        let settle = SettleClaim {
            tenant: claim.tenant.clone(),
            key: claim.key.clone(),
            attempt: claim.attempt,
            outcome,
            answer: answer.into(),
        };
        match self.cluster.settle(claim.group, settle).await {
            Ok(on_record) if on_record == outcome => {}
            Ok(on_record) => warn!(self.logger, "claim was settled before with another outcome";
                "key" => &claim.key, "outcome" => %outcome, "on_record" => %on_record),
            Err(error) => warn!(self.logger, "claim could not be settled";
                "key" => &claim.key, "outcome" => %outcome, "error" => %error),
        }
    }
}
