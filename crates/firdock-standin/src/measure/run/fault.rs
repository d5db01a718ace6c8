//! Faults of a run: killed engines and instances.

use firdock_policy::event::DispatchUpdate;

use super::{MeasuredPolicy, ORPHAN_TIMEOUT, Run, SimEvent};
use crate::measure::fleet::Job;

impl<P: MeasuredPolicy> Run<P> {
    pub(super) fn kill_engine(&mut self, e: usize) {
        let engine = &mut self.fleet.engines[e];
        engine.alive = false;
        engine.model.clear();
        engine.scheduled = None;
        let jobs: Vec<Job> = std::mem::take(&mut engine.jobs).into_values().collect();
        for job in jobs {
            self.record_wasted(&job);
            let update = DispatchUpdate::Broke {
                delivered: job.generated,
            };
            self.send_update(job.instance, &job.dispatch, update);
        }
    }

    pub(super) fn record_wasted(&mut self, job: &Job) {
        if job.has_first_token {
            self.wasted.0 += u64::from(job.prefill_tokens);
        }
    }

    pub(super) fn kill_instance(&mut self, i: usize) {
        self.alive[i] = false;
        self.schedule(self.now + ORPHAN_TIMEOUT, SimEvent::CancelOrphans(i));
    }

    /// Cancels the requests in progress on engines for a killed instance.
    pub(super) fn cancel_orphans(&mut self, i: usize) {
        for e in 0..self.fleet.engines.len() {
            let engine = &mut self.fleet.engines[e];
            let gone: Vec<Job> = engine
                .jobs
                .values()
                .filter(|j| j.instance == i)
                .cloned()
                .collect();
            for job in gone {
                let engine = &mut self.fleet.engines[e];
                engine.jobs.remove(&job.dispatch.id);
                engine.model.cancel(job.dispatch.id);
                self.record_wasted(&job);
            }
        }
    }
}
