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
struct PlanMessages {
    effects: Vec<String>,
    warnings: Vec<String>,
}

impl PlanMessages {
    /// Adds an effect of the change.
    fn add_effect(&mut self, text: String) {
        self.effects.push(text);
    }

    /// Adds a warning to consider before confirming.
    fn add_warning(&mut self, text: String) {
        self.warnings.push(text);
    }

    /// Adds an effect if a value changes.
    fn add_if_changed<T: PartialEq + Display>(&mut self, what: &str, old: T, new: T) {
        if old != new {
            self.add_effect(format!("{what} changes from {old} to {new}"));
        }
    }

    /// Adds a warning if a value decreases.
    fn warn_if_decreased(&mut self, what: &str, old: u32, new: u32) {
        if new < old {
            self.add_warning(format!("{what} falls from {old} to {new}"));
        }
    }
}

/// Returns the plan line that describes `change`.
pub(crate) fn line(before: &Configuration, after: &Configuration, change: &Change) -> PlanLine {
    let mut messages = PlanMessages::default();
    describe(&mut messages, before, after, change);
    PlanLine {
        subject: subject(change),
        action: action(before, change).to_owned(),
        effects: messages.effects,
        warnings: messages.warnings,
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
    messages: &mut PlanMessages,
    before: &Configuration,
    after: &Configuration,
    change: &Change,
) {
    match change {
        Change::PutService { name, service } => match before.services.get(name) {
            None => service_created(messages, service),
            Some(old) => service_updated(messages, after, old, service),
        },
        Change::DeleteService { name } => service_deleted(messages, before, after, name),
        Change::PutModel { name, model } => model_put(messages, before, after, name, model),
        Change::DeleteModel { name } => {
            messages.add_effect(format!("engines may unload model {name}"));
        }
        Change::PutAdapter { name, adapter } => adapter_put(messages, before, name, adapter),
        Change::DeleteAdapter { name } => {
            messages.add_effect(format!("engines may unload adapter {name}"));
        }
        Change::PutTenant { name, limits } => tenant_put(messages, before, name, limits),
        Change::PutPolicy { policy } => policy_put(messages, before, policy),
    }
}

/// Returns the name of a model, or `none`.
fn model_text(model: Option<&ModelName>) -> &str {
    model.map_or("none", ModelName::as_str)
}

/// Describes a new service.
fn service_created(messages: &mut PlanMessages, service: &Service) {
    match (service.kind, &service.model) {
        (ServiceKind::Completion, Some(model)) => messages.add_effect(format!(
            "{} engines load model {model} and serve it",
            service.replicas
        )),
        (ServiceKind::Completion, None) => {}
        (ServiceKind::Application, _) => {
            messages.add_effect("requests are passed through to its back ends".to_owned());
        }
    }
    messages.add_effect(format!(
        "each gateway runs up to {} online requests and queues up to {} for at most {} ms",
        service.max_concurrency, service.max_queue, service.queue_timeout_ms
    ));
    if service.batch {
        messages.add_effect("batch jobs may use its engines".to_owned());
    }
    if service.kind == ServiceKind::Completion && service.replicas == 0 {
        messages.add_warning("no engine is asked to load its model".to_owned());
    }
}

/// Describes an updated service.
fn service_updated(
    messages: &mut PlanMessages,
    after: &Configuration,
    old: &Service,
    new: &Service,
) {
    if old.kind != new.kind {
        messages
            .add_warning("the kind of back end changes: requests go elsewhere at once".to_owned());
    }
    messages.add_if_changed(
        "its model",
        model_text(old.model.as_ref()),
        model_text(new.model.as_ref()),
    );
    if old.model != new.model {
        messages.add_warning("its engines load another model before they serve again".to_owned());
        warn_last_user(messages, after, old.model.as_ref());
    }
    for adapter in new
        .adapters
        .iter()
        .filter(|name| !old.adapters.contains(name))
    {
        messages.add_effect(format!("its engines load adapter {adapter}"));
    }
    for adapter in old
        .adapters
        .iter()
        .filter(|name| !new.adapters.contains(name))
    {
        messages.add_effect(format!("its engines no longer need adapter {adapter}"));
    }
    service_limits_updated(messages, old, new);
    service_batch_updated(messages, old, new);
    messages.add_if_changed("the number of its engines", old.replicas, new.replicas);
    messages.warn_if_decreased("the number of its engines", old.replicas, new.replicas);
}

/// Describes changes to the limits of an updated service.
fn service_limits_updated(messages: &mut PlanMessages, old: &Service, new: &Service) {
    let concurrency = "the limit of running requests";
    messages.add_if_changed(concurrency, old.max_concurrency, new.max_concurrency);
    messages.warn_if_decreased(concurrency, old.max_concurrency, new.max_concurrency);
    let queue = "the limit of queued requests";
    messages.add_if_changed(queue, old.max_queue, new.max_queue);
    messages.warn_if_decreased(queue, old.max_queue, new.max_queue);
    let timeout = "the longest wait in the queue, in ms,";
    messages.add_if_changed(timeout, old.queue_timeout_ms, new.queue_timeout_ms);
    messages.warn_if_decreased(timeout, old.queue_timeout_ms, new.queue_timeout_ms);
}

/// Describes changes to the batch setting of an updated service.
fn service_batch_updated(messages: &mut PlanMessages, old: &Service, new: &Service) {
    match (old.batch, new.batch) {
        (false, true) => messages.add_effect("batch jobs may use its engines".to_owned()),
        (true, false) => {
            messages.add_effect("batch jobs may no longer use its engines".to_owned());
            messages.add_warning("its batch jobs wait until this is changed back".to_owned());
        }
        _ => {}
    }
}

/// Describes a deleted service.
fn service_deleted(
    messages: &mut PlanMessages,
    before: &Configuration,
    after: &Configuration,
    name: &ServiceName,
) {
    let Some(service) = before.services.get(name) else {
        return;
    };
    messages.add_effect("new requests are refused as not run: the service is unknown".to_owned());
    if service.batch {
        messages.add_warning("its batch jobs wait until they are cancelled".to_owned());
    }
    warn_last_user(messages, after, service.model.as_ref());
}

/// Adds a warning if no service runs `model` after the change.
fn warn_last_user(messages: &mut PlanMessages, after: &Configuration, model: Option<&ModelName>) {
    let Some(model) = model else {
        return;
    };
    let used = after
        .services
        .values()
        .any(|service| service.model.as_ref() == Some(model));
    if !used {
        messages.add_warning(format!("removes the last service that runs model {model}"));
    }
}

/// Describes a new or updated model.
fn model_put(
    messages: &mut PlanMessages,
    before: &Configuration,
    after: &Configuration,
    name: &ModelName,
    model: &Model,
) {
    let Some(old) = before.models.get(name) else {
        messages.add_effect(format!("services may run version {} of it", model.version));
        return;
    };
    messages.add_if_changed("its version", old.version, model.version);
    messages.warn_if_decreased("its version", old.version, model.version);
    if old == model {
        return;
    }
    for (service_name, service) in &after.services {
        if service.model.as_ref() == Some(name) {
            messages.add_effect(format!(
                "the {} engines of service {service_name} load version {}",
                service.replicas, model.version
            ));
        }
    }
}

/// Describes a new or updated adapter.
fn adapter_put(messages: &mut PlanMessages, before: &Configuration, name: &str, new: &Adapter) {
    let Some(old) = before.adapters.get(name) else {
        messages.add_effect(format!(
            "services of model {} may use version {} of it",
            new.model, new.version
        ));
        return;
    };
    messages.add_if_changed("its model", &old.model, &new.model);
    messages.add_if_changed("its version", old.version, new.version);
    messages.warn_if_decreased("its version", old.version, new.version);
}

/// Describes new or updated tenant limits.
fn tenant_put(
    messages: &mut PlanMessages,
    before: &Configuration,
    name: &TenantId,
    new: &TenantLimits,
) {
    let Some(old) = before.tenants.get(name) else {
        messages.add_effect(format!(
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
        messages.add_if_changed(what, old, new);
        messages.warn_if_decreased(what, old, new);
    }
}

/// Describes an updated policy.
fn policy_put(messages: &mut PlanMessages, before: &Configuration, new: &Policy) {
    let old = &before.policy;
    messages.add_if_changed("tail protection", old.tail_protection, new.tail_protection);
    if new.tail_protection < old.tail_protection {
        messages.add_warning("batch work may slow online requests more than before".to_owned());
    }
    if new.tail_protection > old.tail_protection {
        messages.add_warning("batch jobs may take longer than before".to_owned());
    }
}
