//! The placement planner.

use std::collections::BTreeMap;

use molespan_engine_api::OrderAction;
use molespan_state::control::{Configuration, IssueOrder};
use molespan_types::{BackendId, FencingToken, Incarnation, Timestamp, ZoneName};

use super::message::{EngineState, PlacementDecision, PlacementReason, PlacementSettings};
use super::wanted::{
    CopyState, ModelRequirement, REQUIRED_ROLE, copy_state, matches_action, model_requirements,
    split_version,
};

/// An order whose effect has not been reported yet.
#[derive(Clone, Debug)]
struct Outstanding {
    incarnation: Incarnation,
    action: OrderAction,
    proposed: Timestamp,
    token: FencingToken,
}

/// Proposes orders until every engine has what its service needs.
#[derive(Clone, Debug)]
pub struct PlacementPlanner {
    settings: PlacementSettings,
    outstanding: BTreeMap<BackendId, Outstanding>,
    /// Model versions loaded by orders, for each engine incarnation.
    ordered_versions: BTreeMap<(BackendId, Incarnation), BTreeMap<String, u32>>,
}

/// Inputs and decisions of one planning step.
struct Step<'a> {
    now: Timestamp,
    engines: &'a [EngineState],
    decisions: Vec<PlacementDecision>,
}

