//! Lookups in the platform's store. Callers who wait together are answered by one read.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

/// Number of a lookup, in the order of requests.
pub type LookupId = u64;

#[derive(Debug, Default)]
struct State {
    requested: LookupId,
    finished: LookupId,
}

/// Lookups that are requested here and carried out by the platform's adapter.
#[derive(Debug, Default)]
pub struct Lookups {
    state: Mutex<State>,
    requested: Notify,
    finished: Notify,
}

impl Lookups {
    /// Requests a lookup, and waits until it is finished.
    pub(super) async fn run(&self) {
        let id = {
            let mut state = self.lock();
            state.requested += 1;
            state.requested
        };
        self.requested.notify_one();
        loop {
            let finished = self.finished.notified();
            if self.lock().finished >= id {
                return;
            }
            finished.await;
        }
    }

    /// Waits for a lookup to be requested. Returns the newest one, which includes all earlier ones.
    pub async fn next(&self) -> LookupId {
        loop {
            let requested = self.requested.notified();
            if let Some(id) = self.lock().unfinished() {
                return id;
            }
            requested.await;
        }
    }

    /// Finishes a lookup and all earlier ones.
    pub fn finish(&self, id: LookupId) {
        self.lock().finished = id;
        self.finished.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the newest lookup if it is not finished.
    fn unfinished(&self) -> Option<LookupId> {
        (self.requested > self.finished).then_some(self.requested)
    }
}
