//! What an engine lacks, given what its service should run.

use std::collections::BTreeMap;

use molespan_engine_api::{EngineRole, OrderAction};
use molespan_state::control::{Configuration, Service};
use molespan_types::ServiceName;

use super::message::EngineState;

/// Separates a model's name from its version in an engine's report.
const VERSION_SEPARATOR: char = '@';

/// What one service asks of its engines.
#[derive(Clone, Debug)]
pub(super) struct Wanted {
    pub(super) service: ServiceName,
    pub(super) model: String,
    pub(super) version: u32,
    pub(super) adapters: Vec<String>,
    pub(super) replicas: usize,
}

/// The services that need engines with a model.
pub(super) fn wanted_by(configuration: &Configuration) -> Vec<Wanted> {
    configuration
        .services
        .iter()
        .filter_map(|(name, service)| wanted_by_service(configuration, name, service))
        .collect()
}

fn wanted_by_service(
    configuration: &Configuration,
    name: &ServiceName,
    service: &Service,
) -> Option<Wanted> {
    let model = service.model.as_ref()?;
    let version = configuration.models.get(model)?.version;
    Some(Wanted {
        service: name.clone(),
        model: model.0.clone(),
        version,
        adapters: service.adapters.clone(),
        replicas: service.replicas as usize,
    })
}

/// How an engine holds a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Copy {
    /// Ready at the wanted version.
    Ready,
    /// Ready at another version, or at one that is not known.
    OtherVersion,
    /// Not there.
    None,
}

/// How `engine` holds the wanted model. Reports name models as `NAME` or
/// `NAME@VERSION`; without a version, the last known order decides. Without
/// one the model is ordered again, which changes nothing on an engine that has
/// it in that version.
pub(super) fn copy_of(
    engine: &EngineState,
    ordered: &BTreeMap<String, u32>,
    wanted: &Wanted,
) -> Copy {
    for loaded in &engine.models {
        let (name, version) = split_version(loaded);
        if name != wanted.model {
            continue;
        }
        let version = version.or_else(|| ordered.get(name).copied());
        return match version {
            Some(version) if version == wanted.version => Copy::Ready,
            _ => Copy::OtherVersion,
        };
    }
    Copy::None
}

/// Name and version of a model as reported.
pub(super) fn split_version(loaded: &str) -> (&str, Option<u32>) {
    match loaded.split_once(VERSION_SEPARATOR) {
        Some((name, version)) => (name, version.parse().ok()),
        None => (loaded, None),
    }
}

/// Whether a report shows that an order took effect.
pub(super) fn shows_effect(engine: &EngineState, action: &OrderAction) -> bool {
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

/// The role that services ask of their engines today.
pub(super) const WANTED_ROLE: EngineRole = EngineRole::Mixed;
