//! Reports of load and cache events, late and with gaps as the faults say.

use std::time::Duration;

use firdock_node::endpoint::EndpointReport;
use hyper::body::Incoming;
use hyper::{Request, Response};

use super::{MAX_READINGS, Shared, State};
use crate::web::{self, Reply};

/// Answers with the newest report that is as old as the lag says, and what followed the number asked
/// after.
pub(super) fn report(request: &Request<Incoming>, shared: &Shared) -> Response<Reply> {
    let after = web::query(request, "after").unwrap_or(0);
    let faults = shared.faults.get();
    let mut state = shared.lock();
    let lag = Duration::from_millis(faults.report_lag_millis);
    let now = shared.started.elapsed();
    let taken = state.note_reading(now, lag);
    let (changes, gap) = state.model.changes_after(after);
    let lost = shared.faults.take_lost_events();
    let blocks = |added: bool| {
        let known = changes.iter().take(taken.changes_after(after));
        known
            .filter(|c| c.added == added && !lost)
            .map(|c| c.block)
            .collect::<Vec<_>>()
    };
    web::json(&EndpointReport {
        age_millis: u64::try_from(now.saturating_sub(taken.at).as_millis()).unwrap_or(0),
        running: taken.running,
        waiting: taken.waiting,
        backlog: taken.backlog,
        leaving: faults.leaving || state.refuse_work,
        sequence: taken.sequence.max(after),
        gap: gap || lost,
        added: blocks(true),
        removed: blocks(false),
    })
}

/// Load at a moment, shown later.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Reading {
    at: Duration,
    running: u32,
    waiting: u32,
    backlog: u32,
    sequence: u64,
}

impl Reading {
    /// Counts the cache changes after a number that this reading knows of.
    fn changes_after(&self, after: u64) -> usize {
        self.sequence.saturating_sub(after) as usize
    }
}

impl State {
    /// Notes the present load, and gives the newest reading that is at least `lag` old.
    fn note_reading(&mut self, now: Duration, lag: Duration) -> Reading {
        self.readings.push_back(Reading {
            at: now,
            running: self.model.running(),
            waiting: self.model.waiting(),
            backlog: self.model.backlog(),
            sequence: self.model.sequence(),
        });
        let old = |r: &Reading| r.at + lag <= now;
        let shown = self.readings.iter().rev().find(|r| old(r)).copied();
        while self.readings.len() > MAX_READINGS {
            self.readings.pop_front();
        }
        shown.or(self.readings.front().copied()).unwrap_or_default()
    }
}
