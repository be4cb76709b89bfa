//! Serving a caller's request: routing and answering.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::future;
use molespan_http::h1::{Connection, Headers, RequestHead};
use molespan_state::declared::{Route, RouteKind, StreamKey};
use molespan_types::Timestamp;
use slog::info;

use crate::attempt::{EngineReply, version_text};
use crate::batch;
use crate::dialect::{GatewayDialect, Refusal, Resumption};
use crate::dispatch::Dispatch;
use crate::metrics::Resumed;
use crate::relay::{Relayed, relay, write};
use crate::resume::relay_resumable;
use crate::state::{GatewayState, InForce};
use crate::streams::Lookup;

/// Retry delay for a caller of a gateway without current configuration; an election and a
/// watch take about as long.
pub(crate) const CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(1_200);
/// Retry delay for a caller whose stream nobody knows: control nodes that were out of reach
/// may know it by then.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum size, in bytes, of an answer that is buffered completely before it is relayed,
/// so that a repeatable request can be retried if its engine breaks off.
const MAX_BUFFERED_ANSWER_BYTES: u64 = 256 << 10;

/// A completely read request of a caller.
pub(crate) struct CallerRequest {
    pub head: RequestHead,
    pub body: Vec<u8>,
    /// When the head arrived.
    pub arrived: Timestamp,
}

/// Whether the caller's connection may carry another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionAction {
    KeepAlive,
    Close,
}

/// Serves one request.
pub(crate) async fn serve<D: GatewayDialect>(
    state: &Rc<GatewayState>,
    dialect: &D,
    caller: &Connection,
    request: CallerRequest,
    keep_alive: bool,
) -> ConnectionAction {
    let Some(in_force) = state.in_force() else {
        let refusal = Refusal::NoConfiguration {
            retry_after: CONFIGURATION_RETRY_AFTER,
        };
        return refuse(state, dialect, caller, refusal, keep_alive).await;
    };
    let credential = dialect.credential(&request.head.headers);
    if let Some(call) = dialect.batch_call(&request.head) {
        let answer = match state.tenant(&in_force, credential, false) {
            Ok(tenant) => batch::call(state, dialect, call, tenant.as_deref()).await,
            Err(refusal) => dialect.refusal_answer(refusal),
        };
        return write_answer(caller, &answer.encode(keep_alive), keep_alive).await;
    }
    let host = request.head.host();
    let Some(route) = in_force.model.route(&host, request.head.path()) else {
        info!(state.logger, "no route"; "host" => host, "path" => request.head.path(),
            "version" => in_force.version);
        return refuse(state, dialect, caller, Refusal::NoRoute, keep_alive).await;
    };
    let tenant = match state.tenant(&in_force, credential, route.anonymous) {
        Ok(tenant) => tenant,
        Err(refusal) => {
            info!(state.logger, "key refused by the tenant check"; "route" => &route.name, "refusal" => ?refusal,
                "version" => in_force.version);
            return refuse(state, dialect, caller, refusal, keep_alive).await;
        }
    };
    if route.kind == RouteKind::Batch {
        let answer = batch::submit(state, dialect, route, tenant.as_deref(), &request).await;
        return write_answer(caller, &answer.encode(keep_alive), keep_alive).await;
    }
    let minor = request.head.minor;
    let dispatch = dispatch(state, dialect, &in_force, route, tenant, request);
    let mut dispatch = match dispatch {
        Ok(dispatch) => dispatch,
        Err(refusal) => return refuse(state, dialect, caller, refusal, keep_alive).await,
    };
    let served = dispatch.answer(caller, minor, keep_alive);
    let gone = async {
        caller.gone().await;
        ConnectionAction::Close
    };
    // The answer is polled first; the caller is also watched while it is written.
    future::or(served, gone).await
}

