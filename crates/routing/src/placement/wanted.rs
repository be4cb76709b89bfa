//! What services need from their engines, and whether an engine provides it.

use std::collections::BTreeMap;

use molespan_engine_api::{EngineRole, OrderAction};
use molespan_state::control::{Configuration, Service};
use molespan_types::ServiceName;

use super::message::EngineState;

/// Separator of model name and version in reports of engines.
const VERSION_SEPARATOR: char = '@';

/// What a service needs on its engines.
#[derive(Clone, Debug)]
pub(super) struct ModelRequirement {
    pub(super) service: ServiceName,
    pub(super) model: String,
    pub(super) version: u32,
    pub(super) adapters: Vec<String>,
    pub(super) replicas: usize,
}

/// Returns the requirements of every service that has a model.
pub(super) fn model_requirements(configuration: &Configuration) -> Vec<ModelRequirement> {
    configuration
        .services
        .iter()
        .filter_map(|(name, service)| requirement_of(configuration, name, service))
        .collect()
}

fn requirement_of(
    configuration: &Configuration,
    name: &ServiceName,
    service: &Service,
) -> Option<ModelRequirement> {
    let model = service.model.as_ref()?;
    let version = configuration.models.get(model)?.version;
    Some(ModelRequirement {
        service: name.clone(),
        model: model.0.clone(),
        version,
        adapters: service.adapters.clone(),
        replicas: service.replicas as usize,
    })
}

/// State of a model on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CopyState {
    /// Ready in the wanted version.
    Ready,
    /// Ready in another or an unknown version.
    OtherVersion,
    /// Not on the engine.
    None,
}

/// Returns the state of the wanted model on `engine`. Reports name models as
/// `NAME` or `NAME@VERSION`; without a version, the last known order is used. If
/// there is none, the model is ordered again, which has no effect on an engine that
/// already has this version.
pub(super) fn copy_state(
    engine: &EngineState,
    ordered: &BTreeMap<String, u32>,
    wanted: &ModelRequirement,
) -> CopyState {
    for loaded in &engine.models {
        let (name, version) = split_version(loaded);
        if name != wanted.model {
            continue;
        }
        let version = version.or_else(|| ordered.get(name).copied());
        return match version {
            Some(version) if version == wanted.version => CopyState::Ready,
            _ => CopyState::OtherVersion,
        };
    }
    CopyState::None
}

/// Splits a reported model into its name and version.
pub(super) fn split_version(loaded: &str) -> (&str, Option<u32>) {
    match loaded.split_once(VERSION_SEPARATOR) {
        Some((name, version)) => (name, version.parse().ok()),
        None => (loaded, None),
    }
}

/// Whether the reported state of `engine` matches an order's action.
pub(super) fn matches_action(engine: &EngineState, action: &OrderAction) -> bool {
    let has_model = |wanted: &str| {
        let mut names = engine.models.iter().map(|loaded| split_version(loaded).0);
        names.any(|name| name == wanted)
    };
    match action {
        OrderAction::LoadModel { model, version } => engine.models.iter().any(|loaded| {
            let (name, reported) = split_version(loaded);
            name == model && reported.is_none_or(|reported| reported == *version)
        }),
        OrderAction::UnloadModel { model } => !has_model(model),
        OrderAction::LoadAdapter { adapter } => engine.adapters.contains(adapter),
        OrderAction::UnloadAdapter { adapter } => !engine.adapters.contains(adapter),
        OrderAction::SetRole { role } => engine.role == *role,
        OrderAction::Leave => engine.leaving,
    }
}

/// The role that all services need at present.
pub(super) const REQUIRED_ROLE: EngineRole = EngineRole::Mixed;
