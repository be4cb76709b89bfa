//! An operator with one intent or one order.

use std::sync::Arc;
use std::time::Duration;

use molespan_engine_api::{Order, OrderAction};
use molespan_replica::Consistency;
use molespan_state::control::{
    Change, ConfirmIntent, ConfirmReply, ControlAnswer, ControlCommand, ControlQuery, ControlReply,
    IntentNumber, IssueOrder, Model, Policy, Service, ServiceKind,
};
use molespan_types::{BackendId, ConfigVersion, FencingToken, GroupId, Incarnation, Timestamp};
use rand::Rng;

use crate::address::Address;
use crate::context::Context;
use crate::group_client::{Ended, GroupClient};
use crate::history::{ConfirmRecord, OrderRecord, ReadRecord};
use crate::message::{Message, Operation};
use crate::node::Node;
use crate::scenario::{MODEL, SERVICES};
use crate::workload::{IntentPlan, OrderPlan};

/// Timeout of one call to a group; longer than any fault.
const CALL_TIMEOUT: Duration = Duration::from_secs(120);
/// Longest delay before the confirmation that follows a read, and before another
/// read after the base version moved, in milliseconds.
const MAX_THINK_TIME_MS: u64 = 200;
/// Delay after which an unanswered order is resent.
const ORDER_RESEND_DELAY: Duration = Duration::from_millis(700);
/// Maximum number of resends of an order.
const ORDER_RESENDS: u32 = 40;
/// Number of the intent that defines the services.
pub const FIRST_INTENT: u64 = 0;

/// The goal of an operator.
#[derive(Clone, Debug)]
pub enum Goal {
    /// Defines the services that all other work needs.
    DefineServices,
    /// Puts an intent in force.
    Intent(IntentPlan),
    /// Issues an order.
    Order(OrderPlan),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tag {
    Read,
    Confirm { base: ConfigVersion },
    Orders,
    Issue,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Waiting,
    /// Confirm the intent at this time.
    Confirm {
        at: Timestamp,
        base: ConfigVersion,
    },
    /// Read the configuration again at this time.
    ReadAgain {
        at: Timestamp,
    },
    /// Send the order at this time.
    Send {
        at: Timestamp,
        order: Order,
        sendings: u32,
    },
    Done,
}

/// An operator.
#[derive(Debug)]
pub struct Operator {
    number: u32,
    goal: Goal,
    groups: GroupClient<Tag>,
    step: Step,
    /// Version created by the confirmed intent, which the audit queries again.
    confirmed: Option<ConfigVersion>,
    /// Index of the order's record in the history.
    order: Option<usize>,
}

impl Operator {
    /// Creates an operator that has not started.
    #[must_use]
    pub fn new(number: u32, replicas: u32, goal: Goal) -> Self {
        Self {
            number,
            goal,
            groups: GroupClient::new(Address::Operator(number), replicas),
            step: Step::Waiting,
            confirmed: None,
            order: None,
        }
    }

    /// Whether the operator has its answer.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.step == Step::Done
    }

    /// Returns the goal.
    #[must_use]
    pub fn goal(&self) -> &Goal {
        &self.goal
    }

    /// Starts the first call.
    pub fn begin(&mut self, context: &mut Context) {
        match self.goal {
            Goal::Order(_) => self.query(context, &ControlQuery::Orders, Tag::Orders),
            Goal::DefineServices | Goal::Intent(_) => self.read(context),
        }
    }

    /// Resends a confirmation that was answered earlier.
    pub fn resend_confirmation(&mut self, context: &mut Context) {
        if let Some(version) = self.confirmed {
            self.step = Step::Waiting;
            let base = ConfigVersion(version.0 - 1);
            self.confirm(context, base);
        }
    }

    fn read(&mut self, context: &mut Context) {
        self.query(context, &ControlQuery::Configuration, Tag::Read);
    }

    fn query(&mut self, context: &mut Context, query: &ControlQuery, tag: Tag) {
        let bytes: Arc<[u8]> = molespan_state::encode(query).into();
        let operation = Operation::Query(Consistency::Linearizable, bytes);
        self.call(context, operation, tag);
    }

