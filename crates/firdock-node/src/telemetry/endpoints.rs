//! Current status of the endpoints, as shown to operators.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use firdock_core::{EndpointId, PoolId, ServiceId, rendezvous};
use firdock_policy::Time;
use firdock_policy::rate::RequestRate;
use firdock_policy::table::Tables;
use firdock_policy::table::endpoint::{EndpointRow, LeavingSource, UnavailableReason};
use serde::Serialize;

use super::change_tracker::Change;
use crate::clock::millis;

/// Number of unavailable endpoints that the log line of a decision names.
const MAX_NAMED: usize = 4;

/// Status of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct EndpointStatus {
    /// `usable`, `leaving`, `backing off`, `rate limited` or `ejected`.
    pub state: &'static str,
    /// Source of the report that the endpoint is leaving or backing off.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub source: Option<&'static str>,
    /// Age of the endpoint's own report of that state.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub age_millis: Option<u64>,
    /// Remaining time for which the endpoint asked this instance to send no requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub left_millis: Option<u64>,
    /// Hash of the pool name, so that a move to another pool counts as a change.
    #[serde(skip)]
    pool_hash: u64,
}

impl EndpointStatus {
    /// Derives the status from the endpoint's row.
    #[must_use]
    pub fn new(now: Time, e: &EndpointRow) -> Self {
        let since = |at: Time| millis(now.saturating_sub(at));
        let mut status = Self {
            state: "usable",
            source: None,
            age_millis: None,
            left_millis: None,
            pool_hash: rendezvous::hash_key(e.declared.pool.as_bytes()),
        };
        match e.check_available("", now) {
            Err(UnavailableReason::Leaving | UnavailableReason::Absent) => {
                status.state = "leaving";
                status.source = e.leaving_source(now).map(LeavingSource::as_str);
                status.age_millis = e.notices.leaving_since().map(since);
            }
            Err(UnavailableReason::BackingOff(until)) => {
                status.state = "backing off";
                status.source = Some("answer");
                status.age_millis = e.notices.backoff("", now).map(|b| since(b.since));
                status.left_millis = Some(millis(until.saturating_sub(now)));
            }
            _ if !e.is_healthy() => status.state = "ejected",
            _ if e.limit.rate().is_some() => status.state = "rate limited",
            _ => {}
        }
        status
    }
}

/// An endpoint's pool and status, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EndpointState {
    /// Pool that it belongs to.
    pub pool: PoolId,
    /// Status.
    #[serde(flatten)]
    pub status: EndpointStatus,
}

/// States of the endpoints of the configuration in force, by name.
pub type EndpointStates = BTreeMap<EndpointId, EndpointState>;

/// Shared list of endpoint states, updated by the scheduler's thread.
#[derive(Debug, Clone, Default)]
pub struct EndpointList(Arc<Mutex<EndpointStates>>);

impl EndpointList {
    /// Applies changes; `t` are the scheduler's tables that they come from.
    pub fn update(&self, t: &Tables, changes: &BTreeMap<EndpointId, Change<EndpointStatus>>) {
        if changes.is_empty() {
            return;
        }
        let mut list = self.lock();
        for (name, change) in changes {
            match (change.is, t.endpoints.find(name)) {
                (Some(status), Some(at)) => {
                    let pool = t.endpoints.get(at).declared.pool.clone();
                    list.insert(name.clone(), EndpointState { pool, status });
                }
                _ => {
                    list.remove(name);
                }
            }
        }
    }

    /// Returns the states.
    #[must_use]
    pub fn get(&self) -> EndpointStates {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, EndpointStates> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Lists the endpoints of a service that this instance skips because they leave, asked for a back-off or
/// named a rate limit, with the cause; returns `None` if there are none.
#[must_use]
pub fn unavailable_endpoints(now: Time, t: &Tables, service: &ServiceId) -> Option<String> {
    let at = t.services.find(service)?;
    let rows = t.services.get(at).endpoints.iter();
    let why = rows.filter_map(|at| {
        let e = t.endpoints.get(*at);
        let why = match e.check_available("", now) {
            Err(UnavailableReason::Leaving) => "leaving".to_owned(),
            Err(UnavailableReason::BackingOff(until)) => {
                format!("backing off {} ms", millis(until.saturating_sub(now)))
            }
            Err(UnavailableReason::Full) => "full".to_owned(),
            Err(UnavailableReason::RateLimited) => {
                let rate = e.limit.rate().map_or(0.0, RequestRate::per_second);
                format!("rate limited to {rate} per second")
            }
            _ => return None,
        };
        Some(format!("{}: {why}", e.declared.name))
    });
    let mut all: Vec<String> = why.collect();
    let more = all.len().saturating_sub(MAX_NAMED);
    all.truncate(MAX_NAMED);
    if more > 0 {
        all.push(format!("{more} more"));
    }
    (!all.is_empty()).then(|| all.join("; "))
}
