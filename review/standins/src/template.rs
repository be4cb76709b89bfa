//! Fills in the template of the settings file as the users' pages describe it.

use crate::json::Json;

/// Fills in all gaps of a template from `fields`.
pub fn fill(template: &str, fields: &Json) -> String {
    render(template, &[fields], true)
}

fn render(template: &str, scopes: &[&Json], last: bool) -> String {
    let mut filled = String::new();
    let mut rest = template;
    while let Some(begin) = rest.find("{{") {
        filled.push_str(&rest[..begin]);
        let Some(length) = rest[begin..].find("}}") else {
            break;
        };
        let tag = rest[begin + 2..begin + length].trim();
        rest = &rest[begin + length + 2..];
        if let Some(name) = tag.strip_prefix('#').or(tag.strip_prefix('^')) {
            let closing = format!("{{{{/{name}}}}}");
            let (inner, behind) = rest.split_once(&closing).unwrap_or((rest, ""));
            rest = behind;
            let value = find(name, scopes);
            match tag.starts_with('#') {
                true => filled.push_str(&section(inner, value, scopes)),
                false if !stands(value) => filled.push_str(&render(inner, scopes, last)),
                false => {}
            }
        } else if tag == "," {
            filled.push_str(if last { "" } else { "," });
        } else {
            filled.push_str(&gap(tag, scopes));
        }
    }
    filled.push_str(rest);
    filled
}

fn gap(tag: &str, scopes: &[&Json]) -> String {
    let (name, as_json) = match tag.strip_suffix("|json") {
        Some(name) => (name, true),
        None => (tag, false),
    };
    match find(name, scopes) {
        Some(value) if as_json => value.encode(),
        Some(value) => value.plain(),
        None => String::new(),
    }
}

fn stands(value: Option<&Json>) -> bool {
    !matches!(value, None | Some(Json::Null | Json::Bool(false)))
}

fn section(inner: &str, value: Option<&Json>, scopes: &[&Json]) -> String {
    let Some(value) = value.filter(|value| stands(Some(value))) else {
        return String::new();
    };
    let items: Vec<&Json> = match value {
        Json::List(items) => items.iter().collect(),
        Json::Table(entries) => entries.iter().map(|(_, value)| value).collect(),
        value => vec![value],
    };
    let count = items.len();
    let filled = items.into_iter().enumerate().map(|(place, item)| {
        let mut inside = scopes.to_vec();
        inside.push(item);
        render(inner, &inside, place + 1 == count)
    });
    filled.collect()
}

fn find<'j>(name: &str, scopes: &[&'j Json]) -> Option<&'j Json> {
    if name == "." {
        return scopes.last().copied();
    }
    let mut scopes = scopes.iter().rev();
    scopes.find_map(|scope| {
        let mut value: &'j Json = scope;
        for key in name.split('.') {
            value = value.get(key)?;
        }
        Some(value)
    })
}
