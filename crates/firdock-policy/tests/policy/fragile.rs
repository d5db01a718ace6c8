//! Endpoints that fail if they refuse too many requests in a second for want of room, in virtual time.
//!
//! Guards against the last requests that an endpoint has no room for, of many instances, bringing it down,
//! and the others after it.
//!
//! The load: two or three times what two endpoints can do, from a dozen instances that each hold a place at
//! each endpoint, while the endpoints let fewer requests wait than before.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::resource::{Catalog, Endpoint, EndpointKind, Resource};
use firdock_policy::action::Dispatch;
use firdock_policy::event::{DispatchUpdate, EndpointEvent, PeerUpdate, PoolDemand};
use firdock_policy::notice::{Notice, NoticeReport};
use firdock_policy::{Action, Event, Policy as _, Scheduler, Time, pool_demand};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use uuid::Uuid;

use crate::edge::{edge_settings, request, resources};
use crate::fixtures::millis;

const INSTANCES: usize = 12;
const ENDPOINTS: [&str; 2] = ["e1", "e2"];
const SLOTS: usize = 6;
/// Requests that an endpoint lets wait before it says that it is fragile.
const WAITING: usize = 4;
/// Refusals in a second that an endpoint bears.
const REFUSAL_LIMIT: u32 = 10;
/// When the endpoints begin to say so.
const FRAGILE: Duration = Duration::from_secs(2);
/// Time after that from which they let none wait and may fail.
const CONTACT: Duration = Duration::from_secs(3);
const PLAYED: Duration = Duration::from_secs(20);
const WORK: Duration = Duration::from_millis(50);
/// Time for which an endpoint that failed is away.
const AWAY: Duration = Duration::from_secs(2);
const TICK: Duration = Duration::from_millis(5);
/// Failures allowed beyond a tenth of the endpoints.
const MAX_FAILURES: usize = 2;
/// Requests per second: the endpoints can do 240.
const LOAD: f64 = 600.0;

#[derive(Default)]
struct FragileEndpoint {
    running: Vec<(Time, usize, Dispatch)>,
    refused: Vec<Time>,
    away_until: Time,
    failures: usize,
    served: usize,
}

struct World {
    now: Time,
    began: Time,
    instances: Vec<Scheduler>,
    endpoints: BTreeMap<String, FragileEndpoint>,
    last_id: u64,
}

impl World {
    fn start() -> Self {
        let now = millis(100_000);
        let instances = (0..INSTANCES).map(|n| {
            let mut settings = edge_settings(&format!("node-{n}")).with_shared_permits();
            settings.max_config_age = None;
            settings.member.incarnation = Uuid::from_u64_pair(1, n as u64);
            let mut scheduler = Scheduler::new(settings);
            let mut all = resources();
            all.retain(|r| !matches!(r, Resource::Endpoint(_)));
            all.extend(ENDPOINTS.map(|name| {
                Resource::Endpoint(Endpoint {
                    name: name.to_owned(),
                    pool: "pool".to_owned(),
                    backend: EndpointKind::Plain,
                    slots: SLOTS as u32,
                    ..Endpoint::default()
                })
            }));
            let catalog = Catalog::new(1).with_resources(all);
            for event in [
                Event::Config(catalog.into()),
                Event::PeersKnown(INSTANCES - 1),
            ] {
                scheduler.step(now, event, &mut Vec::new());
            }
            scheduler
        });
        Self {
            now,
            began: now,
            instances: instances.collect(),
            endpoints: ENDPOINTS
                .map(|name| (name.to_owned(), FragileEndpoint::default()))
                .into(),
            last_id: 0,
        }
    }

    fn since(&self) -> Duration {
        self.now.saturating_sub(self.began)
    }

    fn play(&mut self) {
        let mut rng = StdRng::seed_from_u64(7);
        while self.since() < PLAYED {
            self.now += TICK;
            self.end_work();
            if self.since().as_millis().is_multiple_of(200) {
                self.beat();
            }
            for n in 0..INSTANCES {
                if self.since().as_millis().is_multiple_of(25) {
                    self.step(n, Event::Timer);
                }
                if rng.random_bool(LOAD / INSTANCES as f64 * TICK.as_secs_f64()) {
                    self.last_id += 1;
                    let mut new = request(self.last_id, "safe", "free");
                    new.deadline = Some(self.now + millis(1_000));
                    self.step(n, Event::Arrived(new));
                }
            }
        }
    }

