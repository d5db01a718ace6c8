//! Lines, list and metrics of requests under which endpoints ended.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use firdock_core::{AccountId, ContentId, ServiceId, StartId};
use firdock_policy::Time;
use firdock_policy::suspect::SuspectReport;
use firdock_policy::table::Tables;
use firdock_policy::table::suspects::{Revision, Suspect};
use serde::{Deserialize, Serialize};
use slog::{Logger, info, warn};

use super::Metrics;
use super::log_limiter::{LogKind, LogLimiter};
use crate::clock::millis;

/// One end of an endpoint, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndState {
    /// Start of the endpoint.
    pub endpoint: StartId,
    /// How long ago it ended.
    pub age_millis: u64,
}

/// A request under which endpoints ended, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectState {
    /// Account that sends it.
    pub account: AccountId,
    /// Service that it matched.
    pub service: ServiceId,
    /// Method and path.
    pub path: Arc<str>,
    /// Whether nothing of it is sent, until an operator lets it go.
    pub quarantined: bool,
    /// The ends that count.
    pub ends: Vec<EndState>,
}

impl SuspectState {
    fn new(now: Time, suspect: &Suspect) -> Self {
        let end = |e: &&firdock_policy::table::suspects::Exit| EndState {
            endpoint: e.start.clone(),
            age_millis: millis(now.saturating_sub(e.at)),
        };
        Self {
            account: suspect.account.clone(),
            service: suspect.service.clone(),
            path: Arc::clone(&suspect.content.path),
            quarantined: suspect.quarantined_since().is_some(),
            ends: suspect.counted().iter().map(end).collect(),
        }
    }
}

/// Requests under which endpoints ended, by the identity of their content.
pub type SuspectStates = BTreeMap<ContentId, SuspectState>;

/// The states that were last looked at, for whoever asks.
#[derive(Debug, Clone, Default)]
pub struct SuspectList(Arc<Mutex<Arc<SuspectStates>>>);

impl SuspectList {
    /// Takes newer states over.
    fn set(&self, states: SuspectStates) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(states);
    }

    /// Gives the states.
    #[must_use]
    pub fn get(&self) -> Arc<SuspectStates> {
        Arc::clone(&self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Writes what changes of suspects.
#[derive(Debug)]
pub struct SuspectLog {
    log: Logger,
    limiter: Arc<LogLimiter>,
    metrics: Arc<Metrics>,
    noted: Revision,
    quarantined: Vec<ContentId>,
}

impl SuspectLog {
    /// Makes a writer whose lines count against `budget`.
    #[must_use]
    pub fn new(log: Logger, limiter: Arc<LogLimiter>, metrics: Arc<Metrics>) -> Self {
        Self {
            log,
            limiter,
            metrics,
            noted: Revision::default(),
            quarantined: Vec::new(),
        }
    }

    /// Keeps list and metrics up to date; gives the requests that are out of quarantine since the last
    /// look, or nothing where nothing changed.
    pub fn record(&mut self, now: Time, t: &Tables) -> Option<Vec<ContentId>> {
        let revision = t.suspects.revision();
        if std::mem::replace(&mut self.noted, revision) == revision {
            return None;
        }
        let counts = t.suspects.iter().filter(|s| !s.counted().is_empty());
        let states: SuspectStates = counts
            .map(|s| (s.content.id, SuspectState::new(now, s)))
            .collect();
        let released = self.released(now, &states);
        self.metrics.set_suspects(&states);
        self.metrics.suspects().set(states);
        Some(released)
    }

    /// Writes that a request came into quarantine here, and which ends put it there.
    pub fn quarantined(&self, now: Time, told: &SuspectReport) {
        if !self.limiter.allow(&self.log, now, LogKind::Quarantine) {
            return;
        }
        let counting = told.exits.iter().filter(|e| !e.void);
        let ends: Vec<String> = counting
            .map(|e| format!("{} {} ms ago", e.start, millis(e.ended_ago)))
            .collect();
        warn!(self.log, "request quarantined"; "content" => told.content.id.to_string(),
            "account" => &told.account, "service" => &told.service,
            "path" => &*told.content.path, "ends" => ends.join("; "));
    }

    /// Gives the requests that are out of quarantine, and writes that they are.
    fn released(&mut self, now: Time, states: &SuspectStates) -> Vec<ContentId> {
        let held = states.iter().filter(|(_, s)| s.quarantined);
        let held: Vec<ContentId> = held.map(|(id, _)| *id).collect();
        let mut out = std::mem::replace(&mut self.quarantined, held);
        out.retain(|id| !self.quarantined.contains(id));
        for id in &out {
            if self.limiter.allow(&self.log, now, LogKind::Quarantine) {
                info!(self.log, "request out of quarantine"; "content" => id.to_string());
            }
        }
        out
    }
}
