//! Validation of intents, which reports all problems at once.
//!
//! Each change is validated against the configuration that results from the whole intent,
//! so the order of changes within an intent does not matter.

use std::collections::BTreeSet;

use molespan_types::{ModelName, ServiceName};

use super::configuration::{
    Adapter, Change, Configuration, Policy, Service, ServiceKind, TenantLimits,
};
use super::plan::apply_changes;
use super::query::PlanProblem;

/// Maximum value of [`Policy::tail_protection`].
const MAX_TAIL_PROTECTION: u8 = 100;

/// Returns every reason why `changes` cannot be confirmed.
pub(crate) fn problems(before: &Configuration, changes: &[Change]) -> Vec<PlanProblem> {
    let mut after = before.clone();
    apply_changes(&mut after, changes);
    let mut found = Vec::new();
    if changes.is_empty() {
        found.push(problem(0, "the intent holds no change".to_owned()));
    }
    let mut subjects = BTreeSet::new();
    for (position, change) in changes.iter().enumerate() {
        let mut messages = check(before, &after, change);
        let subject = subject(change);
        if subjects.contains(&subject) {
            messages.push(format!("{subject} is changed twice in one intent"));
        }
        subjects.insert(subject);
        found.extend(messages.into_iter().map(|text| problem(position, text)));
    }
    found
}

/// Returns the subject of a change, for example `service captions`.
pub(crate) fn subject(change: &Change) -> String {
    match change {
        Change::PutService { name, .. } | Change::DeleteService { name } => {
            format!("service {name}")
        }
        Change::PutModel { name, .. } | Change::DeleteModel { name } => format!("model {name}"),
        Change::PutAdapter { name, .. } | Change::DeleteAdapter { name } => {
            format!("adapter {name}")
        }
        Change::PutTenant { name, .. } => format!("tenant {name}"),
        Change::PutPolicy { .. } => "policy".to_owned(),
    }
}

/// Creates a problem of the change at `position`.
fn problem(position: usize, message: String) -> PlanProblem {
    PlanProblem {
        change: position as u32,
        message,
    }
}

/// Validates one change.
fn check(before: &Configuration, after: &Configuration, change: &Change) -> Vec<String> {
    match change {
        Change::PutService { name, service } => check_service(after, name, service),
        Change::DeleteService { name } => {
            missing(before.services.contains_key(name), "service", name.as_str())
        }
        Change::PutModel { name, .. } => check_name("model", name.as_str()),
        Change::DeleteModel { name } => check_model_unused(before, after, name),
        Change::PutAdapter { name, adapter } => check_adapter(after, name, adapter),
        Change::DeleteAdapter { name } => check_adapter_unused(before, after, name),
        Change::PutTenant { name, limits } => check_tenant(name.as_str(), limits),
        Change::PutPolicy { policy } => check_policy(policy),
    }
}

/// Reports an empty name.
fn check_name(kind: &str, name: &str) -> Vec<String> {
    if name.is_empty() {
        vec![format!("the {kind} has no name")]
    } else {
        Vec::new()
    }
}

/// Reports the deletion of an object that does not exist.
fn missing(exists: bool, kind: &str, name: &str) -> Vec<String> {
    if exists {
        Vec::new()
    } else {
        vec![format!("there is no {kind} {name}")]
    }
}

/// Validates a service.
fn check_service(after: &Configuration, name: &ServiceName, service: &Service) -> Vec<String> {
    let mut messages = check_name("service", name.as_str());
    if service.max_concurrency == 0 {
        messages.push(format!(
            "service {name} could serve no request: max_concurrency is 0"
        ));
    }
    if service.max_queue > 0 && service.queue_timeout_ms == 0 {
        messages.push(format!(
            "service {name} has a queue, but queue_timeout_ms is 0"
        ));
    }
    match service.kind {
        ServiceKind::Completion => messages.extend(check_completion(after, name, service)),
        ServiceKind::Application => messages.extend(check_application(name, service)),
    }
    messages
}