    fn beat(&mut self) {
        for from in 0..INSTANCES {
            let demand = pool_demand(self.instances[from].tables());
            let demand = demand
                .into_iter()
                .map(|(pool, rate)| PoolDemand { pool, rate });
            let update = PeerUpdate {
                name: format!("node-{from}"),
                demand: demand.collect(),
                incarnation: Uuid::from_u64_pair(1, from as u64),
                ..PeerUpdate::default()
            };
            for to in (0..INSTANCES).filter(|to| *to != from) {
                self.step(to, Event::Peer(update.clone()));
            }
        }
    }

    fn end_work(&mut self) {
        let now = self.now;
        let mut done = Vec::new();
        for endpoint in self.endpoints.values_mut() {
            done.extend(endpoint.running.extract_if(.., |(at, ..)| *at <= now));
        }
        for (_, n, d) in done {
            if let Some(endpoint) = self.endpoints.get_mut(&d.endpoint) {
                endpoint.served += 1;
            }
            self.notice(n, &d.endpoint);
            let update = DispatchUpdate::Ended {
                prompt: 0,
                cached: 0,
                output: 0,
            };
            self.update(n, &d, update);
        }
    }

    fn step(&mut self, n: usize, event: Event) {
        let mut out = Vec::new();
        self.instances[n].step(self.now, event, &mut out);
        for action in out {
            if let Action::Dispatch(d) = action {
                self.dispatched(n, d);
            }
        }
    }

    fn update(&mut self, n: usize, d: &Dispatch, update: DispatchUpdate) {
        let event = EndpointEvent {
            id: d.id,
            dispatch: d.dispatch,
            update,
        };
        self.step(n, Event::Endpoint(event));
    }

    /// All answers of an endpoint say that it is fragile, from some time on.
    fn notice(&mut self, n: usize, endpoint: &str) {
        if self.since() < FRAGILE {
            return;
        }
        let report = NoticeReport {
            endpoint: endpoint.to_owned(),
            member: String::new(),
            notice: Notice {
                refusal_limit: Some(REFUSAL_LIMIT),
                ..Notice::default()
            },
            read: self.now,
        };
        self.step(n, Event::NoticeReported(report));
    }

    fn dispatched(&mut self, n: usize, d: Dispatch) {
        let may_fail = self.since() >= FRAGILE + CONTACT;
        let waiting = if may_fail { 0 } else { WAITING };
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(&d.endpoint) else {
            return;
        };
        if now < endpoint.away_until {
            self.update(n, &d, DispatchUpdate::Refused { unreachable: true });
            return;
        }
        if endpoint.running.len() < SLOTS + waiting {
            endpoint.running.push((now + WORK, n, d));
            return;
        }
        endpoint.refused.retain(|at| *at + millis(1_000) > now);
        endpoint.refused.push(now);
        let mut lost = Vec::new();
        if may_fail && endpoint.refused.len() > REFUSAL_LIMIT as usize {
            endpoint.failures += 1;
            endpoint.away_until = now + AWAY;
            endpoint.refused.clear();
            lost = std::mem::take(&mut endpoint.running);
        }
        self.notice(n, &d.endpoint.clone());
        self.update(n, &d, DispatchUpdate::Refused { unreachable: false });
        for (_, n, d) in lost {
            self.update(n, &d, DispatchUpdate::Broke { delivered: 0 });
        }
    }
}

#[test]
fn fragile_endpoints_are_not_brought_down_by_what_they_have_no_room_for() {
    let mut world = World::start();
    world.play();
    let failures: usize = world.endpoints.values().map(|e| e.failures).sum();
    let served: usize = world.endpoints.values().map(|e| e.served).sum();
    println!("{failures} failures, {served} served");
    let most = MAX_FAILURES + ENDPOINTS.len() / 10;
    assert!(failures <= most, "{failures} failures, {most} allowed");
    let possible = (SLOTS * ENDPOINTS.len()) as f64 / WORK.as_secs_f64() * PLAYED.as_secs_f64();
    assert!(
        served as f64 > 0.7 * possible,
        "{served} served of {possible} possible"
    );
}
