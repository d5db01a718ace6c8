//! Pace reported by servers: how it enters the tables, and what answers teach when compared with
//! it.

use std::time::Duration;

use crate::cost;
use crate::load::PaceReport;
use crate::table::Tables;
use crate::table::endpoint::EndpointRow;
use crate::table::pool_latency::PoolLatency;
use crate::time::Time;

/// Maximum age of a figure at dispatch for it to apply to the answer; includes the time to reach
/// the coordinator.
const MAX_FIGURE_AGE: Duration = Duration::from_millis(1_500);

/// Records the pace that a server reported. Unknown endpoints are ignored.
pub fn record(t: &mut Tables, report: &PaceReport) {
    let Some(at) = t.endpoints.find(&report.endpoint) else {
        return;
    };
    let e = t.endpoints.get_mut(at);
    if e.reported_pace
        .latest()
        .is_some_and(|(_, at)| at >= report.read)
    {
        return;
    }
    let previous = e.reported_pace.update(report.pace, report.read);
    let own = e.reported_pace.baseline().unwrap_or(1.0);
    *t.stats
        .pace_reports
        .entry(e.declared.pool.clone())
        .or_default() += 1;
    let pool = t.pool_latencies.get_or_insert(&e.declared.pool);
    pool.learn_pace(report.pace, report.read, own, previous);
}

/// Returns what is known about the pool of an endpoint whose reported figures proved accurate.
pub fn trusted_pool_of<'a>(t: &'a Tables, e: &EndpointRow) -> Option<&'a PoolLatency> {
    t.pool_latencies
        .get(&e.declared.pool)
        .filter(|_| e.reported_pace.is_trusted())
}

/// Learns from the time to the first token or byte, together with the pace reported for it.
pub fn learn_first(t: &mut Tables, now: Time, at: usize, work: f64, took: Duration) {
    let e = t.endpoints.get_mut(at);
    let Some((pace, read)) = e.reported_pace.latest() else {
        return;
    };
    let Some(pool) = t.pool_latencies.get_mut(&e.declared.pool) else {
        return;
    };
    if read + MAX_FIGURE_AGE + took < now {
        return;
    }
    if !e.is_engine() {
        let secs = took.as_secs_f64() / cost::contention_from_others(e);
        pool.learn_plain(secs, pace);
        return;
    }
    if pool.can_judge() {
        e.reported_pace
            .learn_error(pool.first_token_secs(work, pace), took.as_secs_f64());
    }
    if e.reported_pace.is_trusted() {
        pool.learn_first(work, pace, took);
    }
}

/// Learns from the time of the tokens after the first, given the server's pace during that time.
pub fn learn_tokens(t: &mut Tables, now: Time, at: usize, tokens: u32, took: Duration) {
    let e = t.endpoints.get(at);
    let Some(pool) = t.pool_latencies.get_mut(&e.declared.pool) else {
        return;
    };
    let secs = took.as_secs_f64();
    let Some(pace) = e
        .reported_pace
        .mean_over(now, secs, pool)
        .filter(|_| e.reported_pace.is_trusted())
    else {
        return;
    };
    if tokens > 0 {
        pool.learn_token(
            secs / f64::from(tokens) / cost::contention_from_others(e),
            pace,
        );
    }
}
