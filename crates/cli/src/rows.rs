//! Converts the JSON of a listing to a table.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

use crate::table::Table;

/// Leading columns by kind. Other fields follow in alphabetical order, so that
/// fields added by newer gateways are shown too.
const COLUMNS: [(&str, &[&str]); 10] = [
    (
        "services",
        &["name", "kind", "model", "adapters", "replicas", "batch"],
    ),
    ("models", &["name", "version"]),
    ("adapters", &["name", "model", "version"]),
    (
        "tenants",
        &["name", "requests_per_second", "burst", "batch_weight"],
    ),
    ("versions", &["node", "version"]),
    (
        "backends",
        &[
            "id", "kind", "service", "zone", "state", "models", "adapters", "owner", "load",
            "address",
        ],
    ),
    (
        "nodes",
        &[
            "id",
            "name",
            "zone",
            "roles",
            "draining",
            "version_in_force",
            "http_address",
            "internal_address",
            "incarnation",
        ],
    ),
    (
        "jobs",
        &[
            "id",
            "state",
            "service",
            "tenant",
            "items",
            "completed",
            "failed",
            "unknown",
            "leased",
        ],
    ),
    ("orders", &["backend", "token", "incarnation", "action"]),
    (
        "placement",
        &["service", "backend", "model", "wanted", "state"],
    ),
];

/// Returns the leading columns for `kind`.
#[must_use]
pub fn kind_columns(kind: &str) -> &'static [&'static str] {
    let known = COLUMNS.iter().find(|(name, _)| *name == kind);
    known.map_or(&[], |(_, columns)| columns)
}

/// Builds a table from a list of objects or a map of objects by name.
#[must_use]
pub fn table_of(kind: &str, listing: &Value) -> Table {
    let rows: Vec<Map<String, Value>> = rows(kind, listing);
    let fields: BTreeSet<&str> = rows
        .iter()
        .flat_map(|row| row.keys().map(String::as_str))
        .collect();
    let first = kind_columns(kind).iter().copied();
    let mut columns: Vec<&str> = first.filter(|column| fields.contains(column)).collect();
    let rest = fields.iter().copied();
    let rest: Vec<&str> = rest.filter(|field| !columns.contains(field)).collect();
    columns.extend(rest);
    if columns.is_empty() {
        columns = kind_columns(kind).to_vec();
    }
    let mut table = Table::new(columns.iter().map(|column| (*column).to_owned()).collect());
    for row in &rows {
        let cells = columns.iter().map(|column| row.get(*column).map(cell));
        table.push(cells.map(Option::unwrap_or_default).collect());
    }
    table
}

/// Returns the rows of a listing, each flattened to dotted fields.
fn rows(kind: &str, listing: &Value) -> Vec<Map<String, Value>> {
    match listing {
        Value::Array(elements) => elements.iter().map(flattened).collect(),
        Value::Object(fields) => match fields.get(kind) {
            Some(inner) => rows(kind, inner),
            None if fields.values().all(Value::is_object) => named_rows(fields),
            None => vec![flattened(listing)],
        },
        _ => vec![flattened(listing)],
    }
}

/// Converts a map of objects to rows with a `name` field.
fn named_rows(fields: &Map<String, Value>) -> Vec<Map<String, Value>> {
    let row = |(name, value): (&String, &Value)| {
        let mut row = flattened(value);
        row.insert("name".to_owned(), Value::String(name.clone()));
        row
    };
    fields.iter().map(row).collect()
}

/// Flattens nested objects to dotted fields.
fn flattened(value: &Value) -> Map<String, Value> {
    let mut fields = Map::new();
    flatten(value, "", &mut fields);
    fields
}

fn flatten(value: &Value, path: &str, fields: &mut Map<String, Value>) {
    match value {
        Value::Object(inner) => {
            for (name, value) in inner {
                let path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                flatten(value, &path, fields);
            }
        }
        _ => {
            let path = if path.is_empty() { "value" } else { path };
            fields.insert(path.to_owned(), value.clone());
        }
    }
}

/// Formats one value for people.
fn cell(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(elements) => {
            let cells: Vec<String> = elements.iter().map(cell).collect();
            cells.join(", ")
        }
        Value::Number(_) | Value::Object(_) => value.to_string(),
    }
}
