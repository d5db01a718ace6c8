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

/// Endpoints that are gone whose last entries are remembered, so that an earlier one which comes late
/// brings none of them back: more than restart within the minutes that an entry can be late.
const MAX_GONE: usize = 4_096;

/// Where an entry stands among those of its endpoint: by the start, then by its number since.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EntryOrder {
    started: Duration,
    count: u64,
}

/// What became of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entered {
    /// It changed the endpoints.
    Changed,
    /// It says what was known.
    Known,
    /// It is older than what was known, and was passed over.
    Older,
    /// It tells no start, though earlier entries of the endpoint did, and was passed over.
    Startless,
}

/// Endpoints by name, as the platform's list has them.
#[derive(Debug, Default)]
pub struct Directory {
    rows: BTreeMap<EndpointId, Row>,
    /// The newest entry of each endpoint that tells its start, and of some that are gone.
    newest: BTreeMap<EndpointId, EntryOrder>,
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

    /// Takes an entry over unless it is older than one that was taken; `count` is its number since the
    /// endpoint's start.
    ///
    /// Entries of endpoints that tell no start are taken as they come: their order is the platform's.
    pub fn enter(&mut self, endpoint: Endpoint, count: u64) -> Entered {
        let known = self.newest.get(&endpoint.name).copied();
        let Some(started) = endpoint.started else {
            return match known {
                Some(_) => Entered::Startless,
                None => self.put_new(endpoint),
            };
        };
        let order = EntryOrder { started, count };
        if known.is_some_and(|known| order < known) {
            return Entered::Older;
        }
        self.newest.insert(endpoint.name.clone(), order);
        let entered = self.put_new(endpoint);
        self.forget_gone();
        entered
    }

    fn put_new(&mut self, endpoint: Endpoint) -> Entered {
        if self.put(endpoint) {
            Entered::Changed
        } else {
            Entered::Known
        }
    }

    /// Forgets the earliest start among those that are gone, if too many are remembered.
    fn forget_gone(&mut self) {
        if self.newest.len() <= self.rows.len() + MAX_GONE {
            return;
        }
        let gone = |name: &&EndpointId| !self.rows.contains_key(*name);
        let names = self.newest.keys().filter(gone);
        let earliest = names.min_by_key(|name| self.newest[*name]).cloned();
        if let Some(name) = earliest {
            self.newest.remove(&name);
        }
    }

    /// Takes an endpoint out at once, whose entry names none any more; tells whether there was one.
    ///
    /// What it said before still counts, so that nothing older brings it back.
    pub fn take_out(&mut self, name: &str) -> bool {
        self.rows.remove(name).is_some()
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
