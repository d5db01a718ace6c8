//! State of configuration, members and peers, shared between the threads of an instance.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use firdock_core::{InstanceId, Version, ZoneId};
use firdock_state::{FoldOutcome, RecordId, State};
use serde::Serialize;

use super::changes::Changes;
use crate::platform::ListedRow;

/// Number of record results that are retained for waiting writers.
const MAX_RESULTS: usize = 8_192;
/// Maximum number of peers whose status is retained.
const MAX_PEERS: usize = 512;

/// Last reported status of a peer, for the status endpoint of the resource API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PeerStatus {
    /// Availability zone.
    pub zone: ZoneId,
    /// Version of the configuration in force there.
    pub version: Version,
    /// Whether it is stopping.
    pub draining: bool,
    /// Time of the last heartbeat, on this process's clock.
    #[serde(skip)]
    pub heard: Duration,
}

/// Shared state.
#[derive(Debug, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub struct HubState {
    /// Newest state, built from the log.
    pub state: Arc<State>,
    /// Version of the configuration by which requests are admitted here. It follows that of `state`, since the
    /// scheduler takes a configuration over later than it is read.
    pub in_force: Version,
    /// Latest changes.
    pub changes: Changes,
    /// Time at which the log was last read to its end.
    pub log_read: Option<Duration>,
    /// Whether records are missing and no snapshot was found yet.
    pub gap: bool,
    /// Rows of the instance list; `None` before it was first read.
    pub listed: Option<Vec<ListedRow>>,
    /// Status of peers.
    pub peers: BTreeMap<InstanceId, PeerStatus>,
    /// Whether this instance is stopping.
    pub stopping: bool,
    /// Whether the threads have to end.
    pub closed: bool,
    results: VecDeque<(RecordId, FoldOutcome)>,
    wake: bool,
}

impl HubState {
    /// Returns the result of a record.
    #[must_use]
    pub fn result(&self, id: RecordId) -> Option<FoldOutcome> {
        self.results
            .iter()
            .rev()
            .find(|(i, _)| *i == id)
            .map(|(_, outcome)| *outcome)
    }

    /// Stores the results of records.
    pub fn record_results(&mut self, results: Vec<(RecordId, FoldOutcome)>) {
        self.results.extend(results);
        let extra = self.results.len().saturating_sub(MAX_RESULTS);
        self.results.drain(..extra);
    }

    /// Returns the result of a record once it shows: a change only once it is in force here.
    #[must_use]
    pub fn settled(&self, id: RecordId) -> Option<FoldOutcome> {
        let outcome = self.result(id)?;
        match outcome {
            FoldOutcome::Accepted { version } if self.in_force < version => None,
            _ => Some(outcome),
        }
    }

    /// Returns whether requests can be admitted: something was read, and the first configuration is in force.
    #[must_use]
    pub fn is_configured(&self) -> bool {
        let has_configuration = self.state.version == 0 || self.in_force > 0;
        self.state.next > 0 && has_configuration
    }

    /// Stores the reported status of a peer.
    pub fn note_peer(&mut self, name: &str, status: PeerStatus) {
        if self.peers.len() < MAX_PEERS || self.peers.contains_key(name) {
            self.peers.insert(name.to_owned(), status);
        }
    }

    /// Finds an instance in the instance list by name.
    #[must_use]
    pub fn listed_row(&self, name: &str) -> Option<&ListedRow> {
        self.listed.iter().flatten().find(|r| r.name == name)
    }

    /// Returns whether an instance is a peer. Until the instance list is read, the members of the log are: a
    /// starting instance gets their keys and heartbeats at once.
    #[must_use]
    pub fn is_peer(&self, name: &str) -> bool {
        if self.listed.is_some() {
            return self.listed_row(name).is_some();
        }
        self.state.members.iter().any(|m| m.name == name)
    }
}

/// Shared state with its lock and condition variables.
#[derive(Debug, Default)]
pub struct Hub {
    state: Mutex<HubState>,
    changed: Condvar,
    woken: Condvar,
}

impl Hub {
    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, HubState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state and wakes the threads that wait for a change.
    pub fn update<T>(&self, change: impl FnOnce(&mut HubState) -> T) -> T {
        let result = change(&mut self.lock());
        self.changed.notify_all();
        result
    }

    /// Triggers a read of the log at once, because a peer or a writer knows of a newer record.
    pub fn wake(&self) {
        self.lock().wake = true;
        self.woken.notify_all();
    }

    /// Waits for [`Self::wake`] or until `limit` has passed; returns whether the threads should go on.
    pub fn pause(&self, limit: Duration) -> bool {
        let waiting = |s: &mut HubState| !s.wake && !s.closed;
        let waited = self.woken.wait_timeout_while(self.lock(), limit, waiting);
        let mut state = waited.unwrap_or_else(PoisonError::into_inner).0;
        state.wake = false;
        !state.closed
    }

    /// Waits until `ready` returns a value or `limit` has passed.
    pub fn wait_for<T>(
        &self,
        limit: Duration,
        mut ready: impl FnMut(&HubState) -> Option<T>,
    ) -> Option<T> {
        let end = Instant::now() + limit;
        let mut state = self.lock();
        loop {
            if let Some(value) = ready(&state) {
                return Some(value);
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() || state.closed {
                return None;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Ends the threads.
    pub fn close(&self) {
        self.update(|s| s.closed = true);
        self.woken.notify_all();
    }
}
