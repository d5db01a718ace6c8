//! Rate limit that one start of an endpoint named with its answers, and this scheduler's permits to
//! send to it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::permit::{LimitReport, PERMIT_LIFETIME, PermitGrant, PermitRequest};
use crate::rate::RequestRate;
use crate::table::Revision;
use crate::time::Time;

/// Time for which the end of a limit is reported to peers, which may have missed it.
const END_REPORTED_FOR: Duration = Duration::from_secs(10);
/// Period over which sent requests are counted for the grantor of permits.
const RECENT: Duration = Duration::from_secs(1);
/// Maximum number of requests counted in that period; a limit far below it was overrun in any case.
const MAX_RECENT: usize = 256;
/// Time after which a request for permits is repeated if no response arrives.
const REPEAT_AFTER: Duration = Duration::from_millis(100);

/// Requests of one scheduler that could be sent to an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PermitDemand {
    /// Requests that are held.
    pub held: u32,
    /// Requests that arrive per second.
    pub rate: f64,
}

impl PermitDemand {
    /// Returns the number of permits that are likely to be used before they expire. Where few
    /// requests arrive, permits requested ahead would mostly be taken from others in vain.
    fn permits(self) -> u32 {
        self.held + (self.rate * PERMIT_LIFETIME.as_secs_f64()) as u32
    }
}

/// What is known of the rate limits of all endpoints together.
#[derive(Debug, Clone, Copy, Default)]
pub struct LimitSummary {
    /// Whether any endpoint may have a limit.
    pub named: bool,
    /// Revision of the beginnings and ends of limits.
    pub revision: Revision,
}

/// The latest report on a limit.
#[derive(Debug, Clone, Copy)]
struct KnownLimit {
    limit: Option<RequestRate>,
    read: Time,
}

/// Rate limit of one start of an endpoint; removed with its row.
#[derive(Debug, Clone, Default)]
pub struct EndpointLimit {
    known: Option<KnownLimit>,
    /// When each unused permit expires, in order.
    permits: VecDeque<Time>,
    /// Permits that expired and were not reported yet.
    unused: u32,
    /// When the last requests were sent there.
    sent: VecDeque<Time>,
    /// When permits may be requested again.
    ask_at: Time,
    /// Time of the latest request for permits that was answered.
    answered: Time,
}

impl EndpointLimit {
    /// Returns the limit, if the endpoint named one.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.known?.limit
    }

    /// Records what an answer says; returns whether a limit began or ended.
    pub fn record(&mut self, read: Time, limit: Option<RequestRate>) -> bool {
        let is_newer = self.known.is_none_or(|known| known.read <= read);
        // The end of a limit that is not known changes nothing.
        if !is_newer || (self.known.is_none() && limit.is_none()) {
            return false;
        }
        let changed = self.rate().is_some() != limit.is_some();
        if changed {
            self.permits.clear();
            self.unused = 0;
            self.ask_at = Time::ZERO;
        }
        self.known = Some(KnownLimit { limit, read });
        changed
    }

    /// Records what a peer reports, if it differs from what is known and is newer by at least
    /// `margin`; returns whether a limit began or ended.
    ///
    /// A report with the known limit makes it no newer: peers repeat it to each other, and each time
    /// it would look newer by the time that a heartbeat takes.
    pub fn record_report(
        &mut self,
        read: Time,
        limit: Option<RequestRate>,
        margin: Duration,
    ) -> bool {
        let differs = self.known.is_none_or(|known| known.limit != limit);
        let is_newer = self.known.is_none_or(|known| known.read + margin <= read);
        differs && is_newer && self.record(read, limit)
    }

    /// Returns the report for peers: the limit, or for a while that it ended.
    #[must_use]
    pub fn report(&self, now: Time, start: &str) -> Option<LimitReport> {
        let known = self.known?;
        let current = known.limit.is_some() || known.read + END_REPORTED_FOR > now;
        current.then(|| LimitReport {
            endpoint: start.to_owned(),
            limit: known.limit,
            read: known.read,
        })
    }

    /// Returns whether a request may be sent: there is no limit, or a permit.
    #[must_use]
    pub fn allows(&self, now: Time) -> bool {
        self.rate().is_none() || self.permits.back().is_some_and(|until| *until > now)
    }

    /// Uses a permit, if there is one; returns when it would have expired.
    pub fn take_permit(&mut self, now: Time) -> Option<Time> {
        self.expire(now);
        self.permits.pop_front()
    }

    /// Returns a permit whose request did not reach the endpoint.
    pub fn put_back(&mut self, until: Time) {
        if self.rate().is_some() {
            let at = self.permits.partition_point(|known| *known <= until);
            self.permits.insert(at, until);
        }
    }

    /// Records that a request is sent there.
    pub fn record_sent(&mut self, now: Time) {
        self.sent.retain(|at| *at + RECENT > now);
        if self.sent.len() >= MAX_RECENT {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// Returns a request for permits, if more are wanted than there are and it is time to ask.
    pub fn request(
        &mut self,
        now: Time,
        start: &str,
        demand: PermitDemand,
    ) -> Option<PermitRequest> {
        let rate = self.rate()?;
        self.expire(now);
        let most = (rate.per_second() * PERMIT_LIFETIME.as_secs_f64())
            .max(1.0)
            .ceil();
        let target = demand.permits().min(most as u32);
        let wanted = target.saturating_sub(self.permits.len() as u32);
        if wanted == 0 || self.ask_at > now {
            return None;
        }
        self.ask_at = now + REPEAT_AFTER;
        self.sent.retain(|at| *at + RECENT > now);
        Some(PermitRequest {
            endpoint: start.to_owned(),
            rate,
            wanted,
            unused: std::mem::take(&mut self.unused),
            recent: self.sent.len() as u32,
            asked: now,
        })
    }

    /// Adds granted permits. They expire by the time of the request, so that a grant that was
    /// delayed, or read late by a suspended process, gives none. Neither does one that arrives twice.
    pub fn add(&mut self, now: Time, grant: &PermitGrant) {
        if self.rate().is_none() || grant.asked > now || grant.asked <= self.answered {
            return;
        }
        self.answered = grant.asked;
        self.ask_at = now + grant.retry_after;
        let until = grant.asked + PERMIT_LIFETIME;
        if until > now {
            let permits = std::iter::repeat_n(until, grant.count as usize);
            self.permits.extend(permits);
        }
    }

    fn expire(&mut self, now: Time) {
        let expired = self.permits.partition_point(|until| *until <= now);
        self.permits.drain(..expired);
        self.unused += expired as u32;
    }
}
