//! Encoding of the rate limits of endpoints in heartbeats.

use std::time::Duration;

use firdock_policy::Time;
use firdock_policy::permit::LimitReport;
use firdock_policy::rate::RequestRate;
use firdock_wire::message;

use crate::clock::millis;

/// Maximum number of limits in a heartbeat, about 4 KB; if there are more, they take turns.
const MAX_LIMITS: usize = 64;
/// Time for which the same limits are included before others take their turn: about the interval
/// between two heartbeats.
const TURN: Duration = Duration::from_millis(200);

/// Encodes limits with their ages.
#[must_use]
pub fn write_limits(reports: &[LimitReport], now: Time) -> Vec<message::EndpointLimit> {
    let turn = (now.as_millis() / TURN.as_millis()) as usize;
    let start = (turn * MAX_LIMITS) % reports.len().max(1);
    let included = reports.iter().cycle().skip(start);
    let included = included.take(reports.len().min(MAX_LIMITS));
    included
        .map(|report| message::EndpointLimit {
            endpoint: report.endpoint.clone(),
            thousandths: report.limit.map_or(0, RequestRate::thousandths),
            age_millis: millis(now.saturating_sub(report.read)),
        })
        .collect()
}

/// Decodes limits of a heartbeat that was sent at `sent`, by this process's clock.
#[must_use]
pub fn read_limits(limits: Vec<message::EndpointLimit>, sent: Time) -> Vec<LimitReport> {
    let limits = limits.into_iter().take(MAX_LIMITS);
    limits
        .map(|limit| LimitReport {
            endpoint: limit.endpoint,
            limit: (limit.thousandths > 0)
                .then(|| RequestRate::from_thousandths(limit.thousandths)),
            read: sent.saturating_sub(Duration::from_millis(limit.age_millis)),
        })
        .collect()
}