/// Validates a service of kind [`ServiceKind::Completion`].
fn check_completion(after: &Configuration, name: &ServiceName, service: &Service) -> Vec<String> {
    let mut messages = Vec::new();
    match &service.model {
        None => messages.push(format!("service {name} has engines but no model")),
        Some(model) if !after.models.contains_key(model) => {
            messages.push(format!("service {name} needs the unknown model {model}"));
        }
        Some(_) => {}
    }
    for adapter in &service.adapters {
        match after.adapters.get(adapter) {
            None => messages.push(format!(
                "service {name} needs the unknown adapter {adapter}"
            )),
            Some(found) if Some(&found.model) != service.model.as_ref() => {
                messages.push(format!(
                    "adapter {adapter} belongs to model {}, which service {name} does not run",
                    found.model
                ));
            }
            Some(_) => {}
        }
    }
    messages
}

/// Validates a service of kind [`ServiceKind::Application`].
fn check_application(name: &ServiceName, service: &Service) -> Vec<String> {
    let mut messages = Vec::new();
    if let Some(model) = &service.model {
        messages.push(format!(
            "service {name} is an application and cannot run model {model}"
        ));
    }
    if !service.adapters.is_empty() {
        messages.push(format!(
            "service {name} is an application and cannot use adapters"
        ));
    }
    if service.replicas > 0 {
        messages.push(format!(
            "service {name} is an application and cannot have {} engines",
            service.replicas
        ));
    }
    messages
}

/// Reports services and adapters that still use a deleted model.
fn check_model_unused(
    before: &Configuration,
    after: &Configuration,
    name: &ModelName,
) -> Vec<String> {
    let mut messages = missing(before.models.contains_key(name), "model", name.as_str());
    for (service_name, service) in &after.services {
        if service.model.as_ref() == Some(name) {
            messages.push(format!(
                "model {name} is still used by service {service_name}"
            ));
        }
    }
    for (adapter_name, adapter) in &after.adapters {
        if adapter.model == *name {
            messages.push(format!(
                "model {name} is still used by adapter {adapter_name}"
            ));
        }
    }
    messages
}

/// Validates an adapter and the services that use it.
fn check_adapter(after: &Configuration, name: &str, adapter: &Adapter) -> Vec<String> {
    let mut messages = check_name("adapter", name);
    if !after.models.contains_key(&adapter.model) {
        messages.push(format!(
            "adapter {name} needs the unknown model {}",
            adapter.model
        ));
    }
    for (service_name, service) in &after.services {
        let uses = service.adapters.iter().any(|used| used == name);
        if uses && service.model.as_ref() != Some(&adapter.model) {
            messages.push(format!(
                "adapter {name} is used by service {service_name}, which does not run model {}",
                adapter.model
            ));
        }
    }
    messages
}

/// Reports services that still use a deleted adapter.
fn check_adapter_unused(before: &Configuration, after: &Configuration, name: &str) -> Vec<String> {
    let mut messages = missing(before.adapters.contains_key(name), "adapter", name);
    for (service_name, service) in &after.services {
        if service.adapters.iter().any(|used| used == name) {
            messages.push(format!(
                "adapter {name} is still used by service {service_name}"
            ));
        }
    }
    messages
}

/// Validates the limits of a tenant.
fn check_tenant(name: &str, limits: &TenantLimits) -> Vec<String> {
    let mut messages = check_name("tenant", name);
    let limits = [
        ("requests_per_second", limits.requests_per_second),
        ("burst", limits.burst),
        ("batch_weight", limits.batch_weight),
    ];
    for (field, value) in limits {
        if value == 0 {
            messages.push(format!("tenant {name} has a limit of zero: {field}"));
        }
    }
    messages
}

/// Validates a policy.
fn check_policy(policy: &Policy) -> Vec<String> {
    if policy.tail_protection <= MAX_TAIL_PROTECTION {
        return Vec::new();
    }
    vec![format!(
        "tail_protection is {}, above {MAX_TAIL_PROTECTION}",
        policy.tail_protection
    )]
}
