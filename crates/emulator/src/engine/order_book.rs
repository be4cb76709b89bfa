//! Fenced orders: which are taken, and what is loaded because of them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use molespan_engine_api::{EngineRole, Order, OrderAction, OrderReply};
use molespan_types::{FencingToken, Incarnation};

use super::WeightsNeeded;

/// Orders remembered so that a resend is recognised.
const REMEMBERED_ORDERS: usize = 64;

/// What the engine holds ready.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Loaded {
    /// Models and their versions.
    pub models: BTreeMap<String, u32>,
    /// Adapters.
    pub adapters: BTreeSet<String>,
    /// Role in force.
    pub role: EngineRole,
    /// Whether it was told to leave.
    pub leaving: bool,
}

/// The orders of one incarnation and their effects.
#[derive(Clone, Debug)]
pub struct OrderBook {
    incarnation: Incarnation,
    highest: FencingToken,
    taken: VecDeque<Order>,
    wanted_models: BTreeMap<String, u32>,
    wanted_adapters: BTreeSet<String>,
    loaded: Loaded,
}

impl OrderBook {
    /// An engine life that starts with `models` ready, in version 1.
    #[must_use]
    pub fn new(incarnation: Incarnation, models: &[String]) -> Self {
        let loaded = Loaded {
            models: models.iter().map(|model| (model.clone(), 1)).collect(),
            ..Loaded::default()
        };
        Self {
            incarnation,
            highest: FencingToken(0),
            taken: VecDeque::new(),
            wanted_models: loaded.models.clone(),
            wanted_adapters: BTreeSet::new(),
            loaded,
        }
    }

    /// What is ready now.
    #[must_use]
    pub fn loaded(&self) -> &Loaded {
        &self.loaded
    }

    /// Takes or refuses an order. The second value names weights to fetch.
    pub fn take(&mut self, order: Order) -> (OrderReply, Option<WeightsNeeded>) {
        if self.taken.contains(&order) {
            return (self.reply(true), None);
        }
        // Invariant: tokens that take effect strictly rise within one life.
        if order.incarnation != self.incarnation || order.token <= self.highest {
            return (self.reply(false), None);
        }
        self.highest = order.token;
        let needed = self.apply(&order.action);
        self.taken.push_back(order);
        if self.taken.len() > REMEMBERED_ORDERS {
            self.taken.pop_front();
        }
        (self.reply(true), needed)
    }

    /// Weights arrived. They are dropped when an order has overtaken them.
    pub fn weights_arrived(&mut self, weights: &WeightsNeeded) {
        match weights {
            WeightsNeeded::Model { model, version } => {
                if self.wanted_models.get(model) == Some(version) {
                    self.loaded.models.insert(model.clone(), *version);
                }
            }
            WeightsNeeded::Adapter { adapter } => {
                if self.wanted_adapters.contains(adapter) {
                    self.loaded.adapters.insert(adapter.clone());
                }
            }
        }
    }

    /// Whether `weights` are still wanted.
    #[must_use]
    pub fn wants(&self, weights: &WeightsNeeded) -> bool {
        match weights {
            WeightsNeeded::Model { model, version } => {
                self.wanted_models.get(model) == Some(version)
            }
            WeightsNeeded::Adapter { adapter } => self.wanted_adapters.contains(adapter),
        }
    }

    fn reply(&self, accepted: bool) -> OrderReply {
        OrderReply {
            accepted,
            highest_token: self.highest,
        }
    }

    fn apply(&mut self, action: &OrderAction) -> Option<WeightsNeeded> {
        match action {
            OrderAction::LoadModel { model, version } => {
                self.wanted_models.insert(model.clone(), *version);
                let ready = self.loaded.models.get(model) == Some(version);
                let needed = WeightsNeeded::Model {
                    model: model.clone(),
                    version: *version,
                };
                (!ready).then_some(needed)
            }
            OrderAction::UnloadModel { model } => {
                self.wanted_models.remove(model);
                self.loaded.models.remove(model);
                None
            }
            OrderAction::LoadAdapter { adapter } => {
                self.wanted_adapters.insert(adapter.clone());
                let ready = self.loaded.adapters.contains(adapter);
                let needed = WeightsNeeded::Adapter {
                    adapter: adapter.clone(),
                };
                (!ready).then_some(needed)
            }
            OrderAction::UnloadAdapter { adapter } => {
                self.wanted_adapters.remove(adapter);
                self.loaded.adapters.remove(adapter);
                None
            }
            OrderAction::SetRole { role } => {
                self.loaded.role = *role;
                None
            }
            OrderAction::Leave => {
                self.loaded.leaving = true;
                None
            }
        }
    }
}
