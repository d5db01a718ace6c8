//! Log lines, list and metrics of suspects: requests during which endpoints exited.

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
use super::log::excerpt;
use super::log_limiter::{LogKind, LogLimiter};
use crate::clock::millis;

/// One exit of an endpoint, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExitState {
    /// Start id of the endpoint that exited.
    pub endpoint: StartId,
    /// Time since the exit.
    pub age_millis: u64,
}

/// A request during which endpoints exited, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectState {
    /// Account that sent it.
    pub account: AccountId,
    /// Service that it matched.
    pub service: ServiceId,
    /// Method and path.
    pub path: Arc<str>,
    /// Whether it is not dispatched until an operator releases it.
    pub quarantined: bool,
    /// The exits that count towards the quarantine.
    pub ends: Vec<ExitState>,
}

impl SuspectState {
    fn new(now: Time, suspect: &Suspect) -> Self {
        let end = |e: &&firdock_policy::table::suspects::Exit| ExitState {
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

/// Requests during which endpoints exited, by content id.
pub type SuspectStates = BTreeMap<ContentId, SuspectState>;

/// Shared list of suspects, updated by the scheduler's thread.
#[derive(Debug, Clone, Default)]
pub struct SuspectList(Arc<Mutex<Arc<SuspectStates>>>);

impl SuspectList {
    /// Replaces the states.
    fn set(&self, states: SuspectStates) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(states);
    }

    /// Returns the states.
    #[must_use]
    pub fn get(&self) -> Arc<SuspectStates> {
        Arc::clone(&self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Logs changes of suspects, and keeps their list and metrics up to date.
#[derive(Debug)]
pub struct SuspectLog {
    log: Logger,
    limiter: Arc<LogLimiter>,
    metrics: Arc<Metrics>,
    last_revision: Revision,
    quarantined: Vec<ContentId>,
}

impl SuspectLog {
    /// Creates a writer whose lines are limited by `limiter`.
    #[must_use]
    pub fn new(log: Logger, limiter: Arc<LogLimiter>, metrics: Arc<Metrics>) -> Self {
        Self {
            log,
            limiter,
            metrics,
            last_revision: Revision::default(),
            quarantined: Vec::new(),
        }
    }

    /// Updates list and metrics. Returns the requests that were released from quarantine since the last
    /// call, or `None` if nothing changed.
    pub fn record(&mut self, now: Time, t: &Tables) -> Option<Vec<ContentId>> {
        let revision = t.suspects.revision();
        if std::mem::replace(&mut self.last_revision, revision) == revision {
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

    /// Logs that this instance quarantined a request, with the exits that caused it.
    pub fn quarantined(&self, now: Time, report: &SuspectReport) {
        if !self.limiter.allow(&self.log, now, LogKind::Quarantine) {
            return;
        }
        let counting = report.exits.iter().filter(|e| !e.void);
        let ends: Vec<String> = counting
            .map(|e| format!("{} {} ms ago", e.start, millis(e.ended_ago)))
            .collect();
        warn!(self.log, "request quarantined"; "content" => report.content.id.to_string(),
            "account" => &report.account, "service" => &report.service,
            "path" => excerpt(&report.content.path), "ends" => ends.join("; "));
    }

    /// Returns the requests that are no longer quarantined, and logs each.
    fn released(&mut self, now: Time, states: &SuspectStates) -> Vec<ContentId> {
        let now_quarantined = states.iter().filter(|(_, s)| s.quarantined);
        let now_quarantined: Vec<ContentId> = now_quarantined.map(|(id, _)| *id).collect();
        let mut out = std::mem::replace(&mut self.quarantined, now_quarantined);
        out.retain(|id| !self.quarantined.contains(id));
        for id in &out {
            if self.limiter.allow(&self.log, now, LogKind::Quarantine) {
                info!(self.log, "request out of quarantine"; "content" => id.to_string());
            }
        }
        out
    }
}
