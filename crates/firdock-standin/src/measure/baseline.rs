//! Baseline policies, which dispatch each request at once and never queue or shed any.

use std::collections::HashMap;
use std::time::Duration;

use firdock_core::resource::Catalog;
use firdock_core::{Outcome, Reason, RequestId};
use firdock_policy::action::{Dispatch, Route};
use firdock_policy::event::{DispatchUpdate, EndpointEvent};
use firdock_policy::{Action, Event, NewRequest, Policy, Verdict};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

/// Rule by which a baseline chooses an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Choice {
    /// One endpoint after another.
    RoundRobin,
    /// The least reported load.
    LeastReported,
    /// The lower reported load of two endpoints drawn at random.
    TwoChoices,
}

#[derive(Debug)]
struct EndpointLoad {
    name: String,
    services: Vec<String>,
    reported: u32,
    slots: u32,
}

#[derive(Debug)]
struct ActiveRequest {
    new: NewRequest,
    dispatch: u32,
    tried: Vec<usize>,
    at: usize,
}

/// A baseline policy.
#[derive(Debug)]
pub struct Baseline {
    choice: Choice,
    rng: StdRng,
    endpoints: Vec<EndpointLoad>,
    ranks: HashMap<String, u8>,
    repeatable: HashMap<String, bool>,
    active: HashMap<RequestId, ActiveRequest>,
    next_index: usize,
}

impl Baseline {
    /// Creates a baseline policy.
    #[must_use]
    pub fn new(choice: Choice, seed: u64) -> Self {
        Self {
            choice,
            rng: StdRng::seed_from_u64(seed),
            endpoints: Vec::new(),
            ranks: HashMap::new(),
            repeatable: HashMap::new(),
            active: HashMap::new(),
            next_index: seed as usize,
        }
    }

    fn configure(&mut self, catalog: &Catalog) {
        let unloaded = |e: &firdock_core::resource::Endpoint| EndpointLoad {
            name: e.name.clone(),
            services: e.services.clone(),
            reported: 0,
            slots: e.slots,
        };
        self.endpoints = catalog.endpoints.iter().map(unloaded).collect();
        for s in &catalog.services {
            let rank = catalog
                .tiers
                .iter()
                .find(|t| t.name == s.tier)
                .map_or(0, |t| t.rank);
            self.ranks.insert(s.name.clone(), rank);
            self.repeatable.insert(s.name.clone(), s.repeatable);
        }
    }

    fn pick(&mut self, service: &str, tried: &[usize]) -> Option<usize> {
        let serves = |i: &usize| {
            self.endpoints[*i].services.iter().any(|s| s == service) && !tried.contains(i)
        };
        let candidates: Vec<usize> = (0..self.endpoints.len()).filter(serves).collect();
        if candidates.is_empty() {
            return None;
        }
        let load = |i: &usize| {
            let b = &self.endpoints[*i];
            u64::from(b.reported) * 1_000 / u64::from(b.slots)
        };
        match self.choice {
            Choice::RoundRobin => {
                self.next_index += 1;
                Some(candidates[self.next_index % candidates.len()])
            }
            Choice::LeastReported => {
                let least = candidates.iter().map(load).min()?;
                let ties: Vec<usize> = candidates
                    .iter()
                    .copied()
                    .filter(|i| load(i) == least)
                    .collect();
                Some(ties[self.rng.random_range(0..ties.len())])
            }
            Choice::TwoChoices => {
                let a = candidates[self.rng.random_range(0..candidates.len())];
                let b = candidates[self.rng.random_range(0..candidates.len())];
                Some(if load(&a) <= load(&b) { a } else { b })
            }
        }
    }

    fn dispatch_request(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(mut active) = self.active.remove(&id) else {
            return;
        };
        let Some(at) = self.pick(&active.new.service, &active.tried) else {
            let reason = Reason::NoEndpoint;
            let verdict = Verdict {
                outcome: Outcome::Unknown,
                reason,
                retry_after: None,
            };
            out.push(Action::Answer { id, verdict });
            return;
        };
        active.dispatch += 1;
        active.tried.push(at);
        active.at = at;
        let priority = self.ranks.get(&active.new.service).copied().unwrap_or(0);
        out.push(Action::Dispatch(Dispatch {
            id,
            endpoint: self.endpoints[at].name.clone(),
            dispatch: active.dispatch,
            resume_from: 0,
            priority,
            confirm_by: None,
            deadline: None,
            limited: false,
            route: Route::Direct,
        }));
        self.active.insert(id, active);
    }

    fn handle_update(&mut self, e: &EndpointEvent, out: &mut Vec<Action>) {
        let Some(active) = self.active.get(&e.id).filter(|l| l.dispatch == e.dispatch) else {
            return;
        };
        match e.update {
            DispatchUpdate::Refused { .. } => self.dispatch_request(e.id, out),
            DispatchUpdate::Broke { .. } => {
                if self
                    .repeatable
                    .get(&active.new.service)
                    .copied()
                    .unwrap_or(false)
                {
                    self.dispatch_request(e.id, out);
                } else {
                    self.active.remove(&e.id);
                    out.push(Action::Cut {
                        id: e.id,
                        reason: Reason::EndpointLost,
                    });
                }
            }
            DispatchUpdate::Ended { .. } => {
                self.active.remove(&e.id);
            }
            _ => {}
        }
    }
}

impl Policy for Baseline {
    fn step(&mut self, _now: Duration, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Config(catalog) => self.configure(&catalog),
            Event::Arrived(new) => {
                let id = new.id;
                self.active.insert(
                    id,
                    ActiveRequest {
                        new,
                        dispatch: 0,
                        tried: Vec::new(),
                        at: 0,
                    },
                );
                self.dispatch_request(id, out);
            }
            Event::Endpoint(e) => self.handle_update(&e, out),
            Event::Report(r) => {
                if let Some(b) = self.endpoints.iter_mut().find(|b| b.name == r.endpoint) {
                    b.reported = r.running + r.waiting;
                }
            }
            _ => {}
        }
    }
}
