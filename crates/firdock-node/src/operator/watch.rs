//! Watches by long polling: returns the changes after a version as soon as there are any.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use firdock_core::Version;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::reply::{self, Response};
use crate::config::{ConfigChange, Hub};

/// Maximum number of waiting watchers; each occupies a thread.
pub const MAX_WATCHERS: usize = 32;
/// Maximum wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(55);

/// Response to a watch, as parsed by clients.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Version after which the next watch should start.
    pub version: Version,
    /// Changes in the order of their versions.
    pub changes: Vec<Value>,
}

#[derive(Serialize)]
struct Answer {
    version: Version,
    changes: Vec<ConfigChange>,
}

/// Counter of waiting watchers.
#[derive(Debug, Default)]
pub struct Watchers(AtomicUsize);

/// Permit of one waiting watcher; dropping it decrements the counter.
struct Permit<'a>(&'a Watchers);

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Watchers {
    fn acquire(&self) -> Option<Permit<'_>> {
        let before = self.0.fetch_add(1, Ordering::Relaxed);
        let permit = Permit(self);
        (before < MAX_WATCHERS).then_some(permit)
    }

    /// Handles a watch; blocks until there are changes or `wait` has passed.
    pub fn answer(&self, hub: &Arc<Hub>, after: Version, wait: Duration) -> Response {
        let Some(_permit) = self.acquire() else {
            return reply::error(503, "too-many-watchers", "try again in some seconds");
        };
        let changes = hub.wait_for(wait.min(MAX_WAIT), |h| match h.changes.after(after) {
            Some(changes) if changes.is_empty() => None,
            other => Some(other),
        });
        match changes {
            Some(Some(changes)) => {
                let version = changes.last().map_or(after, |c| c.version);
                reply::ok(&Answer { version, changes })
            }
            Some(None) => {
                let detail =
                    "changes after this version are no longer retained: read all resources";
                reply::error(410, "too-far-behind", detail)
            }
            None => reply::ok(&Answer {
                version: after,
                changes: Vec::new(),
            }),
        }
    }
}
