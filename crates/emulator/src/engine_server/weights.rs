//! Fetching of weights from the weight store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use http_types::Method;
use molespan_engine_api::{WEIGHTS_PATH, WeightManifest};
use molespan_http::new_request;

use super::EngineServer;
use crate::engine::WeightsNeeded;

/// Retry delay when the store does not send a `retry-after` header.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum size of a manifest, in bytes.
const MAX_MANIFEST_BYTES: usize = 64 * 1024;

/// Fetches `needed` and reports it to the core. Stops retrying when a later order
/// makes the weights obsolete.
pub async fn fetch(server: Arc<EngineServer>, needed: WeightsNeeded) {
    while server.with_core(|core, _| core.wants_weights(&needed)) {
        let Some(store) = server.weights else {
            break;
        };
        match manifest(&server, store, &needed).await {
            Ok(manifest) => {
                let seconds = manifest.bytes as f64 / server.load_bytes_per_second as f64;
                Timer::after(Duration::from_secs_f64(seconds)).await;
                break;
            }
            Err(pause) => {
                Timer::after(pause).await;
            }
        }
        if server.controls.is_stopped() {
            return;
        }
    }
    server.with_core(|core, _| core.weights_arrived(&needed));
}

/// Requests the manifest once. The error is the delay before the next attempt.
async fn manifest(
    server: &EngineServer,
    store: SocketAddr,
    needed: &WeightsNeeded,
) -> Result<WeightManifest, Duration> {
    let path = format!("{WEIGHTS_PATH}/{}", needed.name());
    let request = new_request(Method::Get, store, &path).map_err(|_| RETRY_DELAY)?;
    let response = server.pool.send(store, request).await;
    let response = response.map_err(|_| RETRY_DELAY)?;
    if !response.status().is_success() {
        let seconds = response
            .header("retry-after")
            .and_then(|text| text.parse().ok());
        return Err(seconds.map_or(RETRY_DELAY, Duration::from_secs));
    }
    let manifest: WeightManifest = response
        .json(MAX_MANIFEST_BYTES)
        .await
        .map_err(|_| RETRY_DELAY)?;
    match needed {
        WeightsNeeded::Model { version, .. } if manifest.version < *version => Err(RETRY_DELAY),
        _ => Ok(manifest),
    }
}
