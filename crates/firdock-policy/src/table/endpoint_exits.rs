//! Recent exits of endpoints and broken runs, kept until it is known whether they belong together.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use firdock_core::StartId;

use crate::suspect::BrokenRun;
use crate::time::Time;

/// Maximum time between a run that breaks and the report that its endpoint exited: an entry lapses
/// after several missed heartbeats of the endpoint.
const MATCH_WINDOW: Duration = Duration::from_secs(10);
/// Maximum number of broken runs: several endpoints full of requests.
const MAX_RUNS: usize = 512;
/// Maximum number of exits.
const MAX_EXITS: usize = 256;

/// Exits and broken runs of the last seconds, in whichever order they are reported.
#[derive(Debug, Default)]
pub struct EndpointExits {
    runs: VecDeque<BrokenRun>,
    exits: BTreeMap<StartId, Time>,
}

impl EndpointExits {
    /// Adds a run that broke with its connection. Returns when its endpoint exited, if that is
    /// known; otherwise the run is kept.
    pub fn record_run(&mut self, now: Time, run: &BrokenRun) -> Option<Time> {
        self.sweep(now);
        let exited_at = self.exits.get(&run.start).copied();
        if exited_at.is_none() {
            if self.runs.len() >= MAX_RUNS {
                self.runs.pop_front();
            }
            self.runs.push_back(run.clone());
        }
        exited_at
    }

    /// Records that an endpoint's process has exited; returns the runs that broke there.
    pub fn record_exit(&mut self, now: Time, start: &StartId) -> Vec<BrokenRun> {
        self.sweep(now);
        if self.exits.len() < MAX_EXITS {
            self.exits.entry(start.clone()).or_insert(now);
        }
        self.remove_runs(start)
    }

    /// Removes and returns the runs that broke at an endpoint.
    pub fn remove_runs(&mut self, start: &StartId) -> Vec<BrokenRun> {
        let (there, others): (Vec<BrokenRun>, Vec<BrokenRun>) =
            self.runs.drain(..).partition(|r| r.start == *start);
        self.runs = others.into();
        there
    }

    /// Removes the runs that broke at an endpoint up to a time.
    pub fn drop_runs_until(&mut self, start: &StartId, until: Time) {
        self.runs.retain(|r| r.start != *start || r.broke > until);
    }

    /// Returns whether any run waits for a report on its endpoint.
    #[must_use]
    pub fn has_runs(&self) -> bool {
        !self.runs.is_empty()
    }

    fn sweep(&mut self, now: Time) {
        let recent = |at: Time| at + MATCH_WINDOW > now;
        self.runs.retain(|r| recent(r.broke));
        self.exits.retain(|_, at| recent(*at));
    }
}
