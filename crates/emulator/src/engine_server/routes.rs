//! HTTP routes of an engine.

use std::sync::Arc;

use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use http_types::{Method, Request, Response};
use molespan_engine_api::{
    CACHE_EVENTS_PATH, CHAT_COMPLETIONS_PATH, COMPLETIONS_PATH, HEALTH_PATH, KV_EXPORT_PATH,
    KV_IMPORT_PATH, KvBlockExport, LOAD_PATH, ORDERS_PATH, Order, REQUESTS_PATH,
};
use molespan_types::{RunOutcome, Timestamp};
use serde::{Deserialize, Serialize};

use super::EngineServer;
use super::answers::AnswerForm;
use crate::engine::{EngineCore, Refusal};
use crate::faults::AnswerFault;
use crate::server::{Service, error_reply, json_reply, not_found, query_number, read_json};
use crate::switch_api::{self, route_control};

/// Response body of `POST /kv/import`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvImportReply {
    /// Number of blocks that were not cached before.
    pub stored: u32,
}

/// Body of `POST /emulator/priority`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PriorityRequest {
    /// Whether engine priority is on.
    pub on: bool,
}

/// An operation of the core on one attempt.
type AttemptCall =
    fn(&mut EngineCore, Timestamp, &str) -> Result<molespan_engine_api::RequestStatus, Refusal>;

impl Service for EngineServer {
    fn accepts_answer_faults(&self, path: &str) -> bool {
        let streamed = path.starts_with(REQUESTS_PATH) && path.contains("/stream");
        streamed || path == COMPLETIONS_PATH || path == CHAT_COMPLETIONS_PATH
    }

    fn call(
        self: Arc<Self>,
        request: Request,
        fault: Option<AnswerFault>,
    ) -> Boxed<http_types::Result<Response>> {
        self.route(request, fault).boxed()
    }
}

impl EngineServer {
    async fn route(
        self: Arc<Self>,
        request: Request,
        fault: Option<AnswerFault>,
    ) -> http_types::Result<Response> {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Post, COMPLETIONS_PATH) => {
                self.complete(request, AnswerForm::Text, fault).await
            }
            (Method::Post, CHAT_COMPLETIONS_PATH) => {
                self.complete(request, AnswerForm::Chat, fault).await
            }
            (Method::Get, LOAD_PATH) => Ok(self.load()),
            (Method::Get, HEALTH_PATH) => Ok(self.add_headers(json_reply(200, &"ok"), "")),
            (Method::Get, CACHE_EVENTS_PATH) => Ok(self.cache_events(&request)),
            (Method::Post, ORDERS_PATH) => self.take_order(request).await,
            (Method::Get, KV_EXPORT_PATH) => Ok(self.export(&request)),
            (Method::Post, KV_IMPORT_PATH) => self.import(request).await,
            (_, path) if path.starts_with(REQUESTS_PATH) => {
                self.route_attempt(&request, path, fault)
            }
            (_, path) if path.starts_with(crate::EMULATOR_PATH) => {
                self.route_control(request, path).await
            }
            _ => Ok(not_found()),
        }
    }

    fn route_attempt(
        &self,
        request: &Request,
        path: &str,
        fault: Option<AnswerFault>,
    ) -> http_types::Result<Response> {
        let rest = path[REQUESTS_PATH.len()..].trim_start_matches('/');
        let (attempt, action) = rest.split_once('/').unwrap_or((rest, ""));
        match (request.method(), action) {
            (Method::Get, "") => Ok(self.on_attempt(attempt, EngineCore::status)),
            (Method::Delete, "") => Ok(self.on_attempt(attempt, EngineCore::cancel)),
            (Method::Post, "pause") => Ok(self.on_attempt(attempt, EngineCore::pause)),
            (Method::Post, "resume") => Ok(self.on_attempt(attempt, EngineCore::resume)),
            (Method::Get, "stream") => {
                let offset = query_number(request, "offset").unwrap_or(0);
                let offset = u32::try_from(offset).unwrap_or(u32::MAX);
                self.resume_stream(attempt, offset, fault)
            }
            _ => Ok(not_found()),
        }
    }

    fn on_attempt(&self, attempt: &str, call: AttemptCall) -> Response {
        match self.with_core(|core, now| call(core, now, attempt)) {
            Ok(status) => self.add_headers(json_reply(200, &status), attempt),
            Err(refusal) => self.refusal_reply(&refusal, attempt),
        }
    }

    fn load(&self) -> Response {
        let report = self.with_core(EngineCore::load_report);
        self.add_headers(json_reply(200, &report), "")
    }

    fn cache_events(&self, request: &Request) -> Response {
        let after = query_number(request, "after").unwrap_or(0);
        let page = self.with_core(|core, now| core.cache_events(now, after));
        self.add_headers(json_reply(200, &page), "")
    }

    async fn take_order(&self, mut request: Request) -> http_types::Result<Response> {
        let order: Order = match read_json(&mut request).await? {
            Ok(order) => order,
            Err(reply) => return Ok(reply),
        };
        let reply = self.with_core(|core, _| core.order(order));
        let status = if reply.accepted { 200 } else { 409 };
        Ok(self.add_headers(json_reply(status, &reply), ""))
    }

    fn export(&self, request: &Request) -> Response {
        let Some(prefix) = query_number(request, "prefix") else {
            let message = "the query parameter `prefix` must be a number";
            return error_reply(400, "malformed", message, RunOutcome::NotRun, None);
        };
        let export = self.with_core(|core, _| core.kv_export(prefix));
        self.add_headers(json_reply(200, &export), "")
    }

    async fn import(&self, mut request: Request) -> http_types::Result<Response> {
        let blocks: KvBlockExport = match read_json(&mut request).await? {
            Ok(blocks) => blocks,
            Err(reply) => return Ok(reply),
        };
        let stored = self.with_core(|core, now| core.kv_import(now, &blocks));
        Ok(self.add_headers(json_reply(200, &KvImportReply { stored }), ""))
    }

    async fn route_control(
        &self,
        mut request: Request,
        path: &str,
    ) -> http_types::Result<Response> {
        match (request.method(), path) {
            (Method::Post, switch_api::PRIORITY_PATH) => {
                let priority: PriorityRequest = match read_json(&mut request).await? {
                    Ok(priority) => priority,
                    Err(reply) => return Ok(reply),
                };
                self.with_core(|core, _| core.set_priority(priority.on));
                Ok(json_reply(200, &priority))
            }
            _ => route_control(self, &mut request).await,
        }
    }
}
