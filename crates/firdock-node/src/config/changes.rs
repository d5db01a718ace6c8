//! The latest changes of the configuration, for watches by operators.

use std::collections::VecDeque;

use firdock_core::Version;
use firdock_core::resource::{Resource, ResourceKey};
use firdock_state::State;
use serde::Serialize;

/// Number of retained changes; a watcher that is further behind has to read all resources again.
const MAX_CHANGES: usize = 4_096;

/// One change that is in force.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ConfigChange {
    /// Version that the change created.
    pub version: Version,
    /// Key of the changed resource.
    pub key: ResourceKey,
    /// New content; `None` if the resource was deleted.
    pub resource: Option<Resource>,
}

/// The latest changes in the order of their versions.
#[derive(Debug, Default)]
pub struct Changes {
    retained: VecDeque<ConfigChange>,
    /// Version up to which changes are no longer retained.
    floor: Version,
    /// Version with which this instance started: it did not see the deletions up to this version.
    start: Version,
}

impl Changes {
    /// Records the differences between two successive states.
    pub fn record(&mut self, old: &State, new: &State) {
        if old.next == 0 {
            self.start = new.version;
        }
        let mut changes: Vec<ConfigChange> = changed(old, new).collect();
        changes.extend(deleted(old, new));
        changes.sort_by_key(|c| c.version);
        self.retained.extend(changes);
        while self.retained.len() > MAX_CHANGES {
            if let Some(dropped) = self.retained.pop_front() {
                self.floor = dropped.version;
            }
        }
    }

    /// Returns the changes after a version; `None` if some of them are no longer retained or were never seen.
    ///
    /// A watcher that starts from version 0 has no resources whose deletion it could miss, so it gets the
    /// whole configuration in force.
    #[must_use]
    pub fn after(&self, version: Version) -> Option<Vec<ConfigChange>> {
        let known = version >= self.floor && (version == 0 || version >= self.start);
        known.then(|| {
            self.retained
                .iter()
                .filter(|c| c.version > version)
                .cloned()
                .collect()
        })
    }
}

fn changed<'a>(old: &'a State, new: &'a State) -> impl Iterator<Item = ConfigChange> + 'a {
    let differs = |e: &(&ResourceKey, &firdock_state::Entry)| old.version_of(e.0) != e.1.version;
    new.entries
        .iter()
        .filter(differs)
        .map(|(key, e)| ConfigChange {
            version: e.version,
            key: key.clone(),
            resource: Some(e.resource.clone()),
        })
}

/// Returns the deletions. The state does not have their own versions, so they get the newest version.
fn deleted<'a>(old: &'a State, new: &'a State) -> impl Iterator<Item = ConfigChange> + 'a {
    let gone = |key: &&ResourceKey| !new.entries.contains_key(*key);
    let version = new.version;
    let deletion = move |key: &ResourceKey| ConfigChange {
        version,
        key: key.clone(),
        resource: None,
    };
    old.entries.keys().filter(gone).map(deletion)
}
