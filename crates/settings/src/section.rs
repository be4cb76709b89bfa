//! Reads a table of a settings file key by key.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use toml::Spanned;
use toml::de::{DeString, DeTable, DeValue};

use crate::finding::Finding;
use crate::place::{edit_distance, key_at};
use crate::value::Value;

/// Maximum edit distance at which an unknown key counts as a misspelt known key.
const MAX_TYPO_DISTANCE: usize = 2;

/// Findings collected while reading, and the line of each key.
#[derive(Debug)]
pub(crate) struct Report<'t> {
    text: &'t str,
    findings: RefCell<Vec<Finding>>,
    lines: RefCell<BTreeMap<String, usize>>,
    suppressed: RefCell<BTreeSet<String>>,
}

impl<'t> Report<'t> {
    pub(crate) fn new(text: &'t str) -> Self {
        Self {
            text,
            findings: RefCell::default(),
            lines: RefCell::default(),
            suppressed: RefCell::default(),
        }
    }

    /// Returns the line, from 1, of a position in the text.
    pub(crate) fn line_at(&self, position: usize) -> usize {
        let before = self.text.as_bytes().iter().take(position);
        1 + before.filter(|byte| **byte == b'\n').count()
    }

    /// Adds a syntax error. Further findings about the key on its line are suppressed.
    pub(crate) fn add_syntax(&self, line: Option<usize>, message: String) {
        let key = line.map_or_else(String::new, |line| key_at(self.text, line));
        if !key.is_empty() {
            self.suppress(&key);
        }
        self.findings
            .borrow_mut()
            .push(Finding { line, key, message });
    }

    /// Suppresses findings about a key whose value is unknown because of another finding.
    pub(crate) fn suppress(&self, key: &str) {
        self.suppressed.borrow_mut().insert(key.to_owned());
    }

    /// Adds a finding at a line, unless findings about `key` are suppressed.
    pub(crate) fn add(&self, line: Option<usize>, key: &str, message: String) {
        if self.suppressed.borrow().contains(key) {
            return;
        }
        self.findings.borrow_mut().push(Finding {
            line,
            key: key.to_owned(),
            message,
        });
    }

    /// Adds a finding at the line of `key`, or of the closest enclosing table.
    pub(crate) fn add_at(&self, key: &str, message: String) {
        let line = self.line_of(key);
        self.add(line, key, message);
    }

    /// Whether `key` has no finding: neither itself, nor an enclosing table, nor a
    /// value inside it.
    pub(crate) fn is_valid(&self, key: &str) -> bool {
        let findings = self.findings.borrow();
        let suppressed = self.suppressed.borrow();
        let mut invalid = findings
            .iter()
            .map(|finding| &finding.key)
            .chain(&*suppressed);
        !invalid.any(|other| contains(other, key) || contains(key, other))
    }

    /// Returns all findings.
    pub(crate) fn into_findings(self) -> Vec<Finding> {
        self.findings.into_inner()
    }

    fn line_of(&self, key: &str) -> Option<usize> {
        let lines = self.lines.borrow();
        let mut path = key;
        loop {
            if let Some(line) = lines.get(path) {
                return Some(*line);
            }
            (path, _) = path.rsplit_once('.')?;
        }
    }

    fn record_line(&self, key: &str, line: usize) {
        self.lines.borrow_mut().insert(key.to_owned(), line);
    }
}

/// Whether the value at path `outer` is or contains the one at path `inner`.
fn contains(outer: &str, inner: &str) -> bool {
    inner
        .strip_prefix(outer)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}

/// A table; a missing table is read as an empty one.
#[derive(Debug)]
pub(crate) struct Section<'r, 't, 'i> {
    report: &'r Report<'t>,
    table: Option<&'r DeTable<'i>>,
    path: String,
    known: BTreeSet<&'static str>,
    /// Required keys that are missing, with their expected values.
    missing: BTreeMap<&'static str, &'static str>,
}

impl<'r, 't, 'i> Section<'r, 't, 'i> {
    /// Creates the section of the root table.
    pub(crate) fn root(report: &'r Report<'t>, table: &'r DeTable<'i>) -> Self {
        Self::new(report, Some(table), String::new())
    }

    fn new(report: &'r Report<'t>, table: Option<&'r DeTable<'i>>, path: String) -> Self {
        Self {
            report,
            table,
            path,
            known: BTreeSet::new(),
            missing: BTreeMap::new(),
        }
    }

