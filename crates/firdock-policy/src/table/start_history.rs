//! Recent starts of endpoints with their builds: what an entry says holds for the start that wrote it.

use std::collections::HashMap;
use std::time::Duration;

use firdock_core::{EndpointId, StartId};

use super::endpoint::Unconfirmed;
use crate::request::Build;
use crate::time::Time;

/// Time for which a start that was replaced is kept: longer than any caller continues a stream.
const RETENTION: Duration = Duration::from_mins(10);

/// A start of an endpoint, by its entry.
#[derive(Debug, Clone)]
pub struct KnownStart {
    /// The start.
    pub start: StartId,
    /// What it runs.
    pub build: Build,
    /// When it began, on this process's clock; `None` if that is not known.
    pub began: Option<Time>,
    /// The same as its entry says it, as Unix time.
    pub started: Option<Duration>,
}

/// A start that another one replaced.
#[derive(Debug, Clone)]
pub struct ReplacedStart {
    /// The start.
    pub start: StartId,
    /// What it ran.
    pub build: Build,
    /// Set if it was not known whether it still served when the next one was read.
    pub unconfirmed: Option<Unconfirmed>,
    /// When its process was last known to serve.
    pub confirmed_at: Time,
    /// The start after it.
    pub next: KnownStart,
    /// When this instance learned of that.
    pub replaced_at: Time,
}

/// Starts that were replaced, by endpoint, in the order of their replacement.
#[derive(Debug, Default)]
pub struct StartHistory {
    by_endpoint: HashMap<EndpointId, Vec<ReplacedStart>>,
}

impl StartHistory {
    /// Adds a start, and drops those at which no stream can have begun that a caller still continues.
    pub fn add(&mut self, now: Time, endpoint: &str, replaced: ReplacedStart) {
        self.by_endpoint.retain(|_, starts| {
            starts.retain(|s| s.replaced_at + RETENTION > now);
            !starts.is_empty()
        });
        let starts = self.by_endpoint.entry(endpoint.to_owned()).or_default();
        starts.push(replaced);
    }

    /// Returns a start of an endpoint if it was replaced.
    #[must_use]
    pub fn find(&self, endpoint: &str, start: &str) -> Option<&ReplacedStart> {
        let mut starts = self.by_endpoint.get(endpoint)?.iter();
        starts.find(|s| s.start == start)
    }
}
