//! Descriptions of the effects of an intent for operators.

use std::fmt::Display;

use molespan_types::{ModelName, ServiceName, TenantId};

use super::configuration::{
    Adapter, Change, Configuration, Model, Policy, Service, ServiceKind, TenantLimits,
};
use super::problems::subject;
use super::query::PlanLine;

/// Effects and warnings of one change.
#[derive(Default)]
struct Sentences {
    effects: Vec<String>,
    warnings: Vec<String>,
}

impl Sentences {
    /// Adds an effect of the change.
    fn effect(&mut self, text: String) {
        self.effects.push(text);
    }

    /// Adds a warning to consider before confirming.
    fn warn(&mut self, text: String) {
        self.warnings.push(text);
    }

    /// Adds an effect if a value changes.
    fn differs<T: PartialEq + Display>(&mut self, what: &str, old: T, new: T) {
        if old != new {
            self.effect(format!("{what} changes from {old} to {new}"));
        }
    }

    /// Adds a warning if a value decreases.
    fn falls(&mut self, what: &str, old: u32, new: u32) {
        if new < old {
            self.warn(format!("{what} falls from {old} to {new}"));
        }
    }
}

/// Returns the plan line that describes `change`.
pub(crate) fn line(before: &Configuration, after: &Configuration, change: &Change) -> PlanLine {
    let mut sentences = Sentences::default();
    describe(&mut sentences, before, after, change);
    PlanLine {
        subject: subject(change),
        action: action(before, change).to_owned(),
        effects: sentences.effects,
        warnings: sentences.warnings,
    }
}

/// Returns `create`, `update`, `delete` or `keep`.
fn action(before: &Configuration, change: &Change) -> &'static str {
    match change {
        Change::PutService { name, service } => put(before.services.get(name), service),
        Change::PutModel { name, model } => put(before.models.get(name), model),
        Change::PutAdapter { name, adapter } => put(before.adapters.get(name), adapter),
        Change::PutTenant { name, limits } => put(before.tenants.get(name), limits),
        Change::PutPolicy { policy } => put(Some(&before.policy), policy),
        Change::DeleteService { .. }
        | Change::DeleteModel { .. }
        | Change::DeleteAdapter { .. } => "delete",
    }
}

/// Returns the action of replacing `old` with `new`.
fn put<T: PartialEq>(old: Option<&T>, new: &T) -> &'static str {
    match old {
        None => "create",
        Some(old) if old == new => "keep",
        Some(_) => "update",
    }
}

/// Adds the effects and warnings of one change.
fn describe(
    sentences: &mut Sentences,
    before: &Configuration,
    after: &Configuration,
    change: &Change,
) {
    match change {
        Change::PutService { name, service } => match before.services.get(name) {
            None => service_created(sentences, service),
            Some(old) => service_updated(sentences, after, old, service),
        },
        Change::DeleteService { name } => service_deleted(sentences, before, after, name),
        Change::PutModel { name, model } => model_put(sentences, before, after, name, model),
        Change::DeleteModel { name } => {
            sentences.effect(format!("engines may unload model {name}"));
        }
        Change::PutAdapter { name, adapter } => adapter_put(sentences, before, name, adapter),
        Change::DeleteAdapter { name } => {
            sentences.effect(format!("engines may unload adapter {name}"));
        }
        Change::PutTenant { name, limits } => tenant_put(sentences, before, name, limits),
        Change::PutPolicy { policy } => policy_put(sentences, before, policy),
    }
}

/// Returns the name of a model, or `none`.
fn model_text(model: Option<&ModelName>) -> &str {
    model.map_or("none", ModelName::as_str)
}

/// Describes a new service.
fn service_created(sentences: &mut Sentences, service: &Service) {
    match (service.kind, &service.model) {
        (ServiceKind::Completion, Some(model)) => sentences.effect(format!(
            "{} engines load model {model} and serve it",
            service.replicas
        )),
        (ServiceKind::Completion, None) => {}
        (ServiceKind::Application, _) => {
            sentences.effect("requests are passed through to its back ends".to_owned());
        }
    }
    sentences.effect(format!(
        "each gateway runs up to {} online requests and queues up to {} for at most {} ms",
        service.max_concurrency, service.max_queue, service.queue_timeout_ms
    ));
    if service.batch {
        sentences.effect("batch jobs may use its engines".to_owned());
    }
    if service.kind == ServiceKind::Completion && service.replicas == 0 {
        sentences.warn("no engine is asked to load its model".to_owned());
    }
}

