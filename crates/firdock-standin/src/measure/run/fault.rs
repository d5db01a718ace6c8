//! Faults of a run: engines and instances that are killed.

use firdock_policy::event::DispatchUpdate;

use super::{Contestant, Happening, Run, UNREAD_TIME};
use crate::measure::fleet::Job;

impl<P: Contestant> Run<P> {
    pub(super) fn kill_engine(&mut self, e: usize) {
        let engine = &mut self.fleet.engines[e];
        engine.alive = false;
        engine.model.clear();
        engine.planned = None;
        let jobs: Vec<Job> = std::mem::take(&mut engine.jobs).into_values().collect();
        for job in jobs {
            self.waste_job(&job);
            let news = DispatchUpdate::Broke {
                delivered: job.made,
            };
            self.tell(job.node, &job.dispatch, news);
        }
    }

    pub(super) fn waste_job(&mut self, job: &Job) {
        if job.begun {
            self.wasted.0 += u64::from(job.computed);
        }
    }

    pub(super) fn kill_instance(&mut self, i: usize) {
        self.alive[i] = false;
        self.plan(self.now + UNREAD_TIME, Happening::Orphans(i));
    }

    /// Drops what engines work on for an instance that is gone.
    pub(super) fn drop_orphans(&mut self, i: usize) {
        for e in 0..self.fleet.engines.len() {
            let engine = &mut self.fleet.engines[e];
            let gone: Vec<Job> = engine
                .jobs
                .values()
                .filter(|j| j.node == i)
                .cloned()
                .collect();
            for job in gone {
                let engine = &mut self.fleet.engines[e];
                engine.jobs.remove(&job.dispatch.id);
                engine.model.cancel(job.dispatch.id);
                self.waste_job(&job);
            }
        }
    }
}
