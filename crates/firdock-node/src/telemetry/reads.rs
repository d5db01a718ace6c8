//! Log lines and metrics on how recent the known content of the store is, and on whose word.

use std::sync::Arc;

use firdock_policy::Time;
use slog::{Logger, info, warn};

use super::{LogKind, LogLimiter, Metrics};
use crate::clock::{age_millis, millis};
use crate::peer::{ReadState, Topic, TopicStatus};

/// Writes when each topic was last read.
#[derive(Debug)]
pub struct ReadLog {
    metrics: Arc<Metrics>,
    limiter: Arc<LogLimiter>,
    log: Logger,
}

impl ReadLog {
    /// Creates the log.
    #[must_use]
    pub fn new(metrics: Arc<Metrics>, limiter: Arc<LogLimiter>, log: Logger) -> Self {
        Self {
            metrics,
            limiter,
            log,
        }
    }

    /// Sets the ages in the metrics, and counts those below zero.
    pub fn publish(&self, now: Time, topics: &[TopicStatus]) {
        for status in topics.iter().filter(|s| s.confirmed > Time::ZERO) {
            let age = age_millis(now, status.confirmed);
            self.metrics.set_topic_age(status.topic, "any", age);
            if status.own_read > Time::ZERO {
                let own_age = age_millis(now, status.own_read);
                self.metrics.set_topic_age(status.topic, "own", own_age);
            }
            if age < 0 {
                self.metrics.count_read_ahead(status.topic, "own");
            }
        }
    }

    /// Logs when each topic was last read by this instance and, to its knowledge, by any.
    pub fn write(&self, now: Time, topics: &[TopicStatus]) {
        for status in topics {
            let age = |at: Time| (at > Time::ZERO).then(|| age_millis(now, at));
            info!(self.log, "topic confirmed"; "topic" => status.topic.as_str(),
                "age_millis" => age(status.confirmed), "by" => status.confirmed_by.as_deref(),
                "own_age_millis" => age(status.own_read));
        }
    }

    /// Logs and counts a peer's report of a read that, by the peer's own clock, lies ahead of the report.
    pub fn check_report(&self, now: Time, peer: &str, reported: ReadState, sent_at: Time) {
        for topic in Topic::ALL {
            let ahead = reported.confirmed_at(topic).saturating_sub(sent_at);
            if ahead == Time::ZERO {
                continue;
            }
            self.metrics.count_read_ahead(topic, "peer");
            if self.limiter.allow(&self.log, now, LogKind::ReadAhead) {
                warn!(self.log, "peer reported a read ahead of its clock"; "peer" => peer,
                    "topic" => topic.as_str(), "ahead_millis" => millis(ahead));
            }
        }
    }
}
