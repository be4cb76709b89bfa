//! Drives online completions and application calls as an open loop.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;

use super::caller::{ApplicationCall, CallRecord, Caller, CompletionCall};
use super::prompts::Prompts;
use super::schedule::{ApplicationArrival, OnlineArrival, OnlineKind};
use super::steering::Steering;
use crate::run::profile::Profile;

/// Tenant of online callers.
const TENANT: &str = "residents";

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

/// What all calls of a load share.
pub struct LoadContext {
    /// Runs the calls.
    pub executor: Arc<Executor<'static>>,
    /// Makes them.
    pub caller: Caller,
    /// Chooses the gateway.
    pub steering: Arc<Steering>,
    /// Makes the prompts.
    pub prompts: Prompts,
    /// Sizes.
    pub profile: Profile,
    /// Time zero of the arrivals.
    pub start: Instant,
}

type Records = Arc<Mutex<Vec<LoadRecord>>>;

/// Sends online completions at their times and waits for all answers.
pub async fn drive_online(
    context: &Arc<LoadContext>,
    arrivals: Vec<OnlineArrival>,
) -> Vec<LoadRecord> {
    let records = Records::default();
    let mut calls = Vec::with_capacity(arrivals.len());
    for (number, arrival) in arrivals.into_iter().enumerate() {
        Timer::at(context.start + arrival.at).await;
        let one = one_online(context.clone(), arrival, number as u64, records.clone());
        calls.push(context.executor.spawn(one));
    }
    for call in calls {
        call.await;
    }
    take(&records)
}

/// Sends application calls at their times and waits for all answers.
pub async fn drive_application(
    context: &Arc<LoadContext>,
    arrivals: Vec<ApplicationArrival>,
) -> Vec<LoadRecord> {
    let records = Records::default();
    let mut calls = Vec::with_capacity(arrivals.len());
    for (number, arrival) in arrivals.into_iter().enumerate() {
        Timer::at(context.start + arrival.at).await;
        let one = one_application(context.clone(), arrival, number as u64, records.clone());
        calls.push(context.executor.spawn(one));
    }
    for call in calls {
        call.await;
    }
    take(&records)
}

async fn one_online(
    context: Arc<LoadContext>,
    arrival: OnlineArrival,
    number: u64,
    records: Records,
) {
    let intended = context.start + arrival.at;
    let call = completion_call(&context, &arrival, number);
    let gateway = context.steering.gateway(arrival.zone);
    let record = context.caller.stream(gateway, &call, intended).await;
    push(&records, arrival.at, arrival.repeatable, record);
}

async fn one_application(
    context: Arc<LoadContext>,
    arrival: ApplicationArrival,
    number: u64,
    records: Records,
) {
    let intended = context.start + arrival.at;
    let service = context.profile.fleet.application_service.as_str();
    let call = ApplicationCall {
        prefix: format!("/services/{service}"),
        path: format!("/albums/{number}"),
        body: context.prompts.single("application", number, 8),
        tenant: TENANT.to_owned(),
    };
    let gateway = context.steering.gateway(arrival.zone);
    let record = context.caller.application(gateway, &call, intended).await;
    // The bench does not resend, and a gateway may run a call again unless it
    // is marked as one that may not be repeated.
    push(&records, arrival.at, true, record);
}

fn completion_call(context: &LoadContext, arrival: &OnlineArrival, number: u64) -> CompletionCall {
    let load = &context.profile.online;
    let prompts = &context.prompts;
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
        model: context.profile.fleet.service.as_str().to_owned(),
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
