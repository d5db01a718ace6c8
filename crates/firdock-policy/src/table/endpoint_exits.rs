//! Ends of endpoints, and runs that broke with their connections, until each is known to belong to the
//! other or not.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use firdock_core::StartId;

use crate::suspect::BrokenRun;
use crate::time::Time;

/// Time between a run that breaks and the news that its endpoint has ended: an entry lapses after some
/// missed heartbeats of the endpoint.
const TOGETHER: Duration = Duration::from_secs(10);
/// Broken runs that are kept: several endpoints full of requests.
const MOST_RUNS: usize = 512;
/// Ends that are kept.
const MAX_EXITS: usize = 256;

/// Ends and broken runs of the last seconds, in whichever order they become known.
#[derive(Debug, Default)]
pub struct EndpointExits {
    runs: VecDeque<BrokenRun>,
    exits: BTreeMap<StartId, Time>,
}

impl EndpointExits {
    /// Takes a run that broke with its connection; gives when its endpoint ended, if that is known, and
    /// keeps the run otherwise.
    pub fn record_run(&mut self, now: Time, run: &BrokenRun) -> Option<Time> {
        self.sweep(now);
        let exited_at = self.exits.get(&run.start).copied();
        if exited_at.is_none() {
            if self.runs.len() >= MOST_RUNS {
                self.runs.pop_front();
            }
            self.runs.push_back(run.clone());
        }
        exited_at
    }

    /// Takes it that an endpoint's process has ended; gives the runs that broke there.
    pub fn record_exit(&mut self, now: Time, start: &StartId) -> Vec<BrokenRun> {
        self.sweep(now);
        if self.exits.len() < MAX_EXITS {
            self.exits.entry(start.clone()).or_insert(now);
        }
        self.remove_runs(start)
    }

    /// Gives the runs that broke at an endpoint, and keeps them no more.
    pub fn remove_runs(&mut self, start: &StartId) -> Vec<BrokenRun> {
        let (there, others): (Vec<BrokenRun>, Vec<BrokenRun>) =
            self.runs.drain(..).partition(|r| r.start == *start);
        self.runs = others.into();
        there
    }

    /// Drops the runs that broke at an endpoint up to a time.
    pub fn drop_runs_until(&mut self, start: &StartId, until: Time) {
        self.runs.retain(|r| r.start != *start || r.broke > until);
    }

    /// Tells whether any run waits for news of its endpoint.
    #[must_use]
    pub fn has_runs(&self) -> bool {
        !self.runs.is_empty()
    }

    fn sweep(&mut self, now: Time) {
        let recent = |at: Time| at + TOGETHER > now;
        self.runs.retain(|r| recent(r.broke));
        self.exits.retain(|_, at| recent(*at));
    }
}
