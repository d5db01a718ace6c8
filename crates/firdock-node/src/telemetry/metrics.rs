//! Metrics in the Prometheus text format, most of them copied from the policy's counters.

mod labels;
mod register;

use std::fmt::Write as _;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use firdock_policy::request::RequestRow;
use firdock_policy::{FairShare, Stats, Time};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use self::labels::{
    ByCall, ByCause, ByEnd, ByFound, ByOutcome, ByPool, ByRefusal, ByShare, BySource, ByTier,
    ByTopic, ByTry, ByVerdict,
};
use super::suspects::SuspectStates;
use super::{AnswerMetrics, BodyMetrics, EndpointList, SuspectList};
use crate::endpoint::{AnswerEnd, Ending};
use crate::peer::Topic;
use crate::source::StoreCall;
use crate::streams::StreamSource;

/// Upper bound of the first bucket of decision times, in seconds.
const FIRST_DECISION_BUCKET: f64 = 1e-6;
/// Number of buckets of decision times, each with twice the upper bound of the one before.
const DECISION_BUCKETS: u16 = 20;

/// Upper bound of the first bucket of latencies, in seconds.
const FIRST_LATENCY_BUCKET: f64 = 1e-3;
/// Number of buckets of latencies, each with twice the upper bound of the one before.
const LATENCY_BUCKETS: u16 = 16;

/// Minimum predicted time used as a divisor: below it, the resolution of the clock would distort the ratio.
const MIN_PREDICTED: Duration = Duration::from_millis(1);
/// Upper bound of the first bucket of ratios of actual to predicted times, and number of buckets.
const FIRST_RATIO_BUCKET: f64 = 0.125;
const RATIO_BUCKETS: u16 = 9;

