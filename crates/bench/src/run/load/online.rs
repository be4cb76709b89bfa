//! Drives online completions and application calls as an open loop.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;

use super::call::{ApplicationCall, CallRecord, CompletionCall};
use super::caller::Caller;
use super::prompts::Prompts;
use super::schedule::{ApplicationArrival, OnlineArrival, OnlineKind};
use super::steering::Steering;
use crate::run::profile::Profile;

/// Tenant of online callers.
const TENANT: &str = "residents";
/// Tokens of an application call's body.
const APPLICATION_TOKENS: u32 = 8;

/// A call of the load with what it was.
#[derive(Clone, Debug)]
pub struct LoadRecord {
    /// Intended time since the start of the load.
    pub at: Duration,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// How it went.
    pub call: CallRecord,
}

/// An online request that is ready to be sent.
#[derive(Clone, Debug)]
pub struct PreparedCompletion {
    /// Intended time since the start of the load.
    pub at: Duration,
    /// Zone of the caller, by position.
    pub zone: usize,
    /// The call.
    pub call: CompletionCall,
}

/// An application call that is ready to be made.
#[derive(Clone, Debug)]
pub struct PreparedApplication {
    /// Intended time since the start of the load.
    pub at: Duration,
    /// Zone of the caller, by position.
    pub zone: usize,
    /// The call.
    pub call: ApplicationCall,
}

/// What all calls of a load share.
pub struct LoadContext {
    /// Runs the calls.
    pub executor: Arc<Executor<'static>>,
    /// Makes them.
    pub caller: Caller,
    /// Chooses the gateway.
    pub steering: Arc<Steering>,
    /// Time zero of the arrivals.
    pub start: Instant,
}

type Records = Arc<Mutex<Vec<LoadRecord>>>;

/// The calls of `arrivals`. They are made up before the load starts, so that
/// making them up takes no time of the load.
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

/// The application calls of `arrivals`, made up before the load starts.
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

/// Sends online completions at their times and waits for all answers.
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

/// Makes application calls at their times and waits for all answers.
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
    let gateway = context.steering.gateway(zone);
    let calling = context.caller.stream(gateway, &call, context.start + at);
    let record = calling.await;
    push(&records, at, call.once_key.is_none(), record);
}

async fn one_application(
    context: Arc<LoadContext>,
    prepared: PreparedApplication,
    records: Records,
) {
    let PreparedApplication { at, zone, call } = prepared;
    let gateway = context.steering.gateway(zone);
    let calling = context
        .caller
        .application(gateway, &call, context.start + at);
    let record = calling.await;
    // A gateway may run a call again unless it is marked as one that may not
    // be repeated.
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
            prompts.single("online", number, load.own_tokens),
            load.short_answer_tokens,
        ),
        OnlineKind::Album(album) => (
            prompts.album(album, load.album_prefix_tokens, number, load.own_tokens),
            load.album_answer_tokens,
        ),
    };
    let once_key = (!arrival.repeatable).then(|| prompts.key("online", number));
    CompletionCall {
        model: profile.fleet.service.as_str().to_owned(),
        prompt,
        max_tokens,
        tenant: TENANT.to_owned(),
        once_key,
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

/// The records, in the order of their intended times.
fn take(records: &Records) -> Vec<LoadRecord> {
    let mut records = records.lock().unwrap_or_else(PoisonError::into_inner);
    let mut taken = std::mem::take(&mut *records);
    taken.sort_by_key(|record| record.at);
    taken
}
