//! Parses intents from files and builds them from edits on the command line.

use std::collections::BTreeMap;

use molespan_state::control::{Change, Configuration};
use molespan_types::ConfigVersion;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::error::CliError;

/// Configuration changes requested by an operator. Missing fields are filled in
/// from the configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Number that identifies the intent to all operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub number: Option<u64>,
    /// Name of the operator.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operator: Option<String>,
    /// Configuration version that the intent is based on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base_version: Option<ConfigVersion>,
    /// Requested changes.
    pub changes: Vec<Change>,
}

/// Parses an intent from JSON. Unknown fields are findings.
///
/// # Errors
/// Returns every unknown field, or the parse error.
pub fn parse_intent(text: &str) -> Result<Intent, CliError> {
    let finding = |error: serde_json::Error| CliError::Findings(vec![error.to_string()]);
    let input: Value = serde_json::from_str(text).map_err(finding)?;
    let intent: Intent = serde_json::from_str(text).map_err(finding)?;
    let parsed = serde_json::to_value(&intent).map_err(finding)?;
    let mut unknown = Vec::new();
    find_unknown(&input, &parsed, "", &mut unknown);
    if unknown.is_empty() {
        Ok(intent)
    } else {
        Err(CliError::Findings(unknown))
    }
}

/// Collects the fields of `input` that are missing from `parsed`.
fn find_unknown(input: &Value, parsed: &Value, path: &str, unknown: &mut Vec<String>) {
    match (input, parsed) {
        (Value::Object(input), Value::Object(parsed)) => {
            for (name, value) in input {
                let path = format!("{path}.{name}");
                match parsed.get(name) {
                    Some(inner) => find_unknown(value, inner, &path, unknown),
                    None if value.is_null() => {}
                    None => unknown.push(format!(
                        "{}: is no known field",
                        path.trim_start_matches('.')
                    )),
                }
            }
        }
        (Value::Array(input), Value::Array(parsed)) => {
            for (position, pair) in input.iter().zip(parsed).enumerate() {
                find_unknown(pair.0, pair.1, &format!("{path}[{position}]"), unknown);
            }
        }
        _ => {}
    }
}

/// An edit given on the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// `KIND.NAME.FIELD=VALUE`, or `policy.FIELD=VALUE`.
    Set(String),
    /// `KIND.NAME`.
    Delete(String),
}

/// Object that an edit applies to, such as service `captions`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Subject {
    kind: String,
    name: String,
}

/// Returns the changes that `edits` make to `configuration`, one per subject.
///
/// # Errors
/// Returns a finding for every invalid edit.
pub fn apply_edits(configuration: &Configuration, edits: &[Edit]) -> Result<Vec<Change>, CliError> {
    let mut objects: BTreeMap<Subject, Value> = BTreeMap::new();
    let mut changes = Vec::new();
    let mut findings = Vec::new();
    for edit in edits {
        let result = match edit {
            Edit::Set(text) => set(configuration, edits, &mut objects, text),
            Edit::Delete(text) => delete(text).map(|change| changes.push(change)),
        };
        findings.extend(result.err());
    }
    for (subject, object) in objects {
        match put(&subject, object) {
            Ok(change) => changes.push(change),
            Err(finding) => findings.push(finding),
        }
    }
    if findings.is_empty() {
        Ok(changes)
    } else {
        Err(CliError::Findings(findings))
    }
}

