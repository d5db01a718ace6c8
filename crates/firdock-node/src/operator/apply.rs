//! Applying a file of resources: validates the whole file first, then writes each change.

use std::sync::Arc;

use firdock_core::Findings;
use firdock_core::resource::{Resource, ResourceKey, parse_resources};
use firdock_state::{Change, State};
use serde::{Deserialize, Serialize};
use slog::Logger;

use super::reply::{self, Response};
use crate::config::{Hub, write};
use crate::platform::LogClient;

/// Result for one resource of an applied file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedResource {
    /// Key of the resource.
    pub resource: String,
    /// Version in force.
    pub version: u64,
    /// Whether it was changed; if not, it was already in force.
    pub changed: bool,
}

/// Applies the text of a resource file.
pub fn apply<L: LogClient>(log_client: &L, hub: &Arc<Hub>, log: &Logger, text: &str) -> Response {
    let state = Arc::clone(&hub.lock().state);
    let resources = match check(&state, text) {
        Ok(resources) => resources,
        Err(found) => return reply::findings(&found),
    };
    let mut applied = Vec::new();
    for resource in resources {
        let key = resource.key();
        let present = state.entries.get(&key);
        let base = state.version_of(&key);
        if present.is_some_and(|e| e.resource == resource) {
            applied.push(result(&key, base, false));
            continue;
        }
        let change = Change {
            key: key.clone(),
            base,
            resource: Some(resource),
        };
        match write(log_client, hub, log, change) {
            Ok(version) => applied.push(result(&key, version, true)),
            Err(e) => return reply::write_error(&e),
        }
    }
    reply::ok(&applied)
}

fn result(key: &ResourceKey, version: u64, changed: bool) -> AppliedResource {
    AppliedResource {
        resource: key.to_string(),
        version,
        changed,
    }
}

/// Validates the file by itself and against the configuration in force.
fn check(state: &State, text: &str) -> Result<Vec<Resource>, Findings> {
    let resources = parse_resources(text)?;
    let mut found = Findings::new();
    merged(state, &resources).check_references(&mut found);
    found.into_result(resources)
}

/// Returns the catalog in force with the given resources added or replaced.
pub fn merged(state: &State, resources: &[Resource]) -> firdock_core::resource::Catalog {
    let keys: Vec<ResourceKey> = resources.iter().map(Resource::key).collect();
    let kept = state.entries.iter().filter(|(key, _)| !keys.contains(key));
    let all = kept
        .map(|(_, e)| e.resource.clone())
        .chain(resources.iter().cloned());
    firdock_core::resource::Catalog::new(state.version).with_resources(all)
}
