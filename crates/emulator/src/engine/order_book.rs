//! Fenced orders from the control nodes and the state that results from them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use molespan_engine_api::{EngineRole, Order, OrderAction, OrderReply};
use molespan_types::{FencingToken, Incarnation};

use super::WeightsNeeded;

/// Number of accepted orders kept to recognise resends.
const MAX_ACCEPTED_ORDERS: usize = 64;

/// Loaded models and adapters, and role of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Loaded {
    /// Loaded models with their versions.
    pub models: BTreeMap<String, u32>,
    /// Loaded adapters.
    pub adapters: BTreeSet<String>,
    /// Current role.
    pub role: EngineRole,
    /// Whether the engine was ordered to leave.
    pub leaving: bool,
}

/// Orders accepted in one incarnation and their effects.
#[derive(Clone, Debug)]
pub struct OrderBook {
    incarnation: Incarnation,
    highest_token: FencingToken,
    accepted_orders: VecDeque<Order>,
    wanted_models: BTreeMap<String, u32>,
    wanted_adapters: BTreeSet<String>,
    loaded: Loaded,
}

impl OrderBook {
    /// Creates the state of a new incarnation, with `models` loaded in version 1.
    #[must_use]
    pub fn new(incarnation: Incarnation, models: &[String]) -> Self {
        let loaded = Loaded {
            models: models.iter().map(|model| (model.clone(), 1)).collect(),
            ..Loaded::default()
        };
        Self {
            incarnation,
            highest_token: FencingToken(0),
            accepted_orders: VecDeque::new(),
            wanted_models: loaded.models.clone(),
            wanted_adapters: BTreeSet::new(),
            loaded,
        }
    }

    /// Returns what is currently loaded.
    #[must_use]
    pub fn loaded(&self) -> &Loaded {
        &self.loaded
    }

    /// Accepts or rejects an order. Also returns the weights that must be
    /// fetched for it, if any.
    pub fn handle(&mut self, order: Order) -> (OrderReply, Option<WeightsNeeded>) {
        if self.accepted_orders.contains(&order) {
            return (self.reply(true), None);
        }
        // Invariant: the tokens of accepted orders strictly increase within an
        // incarnation.
        if order.incarnation != self.incarnation || order.token <= self.highest_token {
            return (self.reply(false), None);
        }
        self.highest_token = order.token;
        let needed = self.apply(&order.action);
        self.accepted_orders.push_back(order);
        if self.accepted_orders.len() > MAX_ACCEPTED_ORDERS {
            self.accepted_orders.pop_front();
        }
        (self.reply(true), needed)
    }

    /// Loads fetched weights, unless a later order made them obsolete.
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

    /// Whether `weights` are still required by the latest orders.
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
            highest_token: self.highest_token,
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
