//! Endpoints that fail if they refuse too many requests in a second for want of room.
//!
//! All instances together have no more requests at such an endpoint than it has slots, and one that
//! is refused sends nothing there for a while, by the refusals that the endpoint bears.

use std::time::Duration;

use firdock_core::PoolId;

use crate::event::FragilePoolReport;
use crate::notice::NoticeReport;
use crate::table::Tables;
use crate::table::fragile::FragilePool;
use crate::time::Time;

/// Refusals of one instance are as rare as if all instances were refused alike, and half as frequent
/// as the endpoint bears.
const PAUSE_FACTOR: f64 = 2.0;
/// Bounds of the time after a refusal.
const PAUSE_RANGE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));

/// Records that an endpoint said that it is fragile; its whole pool counts as such.
pub fn record_notice(t: &mut Tables, at: usize, report: &NoticeReport) {
    if let Some(limit) = report.notice.refusal_limit {
        let pool = t.endpoints.get(at).declared.pool.clone();
        t.fragile.record(&pool, limit, report.read, true);
    }
}

/// Merges what others know.
pub fn merge_reports(t: &mut Tables, reports: &[FragilePoolReport]) {
    for report in reports {
        t.fragile
            .record(&report.pool, report.limit, report.read, false);
    }
}

/// Returns all pools that are fragile now, for this instance's coordinator.
#[must_use]
pub fn reports(t: &Tables, now: Time) -> Vec<FragilePoolReport> {
    let current = t.fragile.iter(now);
    current
        .map(|(pool, fragile)| report(pool, *fragile, fragile.read))
        .collect()
}

/// Returns the pools of which answers to this instance said so, for its peers. What peers told is not
/// repeated: it would look newer each time.
#[must_use]
pub fn own_reports(t: &Tables, now: Time) -> Vec<FragilePoolReport> {
    let current = t.fragile.iter(now);
    current
        .filter_map(|(pool, fragile)| Some(report(pool, *fragile, fragile.own_read?)))
        .collect()
}

fn report(pool: &PoolId, fragile: FragilePool, read: Time) -> FragilePoolReport {
    FragilePoolReport {
        pool: pool.clone(),
        limit: fragile.limit,
        read,
    }
}

/// Records that an endpoint refused a request: nothing is sent there for a while if it is fragile.
pub fn record_refusal(t: &mut Tables, now: Time, at: usize) {
    let Some(fragile) = t.fragile.get(&t.endpoints.get(at).declared.pool, now) else {
        return;
    };
    let senders = if t.settings.coordinates {
        1
    } else {
        1 + t.peers.iter().filter(|(_, p)| t.is_live(p, now)).count()
    };
    let secs = PAUSE_FACTOR * senders as f64 / f64::from(fragile.limit.max(1));
    let pause = Duration::from_secs_f64(secs).clamp(PAUSE_RANGE.0, PAUSE_RANGE.1);
    t.endpoints.get_mut(at).full_until = Some(now + pause);
}
