//! A caller with an online request.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use molespan_types::{RunOutcome, Timestamp};

use crate::address::Address;
use crate::context::Context;
use crate::history::{ArrivalEnd, ArrivalRecord};
use crate::message::{ClientReply, ClientRequest, Message};
use crate::node::Node;
use crate::workload::OnlinePlan;

/// Timeout of a request, after which it is sent to a random gateway again.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay before a retry after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Number of unknown outcomes after which a non-repeatable request counts as
/// finished.
const MAX_UNKNOWN_OUTCOMES: u32 = 3;

/// A caller with an online request.
#[derive(Debug)]
pub struct OnlineClient {
    number: u32,
    gateways: u32,
    plan: Arc<OnlinePlan>,
    done: bool,
    unknown: u32,
    arrivals: u32,
    next: Option<Timestamp>,
    /// Time of sending and text received so far, by arrival.
    waiting: BTreeMap<u64, (Timestamp, String)>,
    resend_at: Option<Timestamp>,
}

impl OnlineClient {
    /// Creates a caller that has not started.
    #[must_use]
    pub fn new(number: u32, gateways: u32, plan: Arc<OnlinePlan>) -> Self {
        Self {
            number,
            gateways,
            plan,
            done: false,
            unknown: 0,
            arrivals: 0,
            next: None,
            waiting: BTreeMap::new(),
            resend_at: None,
        }
    }

    /// Whether the request has a final outcome and none of its arrivals is open.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done && self.waiting.is_empty()
    }

    /// Sends the first request.
    pub fn begin(&mut self, context: &mut Context) {
        let resend_after = self.plan.resend_after;
        self.resend_at = resend_after.map(|after| context.now + after);
        self.send(context);
    }

    fn send(&mut self, context: &mut Context) {
        self.next = None;
        self.arrivals += 1;
        let mut plan = (*self.plan).clone();
        if plan.key.is_none() {
            // Each submission of a repeatable request gets its own prompt, so that engine
            // executions can be attributed to a submission.
            plan.prompt = format!("{} sending {}", plan.prompt, self.arrivals);
        }
        let plan = Arc::new(plan);
        let request = ClientRequest::Online(Arc::clone(&plan));
        let (arrival, gateway) = super::send(context, self.number, self.gateways, request);
        self.waiting.insert(arrival, (context.now, String::new()));
        let record = ArrivalRecord {
            sent: context.now,
            client: self.number,
            gateway,
            plan,
            first_token: None,
            end: None,
        };
        context.history.arrivals.insert(arrival, record);
    }

    fn ended(&mut self, context: &mut Context, arrival: u64, end: ArrivalEnd) {
        self.waiting.remove(&arrival);
        let keyed = self.plan.key.is_some();
        match &end {
            ArrivalEnd::Answered(_) => self.done = true,
            ArrivalEnd::Refused(RunOutcome::Unknown) if keyed => {
                self.unknown += 1;
                self.done |= self.unknown >= MAX_UNKNOWN_OUTCOMES;
            }
            _ => {}
        }
        if !self.done && self.waiting.is_empty() {
            self.next = Some(context.now + RETRY_DELAY);
        }
        let now = context.now;
        if let Some(record) = context.history.arrivals.get_mut(&arrival) {
            record.end = Some((now, end));
        }
    }

    fn record_first_token(&self, context: &mut Context, arrival: u64) {
        let now = context.now;
        if let Some(record) = context.history.arrivals.get_mut(&arrival) {
            record.first_token.get_or_insert(now);
        }
    }
}

impl Node for OnlineClient {
    fn receive(&mut self, context: &mut Context, _from: Address, message: Message) {
        let Message::Reply { arrival, reply } = message else {
            return;
        };
        let Some((_, text)) = self.waiting.get_mut(&arrival) else {
            return;
        };
        match reply {
            ClientReply::Chunk { text: more, .. } => {
                text.push_str(&more);
                self.record_first_token(context, arrival);
            }
            ClientReply::End => {
                let text = std::mem::take(text);
                self.ended(context, arrival, ArrivalEnd::Answered(text));
            }
            ClientReply::Whole(text) => {
                self.record_first_token(context, arrival);
                self.ended(context, arrival, ArrivalEnd::Answered(text));
            }
            ClientReply::Refused { outcome, .. } => {
                self.ended(context, arrival, ArrivalEnd::Refused(outcome));
            }
            ClientReply::ConnectionRefused => {
                // No gateway accepted the request, which is equivalent to a refusal as not
                // run.
                self.ended(context, arrival, ArrivalEnd::Refused(RunOutcome::NotRun));
            }
            ClientReply::Broken { planned_stop } => {
                self.ended(context, arrival, ArrivalEnd::Broken { planned_stop });
            }
            ClientReply::Job(_) | ClientReply::Results { .. } => {}
        }
    }

    fn wake(&mut self, context: &mut Context) {
        let now = context.now;
        if self.resend_at.is_some_and(|at| at <= now) {
            self.resend_at = None;
            if !self.done {
                self.send(context);
            }
        }
        let timed_out: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, (sent, _))| now.since(*sent) >= ANSWER_TIMEOUT)
            .map(|(arrival, _)| *arrival)
            .collect();
        for arrival in timed_out {
            self.ended(context, arrival, ArrivalEnd::GivenUp);
        }
        if self.next.is_some_and(|next| next <= now) {
            self.next = None;
            if !self.done {
                self.send(context);
            }
        }
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        let timeouts = self.waiting.values();
        timeouts
            .map(|(sent, _)| *sent + ANSWER_TIMEOUT)
            .chain(self.next)
            .chain(self.resend_at)
            .min()
    }
}
