//! Estimates for servers that tell how long work takes there now.

use super::{
    Estimate, OVERRUN_WEIGHT, RISK_WEIGHT, contention, expected_output, late_risk, load, overrun,
};
use crate::request::RequestRow;
use crate::table::endpoint::EndpointRow;
use crate::table::pool_latency::PoolLatency;
use crate::table::service::ServiceRow;
use crate::time::Time;

/// Weight of the time to the first token: callers are served well by any that is within the target.
const FIRST_WEIGHT: f64 = 0.2;
/// Weight of the time to the end of an answer: whatever fails meanwhile breaks it off.
const STAY_WEIGHT: f64 = 0.1;
/// What the last place on a server of usual pace is worth to the answers that are late on a slow one, in
/// seconds: answers that are in time anywhere leave it to those.
const SPARE_SECS: f64 = 0.3;
/// Bounds of a server's speed in that.
const SPEEDS: (f64, f64) = (0.25, 2.0);
/// What an answer that is late by a pause costs, in seconds: as much as one whose first token is late
/// by a part of a second, since it is worth as little to its caller.
const GAP_SECS: f64 = 1.0;
/// Parts of the gap target between which a pause turns from safe to too long: steps differ by the
/// prompts that are read beside them.
const GAP_PARTS: (f64, f64) = (0.7, 1.1);

/// Estimates a request on an engine of a pool whose engines tell their pace.
pub fn engine(
    now: Time,
    row: &RequestRow,
    service: &ServiceRow,
    e: &EndpointRow,
    pool: &PoolLatency,
    uncached: u32,
) -> Estimate {
    let work = e.waiting_tokens(now) + f64::from(uncached);
    let pace = |secs: f64| {
        e.reported_pace
            .mean_over(now, secs, pool)
            .unwrap_or(pool.slowest_pace())
    };
    let usual = e
        .reported_pace
        .baseline()
        .map_or(pool.slowest_pace(), |own| {
            own * pool.slow_phases.mean_factor()
        });
    let first_secs = pool.first_token_secs(work, pace(pool.first_token_secs(work, usual)));
    let output = expected_output(row, service);
    let token = pool.token_secs() * contention(e);
    let stream_secs = output * token * pace(first_secs + output * token * usual);
    let total_secs = first_secs + stream_secs;
    let risk = late_risk(service, first_secs);
    let over = overrun(now, row, total_secs);
    let middle = service.output_log.exp().min(output) * token * usual;
    let chance = pool
        .slow_phases
        .slow_probability_within(e.reported_pace.slow_probability(now, pool), middle);
    let late = chance * slow_pause(service, e, pool, token);
    let speed = usual.recip().clamp(SPEEDS.0, SPEEDS.1);
    let lateness_cost = RISK_WEIGHT * risk + GAP_SECS * late + OVERRUN_WEIGHT * over;
    Estimate {
        uncached,
        work,
        first_secs,
        total_secs,
        score: lateness_cost
            + FIRST_WEIGHT * first_secs
            + SPARE_SECS * speed * load(e)
            + STAY_WEIGHT * total_secs,
        lateness_cost,
    }
}

/// Gives how surely a slow moment of the engine makes a pause that is longer than the service's target.
///
/// An event comes when all of its tokens are there, so that one slow moment in an answer is enough.
fn slow_pause(service: &ServiceRow, e: &EndpointRow, pool: &PoolLatency, token: f64) -> f64 {
    let Some(gap) = service.declared.gap() else {
        return 0.0;
    };
    let own = e.reported_pace.baseline().unwrap_or(pool.slowest_pace());
    let event = f64::from(e.declared.event_tokens) * token * own;
    let part = event * pool.slow_phases.slow_factor() / gap.as_secs_f64();
    ((part - GAP_PARTS.0) / (GAP_PARTS.1 - GAP_PARTS.0)).clamp(0.0, 1.0)
}

/// Estimates a plain call to a server of a pool whose servers tell their pace.
pub fn plain(now: Time, e: &EndpointRow, pool: &PoolLatency) -> Option<f64> {
    let secs = pool.plain_secs();
    let pace = e.reported_pace.mean_over(now, secs, pool)?;
    Some(secs * pace * contention(e))
}
