//! Reports of load and cache events, with delay and gaps as set by the faults.

use std::time::Duration;

use firdock_node::endpoint::EndpointReport;
use hyper::body::Incoming;
use hyper::{Request, Response};

use super::{MAX_SAMPLES, Shared, State};
use crate::web::{self, Reply};

/// Answers with the newest load sample of at least the injected age, and the cache changes after the
/// sequence number in the query.
pub(super) fn report(request: &Request<Incoming>, shared: &Shared) -> Response<Reply> {
    let after = web::query(request, "after").unwrap_or(0);
    let faults = shared.faults.get();
    let mut state = shared.lock();
    let lag = Duration::from_millis(faults.report_lag_millis);
    let now = shared.started.elapsed();
    let sample = state.record_sample(now, lag);
    let (changes, gap) = state.model.changes_after(after);
    let lost = shared.faults.take_lost_events();
    let blocks = |added: bool| {
        let until_sample = changes.iter().take(sample.changes_after(after));
        until_sample
            .filter(|c| c.added == added && !lost)
            .map(|c| c.block)
            .collect::<Vec<_>>()
    };
    web::json(&EndpointReport {
        age_millis: u64::try_from(now.saturating_sub(sample.at).as_millis()).unwrap_or(0),
        running: sample.running,
        waiting: sample.waiting,
        backlog: sample.backlog,
        leaving: faults.leaving || state.refuse_work,
        sequence: sample.sequence.max(after),
        gap: gap || lost,
        added: blocks(true),
        removed: blocks(false),
    })
}

/// Sample of the load, reported later.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LoadSample {
    at: Duration,
    running: u32,
    waiting: u32,
    backlog: u32,
    sequence: u64,
}

impl LoadSample {
    /// Counts the cache changes between a sequence number and this sample.
    fn changes_after(&self, after: u64) -> usize {
        self.sequence.saturating_sub(after) as usize
    }
}

impl State {
    /// Records a sample of the current load; returns the newest sample that is at least `lag` old.
    fn record_sample(&mut self, now: Duration, lag: Duration) -> LoadSample {
        self.samples.push_back(LoadSample {
            at: now,
            running: self.model.running(),
            waiting: self.model.waiting(),
            backlog: self.model.backlog(),
            sequence: self.model.sequence(),
        });
        let old = |r: &LoadSample| r.at + lag <= now;
        let newest = self.samples.iter().rev().find(|r| old(r)).copied();
        while self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
        newest.or(self.samples.front().copied()).unwrap_or_default()
    }
}
