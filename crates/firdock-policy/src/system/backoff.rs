//! Requests whose endpoints all ask callers to back off.
//!
//! A request that can wait for the first back-off to end within its caller's time is held and sent
//! nowhere meanwhile. All others are refused at once, so that their callers can use the time
//! elsewhere.

use std::time::Duration;

use firdock_core::rendezvous;
use firdock_core::{Reason, RequestId};

use super::{coordinate, expire, lifecycle, place, rollout};
use crate::action::Action;
use crate::request::{Phase, RequestRow};
use crate::table::Tables;
use crate::table::endpoint::{EndpointRow, UnavailableReason};
use crate::time::Time;

/// Period after the end of a back-off over which retries are spread: about the length of a burst of
/// callers, so that retries do not all arrive together with the requests held here.
const RETRY_SPREAD: Duration = Duration::from_secs(1);

/// Refuses held requests that cannot wait for the first endpoint to accept requests again.
pub fn run(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    if t.backoffs_until <= now || t.requests.held() == 0 {
        return;
    }
    let over = |r: &&RequestRow| {
        r.phase == Phase::Held && !coordinate::awaits_placement(t, r) && cannot_wait(t, now, r)
    };
    let ids: Vec<RequestId> = t.requests.iter().filter(over).map(|r| r.new.id).collect();
    for id in ids {
        lifecycle::give_up(t, now, id, Reason::BackingOff, out);
    }
}

fn cannot_wait(t: &Tables, now: Time, row: &RequestRow) -> bool {
    earliest_attempt(t, now, row).is_some_and(|end| end >= expire::latest_send(t, row))
}

/// Returns the earliest time at which a request may be sent, if all endpoints that it has not tried
/// are backing off.
pub fn earliest_attempt(t: &Tables, now: Time, row: &RequestRow) -> Option<Time> {
    let untried = |e: &EndpointRow| !row.tried.contains(&e.start_id);
    earliest_end(t, now, row, untried)
}

/// Returns when the first of the endpoints that are `wanted` accepts requests again, if all of them
/// that are eligible for this one are backing off.
///
/// Returns `None` if any of them accepts requests now or is unavailable only because of its health,
/// because it may take the request sooner.
fn earliest_end(
    t: &Tables,
    now: Time,
    row: &RequestRow,
    wanted: impl Fn(&EndpointRow) -> bool,
) -> Option<Time> {
    if t.backoffs_until <= now {
        return None;
    }
    let mut first: Option<Time> = None;
    for at in &t.services.get(row.service).endpoints {
        let e = t.endpoints.get(*at);
        if !(place::in_pool(row, e) && wanted(e) && rollout::admits(t, now, row, *at)) {
            continue;
        }
        match e.check_available(&row.new.member, now) {
            Err(UnavailableReason::BackingOff(until)) => {
                first = Some(first.map_or(until, |known| known.min(until)));
            }
            Err(UnavailableReason::Absent | UnavailableReason::Leaving) => {}
            Ok(())
            | Err(
                UnavailableReason::RateLimited
                | UnavailableReason::Full
                | UnavailableReason::Ejected
                | UnavailableReason::Probing,
            ) => return None,
        }
    }
    first
}

/// Returns the retry time for the caller of a request whose endpoints are all backing off: after
/// the first back-off ends, with a spread. Endpoints that this attempt has tried count too, because
/// the next attempt is a new one.
pub fn retry_after(t: &Tables, now: Time, row: &RequestRow) -> Option<Duration> {
    let end = earliest_end(t, now, row, |_| true)?;
    let part = rendezvous::hash_key(row.new.id.as_bytes()) as f64 / u64::MAX as f64;
    Some(end.saturating_sub(now) + RETRY_SPREAD.mul_f64(part))
}
