//! Faults that a stand-in can be told to have, by `POST /fault`.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What is wrong with a stand-in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is independent of the others"
)]
pub struct FaultState {
    /// Pause before each call is worked on, in milliseconds.
    pub delay_millis: u64,
    /// Calls to come whose reply is lost after they took effect.
    pub lose_replies: u32,
    /// Whether calls get no answer and have no effect.
    pub silent: bool,
    /// Whether calls are refused with 503.
    pub outage: bool,
    /// Whether new work is refused before anything is done for it.
    pub refuse: bool,
    /// Seconds for which the stand-in wants nothing, told with what it refuses; 0 for none.
    pub retry_after: u32,
    /// How many times slower the stand-in works.
    pub slowdown: f64,
    /// Tokens or bytes after which the next answers are cut off; 0 for never.
    pub cut_after: u32,
    /// Answers to come that are cut off.
    pub cuts: u32,
    /// Whether answers have neither a length nor chunks, so that one that is cut off ends like a whole one.
    pub unframed: bool,
    /// Answers to come that carry another request's id.
    pub crossed: u32,
    /// Whether the stand-in says that it is leaving.
    pub leaving: bool,
    /// Whether a broken stream cannot be taken up again.
    pub forgetful: bool,
    /// Age of the load and cache events that a report shows, in milliseconds.
    pub report_lag_millis: u64,
    /// Reports to come whose cache events are lost.
    pub lost_events: u32,
    /// Whether the stand-in is dead: what it was answering breaks off.
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

/// Faults of one stand-in, shared with whoever sets them.
#[derive(Debug, Clone, Default)]
pub struct Faults(Arc<Mutex<FaultState>>);

impl Faults {
    /// Makes a stand-in that works well.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, FaultState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives the present faults.
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

    /// Takes one lost reply off the count; tells whether there was one.
    #[must_use]
    pub fn take_lost_reply(&self) -> bool {
        take(&mut self.lock().lose_replies)
    }

    /// Takes one crossed answer off the count; tells whether there was one.
    #[must_use]
    pub fn take_crossed(&self) -> bool {
        take(&mut self.lock().crossed)
    }

    /// Takes one report with lost events off the count; tells whether there was one.
    #[must_use]
    pub fn take_lost_events(&self) -> bool {
        take(&mut self.lock().lost_events)
    }

    /// Takes one cut answer off the count; gives after how much it is cut.
    #[must_use]
    pub fn take_cut(&self) -> Option<u32> {
        let mut state = self.lock();
        let after = state.cut_after;
        take(&mut state.cuts).then_some(after)
    }

    /// Waits for the delay, and for ever where the stand-in is silent.
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

fn take(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}
