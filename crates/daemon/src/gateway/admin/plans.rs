//! Planning and confirmation of intents.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http_types::StatusCode;
use molespan_http::{Response, json_response};
use molespan_state::control::{Change, ConfirmIntent, ConfirmReply, IntentNumber};
use molespan_telemetry::EventKind;
use molespan_types::ConfigVersion;
use serde::Deserialize;

use super::super::error::ApiError;
use super::super::state::GatewayState;

/// Maximum number of plans kept for confirmations that omit the intent.
const MAX_PLANS: usize = 256;

/// Body of `POST /admin/plans`, and of a confirmation that includes the intent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Intent {
    number: Option<IntentNumber>,
    operator: String,
    /// Configuration version the operator worked from; the newest one when absent.
    base_version: Option<ConfigVersion>,
    changes: Vec<Change>,
}

/// Intents recently planned at this gateway.
#[derive(Debug, Default)]
pub(in super::super) struct RecentPlans {
    planned: Mutex<BTreeMap<IntentNumber, ConfirmIntent>>,
}

impl RecentPlans {
    fn remember(&self, intent: ConfirmIntent) {
        let mut planned = self.lock();
        planned.insert(intent.number, intent);
        while planned.len() > MAX_PLANS {
            planned.pop_first();
        }
    }

    fn recall(&self, number: IntentNumber) -> Option<ConfirmIntent> {
        self.lock().get(&number).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<IntentNumber, ConfirmIntent>> {
        self.planned.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the changes an intent would make, without applying them.
pub(super) async fn plan(state: &Arc<GatewayState>, body: &[u8]) -> Result<Response, ApiError> {
    let intent = read_intent(body)?;
    let number = intent
        .number
        .ok_or_else(|| ApiError::bad_request("malformed_body", "the field `number` is missing"))?;
    let plan = state.cluster.plan(number, intent.changes.clone()).await?;
    if let Some(base) = intent.base_version
        && base != plan.base_version
    {
        return Err(base_moved(plan.base_version));
    }
    state.events.record(
        EventKind::Plan,
        format!("intent {number}"),
        "planned",
        [
            ("operator", intent.operator.as_str().into()),
            ("base_version", plan.base_version.0.into()),
            ("problems", plan.problems.len().into()),
        ],
    );
    state.plans.remember(ConfirmIntent {
        number,
        operator: intent.operator,
        base_version: plan.base_version,
        changes: intent.changes,
    });
    Ok(json_response(StatusCode::Ok, &plan))
}

/// Confirms a planned intent. The body carries the intent, so that any gateway can
/// handle the request; an empty body refers to the intent planned at this gateway.
/// Every decision of the control group is a successful answer whose `result`
/// contains the decision.
pub(super) async fn confirm(
    state: &Arc<GatewayState>,
    number: &str,
    body: &[u8],
) -> Result<Response, ApiError> {
    let number = number.parse().map(IntentNumber).map_err(|_| {
        ApiError::bad_request(
            "bad_number",
            "the number of an intent must be a whole number",
        )
    })?;
    let intent = intent_to_confirm(state, number, body)?;
    let operator = intent.operator.clone();
    let base_version = intent.base_version;
    let reply = state.cluster.confirm_intent(intent).await?;
    state.events.record(
        EventKind::Plan,
        format!("intent {number}"),
        confirm_reason(&reply),
        [
            ("operator", operator.into()),
            ("base_version", base_version.0.into()),
        ],
    );
    Ok(json_response(StatusCode::Ok, &reply))
}

fn intent_to_confirm(
    state: &GatewayState,
    number: IntentNumber,
    body: &[u8],
) -> Result<ConfirmIntent, ApiError> {
    if body.trim_ascii().is_empty() {
        return state.plans.recall(number).ok_or_else(|| {
            ApiError::not_found(
                "unknown_plan",
                "no intent of this number was planned at this gateway; send the intent along",
            )
        });
    }
    let intent = read_intent(body)?;
    if intent.number.is_some_and(|named| named != number) {
        let message = "the body names another number than the path";
        return Err(ApiError::bad_request("bad_number", message));
    }
    let base_version = intent.base_version.ok_or_else(|| {
        ApiError::bad_request("malformed_body", "the field `base_version` is missing")
    })?;
    Ok(ConfirmIntent {
        number,
        operator: intent.operator,
        base_version,
        changes: intent.changes,
    })
}

fn read_intent(body: &[u8]) -> Result<Intent, ApiError> {
    serde_json::from_slice(body).map_err(|error| {
        ApiError::bad_request("malformed_body", format!("the body is no intent: {error}"))
    })
}

fn base_moved(current: ConfigVersion) -> ApiError {
    ApiError::not_run(
        StatusCode::Conflict,
        "base_moved",
        format!("the configuration moved on to version {current}"),
    )
}

fn confirm_reason(reply: &ConfirmReply) -> String {
    match reply {
        ConfirmReply::Confirmed { version } => format!("confirmed as version {version}"),
        ConfirmReply::NumberTaken { winner, .. } => format!("the number was taken by {winner}"),
        ConfirmReply::BaseMoved { current } => format!("the base moved on to version {current}"),
        ConfirmReply::Invalid { problems } => format!("{} problems", problems.len()),
        ConfirmReply::TooOld { floor } => format!("numbers below {floor} are forgotten"),
    }
}