/// Prepares the attempts of a request, if its tenant may send it.
///
/// # Errors
/// When the request is malformed, its tenant may not send it, or no service is left for it.
fn dispatch<'a, D: GatewayDialect>(
    state: &'a Rc<GatewayState>,
    dialect: &'a D,
    in_force: &InForce,
    route: &'a Route,
    tenant: Option<Rc<str>>,
    request: CallerRequest,
) -> Result<Dispatch<'a, D>, Refusal> {
    let service = in_force.service(route).ok_or(Refusal::NoRoute)?;
    let mut dispatch = Dispatch::online(state, dialect, route, service, tenant.clone(), request);
    if dispatch.facts.is_malformed {
        return Err(Refusal::Malformed);
    }
    dispatch.rank = in_force.rank(route, tenant.as_deref());
    if in_force.keys.is_some() {
        dialect.replace_key_with_tenant(&mut dispatch.outbound.headers, tenant.as_deref());
    }
    if let Some(tenant) = &tenant {
        state.admit(&dispatch.facts.id, tenant)?;
        dispatch.counted = true;
    }
    Ok(dispatch)
}

/// Checks the key of a request as far as its head allows.
///
/// # Errors
/// When the request lacks a key that it needs.
pub(crate) fn check_key<D: GatewayDialect>(
    state: &GatewayState,
    dialect: &D,
    head: &RequestHead,
) -> Result<(), Refusal> {
    let Some(in_force) = state.in_force() else {
        return Ok(());
    };
    let route = in_force.model.route(&head.host(), head.path());
    let anonymous = route.is_some_and(|route| route.anonymous);
    let credential = dialect.credential(&head.headers);
    state.tenant(&in_force, credential, anonymous).map(drop)
}

async fn refuse<D: GatewayDialect>(
    state: &GatewayState,
    dialect: &D,
    caller: &Connection,
    refusal: Refusal,
    keep_alive: bool,
) -> ConnectionAction {
    state.metrics.count_refusal(refusal);
    let answer = dialect.refusal_answer(refusal).encode(keep_alive);
    write_answer(caller, &answer, keep_alive).await
}

async fn write_answer(caller: &Connection, bytes: &[u8], keep_alive: bool) -> ConnectionAction {
    match caller.write(bytes).await {
        Ok(()) if keep_alive => ConnectionAction::KeepAlive,
        _ => ConnectionAction::Close,
    }
}

