//! Estimates for servers that report how long work currently takes.

use super::{
    Estimate, OVERRUN_WEIGHT, RISK_WEIGHT, contention, expected_output, lateness_risk, load,
    overrun,
};
use crate::request::RequestRow;
use crate::table::endpoint::EndpointRow;
use crate::table::pool_latency::PoolLatency;
use crate::table::service::ServiceRow;
use crate::time::Time;

/// Weight of the time to the first token; it is low, as callers are served well by any time within
/// the target.
const FIRST_TOKEN_WEIGHT: f64 = 0.2;
/// Weight of the total time of an answer: any failure in that time breaks it off.
const TOTAL_WEIGHT: f64 = 0.1;
/// Value, in seconds, of the last free slot on a server of usual pace to answers that would be late
/// on a slow one; answers that are in time anywhere leave the slot to those.
const FREE_SLOT_SECS: f64 = 0.3;
/// Bounds of a server's speed in that term.
const SPEED_BOUNDS: (f64, f64) = (0.25, 2.0);
/// Cost of an answer with too long a pause, in seconds: the same as of one whose first token is
/// late by a part of a second, as both are worth equally little to the caller.
const LONG_GAP_SECS: f64 = 1.0;
/// Range of the gap target, as fractions, over which a pause goes from acceptable to too long:
/// decoding steps vary with the prompts that are prefilled in the same batch.
const GAP_FRACTIONS: (f64, f64) = (0.7, 1.1);

/// Estimates a request on an engine of a pool whose engines report their pace.
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
    let usual_pace = e
        .reported_pace
        .baseline()
        .map_or(pool.slowest_pace(), |baseline| {
            baseline * pool.slow_phases.mean_factor()
        });
    let first_secs = pool.first_token_secs(work, pace(pool.first_token_secs(work, usual_pace)));
    let output = expected_output(row, service);
    let token = pool.token_secs() * contention(e);
    let stream_secs = output * token * pace(first_secs + output * token * usual_pace);
    let total_secs = first_secs + stream_secs;
    let risk = lateness_risk(service, first_secs);
    let overrun_secs = overrun(now, row, total_secs);
    let median_secs = service.output_log.exp().min(output) * token * usual_pace;
    let slow_phase_probability = pool
        .slow_phases
        .slow_probability_within(e.reported_pace.slow_probability(now, pool), median_secs);
    let gap_probability = slow_phase_probability * long_gap_probability(service, e, pool, token);
    let speed = usual_pace.recip().clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1);
    let lateness_cost =
        RISK_WEIGHT * risk + LONG_GAP_SECS * gap_probability + OVERRUN_WEIGHT * overrun_secs;
    Estimate {
        uncached,
        work,
        first_secs,
        total_secs,
        score: lateness_cost
            + FIRST_TOKEN_WEIGHT * first_secs
            + FREE_SLOT_SECS * speed * load(e)
            + TOTAL_WEIGHT * total_secs,
        lateness_cost,
    }
}

/// Returns how likely a slow phase of the engine causes a pause longer than the service's target.
///
/// An event is sent when all of its tokens are computed, so one slow phase in an answer is enough.
fn long_gap_probability(
    service: &ServiceRow,
    e: &EndpointRow,
    pool: &PoolLatency,
    token: f64,
) -> f64 {
    let Some(gap) = service.declared.gap() else {
        return 0.0;
    };
    let baseline = e.reported_pace.baseline().unwrap_or(pool.slowest_pace());
    let event = f64::from(e.declared.event_tokens) * token * baseline;
    let ratio = event * pool.slow_phases.slow_factor() / gap.as_secs_f64();
    ((ratio - GAP_FRACTIONS.0) / (GAP_FRACTIONS.1 - GAP_FRACTIONS.0)).clamp(0.0, 1.0)
}

/// Estimates a plain call to a server of a pool whose servers report their pace.
pub fn plain(now: Time, e: &EndpointRow, pool: &PoolLatency) -> Option<f64> {
    let secs = pool.plain_secs();
    let pace = e.reported_pace.mean_over(now, secs, pool)?;
    Some(secs * pace * contention(e))
}