    fn propose(&mut self, context: &mut Context, command: &ControlCommand, tag: Tag) {
        let bytes: Arc<[u8]> = molespan_state::encode(command).into();
        self.call(context, Operation::Propose(bytes), tag);
    }

    fn call(&mut self, context: &mut Context, operation: Operation, tag: Tag) {
        let now = context.now;
        let group = GroupId::CONTROL;
        self.groups
            .call(context, now, group, operation, CALL_TIMEOUT, tag);
    }

    fn confirm(&mut self, context: &mut Context, base: ConfigVersion) {
        let intent = match &self.goal {
            Goal::DefineServices => first_intent(base),
            Goal::Intent(plan) => ConfirmIntent {
                number: IntentNumber(plan.number),
                operator: plan.operator.clone(),
                base_version: base,
                changes: vec![Change::PutPolicy {
                    policy: Policy {
                        tail_protection: plan.tail_protection,
                    },
                }],
            },
            Goal::Order(_) => return,
        };
        self.propose(
            context,
            &ControlCommand::Confirm(intent),
            Tag::Confirm { base },
        );
    }

    fn ended(&mut self, context: &mut Context, ended: Ended<Tag>) {
        let Some(answer) = ended.answer else {
            self.step = Step::Done;
            return;
        };
        match ended.tag {
            Tag::Read => self.handle_read(context, ended.started, &answer),
            Tag::Confirm { base } => self.handle_confirmed(context, ended.started, base, &answer),
            Tag::Orders => self.handle_orders(context, &answer),
            Tag::Issue => self.handle_issued(context, &answer),
        }
    }

    fn handle_read(&mut self, context: &mut Context, sent: Timestamp, answer: &[u8]) {
        let Ok(ControlAnswer::Configuration(Some(configuration))) = molespan_state::decode(answer)
        else {
            return;
        };
        let version = configuration.version;
        context.history.reads.push(ReadRecord {
            sent,
            answered: context.now,
            version,
        });
        let think_time = context.random.random_range(0..MAX_THINK_TIME_MS);
        self.step = Step::Confirm {
            at: context.now + Duration::from_millis(think_time),
            base: version,
        };
    }

    fn handle_confirmed(
        &mut self,
        context: &mut Context,
        sent: Timestamp,
        base: ConfigVersion,
        answer: &[u8],
    ) {
        let Ok(ControlReply::Confirm(reply)) = molespan_state::decode(answer) else {
            return;
        };
        let (number, operator) = self.signature();
        context.history.confirms.push(ConfirmRecord {
            sent,
            answered: context.now,
            number,
            operator,
            reply: reply.clone(),
        });
        match reply {
            ConfirmReply::BaseMoved { .. } if self.confirmed.is_none() => {
                let wait = context.random.random_range(0..MAX_THINK_TIME_MS);
                let at = context.now + Duration::from_millis(wait);
                self.step = Step::ReadAgain { at };
            }
            ConfirmReply::Confirmed { .. } => {
                // The base identifies the confirmation when it is resent.
                self.confirmed = Some(base.next());
                self.step = Step::Done;
            }
            _ => self.step = Step::Done,
        }
    }

    fn signature(&self) -> (u64, String) {
        match &self.goal {
            Goal::Intent(plan) => (plan.number, plan.operator.clone()),
            Goal::DefineServices | Goal::Order(_) => (FIRST_INTENT, "setup".to_owned()),
        }
    }

    fn handle_orders(&mut self, context: &mut Context, answer: &[u8]) {
        let Goal::Order(plan) = &self.goal else {
            return;
        };
        let Ok(ControlAnswer::Orders(orders)) = molespan_state::decode(answer) else {
            return;
        };
        let backend = BackendId(plan.engine);
        let latest = orders.get(&backend).map(|latest| latest.token);
        let action = OrderAction::LoadModel {
            model: MODEL.to_owned(),
            version: plan.version,
        };
        let incarnation = context.engine_incarnation(plan.engine);
        // The operator's number distinguishes this order from others with the same content.
        let action = serde_json::to_string(&(action, self.number)).unwrap_or_default();
        let order = IssueOrder {
            backend,
            incarnation,
            action,
            expected_token: latest.unwrap_or_default(),
        };
        self.propose(context, &ControlCommand::Issue(order), Tag::Issue);
    }