/// All metrics of an instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    arrived: Family<ByTier, Counter>,
    good: Family<ByTier, Counter>,
    answered: Family<ByTier, Counter>,
    shed: Family<ByTier, Counter>,
    held: Family<ByTier, Gauge>,
    wasted: Family<ByCause, Counter>,
    reasons: Family<ByCause, Counter>,
    outcomes: Family<ByOutcome, Counter>,
    tries: Family<ByTry, Counter>,
    refusals: Family<ByRefusal, Counter>,
    asked: Family<ByShare, Gauge<f64, AtomicU64>>,
    done: Family<ByShare, Gauge<f64, AtomicU64>>,
    share: Family<ByShare, Gauge<f64, AtomicU64>>,
    dispatches: Counter,
    broken: Family<ByCause, Counter>,
    unconnected: Family<ByCause, Counter>,
    passed_on: Counter,
    not_passed_on: Counter,
    looks: Family<ByFound, Counter>,
    unproven_ends: Family<ByVerdict, Counter>,
    answer_ends: Family<ByEnd, Counter>,
    blamed: Counter,
    suspected: Gauge,
    quarantined: Gauge,
    retries: Counter,
    stale: Counter,
    handed: Counter,
    ejections: Counter,
    restarts: Counter,
    lost_by_restart: Counter,
    unconfirmed_starts: Counter,
    entries_refused: Counter,
    partial_listings: Counter,
    bad_parts: Counter,
    streams_taken_up: Family<BySource, Counter>,
    version: Gauge,
    log_lag: Gauge,
    decision: Histogram,
    first: Family<ByTier, Histogram, fn() -> Histogram>,
    first_over_predicted: Family<ByPool, Histogram, fn() -> Histogram>,
    paces: Family<ByPool, Counter>,
    leaving_told: Family<ByPool, Counter>,
    backoffs_told: Family<ByPool, Counter>,
    limits_told: Family<ByPool, Counter>,
    refusal_limits_told: Family<ByPool, Counter>,
    held_time: Histogram,
    total: Histogram,
    store_calls: Family<ByCall, Counter>,
    topic_ages: Family<ByTopic, Gauge>,
    reads_ahead: Family<ByTopic, Counter>,
    suspensions: Counter,
    suspended: Counter<f64, AtomicU64>,
    started: Gauge<f64, AtomicU64>,
    buffered_answers: AnswerMetrics,
    bodies: BodyMetrics,
    endpoints: EndpointList,
    suspects: SuspectList,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates all metrics and registers them.
    #[must_use]
    pub fn new() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("firdock")),
            arrived: Family::default(),
            good: Family::default(),
            answered: Family::default(),
            shed: Family::default(),
            held: Family::default(),
            wasted: Family::default(),
            reasons: Family::default(),
            outcomes: Family::default(),
            tries: Family::default(),
            refusals: Family::default(),
            asked: Family::default(),
            done: Family::default(),
            share: Family::default(),
            dispatches: Counter::default(),
            broken: Family::default(),
            unconnected: Family::default(),
            passed_on: Counter::default(),
            not_passed_on: Counter::default(),
            looks: Family::default(),
            unproven_ends: Family::default(),
            answer_ends: Family::default(),
            blamed: Counter::default(),
            suspected: Gauge::default(),
            quarantined: Gauge::default(),
            retries: Counter::default(),
            stale: Counter::default(),
            handed: Counter::default(),
            ejections: Counter::default(),
            restarts: Counter::default(),
            lost_by_restart: Counter::default(),
            unconfirmed_starts: Counter::default(),
            entries_refused: Counter::default(),
            partial_listings: Counter::default(),
            bad_parts: Counter::default(),
            streams_taken_up: Family::default(),
            version: Gauge::default(),
            log_lag: Gauge::default(),
            decision: Histogram::new(exponential_buckets(
                FIRST_DECISION_BUCKET,
                2.0,
                DECISION_BUCKETS,
            )),
            first: Family::new_with_constructor(latency),
            first_over_predicted: Family::new_with_constructor(ratios),
            paces: Family::default(),
            leaving_told: Family::default(),
            backoffs_told: Family::default(),
            limits_told: Family::default(),
            refusal_limits_told: Family::default(),
            held_time: latency(),
            total: latency(),
            store_calls: Family::default(),
            topic_ages: Family::default(),
            reads_ahead: Family::default(),
            suspensions: Counter::default(),
            suspended: Counter::default(),
            started: Gauge::default(),
            buffered_answers: AnswerMetrics::default(),
            bodies: BodyMetrics::default(),
            endpoints: EndpointList::default(),
            suspects: SuspectList::default(),
        };
        metrics.register();
        metrics
    }

    /// Returns the metrics of answers that are buffered for slow callers.
    #[must_use]
    pub fn answer_metrics(&self) -> AnswerMetrics {
        self.buffered_answers.clone()
    }

    /// Returns the metrics of the memory that bodies take.
    #[must_use]
    pub fn body_metrics(&self) -> BodyMetrics {
        self.bodies.clone()
    }

    /// Returns the list of endpoint states.
    #[must_use]
    pub fn endpoints(&self) -> EndpointList {
        self.endpoints.clone()
    }

    /// Returns the list of suspects: requests during which endpoints exited.
    #[must_use]
    pub fn suspects(&self) -> SuspectList {
        self.suspects.clone()
    }

    /// Sets the numbers of suspects and of quarantined requests.
    pub fn set_suspects(&self, states: &SuspectStates) {
        let quarantined = states.values().filter(|s| s.quarantined).count();
        self.suspected.set(gauge(states.len()));
        self.quarantined.set(gauge(quarantined));
    }

    /// Removes the shares of all accounts, so that an account that is no longer reported keeps no stale values.
    pub fn clear_shares(&self) {
        self.asked.clear();
        self.done.clear();
        self.share.clear();
    }

    /// Sets the share of a pool that an account had.
    pub fn set_share(&self, account: &str, pool: &str, fair_share: &FairShare) {
        let label = ByShare {
            account: account.to_owned(),
            pool: pool.to_owned(),
        };
        self.asked.get_or_create(&label).set(fair_share.asked);
        self.done.get_or_create(&label).set(fair_share.done);
        self.share.get_or_create(&label).set(fair_share.share);
    }

    /// Records the duration of a decision.
    pub fn observe_decision(&self, took: Duration) {
        self.decision.observe(took.as_secs_f64());
    }

    /// Records the latencies of a request whose whole answer was passed on.
    pub fn observe_answer(&self, now: Time, row: &RequestRow) {
        let since = |at: Time| at.saturating_sub(row.arrived).as_secs_f64();
        let tier = ByTier {
            tier: format!("rank-{}", row.rank),
        };
        self.first
            .get_or_create(&tier)
            .observe(since(row.first.unwrap_or(now)));
        let pool = ByPool {
            pool: row.pool_key().to_owned(),
        };
        let first = row.first.unwrap_or(now).saturating_sub(row.dispatched);
        let predicted = row.predicted.max(MIN_PREDICTED);
        self.first_over_predicted
            .get_or_create(&pool)
            .observe(first.as_secs_f64() / predicted.as_secs_f64());
        self.held_time.observe(since(row.dispatched));
        self.total.observe(since(now));
    }

    /// Counts an answer of an endpoint by how it was framed and how it ended.
    pub fn count_answer_end(&self, end: AnswerEnd) {
        let labels = ByEnd {
            framing: end.framing.as_str(),
            ending: end.ending.map_or("unread", Ending::as_str),
        };
        self.answer_ends.get_or_create(&labels).inc();
    }

    /// Counts a call to the platform's store.
    pub fn count_store_call(&self, call: StoreCall) {
        let labels = ByCall {
            call: call.call,
            topic: call.topic,
            reason: call.reason,
            outcome: if call.failed { "failed" } else { "answered" },
        };
        self.store_calls.get_or_create(&labels).inc();
    }

    /// Sets the time since a topic was last read by `reader`: `own` for this instance, `any` for whoever reported
    /// the latest read.
    pub fn set_topic_age(&self, topic: Topic, reader: &'static str, age_millis: i64) {
        let topic = topic.as_str();
        self.topic_ages
            .get_or_create(&ByTopic { topic, reader })
            .set(age_millis);
    }

    /// Counts a read that lies ahead of the clock of the instance that knows it: `own`, or `peer` for one in a
    /// report.
    pub fn count_read_ahead(&self, topic: Topic, reader: &'static str) {
        let topic = topic.as_str();
        self.reads_ahead
            .get_or_create(&ByTopic { topic, reader })
            .inc();
    }

    /// Counts a request that continues a stream of an earlier attempt.
    pub fn count_continued_stream(&self, source: StreamSource) {
        let source = source.as_str();
        self.streams_taken_up
            .get_or_create(&BySource { source })
            .inc();
    }

    /// Records when the process started, as Unix time. A later time tells that another process has taken its place.
    pub fn record_start(&self, at: Duration) {
        self.started.set(at.as_secs_f64());
    }

    /// Counts a suspension of the machine.
    pub fn record_suspension(&self, length: Duration) {
        self.suspensions.inc();
        self.suspended.inc_by(length.as_secs_f64());
    }

    /// Counts an entry of an endpoint that describes no usable endpoint.
    pub fn count_refused_entry(&self) {
        self.entries_refused.inc();
    }

    /// Counts parts of a configuration that were not taken as they stand.
    pub fn count_bad_parts(&self, count: usize) {
        self.bad_parts.inc_by(count as u64);
    }

    /// Counts a listing of a topic of the store that is only a part of it.
    pub fn count_partial_listing(&self) {
        self.partial_listings.inc();
    }

    /// Sets the time since the log was last read to its end.
    pub fn set_log_lag(&self, lag: Duration) {
        self.log_lag
            .set(i64::try_from(lag.as_millis()).unwrap_or(i64::MAX));
    }

    /// Copies the policy's counters, the version in force and the numbers of held requests by tier.
    pub fn publish(&self, stats: &Stats, version: u64, held: &[(String, u32)]) {
        for (name, tier) in &stats.tiers {
            let label = ByTier { tier: name.clone() };
            store(&self.arrived.get_or_create(&label), tier.arrived);
            store(&self.good.get_or_create(&label), tier.good);
            store(&self.answered.get_or_create(&label), tier.answered);
            store(&self.shed.get_or_create(&label), tier.shed);
        }
        for (name, n) in held {
            self.held
                .get_or_create(&ByTier { tier: name.clone() })
                .set(i64::from(*n));
        }
        for (cause, n) in &stats.wasted {
            let label = ByCause {
                cause: cause.as_str().to_owned(),
            };
            store(&self.wasted.get_or_create(&label), *n);
        }
        for (reason, n) in &stats.reasons {
            let label = ByCause {
                cause: reason.as_str().to_owned(),
            };
            store(&self.reasons.get_or_create(&label), *n);
        }
        for (outcome, n) in &stats.outcomes {
            let label = ByOutcome {
                outcome: outcome.as_str().to_owned(),
            };
            store(&self.outcomes.get_or_create(&label), *n);
        }
        for (key, n) in &stats.attempts {
            let label = ByTry {
                tier: key.tier.clone(),
                attempt: if key.returned { "return" } else { "first" },
                end: key.end.as_str(),
            };
            store(&self.tries.get_or_create(&label), *n);
        }
        for (name, n) in &stats.pace_reports {
            let label = ByPool { pool: name.clone() };
            store(&self.paces.get_or_create(&label), *n);
        }
        for (name, n) in &stats.notices {
            let label = ByPool { pool: name.clone() };
            store(&self.leaving_told.get_or_create(&label), n.leaving);
            store(&self.backoffs_told.get_or_create(&label), n.backoffs);
            store(&self.limits_told.get_or_create(&label), n.limits);
            store(
                &self.refusal_limits_told.get_or_create(&label),
                n.refusal_limits,
            );
        }
        for (key, n) in &stats.refusals {
            let label = ByRefusal {
                account: key.account.clone(),
                rank: key.rank,
                share: if key.over { "over" } else { "within" },
            };
            store(&self.refusals.get_or_create(&label), *n);
        }
        for (cause, n) in &stats.connect_failures {
            let label = ByCause {
                cause: cause.as_str().to_owned(),
            };
            store(&self.unconnected.get_or_create(&label), *n);
        }
        for (cause, n) in &stats.broken {
            let label = ByCause {
                cause: cause.as_str().to_owned(),
            };
            store(&self.broken.get_or_create(&label), *n);
        }
        for (found, n) in &stats.liveness_checks {
            let label = ByFound {
                found: found.as_str(),
            };
            store(&self.looks.get_or_create(&label), *n);
        }
        for (verdict, n) in &stats.unproven_ends {
            let label = ByVerdict {
                evidence: verdict.evidence.as_str(),
                accepted: verdict.accepted.to_string(),
            };
            store(&self.unproven_ends.get_or_create(&label), *n);
        }
        store(&self.blamed, stats.blamed);
        store(&self.passed_on, stats.passed_on);
        store(&self.not_passed_on, stats.not_passed_on);
        store(&self.dispatches, stats.dispatches);
        store(&self.retries, stats.retries);
        store(&self.stale, stats.stale_news);
        store(&self.handed, stats.handed_over);
        store(&self.ejections, stats.ejections);
        store(&self.restarts, stats.restarts);
        store(&self.lost_by_restart, stats.lost_by_restart);
        store(&self.unconfirmed_starts, stats.unconfirmed_starts);
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Renders all metrics as text.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        let Ok(registry) = self.registry.lock() else {
            return text;
        };
        if encode(&mut text, &registry).is_err() {
            let _ = writeln!(text, "# the metrics could not be written");
        }
        text
    }
}

/// Creates a histogram of times from 1 ms to about 33 s.
fn latency() -> Histogram {
    Histogram::new(exponential_buckets(
        FIRST_LATENCY_BUCKET,
        2.0,
        LATENCY_BUCKETS,
    ))
}

/// Creates a histogram of ratios of actual to predicted times, from 1/8 to 32.
fn ratios() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_RATIO_BUCKET, 2.0, RATIO_BUCKETS))
}

/// Converts a count to the value of a gauge.
fn gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn store(counter: &Counter, value: u64) {
    counter.inner().store(value, Ordering::Relaxed);
}
