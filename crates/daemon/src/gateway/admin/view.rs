//! Read-only views of the cluster, by kind.

use std::sync::Arc;

use http_types::StatusCode;
use molespan_engine_api::MachineKind;
use molespan_http::{Request, Response, json_response};
use molespan_membership::Backend;
use molespan_state::control::NodeRole;
use molespan_types::{
    BackendId, ConfigVersion, FencingToken, Incarnation, ModelName, NodeId, ServiceName, ZoneName,
};
use serde::Serialize;

use super::super::batch_api;
use super::super::directory::can_serve;
use super::super::error::ApiError;
use super::super::state::GatewayState;

/// A back end as seen by this gateway.
#[derive(Clone, Debug, Serialize)]
struct BackendView {
    id: BackendId,
    incarnation: Incarnation,
    kind: MachineKind,
    address: String,
    zone: ZoneName,
    service: ServiceName,
    state: String,
    models: Vec<String>,
    adapters: Vec<String>,
    /// Gateway that owns its batch work, if known here.
    owner: Option<NodeId>,
    /// Online requests of this gateway in flight there.
    load: Option<f64>,
}

/// A registered node and its active configuration version.
#[derive(Clone, Debug, Serialize)]
struct NodeView {
    id: NodeId,
    incarnation: Incarnation,
    name: String,
    zone: ZoneName,
    roles: Vec<NodeRole>,
    draining: bool,
    http_address: String,
    internal_address: String,
    version_in_force: Option<ConfigVersion>,
}

/// The active configuration version of one node.
#[derive(Clone, Debug, Serialize)]
struct VersionView {
    node: NodeId,
    version: ConfigVersion,
}

/// The latest order of a back end.
#[derive(Clone, Debug, Serialize)]
struct OrderView {
    backend: BackendId,
    incarnation: Incarnation,
    token: FencingToken,
    /// The action as JSON text.
    action: String,
}

/// The model placement of one engine.
#[derive(Clone, Debug, Serialize)]
struct PlacementView {
    service: ServiceName,
    backend: BackendId,
    model: Option<ModelName>,
    /// Replicas that the service wants over all of its engines.
    wanted: u32,
    /// `ready`, `without-model`, or the engine's state when it accepts no new work.
    state: String,
}

/// Answers `GET /admin/KIND`.
pub(super) async fn get(
    state: &Arc<GatewayState>,
    request: &Request,
    kind: &str,
) -> Result<Response, ApiError> {
    match kind {
        "configuration" => Ok(json(&state.cluster.configuration().await?)),
        "services" => Ok(json(&state.cluster.configuration().await?.services)),
        "models" => Ok(json(&state.cluster.configuration().await?.models)),
        "adapters" => Ok(json(&state.cluster.configuration().await?.adapters)),
        "tenants" => Ok(json(&state.cluster.configuration().await?.tenants)),
        "policy" => Ok(json(&state.cluster.configuration().await?.policy)),
        "backends" => Ok(json(&backends(state))),
        "nodes" => Ok(json(&nodes(state).await?)),
        "jobs" => batch_api::list(state, request).await,
        "versions" => Ok(json(&versions(state).await)),
        "orders" => Ok(json(&orders(state).await?)),
        "placement" => Ok(json(&placement(state).await?)),
        _ => Err(ApiError::not_found(
            "unknown_kind",
            "the kinds are configuration, services, models, adapters, tenants, policy, backends, \
             nodes, jobs, versions, orders and placement",
        )),
    }
}

fn json(value: &impl Serialize) -> Response {
    json_response(StatusCode::Ok, value)
}

fn backends(state: &GatewayState) -> Vec<BackendView> {
    let known: Vec<Backend> = state.directory().backends().cloned().collect();
    let now = state.clock.now();
    known
        .into_iter()
        .map(|backend| BackendView {
            owner: state.gateways().owner_of(backend.id, &backend.zone),
            load: state.pickers.load(now, &backend.service, backend.id),
            id: backend.id,
            incarnation: backend.incarnation,
            kind: backend.kind,
            address: backend.address,
            zone: backend.zone,
            service: backend.service,
            state: backend.state.to_string(),
            models: backend.loaded.models,
            adapters: backend.loaded.adapters,
        })
        .collect()
}

async fn nodes(state: &GatewayState) -> Result<Vec<NodeView>, ApiError> {
    let records = state.cluster.nodes().await?;
    let versions = state.cluster.versions_in_force().await;
    let views = records.into_iter().map(|record| {
        let node = record.registration;
        NodeView {
            id: node.node,
            incarnation: node.incarnation,
            name: node.name,
            zone: node.zone,
            roles: node.roles,
            draining: record.draining,
            http_address: node.http_address,
            internal_address: node.internal_address,
            version_in_force: versions.get(&node.node).copied(),
        }
    });
    Ok(views.collect())
}

async fn versions(state: &GatewayState) -> Vec<VersionView> {
    let versions = state.cluster.versions_in_force().await;
    let views = versions.into_iter();
    views
        .map(|(node, version)| VersionView { node, version })
        .collect()
}

async fn orders(state: &GatewayState) -> Result<Vec<OrderView>, ApiError> {
    let orders = state.cluster.orders().await?;
    let views = orders.into_iter().map(|(backend, issued)| OrderView {
        backend,
        incarnation: issued.order.incarnation,
        token: issued.token,
        action: issued.order.action,
    });
    Ok(views.collect())
}

async fn placement(state: &GatewayState) -> Result<Vec<PlacementView>, ApiError> {
    let configuration = state.cluster.configuration().await?;
    let directory = state.directory();
    let engines = directory
        .backends()
        .filter(|backend| backend.kind == MachineKind::Engine);
    let views = engines.filter_map(|engine| {
        let service = configuration.services.get(&engine.service)?;
        let state = if can_serve(engine, service) {
            "ready".to_owned()
        } else if engine.state.accepts_new_work() {
            "without-model".to_owned()
        } else {
            engine.state.to_string()
        };
        Some(PlacementView {
            service: engine.service.clone(),
            backend: engine.id,
            model: service.model.clone(),
            wanted: service.replicas,
            state,
        })
    });
    Ok(views.collect())
}
