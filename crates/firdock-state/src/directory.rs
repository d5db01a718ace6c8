//! The endpoints that a platform lists, and which of them are kept after an outage of the list.
//!
//! While a platform's list is unreachable, entries of live endpoints may expire there, as the endpoints cannot
//! renew them either. An entry that is missing right after an outage is therefore kept for a short grace period,
//! in which a live endpoint is listed again (`docs/design/platform.md`).

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::EndpointId;
use firdock_core::resource::Endpoint;

/// Time since the start of the process, as in the policy.
type Time = Duration;

/// Grace period after an outage in which missing entries are kept: live endpoints that reach the list are back
/// in it about two seconds after it is reachable again.
pub const GRACE: Duration = Duration::from_millis(2_300);

/// Maximum number of removed endpoints whose newest entry order is remembered, so that an older entry that
/// arrives late does not bring one back: more than restart within the minutes that an entry can be late.
const MAX_GONE: usize = 4_096;

/// Largest number by which an entry without a start may precede the newest one and count as a late write. It covers
/// some seconds of renewals; an endpoint that begins to count anew under its name is out of use for no longer.
const MAX_LATE_ENTRIES: u64 = 16;

/// Position of an entry among those of its endpoint: by the endpoint's start, then by its number since.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EntryOrder {
    started: Option<Duration>,
    count: u64,
}

impl EntryOrder {
    /// Returns whether the entry was written before a known one.
    ///
    /// Without a start, a number that is far below the known one belongs to a later start that counts anew.
    fn is_before(self, known: Self) -> bool {
        let late = known.count.saturating_sub(self.count);
        self < known && (self.started.is_some() || late <= MAX_LATE_ENTRIES)
    }
}

/// Result of applying an entry to the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It changed the endpoints.
    Changed,
    /// It equals the entry that was known.
    Known,
    /// It is older than the entry that was known, and was ignored.
    Older,
    /// It lacks a start although earlier entries of the endpoint had one, and was ignored.
    MissingStart,
}

/// Endpoints of the platform's list, by name.
#[derive(Debug, Default)]
pub struct Directory {
    rows: BTreeMap<EndpointId, Row>,
    /// Order of the newest entry of each endpoint, and of some removed endpoints.
    newest: BTreeMap<EndpointId, EntryOrder>,
}

#[derive(Debug)]
struct Row {
    endpoint: Endpoint,
    missing: bool,
}

impl Directory {
    /// Creates an empty directory.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the list was read up to its end, and drops missing endpoints unless a grace period lasts.
    /// Returns whether that changed the endpoints.
    ///
    /// Call it after the entries of the read were put and removed. `steady_since` is the time of the first read
    /// after the list's last outage, by this instance or another one.
    pub fn record_read(&mut self, now: Time, steady_since: Time) -> bool {
        if now < steady_since + GRACE {
            return false;
        }
        let before = self.rows.len();
        self.rows.retain(|_, row| !row.missing);
        self.rows.len() != before
    }

    /// Applies an entry unless it is older than one that was applied. `count` is its number since the endpoint's
    /// start.
    ///
    /// The order of arrival does not count: a write that got no response may be carried out after a later one.
    pub fn apply(&mut self, endpoint: Endpoint, count: u64) -> ApplyOutcome {
        let order = EntryOrder {
            started: endpoint.started,
            count,
        };
        let known = self.newest.get(&endpoint.name).copied();
        if known.is_some_and(|known| known.started.is_some() && order.started.is_none()) {
            return ApplyOutcome::MissingStart;
        }
        if known.is_some_and(|known| order.is_before(known)) {
            return ApplyOutcome::Older;
        }
        self.newest.insert(endpoint.name.clone(), order);
        let outcome = self.put_entry(endpoint);
        self.evict_removed();
        outcome
    }

    fn put_entry(&mut self, endpoint: Endpoint) -> ApplyOutcome {
        if self.put(endpoint) {
            ApplyOutcome::Changed
        } else {
            ApplyOutcome::Known
        }
    }

    /// Evicts the removed endpoint with the earliest start if too many are remembered.
    fn evict_removed(&mut self) {
        if self.newest.len() <= self.rows.len() + MAX_GONE {
            return;
        }
        let is_removed = |name: &&EndpointId| !self.rows.contains_key(*name);
        let names = self.newest.keys().filter(is_removed);
        let earliest = names.min_by_key(|name| self.newest[*name]).cloned();
        if let Some(name) = earliest {
            self.newest.remove(&name);
        }
    }

    /// Removes at once an endpoint whose entry no longer names one. Returns whether there was one.
    ///
    /// The order of its newest entry is kept, so that an older entry does not bring it back.
    pub fn remove_now(&mut self, name: &str) -> bool {
        self.rows.remove(name).is_some()
    }

    /// Applies an entry. Returns whether that changed the endpoints.
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

    /// Marks an entry as missing. The endpoint is removed by the next read outside of a grace period.
    pub fn remove(&mut self, name: &str) {
        if let Some(row) = self.rows.get_mut(name) {
            row.missing = true;
        }
    }

    /// Applies a complete listing: endpoints that it lacks are marked as missing. Returns whether it added or
    /// changed an endpoint.
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

    /// Returns whether missing entries are kept, so that the caller has to check them again later.
    #[must_use]
    pub fn has_missing(&self) -> bool {
        self.rows.values().any(|row| row.missing)
    }

    /// Iterates over the endpoints, those with a kept missing entry included.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.rows.values().map(|row| &row.endpoint)
    }
}
