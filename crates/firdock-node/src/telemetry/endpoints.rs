//! What an instance believes of its endpoints now, as operators see it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use firdock_core::{EndpointId, PoolId, ServiceId};
use firdock_policy::Time;
use firdock_policy::table::Tables;
use firdock_policy::table::endpoint::{Closed, EndpointRow, LeavingSource};
use serde::Serialize;

use crate::clock::millis;

/// Endpoints that a line on a decision names, of those that were passed over for what they said.
const MOST_NAMED: usize = 4;

/// What is believed of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EndpointState {
    /// Pool that it belongs to.
    pub pool: PoolId,
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
}

impl EndpointState {
    /// Takes the state from an endpoint's row.
    #[must_use]
    pub fn new(now: Time, e: &EndpointRow) -> Self {
        let since = |at: Time| millis(now.saturating_sub(at));
        let mut state = Self {
            pool: e.declared.pool.clone(),
            state: "usable",
            source: None,
            age_millis: None,
            left_millis: None,
        };
        match e.open_to("", now) {
            Err(Closed::Leaving | Closed::Absent) => {
                state.state = "leaving";
                state.source = e.leaving_source(now).map(LeavingSource::as_str);
                state.age_millis = e.notices.leaving_since().map(since);
            }
            Err(Closed::BackingOff(until)) => {
                state.state = "backing off";
                state.source = Some("answer");
                state.age_millis = e.notices.backoff("", now).map(|b| since(b.since));
                state.left_millis = Some(millis(until.saturating_sub(now)));
            }
            _ if !e.is_well() => state.state = "ejected",
            _ => {}
        }
        state
    }
}

/// States of the endpoints in force, by name.
pub type EndpointStates = BTreeMap<EndpointId, EndpointState>;

/// Gives the states of all endpoints in force.
#[must_use]
pub fn states(now: Time, t: &Tables) -> EndpointStates {
    let present = t.endpoints.iter().filter(|(_, e)| e.present);
    let states = present.map(|(_, e)| (e.declared.name.clone(), EndpointState::new(now, e)));
    states.collect()
}

/// The states that were last looked at, for whoever asks.
#[derive(Debug, Clone, Default)]
pub struct EndpointList(Arc<Mutex<Arc<EndpointStates>>>);

impl EndpointList {
    /// Takes newer states over.
    pub fn set(&self, states: Arc<EndpointStates>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = states;
    }

    /// Gives the states.
    #[must_use]
    pub fn get(&self) -> Arc<EndpointStates> {
        Arc::clone(&self.0.lock().unwrap_or_else(PoisonError::into_inner))
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
        let why = match e.open_to("", now) {
            Err(Closed::Leaving) => "leaving".to_owned(),
            Err(Closed::BackingOff(until)) => {
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
