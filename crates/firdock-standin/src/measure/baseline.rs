//! Baselines behind the policy's trait: each dispatches at once and never holds or sheds.

use std::collections::HashMap;
use std::time::Duration;

use firdock_core::resource::Catalog;
use firdock_core::{Outcome, Reason, RequestId};
use firdock_policy::action::Dispatch;
use firdock_policy::event::{DispatchUpdate, EndpointEvent};
use firdock_policy::{Action, Event, NewRequest, Policy, Verdict};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

/// How a baseline chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Choice {
    /// One after another.
    RoundRobin,
    /// The least reported load.
    LeastReported,
    /// The less loaded, as reported, of two drawn at random.
    TwoChoices,
}

#[derive(Debug)]
struct Backend {
    name: String,
    services: Vec<String>,
    reported: u32,
    slots: u32,
}

#[derive(Debug)]
struct Live {
    new: NewRequest,
    dispatch: u32,
    tried: Vec<usize>,
    at: usize,
}

/// A baseline.
#[derive(Debug)]
pub struct Baseline {
    choice: Choice,
    rng: StdRng,
    backends: Vec<Backend>,
    ranks: HashMap<String, u8>,
    repeatable: HashMap<String, bool>,
    live: HashMap<RequestId, Live>,
    turn: usize,
}

impl Baseline {
    /// Makes a baseline.
    #[must_use]
    pub fn new(choice: Choice, seed: u64) -> Self {
        Self {
            choice,
            rng: StdRng::seed_from_u64(seed),
            backends: Vec::new(),
            ranks: HashMap::new(),
            repeatable: HashMap::new(),
            live: HashMap::new(),
            turn: seed as usize,
        }
    }

    fn configure(&mut self, catalog: &Catalog) {
        let backend = |e: &firdock_core::resource::Endpoint| Backend {
            name: e.name.clone(),
            services: e.services.clone(),
            reported: 0,
            slots: e.slots,
        };
        self.backends = catalog.endpoints.iter().map(backend).collect();
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
            self.backends[*i].services.iter().any(|s| s == service) && !tried.contains(i)
        };
        let open: Vec<usize> = (0..self.backends.len()).filter(serves).collect();
        if open.is_empty() {
            return None;
        }
        let load = |i: &usize| {
            let b = &self.backends[*i];
            u64::from(b.reported) * 1_000 / u64::from(b.slots)
        };
        match self.choice {
            Choice::RoundRobin => {
                self.turn += 1;
                Some(open[self.turn % open.len()])
            }
            Choice::LeastReported => {
                let least = open.iter().map(load).min()?;
                let ties: Vec<usize> = open.iter().copied().filter(|i| load(i) == least).collect();
                Some(ties[self.rng.random_range(0..ties.len())])
            }
            Choice::TwoChoices => {
                let a = open[self.rng.random_range(0..open.len())];
                let b = open[self.rng.random_range(0..open.len())];
                Some(if load(&a) <= load(&b) { a } else { b })
            }
        }
    }

    fn place(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(mut live) = self.live.remove(&id) else {
            return;
        };
        let Some(at) = self.pick(&live.new.service, &live.tried) else {
            let reason = Reason::NoEndpoint;
            let verdict = Verdict {
                outcome: Outcome::Unknown,
                reason,
                retry_after: None,
            };
            out.push(Action::Answer { id, verdict });
            return;
        };
        live.dispatch += 1;
        live.tried.push(at);
        live.at = at;
        let priority = self.ranks.get(&live.new.service).copied().unwrap_or(0);
        out.push(Action::Dispatch(Dispatch {
            id,
            endpoint: self.backends[at].name.clone(),
            dispatch: live.dispatch,
            resume_from: 0,
            priority,
            confirm_by: None,
            deadline: None,
        }));
        self.live.insert(id, live);
    }

    fn news(&mut self, e: &EndpointEvent, out: &mut Vec<Action>) {
        let Some(live) = self.live.get(&e.id).filter(|l| l.dispatch == e.dispatch) else {
            return;
        };
        match e.update {
            DispatchUpdate::Refused { .. } => self.place(e.id, out),
            DispatchUpdate::Broke { .. } => {
                if self
                    .repeatable
                    .get(&live.new.service)
                    .copied()
                    .unwrap_or(false)
                {
                    self.place(e.id, out);
                } else {
                    self.live.remove(&e.id);
                    out.push(Action::Cut {
                        id: e.id,
                        reason: Reason::EndpointLost,
                    });
                }
            }
            DispatchUpdate::Ended { .. } => {
                self.live.remove(&e.id);
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
                self.live.insert(
                    id,
                    Live {
                        new,
                        dispatch: 0,
                        tried: Vec::new(),
                        at: 0,
                    },
                );
                self.place(id, out);
            }
            Event::Endpoint(e) => self.news(&e, out),
            Event::Report(r) => {
                if let Some(b) = self.backends.iter_mut().find(|b| b.name == r.endpoint) {
                    b.reported = r.running + r.waiting;
                }
            }
            _ => {}
        }
    }
}