impl<D: GatewayDialect> Dispatch<'_, D> {
    /// Returns the earlier stream that the request takes up, if its route allows that.
    fn resumption(&self) -> Option<&Resumption> {
        let resumption = self.facts.resumption.as_ref();
        resumption.filter(|_| self.is_resumable())
    }

    /// Finds out which version may go on with the stream that the request takes up, if it
    /// takes one up.
    ///
    /// # Errors
    /// When that is not known, or the route no longer leads to the stream's service.
    async fn take_up(&mut self) -> Result<(), Refusal> {
        let Some(resumption) = self.resumption().cloned() else {
            return Ok(());
        };
        let lookup = self.find_origin(&resumption).await;
        let known = lookup.as_ref().and_then(|lookup| lookup.known.as_ref());
        let leads_there = known.is_some_and(|known| {
            let mut destinations = self.route.destinations.iter();
            destinations.any(|one| one.service == known.origin.service)
        });
        info!(self.state.logger, "caller takes up a stream"; "request" => &self.facts.id,
            "began_as" => &resumption.began_as, "after_event" => resumption.last_event,
            "service" => known.map(|known| known.origin.service.as_str()),
            "version" => version_text(known.map(|known| &known.origin.version)),
            "known_by" => lookup.as_ref().map(|lookup| lookup.source.to_string()),
            "reported_ms_ago" => known.map(|known| known.age.as_millis() as u64),
            "asked" => lookup.as_ref().map(|lookup| lookup.asked),
            "answered" => lookup.as_ref().map(|lookup| lookup.answered),
            "route_leads_there" => leads_there, "after_ms" => self.age().as_millis() as u64);
        let Some(known) = lookup
            .and_then(|lookup| lookup.known)
            .filter(|_| leads_there)
        else {
            self.state.metrics.streams.count(Resumed::Unknown);
            return Err(Refusal::StreamUnknown {
                retry_after: UNKNOWN_RETRY_AFTER,
            });
        };
        self.state.metrics.streams.count(Resumed::TakenUp);
        self.outbound.service.clone_from(&known.origin.service);
        self.service = known.origin.service;
        self.version = Some(known.origin.version);
        Ok(())
    }

    /// Finds out where a stream began; `None` if the caller does not say which stream it is.
    async fn find_origin(&self, resumption: &Resumption) -> Option<Lookup> {
        let began_as = resumption.began_as.as_ref()?;
        resumption.last_event?;
        let key = StreamKey::of(self.outbound.tenant.as_deref(), began_as);
        Some(self.state.find_stream(key).await)
    }

    /// Whether another engine may go on with the request's stream.
    fn is_resumable(&self) -> bool {
        self.route.kind == RouteKind::Stream && self.route.resumable
    }

    /// Answers the caller.
    async fn answer(
        &mut self,
        caller: &Connection,
        minor: u8,
        keep_alive: bool,
    ) -> ConnectionAction {
        if let Err(refusal) = self.take_up().await {
            return self.refuse(caller, refusal, keep_alive).await;
        }
        loop {
            let reply = match self.next_reply(None).await {
                Ok(reply) => reply,
                Err(refusal) => return self.refuse(caller, refusal, keep_alive).await,
            };
            let buffered = self.route.kind == RouteKind::Safe && self.may_run_again();
            if buffered {
                match self.relay_buffered(reply, caller, keep_alive).await {
                    Some(action) => return action,
                    None => continue,
                }
            }
            let engine = reply.body.engine.clone();
            let ended = if self.is_resumable() && reply.head.status == 200 {
                relay_resumable(self, reply, caller, minor, keep_alive).await
            } else {
                let deadline = self.deadline;
                let ended = relay(self.state, reply, caller, minor, keep_alive, deadline).await;
                if ended == Relayed::EngineBroke {
                    self.state.check_engine(&engine, &self.outbound);
                }
                ended
            };
            if ended == Relayed::Unsent {
                match self.may_run_again() {
                    true => continue,
                    false => return self.refuse(caller, Refusal::AnswerLost, keep_alive).await,
                }
            }
            if ended == Relayed::Whole {
                self.state.note_complete(&self.outbound);
            }
            if ended != Relayed::Whole {
                info!(self.state.logger, "answer not relayed completely";
                    "request" => &self.outbound.id, "digest" => %self.outbound.digest(),
                    "ended" => ?ended, "runs" => self.runs);
            }
            return match ended {
                Relayed::Whole if keep_alive => ConnectionAction::KeepAlive,
                _ => ConnectionAction::Close,
            };
        }
    }

    /// Reads a short answer completely before relaying it; `None` if its engine broke off
    /// and another one may run the request.
    async fn relay_buffered(
        &mut self,
        reply: EngineReply,
        caller: &Connection,
        keep_alive: bool,
    ) -> Option<ConnectionAction> {
        let EngineReply { head, mut body, .. } = reply;
        let reading = async { Some(body.collect(MAX_BUFFERED_ANSWER_BYTES).await) };
        let late = async {
            self.state.clock.wait_until(self.deadline).await;
            None
        };
        let whole = match future::or(reading, late).await {
            Some(Ok(whole)) => whole,
            Some(Err(_)) if self.may_run_again() => {
                self.note_broken(&body.engine, body.version.as_ref());
                return None;
            }
            _ => return Some(ConnectionAction::Close),
        };
        body.finish(self.state);
        self.state.note_complete(&self.outbound);
        let mut headers = Headers::new();
        headers.extend_end_to_end(&head.headers);
        headers.push("Content-Length", whole.len().to_string());
        if !keep_alive {
            headers.push("Connection", "close");
        }
        let mut bytes = molespan_http::h1::encode_response(head.status, &head.reason, &headers);
        bytes.extend_from_slice(&whole);
        let written = write(self.state, caller, &bytes, self.deadline).await;
        Some(match written {
            Ok(()) if keep_alive => ConnectionAction::KeepAlive,
            _ => ConnectionAction::Close,
        })
    }

    async fn refuse(
        &self,
        caller: &Connection,
        refusal: Refusal,
        keep_alive: bool,
    ) -> ConnectionAction {
        if self.runs == 0
            && self.counted
            && let Some(tenant) = &self.outbound.tenant
        {
            let now = self.state.now();
            self.state.tenants.borrow_mut().give_back(tenant, now);
        }
        info!(self.state.logger, "request refused"; "request" => &self.outbound.id,
            "refusal" => ?refusal, "runs" => self.runs, "turned_away" => self.rejections,
            "after_ms" => self.age().as_millis() as u64);
        refuse(self.state, self.dialect, caller, refusal, keep_alive).await
    }
}
