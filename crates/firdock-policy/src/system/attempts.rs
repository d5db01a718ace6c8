//! Counts the outcomes of first attempts and of retries by callers.
//!
//! A caller measures success from its first attempt on: a refusal followed by a success that is too
//! late is worth nothing to it. These counts serve to evaluate retry times
//! (`docs/design/overload.md`).

use std::time::Duration;

use firdock_core::Outcome;

use crate::request::{NewRequest, Origin, RequestRow};
use crate::stats::{AttemptKey, AttemptOutcome};
use crate::table::Tables;
use crate::table::service::ServiceRow;
use crate::time::Time;

/// Minimum difference in remaining time that identifies a retry: a refusal and a new connection
/// take some milliseconds each way. Waiting for the scheduler makes a smaller difference.
const SAME_ATTEMPT_TOLERANCE: Duration = Duration::from_millis(10);

/// Records how long before its arrival a request was first attempted.
#[must_use]
pub fn with_first_attempt(service: &mut ServiceRow, now: Time, row: RequestRow) -> RequestRow {
    let since_first_attempt = since_first_attempt(service, now, &row.new);
    RequestRow {
        since_first_attempt,
        ..row
    }
}

fn since_first_attempt(service: &mut ServiceRow, now: Time, new: &NewRequest) -> Duration {
    if new.origin != Origin::Caller {
        return Duration::ZERO;
    }
    service.since_first_attempt(new.deadline.map(|by| by.saturating_sub(now)))
}

/// Counts an attempt that ended.
pub fn count(t: &mut Tables, now: Time, row: &RequestRow, outcome: Outcome) {
    if row.new.origin != Origin::Caller {
        return;
    }
    let tier = &t.services.get(row.service).tier;
    let begun = row.first.unwrap_or(now).saturating_sub(row.arrived);
    let in_time = row.since_first_attempt + begun <= tier.target();
    let end = match outcome {
        Outcome::Answered if in_time => AttemptOutcome::InTime,
        Outcome::Answered => AttemptOutcome::Late,
        Outcome::NotRun => AttemptOutcome::NotRun,
        Outcome::Unknown => AttemptOutcome::Unknown,
    };
    add(t, row.service, row.since_first_attempt, end);
}

/// Counts an attempt that is refused before it enters the tables.
pub fn count_rejected(t: &mut Tables, now: Time, service: usize, new: &NewRequest) {
    let since_first_attempt = since_first_attempt(t.services.get_mut(service), now, new);
    add(t, service, since_first_attempt, AttemptOutcome::NotRun);
}

fn add(t: &mut Tables, service: usize, since_first_attempt: Duration, end: AttemptOutcome) {
    let tier = t.services.get(service).tier.name.clone();
    let returned = since_first_attempt > SAME_ATTEMPT_TOLERANCE;
    let key = AttemptKey {
        tier,
        returned,
        end,
    };
    *t.stats.attempts.entry(key).or_default() += 1;
}
