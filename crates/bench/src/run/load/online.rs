//! Open-loop load of online completions and application calls.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;

use super::call::{ApplicationCall, CallRecord, CompletionCall};
use super::caller::Caller;
use super::prompts::Prompts;
use super::schedule::{ApplicationArrival, OnlineArrival, OnlineKind};
use super::steering::GatewaySelector;
use crate::run::profile::Profile;

/// Tenant of online callers.
const TENANT: &str = "residents";
/// Number of tokens in the body of an application call.
const APPLICATION_TOKENS: u32 = 8;

/// Record of a call with its scheduled time.
#[derive(Clone, Debug)]
pub struct LoadRecord {
    /// Scheduled time since the start of the load.
    pub at: Duration,
    /// Whether the call is repeatable.
    pub repeatable: bool,
    /// Times and outcome of the call.
    pub call: CallRecord,
}

/// An online request generated before the load starts.
#[derive(Clone, Debug)]
pub struct PreparedCompletion {
    /// Scheduled time since the start of the load.
    pub at: Duration,
    /// Index of the caller's zone.
    pub zone: usize,
    /// Request to send.
    pub call: CompletionCall,
}

/// An application call generated before the load starts.
#[derive(Clone, Debug)]
pub struct PreparedApplication {
    /// Scheduled time since the start of the load.
    pub at: Duration,
    /// Index of the caller's zone.
    pub zone: usize,
    /// Request to send.
    pub call: ApplicationCall,
}

/// State shared by all calls of a load.
pub struct LoadContext {
    /// Executor that runs the calls.
    pub executor: Arc<Executor<'static>>,
    /// Client that makes the calls.
    pub caller: Caller,
    /// Gateway selection.
    pub selector: Arc<GatewaySelector>,
    /// Start of the load, to which arrival times are relative.
    pub start: Instant,
}

type Records = Arc<Mutex<Vec<LoadRecord>>>;

/// Generates the calls of `arrivals`, before the load starts so that this takes no
/// time during the load.
#[must_use]
pub fn prepare_online(
    profile: &Profile,
    prompts: &Prompts,
    arrivals: &[OnlineArrival],
) -> Vec<PreparedCompletion> {
    let numbered = arrivals.iter().zip(0..);
    let prepared = numbered.map(|(arrival, number)| PreparedCompletion {
        at: arrival.at,
        zone: arrival.zone,
        call: completion_call(profile, prompts, arrival, number),
    });
    prepared.collect()
}

/// Generates the application calls of `arrivals`, before the load starts.
#[must_use]
pub fn prepare_application(
    profile: &Profile,
    prompts: &Prompts,
    arrivals: &[ApplicationArrival],
) -> Vec<PreparedApplication> {
    let service = profile.fleet.application_service.as_str();
    let numbered = arrivals.iter().zip(0..);
    let prepared = numbered.map(|(arrival, number)| PreparedApplication {
        at: arrival.at,
        zone: arrival.zone,
        call: ApplicationCall {
            prefix: format!("/services/{service}"),
            path: format!("/albums/{number}"),
            body: prompts.single("application", number, APPLICATION_TOKENS),
            tenant: TENANT.to_owned(),
        },
    });
    prepared.collect()
}

/// Sends online completions at their scheduled times and waits for all responses.
pub async fn drive_online(
    context: &Arc<LoadContext>,
    prepared: Vec<PreparedCompletion>,
) -> Vec<LoadRecord> {
    let records = Records::default();
    let mut calls = Vec::with_capacity(prepared.len());
    for one in prepared {
        Timer::at(context.start + one.at).await;
        let calling = one_online(context.clone(), one, records.clone());
        calls.push(context.executor.spawn(calling));
    }
    for call in calls {
        call.await;
    }
    take(&records)
}

/// Makes application calls at their scheduled times and waits for all responses.
pub async fn drive_application(
    context: &Arc<LoadContext>,
    prepared: Vec<PreparedApplication>,
) -> Vec<LoadRecord> {
    let records = Records::default();
    let mut calls = Vec::with_capacity(prepared.len());
    for one in prepared {
        Timer::at(context.start + one.at).await;
        let calling = one_application(context.clone(), one, records.clone());
        calls.push(context.executor.spawn(calling));
    }
    for call in calls {
        call.await;
    }
    take(&records)
}

async fn one_online(context: Arc<LoadContext>, prepared: PreparedCompletion, records: Records) {
    let PreparedCompletion { at, zone, call } = prepared;
    let gateway = context.selector.gateway(zone);
    let calling = context.caller.stream(gateway, &call, context.start + at);
    let record = calling.await;
    push(&records, at, call.idempotency_key.is_none(), record);
}

async fn one_application(
    context: Arc<LoadContext>,
    prepared: PreparedApplication,
    records: Records,
) {
    let PreparedApplication { at, zone, call } = prepared;
    let gateway = context.selector.gateway(zone);
    let calling = context
        .caller
        .application(gateway, &call, context.start + at);
    let record = calling.await;
    // A gateway may retry application calls: the load does not mark them as not
    // repeatable.
    push(&records, at, true, record);
}

fn completion_call(
    profile: &Profile,
    prompts: &Prompts,
    arrival: &OnlineArrival,
    number: u64,
) -> CompletionCall {
    let load = &profile.online;
    let (prompt, max_tokens) = match arrival.kind {
        OnlineKind::Short => (
            prompts.single("online", number, load.unique_tokens),
            load.short_answer_tokens,
        ),
        OnlineKind::Album(album) => (
            prompts.album(album, load.album_prefix_tokens, number, load.unique_tokens),
            load.album_answer_tokens,
        ),
    };
    let idempotency_key = (!arrival.repeatable).then(|| prompts.key("online", number));
    CompletionCall {
        model: profile.fleet.service.as_str().to_owned(),
        prompt,
        max_tokens,
        tenant: TENANT.to_owned(),
        idempotency_key,
    }
}

fn push(records: &Records, at: Duration, repeatable: bool, call: CallRecord) {
    let mut records = records.lock().unwrap_or_else(PoisonError::into_inner);
    records.push(LoadRecord {
        at,
        repeatable,
        call,
    });
}

/// Takes the records, ordered by scheduled time.
fn take(records: &Records) -> Vec<LoadRecord> {
    let mut records = records.lock().unwrap_or_else(PoisonError::into_inner);
    let mut taken = std::mem::take(&mut *records);
    taken.sort_by_key(|record| record.at);
    taken
}