/// Applies one assignment to the JSON of its subject.
fn set(
    configuration: &Configuration,
    edits: &[Edit],
    objects: &mut BTreeMap<Subject, Value>,
    text: &str,
) -> Result<(), String> {
    let (path, value) = text
        .split_once('=')
        .ok_or_else(|| format!("{text}: expected KIND.NAME.FIELD=VALUE"))?;
    let (subject, field) = path
        .rsplit_once('.')
        .ok_or_else(|| format!("{text}: expected KIND.NAME.FIELD=VALUE"))?;
    let subject = parse_subject(subject).map_err(|message| format!("{text}: {message}"))?;
    let object = match objects.entry(subject.clone()) {
        std::collections::btree_map::Entry::Occupied(entry) => entry.into_mut(),
        std::collections::btree_map::Entry::Vacant(entry) => {
            entry.insert(current(configuration, edits, &subject)?)
        }
    };
    let Some(fields) = object.as_object_mut() else {
        return Err(format!("{text}: {} has no fields", subject.kind));
    };
    if !fields.contains_key(field) {
        let known: Vec<&str> = fields.keys().map(String::as_str).collect();
        return Err(format!(
            "{text}: there is no field {field}; fields are {}",
            known.join(", ")
        ));
    }
    let value = serde_json::from_str(value).unwrap_or_else(|_| Value::String(value.to_owned()));
    fields.insert(field.to_owned(), value);
    Ok(())
}

fn parse_subject(text: &str) -> Result<Subject, String> {
    const KINDS: [&str; 4] = ["service", "model", "adapter", "tenant"];
    if text == "policy" {
        return Ok(Subject {
            kind: text.to_owned(),
            name: String::new(),
        });
    }
    match text.split_once('.') {
        Some((kind, name)) if KINDS.contains(&kind) && !name.is_empty() => Ok(Subject {
            kind: kind.to_owned(),
            name: name.to_owned(),
        }),
        _ => Err(format!(
            "{text:?} is neither policy nor one of {} with a name",
            KINDS.join(", ")
        )),
    }
}

/// Returns the current JSON of a subject, or the defaults of a new one.
fn current(
    configuration: &Configuration,
    edits: &[Edit],
    subject: &Subject,
) -> Result<Value, String> {
    let json = serde_json::to_value(configuration).map_err(|error| error.to_string())?;
    if subject.kind == "policy" {
        return Ok(json["policy"].clone());
    }
    let existing = &json[format!("{}s", subject.kind)][&subject.name];
    if existing.is_object() {
        return Ok(existing.clone());
    }
    let application = Edit::Set(format!("service.{}.kind=application", subject.name));
    if subject.kind == "service" && edits.contains(&application) {
        return Ok(application_template());
    }
    Ok(template(&subject.kind))
}

/// Returns the defaults of a new application service, which runs no batch items
/// and loads no model.
fn application_template() -> Value {
    let mut service = template("service");
    service["batch"] = Value::Bool(false);
    service["replicas"] = Value::from(0);
    service
}

/// Returns the defaults of a new subject.
fn template(kind: &str) -> Value {
    match kind {
        "service" => json!({
            "kind": "completion", "model": null, "adapters": [], "max_concurrency": 256,
            "max_queue": 1024, "queue_timeout_ms": 2000, "batch": true, "replicas": 1,
        }),
        "model" => json!({ "version": 1 }),
        "adapter" => json!({ "model": null, "version": 1 }),
        "tenant" => json!({ "requests_per_second": 200, "burst": 400, "batch_weight": 1 }),
        _ => Value::Null,
    }
}

/// Returns the change that stores an edited object.
fn put(subject: &Subject, object: Value) -> Result<Change, String> {
    let change = match subject.kind.as_str() {
        "service" => json!({"change": "put_service", "name": subject.name, "service": object}),
        "model" => json!({"change": "put_model", "name": subject.name, "model": object}),
        "adapter" => json!({"change": "put_adapter", "name": subject.name, "adapter": object}),
        "tenant" => json!({"change": "put_tenant", "name": subject.name, "limits": object}),
        _ => json!({"change": "put_policy", "policy": object}),
    };
    serde_json::from_value(change)
        .map_err(|error| format!("{} {}: {error}", subject.kind, subject.name))
}

/// Returns the change that removes a subject.
fn delete(text: &str) -> Result<Change, String> {
    let subject = parse_subject(text)?;
    let name = subject.name.as_str();
    match subject.kind.as_str() {
        "service" => Ok(Change::DeleteService { name: name.into() }),
        "model" => Ok(Change::DeleteModel { name: name.into() }),
        "adapter" => Ok(Change::DeleteAdapter { name: name.into() }),
        kind => Err(format!("{text}: a {kind} cannot be deleted")),
    }
}
