//! Requests for which every endpoint wants no request for a while.
//!
//! What may wait for the first end within its caller's time waits, and is sent nowhere meanwhile; the
//! rest is refused at once, so that its callers can use their time elsewhere.

use std::time::Duration;

use firdock_core::rendezvous;
use firdock_core::{Reason, RequestId};

use super::{coordinate, expire, lifecycle, place, rollout};
use crate::action::Action;
use crate::request::{Phase, RequestRow};
use crate::table::Tables;
use crate::table::endpoint::{EndpointRow, UnavailableReason};
use crate::time::Time;

/// Time after the first end over which callers are told to come back: about what a burst of callers
/// took to come, so that they do not all come with those that waited here.
const RETRY_SPREAD: Duration = Duration::from_secs(1);

/// Refuses held requests that cannot wait for the first endpoint that takes requests again.
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

/// Gives until when a request waits at least, if all endpoints that could take it want none now.
pub fn earliest_attempt(t: &Tables, now: Time, row: &RequestRow) -> Option<Time> {
    let untried = |e: &EndpointRow| !row.tried.contains(&e.start_id);
    earliest_end(t, now, row, untried)
}

/// Gives when the first endpoint takes requests again, if all that could take this one want none now,
/// of those that are `wanted`.
///
/// One that takes requests, or is out for its health alone, may have it sooner.
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
        if !(place::in_pool(row, e) && wanted(e) && rollout::admits(t, row, *at)) {
            continue;
        }
        match e.check_available(&row.new.member, now) {
            Err(UnavailableReason::BackingOff(until)) => {
                first = Some(first.map_or(until, |known| known.min(until)));
            }
            Err(UnavailableReason::Absent | UnavailableReason::Leaving) => {}
            Ok(()) | Err(UnavailableReason::Ejected | UnavailableReason::Probing) => return None,
        }
    }
    first
}

/// Gives when the caller of a request should come back, if its endpoints want none now: after the first
/// end, and each a little apart. Those that had this try of it count too, for the next one is another.
pub fn retry_after(t: &Tables, now: Time, row: &RequestRow) -> Option<Duration> {
    let end = earliest_end(t, now, row, |_| true)?;
    let part = rendezvous::hash_key(row.new.id.as_bytes()) as f64 / u64::MAX as f64;
    Some(end.saturating_sub(now) + RETRY_SPREAD.mul_f64(part))
}
