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

/// Time for which reads failed that counts as an outage: entries live longer than that without
/// being renewed.
pub const OUTAGE: Duration = Duration::from_millis(1_500);
/// Grace after an outage in which missing entries are kept: endpoints that live and reach the list
/// are back in it about two seconds after its return.
pub const GRACE: Duration = Duration::from_millis(2_300);

/// Endpoints by name, as the platform's list has them.
#[derive(Debug, Default)]
pub struct Directory {
    rows: BTreeMap<EndpointId, Row>,
    failed_since: Option<Time>,
    trust_after: Time,
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
    /// Call it after the entries of the read were put and removed.
    pub fn note_read(&mut self, now: Time) -> bool {
        if now < self.trust_after {
            return false;
        }
        let before = self.rows.len();
        self.rows.retain(|_, row| !row.missing);
        self.rows.len() != before
    }

    /// Notes that a read failed.
    ///
    /// Only failures make an outage: an instance whose peers read for it does not read for long.
    pub fn note_failed(&mut self, now: Time) {
        self.failed_since.get_or_insert(now);
    }

    /// Notes that a read was answered, before its entries are taken: an outage may have ended.
    pub fn note_answer(&mut self, now: Time) {
        let failed = self.failed_since.take();
        if failed.is_some_and(|since| since + OUTAGE < now) {
            self.trust_after = now + GRACE;
        }
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

    /// Goes over the endpoints that are believed in.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.rows.values().map(|row| &row.endpoint)
    }
}
