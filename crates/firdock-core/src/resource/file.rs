//! Parsing of resources from TOML files and JSON bodies.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use toml::Spanned;

use super::{Account, Endpoint, Kind, Resource, Service, Tier};
use crate::Findings;
use crate::table::{Source, SpannedTable, add_syntax_error, read_object, read_table};

/// Parses a file of `[[tier]]`, `[[account]]`, `[[service]]` and `[[endpoint]]` tables.
///
/// # Errors
///
/// Returns every finding, each with its line and field.
pub fn parse_resources(text: &str) -> Result<Vec<Resource>, Findings> {
    let src = Source::new(text);
    let mut found = Findings::new();
    let parsed = toml::from_str::<BTreeMap<Spanned<String>, Vec<Spanned<SpannedTable>>>>(text);
    let tables = match parsed {
        Ok(tables) => tables,
        Err(e) => {
            add_syntax_error(src, &e, &mut found);
            return Err(found);
        }
    };
    let mut resources = Vec::new();
    for (key, rows) in tables {
        let line = src.line(key.span().start);
        match key.get_ref().parse::<Kind>() {
            Ok(kind) => read_rows(src, kind, rows, &mut resources, &mut found),
            Err(e) => found.add(Some(line), key.into_inner(), e.to_string()),
        }
    }
    check_unique(&resources, &mut found);
    resources.sort_by_key(|r| Kind::ALL.iter().position(|k| *k == r.key().kind));
    found.into_result(resources)
}

/// Parses one resource of `kind` from a JSON body.
///
/// # Errors
///
/// Returns every finding, each with its field.
pub fn parse_object(kind: Kind, body: serde_json::Value) -> Result<Resource, Findings> {
    let mut found = Findings::new();
    let path = kind.as_str();
    let resource = match kind {
        Kind::Endpoint => Resource::Endpoint(read_object(path, body, &mut found)),
        Kind::Tier => Resource::Tier(read_object(path, body, &mut found)),
        Kind::Account => Resource::Account(read_object(path, body, &mut found)),
        Kind::Service => Resource::Service(read_object(path, body, &mut found)),
    };
    if found.is_empty() {
        resource.check(None, path, &mut found);
    }
    found.into_result(resource)
}

fn read_rows(
    src: Source<'_>,
    kind: Kind,
    rows: Vec<Spanned<SpannedTable>>,
    out: &mut Vec<Resource>,
    found: &mut Findings,
) {
    for (i, row) in rows.into_iter().enumerate() {
        let line = src.line(row.span().start);
        let path = format!("{kind}[{i}]");
        let row = row.into_inner();
        let resource = match kind {
            Kind::Endpoint => read_row::<Endpoint>(src, &path, row, found).map(Resource::Endpoint),
            Kind::Tier => read_row::<Tier>(src, &path, row, found).map(Resource::Tier),
            Kind::Account => read_row::<Account>(src, &path, row, found).map(Resource::Account),
            Kind::Service => read_row::<Service>(src, &path, row, found).map(Resource::Service),
        };
        if let Some(resource) = resource {
            resource.check(Some(line), &path, found);
            out.push(resource);
        }
    }
}

fn read_row<T>(src: Source<'_>, path: &str, row: SpannedTable, found: &mut Findings) -> Option<T>
where
    T: DeserializeOwned + Default,
{
    let before = found.as_slice().len();
    let value = read_table(src, path, row, found);
    (found.as_slice().len() == before).then_some(value)
}

fn check_unique(resources: &[Resource], found: &mut Findings) {
    let mut seen = std::collections::BTreeSet::new();
    for key in resources.iter().map(Resource::key) {
        if !seen.insert(key.clone()) {
            found.add(None, key.to_string(), "declared twice");
        }
    }
}
