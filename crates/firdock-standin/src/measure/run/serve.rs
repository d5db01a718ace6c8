//! Processing of requests by the endpoints of a run.

use firdock_policy::action::Dispatch;
use firdock_policy::event::DispatchUpdate;

use super::{LATENCY, MeasuredPolicy, PLAIN_SLOTS, Run, SimEvent, WARM_UP};
use crate::engine::model;
use crate::measure::fleet::{EndpointIndex, Job, PLAIN_TIME};

impl<P: MeasuredPolicy> Run<P> {
    pub(super) fn receive_dispatch(&mut self, i: usize, dispatch: Dispatch) {
        match self.fleet.find(&dispatch.endpoint) {
            Some(EndpointIndex::Engine(e)) if self.fleet.engines[e].alive => {
                self.submit(i, e, dispatch);
            }
            Some(EndpointIndex::Server(s)) => {
                let server = &mut self.fleet.servers[s];
                server.running += 1;
                let contention = f64::from(server.running.div_ceil(PLAIN_SLOTS));
                let done = self.now + PLAIN_TIME.mul_f64(contention);
                self.schedule(done, SimEvent::PlainCallDone(i, s, dispatch));
            }
            _ => self.send_update(i, &dispatch, DispatchUpdate::Refused { unreachable: true }),
        }
    }

    pub(super) fn finish_plain_call(&mut self, i: usize, s: usize, dispatch: &Dispatch) {
        self.fleet.servers[s].running -= 1;
        if let Some(r) = self.records.get_mut(&dispatch.id) {
            r.first = r.first.or(Some(self.now + LATENCY));
        }
        self.send_update(
            i,
            dispatch,
            DispatchUpdate::Ended {
                prompt: 0,
                cached: 0,
                output: 0,
            },
        );
    }

    pub(super) fn submit(&mut self, i: usize, e: usize, dispatch: Dispatch) {
        let Some((new, arrival)) = self.arrivals.get(&dispatch.id) else {
            return;
        };
        let prompt_tokens = new.prompt_tokens + dispatch.resume_from;
        let best = self.fleet.best_match(&new.blocks);
        let engine = &mut self.fleet.engines[e];
        let own = engine.model.matched(&new.blocks);
        let block = firdock_core::prefix::BLOCK_TOKENS;
        if self.now > WARM_UP {
            self.wasted.1 += u64::from((best - own) as u32 * block);
        }
        engine.model.submit(
            self.now,
            model::Job {
                id: dispatch.id,
                priority: dispatch.priority,
                prompt_tokens,
                blocks: new.blocks.clone(),
                output_tokens: arrival.output.saturating_sub(dispatch.resume_from).max(1),
            },
        );
        let prefill_tokens = prompt_tokens.saturating_sub(own as u32 * block);
        let generated = dispatch.resume_from;
        let job = Job {
            instance: i,
            dispatch,
            generated,
            prefill_tokens,
            has_first_token: false,
        };
        engine.jobs.insert(job.dispatch.id, job);
        self.schedule_step(e);
    }

    pub(super) fn schedule_step(&mut self, e: usize) {
        let engine = &mut self.fleet.engines[e];
        let next = engine.model.next_step();
        if next != engine.scheduled
            && let Some(at) = next
        {
            engine.scheduled = next;
            self.schedule(at, SimEvent::EngineStep(e));
        }
    }

    pub(super) fn step_engine(&mut self, e: usize) {
        let engine = &mut self.fleet.engines[e];
        if engine.model.next_step() != Some(self.now) {
            return;
        }
        for token in engine.model.step(self.now) {
            self.deliver_token(e, token);
        }
        self.schedule_step(e);
    }

    pub(super) fn deliver_token(&mut self, e: usize, token: model::GeneratedToken) {
        let Some(job) = self.fleet.engines[e].jobs.get_mut(&token.id) else {
            return;
        };
        job.generated += 1;
        let first = !std::mem::replace(&mut job.has_first_token, true);
        let job = job.clone();
        if first {
            if let Some(r) = self.records.get_mut(&token.id) {
                r.first = r.first.or(Some(self.now + LATENCY));
            }
            self.send_update(
                job.instance,
                &job.dispatch,
                DispatchUpdate::Started { head_sent: true },
            );
            let update = DispatchUpdate::Tokens {
                delivered: job.generated,
                cached: token.cached,
            };
            self.send_update(job.instance, &job.dispatch, update);
        }
        if token.last {
            self.fleet.engines[e].jobs.remove(&token.id);
            let prompt = self
                .arrivals
                .get(&token.id)
                .map_or(0, |(new, _)| new.prompt_tokens);
            let update = DispatchUpdate::Ended {
                prompt,
                cached: token.cached,
                output: job.generated,
            };
            self.send_update(job.instance, &job.dispatch, update);
        }
    }
}
