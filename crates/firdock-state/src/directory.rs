//! The endpoints that a platform lists, and which of them to believe in after an outage.
//!
//! While a platform's list is out of reach, entries of endpoints that live may lapse there: they
//! could not renew them either. An entry that is missing right after an outage is therefore kept
//! for a short grace, in which a living endpoint is listed again (`docs/design/platform.md`).

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::EndpointId;
use firdock_core::resource::Endpoint;

/// Time since the start of the process, as the policy counts it.
type Time = Duration;

/// Grace after an outage in which missing entries are kept: endpoints that live and reach the list
/// are back in it about two seconds after its return.
pub const GRACE: Duration = Duration::from_millis(2_300);

/// Endpoints by name, as the platform's list has them.
#[derive(Debug, Default)]
pub struct Directory {
    rows: BTreeMap<EndpointId, Row>,
}

#[derive(Debug)]
struct Row {
    endpoint: Endpoint,
    missing: bool,
}

impl Directory {
    /// Makes an empty directory.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the list was read up to its end; tells whether that changed the endpoints.
    ///
    /// Call it after the entries of the read were put and removed. `steady_since` is when the list
    /// was first read after its last outage, by this instance or another one.
    pub fn note_read(&mut self, now: Time, steady_since: Time) -> bool {
        if now < steady_since + GRACE {
            return false;
        }
        let before = self.rows.len();
        self.rows.retain(|_, row| !row.missing);
        self.rows.len() != before
    }

    /// Takes an entry over; tells whether that changed the endpoints.
    pub fn put(&mut self, endpoint: Endpoint) -> bool {
        let name = endpoint.name.clone();
        let row = Row {
            endpoint,
            missing: false,
        };
        let changed = self
            .rows
            .get(&name)
            .is_none_or(|known| known.endpoint != row.endpoint);
        self.rows.insert(name, row);
        changed
    }

    /// Takes it that an entry is gone; the endpoint goes with the next read that is trusted.
    pub fn remove(&mut self, name: &str) {
        if let Some(row) = self.rows.get_mut(name) {
            row.missing = true;
        }
    }

    /// Takes a whole listing over; tells whether that changed the endpoints.
    pub fn replace(&mut self, listed: Vec<Endpoint>) -> bool {
        for row in self.rows.values_mut() {
            row.missing = true;
        }
        let mut changed = false;
        for endpoint in listed {
            changed |= self.put(endpoint);
        }
        changed
    }

    /// Tells whether missing entries are kept, so that it has to be looked at them again.
    #[must_use]
    pub fn keeps_missing(&self) -> bool {
        self.rows.values().any(|row| row.missing)
    }

    /// Goes over the endpoints that are believed in.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.rows.values().map(|row| &row.endpoint)
    }
}
