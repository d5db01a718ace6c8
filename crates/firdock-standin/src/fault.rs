//! Faults that are injected into a stand-in with `POST /fault`.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Faults of a stand-in, as set by a test.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is independent of the others"
)]
pub struct FaultState {
    /// Delay before each call is processed, in milliseconds.
    pub delay_millis: u64,
    /// Number of next calls whose reply is lost after they took effect.
    pub lose_replies: u32,
    /// Whether calls get no answer and have no effect.
    pub silent: bool,
    /// Whether calls are refused with 503.
    pub outage: bool,
    /// Whether new work is refused before anything is done for it.
    pub refuse: bool,
    /// `Retry-After` that is sent with a refusal, in seconds; 0 for none.
    pub retry_after: u32,
    /// Factor by which processing takes longer.
    pub slowdown: f64,
    /// Number of tokens or bytes after which answers are truncated, for as many answers as `cuts`.
    pub cut_after: u32,
    /// Number of next answers that are truncated.
    pub cuts: u32,
    /// Whether answers have neither a content length nor chunks, so that a truncated one looks complete.
    pub unframed: bool,
    /// Number of next answers that carry the id of another request.
    pub crossed: u32,
    /// Whether the stand-in reports that it is leaving.
    pub leaving: bool,
    /// Whether a broken stream cannot be resumed.
    pub forgetful: bool,
    /// Minimum age of the load and the cache events in a report, in milliseconds.
    pub report_lag_millis: u64,
    /// Number of next reports whose cache events are lost.
    pub lost_events: u32,
    /// Whether the stand-in is dead: answers in progress break off.
    pub dead: bool,
}

impl Default for FaultState {
    fn default() -> Self {
        Self {
            delay_millis: 0,
            lose_replies: 0,
            silent: false,
            outage: false,
            refuse: false,
            retry_after: 0,
            slowdown: 1.0,
            cut_after: 0,
            cuts: 0,
            unframed: false,
            crossed: 0,
            leaving: false,
            forgetful: false,
            report_lag_millis: 0,
            lost_events: 0,
            dead: false,
        }
    }
}

/// Shared handle to the faults of one stand-in.
#[derive(Debug, Clone, Default)]
pub struct Faults(Arc<Mutex<FaultState>>);

impl Faults {
    /// Creates a state without faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, FaultState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current faults.
    #[must_use]
    pub fn get(&self) -> FaultState {
        self.lock().clone()
    }

    /// Sets all faults.
    pub fn set(&self, state: FaultState) {
        *self.lock() = state;
    }

    /// Changes some faults.
    pub fn change(&self, change: impl FnOnce(&mut FaultState)) {
        change(&mut self.lock());
    }

    /// Counts down the lost replies; returns whether this reply is lost.
    #[must_use]
    pub fn take_lost_reply(&self) -> bool {
        count_down(&mut self.lock().lose_replies)
    }

    /// Counts down the answers with another request's id; returns whether this is one.
    #[must_use]
    pub fn take_crossed(&self) -> bool {
        count_down(&mut self.lock().crossed)
    }

    /// Counts down the reports with lost cache events; returns whether this is one.
    #[must_use]
    pub fn take_lost_events(&self) -> bool {
        count_down(&mut self.lock().lost_events)
    }

    /// Counts down the truncated answers; returns the length at which this one is truncated, if it is.
    #[must_use]
    pub fn take_cut(&self) -> Option<u32> {
        let mut state = self.lock();
        let after = state.cut_after;
        count_down(&mut state.cuts).then_some(after)
    }

    /// Waits for the configured delay, and forever if the stand-in is silent.
    pub async fn before_work(&self) {
        let state = self.get();
        if state.delay_millis > 0 {
            tokio::time::sleep(Duration::from_millis(state.delay_millis)).await;
        }
        if state.silent {
            crate::web::never().await;
        }
    }
}

fn count_down(count: &mut u32) -> bool {
    let is_positive = *count > 0;
    *count = count.saturating_sub(1);
    is_positive
}
