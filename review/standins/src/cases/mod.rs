//! The cases, and what they share.

mod crashing_engines;
mod dropped_route;
mod late_answer;
mod quick_changes;
mod stale_gateway;

use std::time::Duration;

use crate::Verdict;
use crate::client::HOST;
use crate::cluster::Cluster;

type Case = fn(Cluster, bool) -> Verdict;

pub fn find(name: &str) -> Option<Case> {
    match name {
        "crashing-engines" => Some(crashing_engines::run),
        "dropped-route" => Some(dropped_route::run),
        "quick-changes" => Some(quick_changes::run),
        "stale-gateway" => Some(stale_gateway::run),
        "late-answer" => Some(late_answer::run),
        _ => None,
    }
}

/// The service of the model engines, and the application.
const MODEL: &str = "huvo11a";
const APPLICATION: &str = "wuno96b";

/// A route to the application that may be repeated.
fn safe_route(name: &str) -> String {
    format!(
        r#"{{"name":"r-{name}","host":"{HOST}","pathPrefix":"/{name}/","routeKind":"safe","timeoutMs":4000,"targetLatencyMs":300,"priority":0,"service":"{APPLICATION}","maxAttempts":2,"sticky":false,"resumable":false}}"#
    )
}

/// An online route to the model engines.
fn stream_route(name: &str) -> String {
    format!(
        r#"{{"name":"r-{name}","host":"{HOST}","pathPrefix":"/{name}/","routeKind":"streaming","timeoutMs":8000,"targetLatencyMs":300,"priority":0,"service":"{MODEL}","maxAttempts":1,"sticky":true,"resumable":false,"gapTargetMs":500}}"#
    )
}

/// A batch route to the model engines.
fn batch_route(name: &str, attempts: u32) -> String {
    format!(
        r#"{{"name":"r-{name}","host":"{HOST}","pathPrefix":"/{name}/","routeKind":"batch","timeoutMs":25000,"targetLatencyMs":400,"completionTargetMs":20000,"retentionS":60,"priority":2,"service":"{MODEL}","maxAttempts":{attempts},"sticky":true,"resumable":true}}"#
    )
}

fn document(version: u64, routes: &[String]) -> String {
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"{MODEL}","healthPath":"/healthz","maxConns":200,"protocol":"h1","tls":false,"engine":{{"slots":12,"kvCapacity":147261,"kvBytes":327680,"linkMbps":740000.0,"stride":10,"maxQueuedTokens":12,"models":[{{"name":"m"}}]}}}},{{"name":"{APPLICATION}","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(",")
    )
}

/// Starts the cluster with its first configuration; returns why that failed.
fn begin(cluster: &mut Cluster, edges: u8, first: &str) -> Result<(), String> {
    cluster.start_all(edges)?;
    let within = Duration::from_secs(20);
    if cluster.declare(first, &[1, 2, 3], within).is_none() {
        return Err("the first configuration was not acknowledged".to_owned());
    }
    cluster.record.line("operator: version 1 acknowledged");
    for number in 1..=edges {
        if !cluster.wait_ready(number, within) {
            return Err(format!("edge-{number} did not become ready"));
        }
    }
    cluster.record.line("platform: every edge machine is ready");
    Ok(())
}