/// Describes an updated service.
fn service_updated(sentences: &mut Sentences, after: &Configuration, old: &Service, new: &Service) {
    if old.kind != new.kind {
        sentences.warn("the kind of back end changes: requests go elsewhere at once".to_owned());
    }
    sentences.differs(
        "its model",
        model_text(old.model.as_ref()),
        model_text(new.model.as_ref()),
    );
    if old.model != new.model {
        sentences.warn("its engines load another model before they serve again".to_owned());
        warn_last_user(sentences, after, old.model.as_ref());
    }
    for adapter in new
        .adapters
        .iter()
        .filter(|name| !old.adapters.contains(name))
    {
        sentences.effect(format!("its engines load adapter {adapter}"));
    }
    for adapter in old
        .adapters
        .iter()
        .filter(|name| !new.adapters.contains(name))
    {
        sentences.effect(format!("its engines no longer need adapter {adapter}"));
    }
    service_limits_updated(sentences, old, new);
    service_batch_updated(sentences, old, new);
    sentences.differs("the number of its engines", old.replicas, new.replicas);
    sentences.falls("the number of its engines", old.replicas, new.replicas);
}

/// Describes changes to the limits of an updated service.
fn service_limits_updated(sentences: &mut Sentences, old: &Service, new: &Service) {
    let concurrency = "the limit of running requests";
    sentences.differs(concurrency, old.max_concurrency, new.max_concurrency);
    sentences.falls(concurrency, old.max_concurrency, new.max_concurrency);
    let queue = "the limit of queued requests";
    sentences.differs(queue, old.max_queue, new.max_queue);
    sentences.falls(queue, old.max_queue, new.max_queue);
    let timeout = "the longest wait in the queue, in ms,";
    sentences.differs(timeout, old.queue_timeout_ms, new.queue_timeout_ms);
    sentences.falls(timeout, old.queue_timeout_ms, new.queue_timeout_ms);
}

/// Describes changes to the batch setting of an updated service.
fn service_batch_updated(sentences: &mut Sentences, old: &Service, new: &Service) {
    match (old.batch, new.batch) {
        (false, true) => sentences.effect("batch jobs may use its engines".to_owned()),
        (true, false) => {
            sentences.effect("batch jobs may no longer use its engines".to_owned());
            sentences.warn("its batch jobs wait until this is changed back".to_owned());
        }
        _ => {}
    }
}

/// Describes a deleted service.
fn service_deleted(
    sentences: &mut Sentences,
    before: &Configuration,
    after: &Configuration,
    name: &ServiceName,
) {
    let Some(service) = before.services.get(name) else {
        return;
    };
    sentences.effect("new requests are refused as not run: the service is unknown".to_owned());
    if service.batch {
        sentences.warn("its batch jobs wait until they are cancelled".to_owned());
    }
    warn_last_user(sentences, after, service.model.as_ref());
}

/// Adds a warning if no service runs `model` after the change.
fn warn_last_user(sentences: &mut Sentences, after: &Configuration, model: Option<&ModelName>) {
    let Some(model) = model else {
        return;
    };
    let used = after
        .services
        .values()
        .any(|service| service.model.as_ref() == Some(model));
    if !used {
        sentences.warn(format!("removes the last service that runs model {model}"));
    }
}

/// Describes a new or updated model.
fn model_put(
    sentences: &mut Sentences,
    before: &Configuration,
    after: &Configuration,
    name: &ModelName,
    model: &Model,
) {
    let Some(old) = before.models.get(name) else {
        sentences.effect(format!("services may run version {} of it", model.version));
        return;
    };
    sentences.differs("its version", old.version, model.version);
    sentences.falls("its version", old.version, model.version);
    if old == model {
        return;
    }
    for (service_name, service) in &after.services {
        if service.model.as_ref() == Some(name) {
            sentences.effect(format!(
                "the {} engines of service {service_name} load version {}",
                service.replicas, model.version
            ));
        }
    }
}

/// Describes a new or updated adapter.
fn adapter_put(sentences: &mut Sentences, before: &Configuration, name: &str, new: &Adapter) {
    let Some(old) = before.adapters.get(name) else {
        sentences.effect(format!(
            "services of model {} may use version {} of it",
            new.model, new.version
        ));
        return;
    };
    sentences.differs("its model", &old.model, &new.model);
    sentences.differs("its version", old.version, new.version);
    sentences.falls("its version", old.version, new.version);
}

/// Describes new or updated tenant limits.
fn tenant_put(
    sentences: &mut Sentences,
    before: &Configuration,
    name: &TenantId,
    new: &TenantLimits,
) {
    let Some(old) = before.tenants.get(name) else {
        sentences.effect(format!(
            "it may send {} requests a second and {} at once through each gateway",
            new.requests_per_second, new.burst
        ));
        return;
    };
    let fields = [
        (
            "requests a second",
            old.requests_per_second,
            new.requests_per_second,
        ),
        ("its burst", old.burst, new.burst),
        ("the weight of its jobs", old.batch_weight, new.batch_weight),
    ];
    for (what, old, new) in fields {
        sentences.differs(what, old, new);
        sentences.falls(what, old, new);
    }
}

/// Describes an updated policy.
fn policy_put(sentences: &mut Sentences, before: &Configuration, new: &Policy) {
    let old = &before.policy;
    sentences.differs("tail protection", old.tail_protection, new.tail_protection);
    if new.tail_protection < old.tail_protection {
        sentences.warn("batch work may slow online requests more than before".to_owned());
    }
    if new.tail_protection > old.tail_protection {
        sentences.warn("batch jobs may take longer than before".to_owned());
    }
}
