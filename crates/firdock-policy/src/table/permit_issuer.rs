//! Permits that this instance grants for endpoints that name a rate limit: one token bucket per
//! start of an endpoint.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::{StartId, rendezvous};

use crate::permit::{PERMIT_LIFETIME, PermitGrant, PermitHolder, PermitRequest};
use crate::rate::RequestRate;
use crate::time::Time;

/// Permits that may accumulate while nobody asks: enough for holders that ask a little late, and
/// few beside what a limit allows in a few seconds.
const BURST: f64 = 2.0;
/// Time over which a bucket also accumulates permits, for endpoints with a high limit.
const BURST_SECS: f64 = 0.1;
/// Time before the first request that counts as subject to the limit already: an endpoint names a
/// limit when it has more work than it can do.
const COUNTED_BEFORE: Duration = Duration::from_secs(1);
/// Requests sent in that time that do not count: they would stop the requests to an endpoint with a
/// low limit for seconds.
const NOT_COUNTED: f64 = 3.0;
/// Maximum time for which a new limit grants nothing because of requests sent before.
const MAX_DEBT_SECS: f64 = 3.0;
/// Minimum time between two requests that reach this instance for one endpoint.
const REQUEST_SPACING: Duration = Duration::from_millis(10);
/// Maximum time after which a holder is told to ask again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Time after which a holder that does not ask no longer counts.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after which a bucket that is not used is removed.
const BUCKET_TIMEOUT: Duration = Duration::from_secs(10);

/// Token buckets of the endpoints for which this instance grants permits.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    buckets: BTreeMap<StartId, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    rate: RequestRate,
    level: f64,
    created: Time,
    refilled: Time,
    holders: BTreeMap<PermitHolder, Time>,
}

impl PermitIssuer {
    /// Grants permits; `share` is the fraction of the limit that this instance may grant.
    pub fn grant(
        &mut self,
        now: Time,
        share: f64,
        holder: &PermitHolder,
        request: &PermitRequest,
    ) -> PermitGrant {
        let bucket = self
            .buckets
            .entry(request.endpoint.clone())
            .or_insert_with(|| Bucket::new(now, request.rate));
        bucket.refill(now, share);
        bucket.set_rate(request.rate);
        bucket.register(now, holder, request.recent);
        bucket.level = (bucket.level + f64::from(request.unused)).min(bucket.max_level());
        let count = bucket.level.max(0.0).min(f64::from(request.wanted)) as u32;
        bucket.level -= f64::from(count);
        PermitGrant {
            endpoint: request.endpoint.clone(),
            count,
            retry_after: bucket.retry_after(share, holder, request, count),
            asked: request.asked,
        }
    }

    /// Removes unused buckets.
    pub fn sweep(&mut self, now: Time) {
        self.buckets
            .retain(|_, bucket| bucket.refilled + BUCKET_TIMEOUT > now);
    }
}

impl Bucket {
    /// Creates a bucket that is full for the time counted before; requests that were sent in it are
    /// deducted as holders report them.
    fn new(now: Time, rate: RequestRate) -> Self {
        Self {
            rate,
            level: rate.per_second() * COUNTED_BEFORE.as_secs_f64() + NOT_COUNTED,
            created: now,
            refilled: now,
            holders: BTreeMap::new(),
        }
    }

    fn set_rate(&mut self, rate: RequestRate) {
        self.rate = rate;
        self.level = self.level.max(-rate.per_second() * MAX_DEBT_SECS);
    }

    fn max_level(&self) -> f64 {
        BURST + self.rate.per_second() * BURST_SECS
    }

    fn refill(&mut self, now: Time, share: f64) {
        let secs = now.saturating_sub(self.refilled).as_secs_f64();
        self.level += self.rate.per_second() * share * secs;
        self.refilled = now;
    }

    /// Registers a holder. What it sent before the bucket existed is deducted once.
    fn register(&mut self, now: Time, holder: &PermitHolder, recent: u32) {
        self.holders.retain(|_, seen| *seen + HOLDER_TIMEOUT > now);
        let is_new = self.holders.insert(holder.clone(), now).is_none();
        if is_new && now <= self.created + COUNTED_BEFORE {
            let lowest = -self.rate.per_second() * MAX_DEBT_SECS;
            self.level = (self.level - f64::from(recent)).max(lowest);
        }
    }

    /// Returns when a holder should ask again: at once if it got all that it wanted, otherwise when
    /// there will be a permit. Holders are spread over the time until the one after, so that none
    /// is always the first to ask.
    fn retry_after(
        &self,
        share: f64,
        holder: &PermitHolder,
        request: &PermitRequest,
        count: u32,
    ) -> Duration {
        let holders = self.holders.len().max(1);
        let spacing = REQUEST_SPACING * u32::try_from(holders).unwrap_or(u32::MAX);
        if count >= request.wanted {
            return spacing.min(PERMIT_LIFETIME);
        }
        let period = 1.0 / (self.rate.per_second() * share).max(f64::MIN_POSITIVE);
        let next = (1.0 - self.level).max(0.0) * period;
        let others = (holders - 1) as f64 / holders as f64;
        let key = format!("{}{}", holder.instance, request.asked.as_millis());
        let phase = rendezvous::hash_key(key.as_bytes()) as f64 / u64::MAX as f64;
        // Bounded apart, so that the spread remains where the next permit is far away.
        let most = MAX_RETRY_AFTER.as_secs_f64() / 2.0;
        let wait = next.min(most) + period.min(most) * others * phase;
        Duration::from_secs_f64(wait).max(spacing.min(MAX_RETRY_AFTER))
    }
}
