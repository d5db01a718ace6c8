//! What an instance believes of its endpoints now, as operators see it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use firdock_core::{EndpointId, PoolId, ServiceId, rendezvous};
use firdock_policy::Time;
use firdock_policy::table::Tables;
use firdock_policy::table::endpoint::{EndpointRow, LeavingSource, UnavailableReason};
use serde::Serialize;

use super::change_tracker::Change;
use crate::clock::millis;

/// Endpoints that a line on a decision names, of those that were passed over for what they said.
const MOST_NAMED: usize = 4;

/// What is believed of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct EndpointStatus {
    /// `usable`, `leaving`, `backing off` or `ejected`.
    pub state: &'static str,
    /// Who said that it leaves.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub source: Option<&'static str>,
    /// How long ago the endpoint itself said so.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub age_millis: Option<u64>,
    /// How much longer it wants no request from this instance.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub left_millis: Option<u64>,
    /// Hash of its pool's name, by which a look sees that it moved to another one.
    #[serde(skip)]
    pool_hash: u64,
}

impl EndpointStatus {
    /// Takes what is believed from an endpoint's row.
    #[must_use]
    pub fn new(now: Time, e: &EndpointRow) -> Self {
        let since = |at: Time| millis(now.saturating_sub(at));
        let mut word = Self {
            state: "usable",
            source: None,
            age_millis: None,
            left_millis: None,
            pool_hash: rendezvous::hash_key(e.declared.pool.as_bytes()),
        };
        match e.check_available("", now) {
            Err(UnavailableReason::Leaving | UnavailableReason::Absent) => {
                word.state = "leaving";
                word.source = e.leaving_source(now).map(LeavingSource::as_str);
                word.age_millis = e.notices.leaving_since().map(since);
            }
            Err(UnavailableReason::BackingOff(until)) => {
                word.state = "backing off";
                word.source = Some("answer");
                word.age_millis = e.notices.backoff("", now).map(|b| since(b.since));
                word.left_millis = Some(millis(until.saturating_sub(now)));
            }
            _ if !e.is_healthy() => word.state = "ejected",
            _ => {}
        }
        word
    }
}

/// An endpoint and what is believed of it, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EndpointState {
    /// Pool that it belongs to.
    pub pool: PoolId,
    /// What is believed of it.
    #[serde(flatten)]
    pub word: EndpointStatus,
}

/// States of the endpoints in force, by name.
pub type EndpointStates = BTreeMap<EndpointId, EndpointState>;

/// The states that were last looked at, for whoever asks.
#[derive(Debug, Clone, Default)]
pub struct EndpointList(Arc<Mutex<EndpointStates>>);

impl EndpointList {
    /// Takes over what changed, of the endpoints of a scheduler.
    pub fn update(&self, t: &Tables, changes: &BTreeMap<EndpointId, Change<EndpointStatus>>) {
        if changes.is_empty() {
            return;
        }
        let mut states = self.lock();
        for (name, change) in changes {
            match (change.is, t.endpoints.find(name)) {
                (Some(word), Some(at)) => {
                    let pool = t.endpoints.get(at).declared.pool.clone();
                    states.insert(name.clone(), EndpointState { pool, word });
                }
                _ => {
                    states.remove(name);
                }
            }
        }
    }

    /// Gives the states.
    #[must_use]
    pub fn get(&self) -> EndpointStates {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, EndpointStates> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Names the endpoints of a service that get nothing from this instance for what was said of them, with
/// why; `None` where there are none.
#[must_use]
pub fn passed_over(now: Time, t: &Tables, service: &ServiceId) -> Option<String> {
    let at = t.services.find(service)?;
    let rows = t.services.get(at).endpoints.iter();
    let why = rows.filter_map(|at| {
        let e = t.endpoints.get(*at);
        let why = match e.check_available("", now) {
            Err(UnavailableReason::Leaving) => "leaving".to_owned(),
            Err(UnavailableReason::BackingOff(until)) => {
                format!("backing off {} ms", millis(until.saturating_sub(now)))
            }
            _ => return None,
        };
        Some(format!("{}: {why}", e.declared.name))
    });
    let mut all: Vec<String> = why.collect();
    let more = all.len().saturating_sub(MOST_NAMED);
    all.truncate(MOST_NAMED);
    if more > 0 {
        all.push(format!("{more} more"));
    }
    (!all.is_empty()).then(|| all.join("; "))
}