    /// Returns the dotted path of `key`.
    pub(crate) fn dotted(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.path)
    }

    /// Returns the table under `key`.
    pub(crate) fn section(&mut self, key: &'static str) -> Section<'r, 't, 'i> {
        let path = self.dotted(key);
        let table = self.take(key).and_then(|value| self.table_of(value, &path));
        Section::new(self.report, table, path)
    }

    /// Returns the tables in the list under `key`.
    pub(crate) fn sections(&mut self, key: &'static str) -> Vec<Section<'r, 't, 'i>> {
        let path = self.dotted(key);
        let Some(value) = self.take(key) else {
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            let found = value.get_ref().type_str();
            let message = format!("expected a list of tables, [[{path}]], found {found}");
            self.report.add_at(&path, message);
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (position, element) in array.iter().enumerate() {
            let path = format!("{path}[{position}]");
            self.report
                .record_line(&path, self.report.line_at(element.span().start));
            let table = self.table_of(element, &path);
            sections.extend(table.map(|table| Section::new(self.report, Some(table), path)));
        }
        sections
    }

    fn table_of(&self, value: &'r Spanned<DeValue<'i>>, path: &str) -> Option<&'r DeTable<'i>> {
        let table = value.get_ref().as_table();
        if table.is_none() {
            let found = value.get_ref().type_str();
            let message = format!("expected a table, [{path}], found {found}");
            self.report.add_at(path, message);
        }
        table
    }

    /// Returns the value under `key`, if it is present and valid.
    pub(crate) fn optional<T: Value>(&mut self, key: &'static str) -> Option<T> {
        let value = self.take(key)?;
        match T::read(value.get_ref()) {
            Ok(value) => Some(value),
            Err(message) => {
                self.report.add_at(&self.dotted(key), message);
                None
            }
        }
    }

    /// Returns the value under `key`. A missing key is a finding. If there is a
    /// finding, returns `fallback`, so that reading can continue.
    pub(crate) fn required<T: Value>(&mut self, key: &'static str, fallback: T) -> T {
        let present = self.table.is_some_and(|table| table.contains_key(key));
        let value = self.optional(key);
        if !present {
            self.missing.insert(key, T::EXPECTED);
        }
        value.unwrap_or(fallback)
    }

    /// Returns the value under `key`, or `default`.
    pub(crate) fn with_default<T: Value>(&mut self, key: &'static str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// Returns the value under `key`, or `default`. A value outside of `range` is a
    /// finding.
    pub(crate) fn in_range<T: Value + PartialOrd>(
        &mut self,
        key: &'static str,
        default: T,
        range: RangeInclusive<T>,
    ) -> T {
        self.optional_in_range(key, range).unwrap_or(default)
    }

    /// Returns the value under `key`, if it is present and valid. A value outside of
    /// `range` is a finding.
    pub(crate) fn optional_in_range<T: Value + PartialOrd>(
        &mut self,
        key: &'static str,
        range: RangeInclusive<T>,
    ) -> Option<T> {
        let value = self.optional(key)?;
        if !range.contains(&value) {
            let (low, high) = (range.start().show(), range.end().show());
            let message = format!("{} is outside of {low} to {high}", value.show());
            self.report.add_at(&self.dotted(key), message);
        }
        Some(value)
    }

    /// Reports unknown keys and missing required keys. Must be called after all known
    /// keys were read.
    pub(crate) fn finish(mut self) {
        for key in self.unknown_keys() {
            self.report_unknown(key);
        }
        for (key, expected) in &self.missing {
            let message = format!("is missing; it needs {expected}");
            self.report.add_at(&self.dotted(key), message);
        }
    }

    fn unknown_keys(&self) -> Vec<&'r Spanned<DeString<'i>>> {
        let keys = self.table.into_iter().flat_map(|table| table.keys());
        keys.filter(|key| !self.known.contains(key.get_ref().as_ref()))
            .collect()
    }

    fn report_unknown(&mut self, key: &Spanned<DeString<'i>>) {
        let name: &str = key.get_ref();
        let line = self.report.line_at(key.span().start);
        let message = match self.similar(name) {
            Some(similar) => {
                // A misspelt key must give one finding, not two for an unknown
                // and a missing key.
                self.missing.remove(similar);
                self.report.suppress(&self.dotted(similar));
                format!("is no known key; did you mean {similar}?")
            }
            None => {
                let known: Vec<&str> = self.known.iter().copied().collect();
                format!("is no known key; known here are {}", known.join(", "))
            }
        };
        self.report.add(Some(line), &self.dotted(name), message);
    }

    /// Returns the known key, absent from the table, that `name` is probably a
    /// misspelling of.
    fn similar(&self, name: &str) -> Option<&'static str> {
        let absent = self
            .known
            .iter()
            .copied()
            .filter(|known| self.table.is_some_and(|table| !table.contains_key(*known)));
        absent
            .map(|known| (edit_distance(name, known), known))
            .filter(|(distance, _)| *distance <= MAX_TYPO_DISTANCE)
            .min()
            .map(|(_, known)| known)
    }

    fn take(&mut self, key: &'static str) -> Option<&'r Spanned<DeValue<'i>>> {
        self.known.insert(key);
        let (found, value) = self.table?.get_key_value(key)?;
        let line = self.report.line_at(found.span().start);
        self.report.record_line(&self.dotted(key), line);
        Some(value)
    }
}