    fn handle_issued(&mut self, context: &mut Context, answer: &[u8]) {
        let Goal::Order(plan) = &self.goal else {
            return;
        };
        match molespan_state::decode(answer) {
            Ok(ControlReply::OrderIssued { token }) => {
                let incarnation = context.engine_incarnation(plan.engine);
                let order = order(plan, token, incarnation);
                self.order = Some(context.history.orders.len());
                context.history.orders.push(OrderRecord {
                    at: context.now,
                    backend: BackendId(plan.engine),
                    incarnation,
                    token,
                    order: self.number,
                    reply: None,
                });
                self.step = Step::Send {
                    at: context.now + plan.send_after,
                    order,
                    sendings: 0,
                };
            }
            Ok(ControlReply::OrderConflict { .. }) => {
                self.query(context, &ControlQuery::Orders, Tag::Orders);
            }
            _ => {}
        }
    }

    fn send_order(&mut self, context: &mut Context, order: Order, sendings: u32) {
        let Goal::Order(plan) = &self.goal else {
            return;
        };
        let own = Address::Operator(self.number);
        let engine = Address::Engine(plan.engine);
        context.send(own, engine, Message::Order(order.clone()));
        self.step = if sendings < ORDER_RESENDS {
            Step::Send {
                at: context.now + ORDER_RESEND_DELAY,
                order,
                sendings: sendings + 1,
            }
        } else {
            Step::Done
        };
    }
}

fn order(plan: &OrderPlan, token: FencingToken, incarnation: Incarnation) -> Order {
    Order {
        token,
        incarnation,
        action: OrderAction::LoadModel {
            model: MODEL.to_owned(),
            version: plan.version,
        },
    }
}

/// The intent that defines the services.
fn first_intent(base: ConfigVersion) -> ConfirmIntent {
    let model = Change::PutModel {
        name: MODEL.into(),
        model: Model { version: 1 },
    };
    let service = Service {
        kind: ServiceKind::Completion,
        model: Some(MODEL.into()),
        adapters: Vec::new(),
        max_concurrency: 64,
        max_queue: 64,
        queue_timeout_ms: 2_000,
        batch: true,
        replicas: 1,
    };
    let services = SERVICES.iter().map(|name| Change::PutService {
        name: (*name).into(),
        service: service.clone(),
    });
    ConfirmIntent {
        number: IntentNumber(FIRST_INTENT),
        operator: "setup".to_owned(),
        base_version: base,
        changes: std::iter::once(model).chain(services).collect(),
    }
}

impl Node for Operator {
    fn receive(&mut self, context: &mut Context, _from: Address, message: Message) {
        match message {
            Message::CallReply { call, result } => {
                if let Some(ended) = self.groups.replied(context.now, call, result) {
                    self.ended(context, ended);
                }
            }
            Message::OrderReply(reply) => {
                let record = self
                    .order
                    .and_then(|order| context.history.orders.get_mut(order));
                if let Some(record) = record.filter(|record| record.reply.is_none()) {
                    record.reply = Some((context.now, reply.accepted, reply.highest_token));
                }
                self.step = Step::Done;
            }
            _ => {}
        }
    }

    fn wake(&mut self, context: &mut Context) {
        let now = context.now;
        for ended in self.groups.tick(context, now) {
            self.ended(context, ended);
        }
        match self.step.clone() {
            Step::Confirm { at, base } if at <= now => {
                self.step = Step::Waiting;
                self.confirm(context, base);
            }
            Step::ReadAgain { at } if at <= now => {
                self.step = Step::Waiting;
                self.read(context);
            }
            Step::Send {
                at,
                order,
                sendings,
            } if at <= now => self.send_order(context, order, sendings),
            _ => {}
        }
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        let step = match &self.step {
            Step::Confirm { at, .. } | Step::ReadAgain { at } | Step::Send { at, .. } => Some(*at),
            Step::Waiting | Step::Done => None,
        };
        step.into_iter().chain(self.groups.next_wakeup()).min()
    }
}