impl PlacementPlanner {
    /// Creates a planner without outstanding orders.
    #[must_use]
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            outstanding: BTreeMap::new(),
            ordered_versions: BTreeMap::new(),
        }
    }

    /// Proposes the next orders. Should be called after changes and once a second.
    pub fn plan(
        &mut self,
        now: Timestamp,
        configuration: &Configuration,
        engines: &[EngineState],
    ) -> Vec<PlacementDecision> {
        self.record_ordered_versions(engines);
        self.drop_completed_orders(now, engines);
        let mut step = Step {
            now,
            engines,
            decisions: Vec::new(),
        };
        self.resend(&mut step);
        let wanted = model_requirements(configuration);
        for service in &wanted {
            self.update_versions(&mut step, service);
            self.add_copies(&mut step, service);
            self.complete_engines(&mut step, service);
        }
        self.unload_unwanted(&mut step, &wanted);
        step.decisions
    }

    /// Records the versions that were ordered before this planner took over.
    fn record_ordered_versions(&mut self, engines: &[EngineState]) {
        for engine in engines {
            let Some(OrderAction::LoadModel { model, version }) = &engine.last_order else {
                continue;
            };
            if self.is_busy(engine) {
                continue;
            }
            let key = (engine.backend, engine.incarnation);
            let versions = self.ordered_versions.entry(key).or_default();
            versions.insert(model.clone(), *version);
        }
    }

    /// Drops outstanding orders whose effect is reported, and those whose engine
    /// is gone, has restarted, is leaving, or is out of service after the resend
    /// delay.
    fn drop_completed_orders(&mut self, now: Timestamp, engines: &[EngineState]) {
        let min_load_time = self.settings.min_load_time;
        let resend_after = self.settings.resend_after;
        let by_id: BTreeMap<BackendId, &EngineState> = engines
            .iter()
            .map(|engine| (engine.backend, engine))
            .collect();
        let ordered_versions = &mut self.ordered_versions;
        self.outstanding.retain(|backend, order| {
            let Some(engine) = by_id.get(backend) else {
                return false;
            };
            if engine.incarnation != order.incarnation || engine.leaving {
                return false;
            }
            // The order may never finish and must not block the loads of others.
            if !engine.in_service && now.since(order.proposed) >= resend_after {
                return false;
            }
            // The token increases when the order is issued. A state that already
            // matched the order before is not evidence of its effect.
            let issued = engine.token > order.token;
            let old_enough = now.since(order.proposed) >= min_load_time;
            let effective = issued && old_enough && matches_action(engine, &order.action);
            if let (true, OrderAction::LoadModel { model, version }) = (effective, &order.action) {
                let key = (engine.backend, engine.incarnation);
                let versions: &mut BTreeMap<String, u32> = ordered_versions.entry(key).or_default();
                versions.insert(model.clone(), *version);
            }
            !effective
        });
        self.ordered_versions.retain(|(backend, incarnation), _| {
            let engine = by_id.get(backend);
            engine.is_some_and(|engine| engine.incarnation == *incarnation)
        });
    }

    fn resend(&mut self, step: &mut Step<'_>) {
        for engine in step.engines {
            let Some(order) = self.outstanding.get(&engine.backend) else {
                continue;
            };
            if step.now.since(order.proposed) < self.settings.resend_after {
                continue;
            }
            let token = order.token;
            let action = order.action.clone();
            self.propose(step, engine, action, PlacementReason::NoEffectYet { token });
        }
    }

    /// Orders the wanted version on engines that run another one, as long as
    /// enough other copies stay in service.
    fn update_versions(&mut self, step: &mut Step<'_>, wanted: &ModelRequirement) {
        for engine in engines_of(step.engines, wanted) {
            let outdated = self.copy_state(engine, wanted) == CopyState::OtherVersion;
            let unfit = engine.leaving || !engine.in_service;
            if unfit || !outdated || !self.may_order_load(step) {
                continue;
            }
            let others = self.copies_in_service(step.engines, wanted, engine.backend);
            let enough = others >= wanted.replicas.saturating_sub(1).max(1);
            if !enough || self.is_busy(engine) {
                continue;
            }
            let action = OrderAction::LoadModel {
                model: wanted.model.clone(),
                version: wanted.version,
            };
            let reason = PlacementReason::OtherVersion {
                service: wanted.service.clone(),
                version: wanted.version,
                others,
            };
            self.propose(step, engine, action, reason);
        }
    }

    /// Loads the model on more engines, each time in the zone with the fewest
    /// copies.
    fn add_copies(&mut self, step: &mut Step<'_>, wanted: &ModelRequirement) {
        let needed = wanted.replicas + usize::from(self.needs_extra_copy(step.engines, wanted));
        loop {
            let ready = self.copies(step.engines, wanted).count();
            if ready >= needed || !self.may_order_load(step) {
                return;
            }
            let Some(engine) = self.best_for_copy(step.engines, wanted) else {
                return;
            };
            let reason = PlacementReason::TooFewCopies {
                service: wanted.service.clone(),
                ready,
                wanted: wanted.replicas,
                zone: engine.zone.clone(),
            };
            let action = OrderAction::LoadModel {
                model: wanted.model.clone(),
                version: wanted.version,
            };
            self.propose(step, engine, action, reason);
        }
    }

    /// Whether an extra copy is needed temporarily, so that the only copy can
    /// change its version without an interruption of service.
    fn needs_extra_copy(&self, engines: &[EngineState], wanted: &ModelRequirement) -> bool {
        let mut copies = self.copies(engines, wanted);
        let outdated =
            copies.any(|engine| self.copy_state(engine, wanted) == CopyState::OtherVersion);
        wanted.replicas == 1 && outdated
    }

    fn best_for_copy<'a>(
        &self,
        engines: &'a [EngineState],
        wanted: &'a ModelRequirement,
    ) -> Option<&'a EngineState> {
        let mut by_zone: BTreeMap<&ZoneName, usize> = BTreeMap::new();
        for engine in self.copies(engines, wanted) {
            *by_zone.entry(&engine.zone).or_default() += 1;
        }
        engines_of(engines, wanted)
            .filter(|engine| engine.in_service && !engine.leaving)
            .filter(|engine| !self.is_busy(engine))
            .filter(|engine| self.copy_state(engine, wanted) == CopyState::None)
            .min_by_key(|engine| {
                let copies = by_zone.get(&engine.zone).copied().unwrap_or(0);
                (copies, engine.models.len(), engine.backend)
            })
    }

    /// Sets the role and then loads missing adapters on engines that have the model.
    fn complete_engines(&mut self, step: &mut Step<'_>, wanted: &ModelRequirement) {
        for engine in engines_of(step.engines, wanted) {
            let unfit = engine.leaving || !engine.in_service || self.is_busy(engine);
            if unfit || self.copy_state(engine, wanted) == CopyState::None {
                continue;
            }
            if engine.role != REQUIRED_ROLE {
                let reason = PlacementReason::WrongRole {
                    service: wanted.service.clone(),
                };
                self.propose(
                    step,
                    engine,
                    OrderAction::SetRole {
                        role: REQUIRED_ROLE,
                    },
                    reason,
                );
                continue;
            }
            let mut lacking = wanted.adapters.iter();
            let lacking = lacking.find(|adapter| !engine.adapters.contains(adapter));
            let Some(adapter) = lacking.filter(|_| self.may_order_load(step)) else {
                continue;
            };
            let reason = PlacementReason::MissingAdapter {
                service: wanted.service.clone(),
                adapter: adapter.clone(),
            };
            let adapter = adapter.clone();
            self.propose(step, engine, OrderAction::LoadAdapter { adapter }, reason);
        }
    }

    /// Unloads models that an engine's service does not use, once the engine has
    /// the wanted model in the wanted version. Old models stay until then.
    fn unload_unwanted(&mut self, step: &mut Step<'_>, wanted: &[ModelRequirement]) {
        for engine in step.engines {
            let requirement = wanted.iter().find(|one| one.service == engine.service);
            let Some(requirement) = requirement else {
                continue;
            };
            let ready = self.copy_state(engine, requirement) == CopyState::Ready;
            if !ready || self.is_busy(engine) || engine.leaving {
                continue;
            }
            let loaded = engine.models.iter().map(|loaded| split_version(loaded).0);
            let unwanted = loaded.into_iter().find(|name| *name != requirement.model);
            let Some(model) = unwanted else {
                continue;
            };
            let last_copy = is_last_copy(step.engines, engine, model, wanted);
            if last_copy {
                continue;
            }
            let model = model.to_owned();
            let reason = PlacementReason::UnwantedModel {
                model: model.clone(),
            };
            self.propose(step, engine, OrderAction::UnloadModel { model }, reason);
        }
    }

    fn copy_state(&self, engine: &EngineState, wanted: &ModelRequirement) -> CopyState {
        let empty = BTreeMap::new();
        let key = (engine.backend, engine.incarnation);
        copy_state(
            engine,
            self.ordered_versions.get(&key).unwrap_or(&empty),
            wanted,
        )
    }

    /// Returns the engines in service that have the model in any version or are
    /// loading it.
    fn copies<'a>(
        &'a self,
        engines: &'a [EngineState],
        wanted: &'a ModelRequirement,
    ) -> impl Iterator<Item = &'a EngineState> + 'a {
        engines_of(engines, wanted)
            .filter(|engine| engine.in_service && !engine.leaving)
            .filter(|engine| {
                let loading = self.outstanding.get(&engine.backend).is_some_and(|order| {
                    matches!(&order.action, OrderAction::LoadModel { model, .. }
                        if *model == wanted.model)
                });
                loading || self.copy_state(engine, wanted) != CopyState::None
            })
    }

    /// Counts the copies in service, without `except` and engines with an
    /// outstanding order.
    fn copies_in_service(
        &self,
        engines: &[EngineState],
        wanted: &ModelRequirement,
        except: BackendId,
    ) -> usize {
        engines_of(engines, wanted)
            .filter(|engine| engine.backend != except)
            .filter(|engine| engine.in_service && !engine.leaving)
            .filter(|engine| !self.is_busy(engine))
            .filter(|engine| self.copy_state(engine, wanted) != CopyState::None)
            .count()
    }

    fn is_busy(&self, engine: &EngineState) -> bool {
        self.outstanding.contains_key(&engine.backend)
    }

    /// Whether the limits allow another load from the weight store.
    fn may_order_load(&self, step: &Step<'_>) -> bool {
        let loads = self.outstanding.values().filter(|order| {
            matches!(
                order.action,
                OrderAction::LoadModel { .. } | OrderAction::LoadAdapter { .. }
            )
        });
        loads.count() < self.settings.max_concurrent_loads && self.may_order(step)
    }

    fn may_order(&self, step: &Step<'_>) -> bool {
        step.decisions.len() < self.settings.max_orders_per_step
    }

    fn propose(
        &mut self,
        step: &mut Step<'_>,
        engine: &EngineState,
        action: OrderAction,
        reason: PlacementReason,
    ) {
        if !self.may_order(step) {
            return;
        }
        let Ok(encoded) = serde_json::to_string(&action) else {
            return;
        };
        self.outstanding.insert(
            engine.backend,
            Outstanding {
                incarnation: engine.incarnation,
                action: action.clone(),
                proposed: step.now,
                token: engine.token,
            },
        );
        step.decisions.push(PlacementDecision {
            order: IssueOrder {
                backend: engine.backend,
                incarnation: engine.incarnation,
                action: encoded,
                expected_token: engine.token,
            },
            action,
            reason,
        });
    }
}

fn engines_of<'a>(
    engines: &'a [EngineState],
    wanted: &'a ModelRequirement,
) -> impl Iterator<Item = &'a EngineState> + 'a {
    engines
        .iter()
        .filter(|engine| engine.service == wanted.service)
}

/// Whether `engine` has the last copy of a model that some service uses.
fn is_last_copy(
    engines: &[EngineState],
    engine: &EngineState,
    model: &str,
    wanted: &[ModelRequirement],
) -> bool {
    let is_wanted = wanted.iter().any(|one| one.model == model);
    let others = engines
        .iter()
        .filter(|other| other.backend != engine.backend)
        .filter(|other| other.in_service && !other.leaving)
        .filter(|other| {
            let mut names = other.models.iter().map(|loaded| split_version(loaded).0);
            names.any(|name| name == model)
        });
    is_wanted && others.count() == 0
}
