//! Times in which the instance did not run.
//!
//! A process that was frozen, or whose machine was suspended, heard nobody meanwhile. The silence of others counts
//! from its return (`docs/design/time.md`).

use std::time::Duration;

use crate::time::Time;

/// Notices by regular checks when the instance did not run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Absence {
    checked: Time,
    returned: Time,
}

impl Absence {
    /// Records a check. The instance did not run if the last one is longer ago than `limit`.
    pub fn check(&mut self, now: Time, limit: Duration) {
        let before = std::mem::replace(&mut self.checked, now);
        if before > Time::ZERO && before + limit < now {
            self.returned = now;
        }
    }

    /// Returns since when the instance has run, or zero if it always has.
    #[must_use]
    pub fn runs_since(&self) -> Time {
        self.returned
    }
}
