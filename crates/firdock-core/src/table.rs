//! Parses TOML and JSON tables into typed structs, with a finding for each invalid key.
//!
//! Serde alone stops at the first error. Each key of a table is therefore first parsed by itself:
//! structs deny unknown fields and default every field, so parsing a table of one key is a full check of
//! that key.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use toml::{Spanned, Value};

use crate::Findings;

/// A TOML table whose keys have their position in the source.
pub type SpannedTable = BTreeMap<Spanned<String>, Value>;

/// Source text, for converting byte offsets to line numbers.
#[derive(Debug, Clone, Copy)]
pub struct Source<'a> {
    text: &'a str,
}

impl<'a> Source<'a> {
    /// Creates a source from the parsed text.
    #[must_use]
    pub fn new(text: &'a str) -> Self {
        Self { text }
    }

    /// Returns the line of the byte at offset `at`, counted from 1.
    #[must_use]
    pub fn line(&self, at: usize) -> usize {
        let head = &self.text.as_bytes()[..at.min(self.text.len())];
        head.split(|b| *b == b'\n').count()
    }
}

/// Parses a table into `T` and adds a finding for each key that is unknown or of the wrong type.
///
/// Returns the default of `T` if a finding was added, so that later checks can continue.
pub fn read_table<T>(src: Source<'_>, path: &str, table: SpannedTable, found: &mut Findings) -> T
where
    T: DeserializeOwned + Default,
{
    let before = found.as_slice().len();
    let mut full_table = toml::Table::new();
    for (key, value) in table {
        let line = src.line(key.span().start);
        let name = key.into_inner();
        let single = toml::Table::from_iter([(name.clone(), value.clone())]);
        if let Err(e) = single.try_into::<T>() {
            found.add(
                Some(line),
                format!("{path}.{name}"),
                first_line(e.message()),
            );
        }
        full_table.insert(name, value);
    }
    if found.as_slice().len() > before {
        return T::default();
    }
    full_table.try_into().unwrap_or_else(|e| {
        found.add(None, path, first_line(e.message()));
        T::default()
    })
}

/// Parses a JSON object into `T`, with the same findings as [`read_table`] but without lines.
pub fn read_object<T>(path: &str, body: serde_json::Value, found: &mut Findings) -> T
where
    T: DeserializeOwned + Default,
{
    let serde_json::Value::Object(map) = body else {
        found.add(None, path, "expected a JSON object");
        return T::default();
    };
    let before = found.as_slice().len();
    for (name, value) in &map {
        let single = serde_json::Map::from_iter([(name.clone(), value.clone())]);
        if let Err(e) = serde_json::from_value::<T>(serde_json::Value::Object(single)) {
            found.add(None, format!("{path}.{name}"), first_line(&e.to_string()));
        }
    }
    if found.as_slice().len() > before {
        return T::default();
    }
    serde_json::from_value(serde_json::Value::Object(map)).unwrap_or_else(|e| {
        found.add(None, path, first_line(&e.to_string()));
        T::default()
    })
}

/// Adds a finding with the line for a syntax error of the TOML parser.
pub fn add_syntax_error(src: Source<'_>, error: &toml::de::Error, found: &mut Findings) {
    let line = error.span().map(|s| src.line(s.start));
    found.add(line, "", first_line(error.message()));
}

fn first_line(message: &str) -> String {
    message.lines().next().unwrap_or_default().to_owned()
}
