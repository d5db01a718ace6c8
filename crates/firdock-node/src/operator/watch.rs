//! Watches, as long polls: changes after a version, as soon as there are any.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use firdock_core::Version;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::reply::{self, Response};
use crate::config::{ChangeNote, Hub};

/// Watchers that may wait at once; each occupies a thread.
pub const MAX_WATCHERS: usize = 32;
/// Longest wait.
const MAX_WAIT: Duration = Duration::from_secs(55);

/// Answer to a watch, as clients read it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Version to ask the next changes after.
    pub version: Version,
    /// Changes in the order of their versions.
    pub changes: Vec<Value>,
}

#[derive(Serialize)]
struct Answer {
    version: Version,
    changes: Vec<ChangeNote>,
}

/// Counts the watchers that wait.
#[derive(Debug, Default)]
pub struct Watchers(AtomicUsize);

/// Takes one watcher off the count when its wait is over.
struct Place<'a>(&'a Watchers);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Watchers {
    fn enter(&self) -> Option<Place<'_>> {
        let before = self.0.fetch_add(1, Ordering::Relaxed);
        let place = Place(self);
        (before < MAX_WATCHERS).then_some(place)
    }

    /// Answers a watch.
    pub fn answer(&self, hub: &Arc<Hub>, after: Version, wait: Duration) -> Response {
        let Some(_place) = self.enter() else {
            return reply::error(503, "too-many-watchers", "try again in some seconds");
        };
        let changes = hub.wait_for(wait.min(MAX_WAIT), |h| match h.changes.after(after) {
            Some(notes) if notes.is_empty() => None,
            other => Some(other),
        });
        match changes {
            Some(Some(changes)) => {
                let version = changes.last().map_or(after, |c| c.version);
                reply::ok(&Answer { version, changes })
            }
            Some(None) => {
                let detail = "changes after this version are not kept any more: read all resources";
                reply::error(410, "too-far-behind", detail)
            }
            None => reply::ok(&Answer {
                version: after,
                changes: Vec::new(),
            }),
        }
    }
}
