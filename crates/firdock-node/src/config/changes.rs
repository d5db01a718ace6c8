//! The latest changes, for operators who watch.

use std::collections::VecDeque;

use firdock_core::Version;
use firdock_core::resource::{Resource, ResourceKey};
use firdock_state::State;
use serde::Serialize;

/// Changes that are kept; a watcher that is further behind reads everything anew.
const MAX_CHANGES: usize = 4_096;

/// One change that came into force.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ChangeNote {
    /// Version that it made.
    pub version: Version,
    /// Resource that was changed.
    pub key: ResourceKey,
    /// New content; `None` where the resource was deleted.
    pub resource: Option<Resource>,
}

/// The latest changes in the order of their versions.
#[derive(Debug, Default)]
pub struct Changes {
    notes: VecDeque<ChangeNote>,
    /// Version up to which changes are not kept.
    floor: Version,
    /// Version with which this instance started: it saw no deletion up to there.
    start: Version,
}

impl Changes {
    /// Records what differs between two states that follow each other.
    pub fn note(&mut self, old: &State, new: &State) {
        if old.next == 0 {
            self.start = new.version;
        }
        let mut notes: Vec<ChangeNote> = changed(old, new).collect();
        notes.extend(deleted(old, new));
        notes.sort_by_key(|n| n.version);
        self.notes.extend(notes);
        while self.notes.len() > MAX_CHANGES {
            if let Some(dropped) = self.notes.pop_front() {
                self.floor = dropped.version;
            }
        }
    }

    /// Returns the changes after a version; `None` where some of them are not kept, or were never seen.
    ///
    /// A watcher that starts from nothing misses no deletion, so it gets all that is in force.
    #[must_use]
    pub fn after(&self, version: Version) -> Option<Vec<ChangeNote>> {
        let known = version >= self.floor && (version == 0 || version >= self.start);
        known.then(|| {
            self.notes
                .iter()
                .filter(|n| n.version > version)
                .cloned()
                .collect()
        })
    }
}

fn changed<'a>(old: &'a State, new: &'a State) -> impl Iterator<Item = ChangeNote> + 'a {
    let differs = |e: &(&ResourceKey, &firdock_state::Entry)| old.version_of(e.0) != e.1.version;
    new.entries
        .iter()
        .filter(differs)
        .map(|(key, e)| ChangeNote {
            version: e.version,
            key: key.clone(),
            resource: Some(e.resource.clone()),
        })
}

/// Returns deletions; their own versions are not kept, so they count as made by the newest one.
fn deleted<'a>(old: &'a State, new: &'a State) -> impl Iterator<Item = ChangeNote> + 'a {
    let gone = |key: &&ResourceKey| !new.entries.contains_key(*key);
    let version = new.version;
    let note = move |key: &ResourceKey| ChangeNote {
        version,
        key: key.clone(),
        resource: None,
    };
    old.entries.keys().filter(gone).map(note)
}
