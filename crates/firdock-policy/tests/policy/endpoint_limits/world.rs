//! Instances before endpoints, one of which names a rate limit, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::rendezvous;
use firdock_core::resource::{Catalog, Endpoint, EndpointKind, Resource};
use firdock_policy::event::{DispatchUpdate, EndpointEvent, PeerUpdate};
use firdock_policy::notice::{LimitNotice, Notice, NoticeReport};
use firdock_policy::rate::RequestRate;
use firdock_policy::table::SINGLE_GROUP_LIMIT;
use firdock_policy::{Action, Event, Policy as _, Scheduler, Time, limit_reports};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use uuid::Uuid;

use crate::edge::{edge_settings, request, resources};
use crate::fixtures::millis;

/// When the endpoint names its limit, after the load began.
const NAMED: Duration = Duration::from_secs(2);
/// Time after that from which the limit has to be kept.
const GRACE: Duration = Duration::from_secs(3);
/// Time for which the site is played after that.
const PLAYED: Duration = Duration::from_secs(12);
/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests allowed in a window beyond one and a half times what the limit allows.
const SLACK: f64 = 5.0;
/// Fraction of the limit that is used while there is work.
const MIN_USE: f64 = 0.8;
/// When faults begin and end, after the limit was named.
const FAULT: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(10));
/// Time after which the grantor that fails is no longer selected.
const NOTICED: Duration = Duration::from_millis(1_200);
/// Time after the limit was named after which all instances are told of it, and the load rises.
const KNOWN: Duration = Duration::from_secs(1);
const HEARTBEAT: Duration = Duration::from_millis(200);
const LIMITED: &str = "e1";
const ZONE: &str = "near";

/// What is played.
#[derive(Debug, Clone)]
pub struct Plan {
    pub instances: usize,
    /// Requests per second that the endpoint takes.
    pub limit: f64,
    /// Number of instances that have work.
    pub busy: usize,
    /// Requests per second of the whole site once the limit is known.
    pub load: f64,
    /// The same before, all of which the endpoint gets.
    pub load_before: f64,
    /// Fraction of lost messages.
    pub lost: f64,
    /// Longest delay of a message.
    pub late: Duration,
    /// Whether no other endpoint serves what the limited one does not take.
    pub alone: bool,
    /// Instance that is cut from its peers.
    pub cut: Option<usize>,
    /// Whether the site is divided into two halves.
    pub divided: bool,
    /// Instance that is frozen.
    pub frozen: Option<usize>,
    /// Instance that starts only with the faults.
    pub started_late: Option<usize>,
    /// Whether the instance that grants the permits fails for good.
    pub grantor_fails: bool,
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            instances: 6,
            limit: 2.2,
            busy: 6,
            load: 120.0,
            load_before: 8.0,
            lost: 0.0,
            late: millis(5),
            alone: false,
            cut: None,
            divided: false,
            frozen: None,
            started_late: None,
            grantor_fails: false,
            seed: 7,
        }
    }
}

/// A played site and what its limited endpoint saw.
pub struct World {
    plan: Plan,
    rng: StdRng,
    now: Time,
    began: Time,
    instances: Vec<Scheduler>,
    messages: BTreeMap<(Time, u64), (usize, Event)>,
    sequence: u64,
    last_id: u64,
    /// When each request reached the limited endpoint, and from which instance.
    arrivals: Vec<(Time, usize)>,
    /// When each instance first passed on an answer with the limit.
    told: Vec<Option<Time>>,
}

fn name(instance: usize) -> String {
    format!("node-{instance:03}")
}

fn site(alone: bool) -> Vec<Resource> {
    let mut all = resources();
    all.retain(|r| !matches!(r, Resource::Endpoint(_)));
    let names = if alone { &["e1"][..] } else { &["e1", "e2"] };
    all.extend(names.iter().map(|name| {
        Resource::Endpoint(Endpoint {
            name: (*name).to_owned(),
            // The other endpoint is chosen only if the limited one takes nothing.
            zone: if *name == LIMITED { ZONE } else { "far" }.to_owned(),
            pool: "pool".to_owned(),
            backend: EndpointKind::Plain,
            slots: Endpoint::MAX_SLOTS,
            ..Endpoint::default()
        })
    }));
    all
}

impl World {
    /// Plays a site.
    pub fn played(plan: Plan) -> Self {
        let began = millis(100_000);
        let mut world = Self {
            rng: StdRng::seed_from_u64(plan.seed),
            now: began,
            began,
            instances: Vec::new(),
            messages: BTreeMap::new(),
            sequence: 0,
            last_id: 0,
            arrivals: Vec::new(),
            told: vec![None; plan.instances],
            plan,
        };
        world.instances = (0..world.plan.instances).map(|n| world.start(n)).collect();
        let tick = if world.plan.instances > 100 {
            millis(50)
        } else {
            millis(25)
        };
        while world.now < world.named() + GRACE + PLAYED {
            world.tick(tick);
        }
        world
    }

    fn start(&self, instance: usize) -> Scheduler {
        let mut settings = edge_settings(&name(instance)).with_shared_permits();
        settings.max_config_age = None;
        ZONE.clone_into(&mut settings.zone);
        settings.member.incarnation = Uuid::from_u64_pair(1, instance as u64);
        let mut scheduler = Scheduler::new(settings);
        let catalog = Catalog::new(1).with_resources(site(self.plan.alone));
        let known = Event::PeersKnown(self.plan.instances - 1);
        for event in [Event::Config(catalog.into()), known] {
            scheduler.step(self.now, event, &mut Vec::new());
        }
        scheduler
    }

    fn named(&self) -> Time {
        self.began + NAMED
    }

    fn in_fault(&self) -> bool {
        let since = self.now.saturating_sub(self.named());
        (FAULT.0..FAULT.1).contains(&since)
    }

    /// Returns whether an instance runs now.
    fn runs(&self, instance: usize) -> bool {
        let since = self.now.saturating_sub(self.named());
        let failed =
            self.plan.grantor_fails && since >= FAULT.0 && instance == self.first_grantor();
        let frozen = self.plan.frozen == Some(instance) && self.in_fault();
        let absent = self.plan.started_late == Some(instance) && since < FAULT.0;
        !failed && !frozen && !absent
    }

    /// Returns whether two instances reach each other now.
    fn linked(&self, a: usize, b: usize) -> bool {
        if a == b || !self.in_fault() {
            return true;
        }
        let is_cut = self.plan.cut.is_some_and(|cut| cut == a || cut == b);
        let apart =
            self.plan.divided && (a < self.plan.instances / 2) != (b < self.plan.instances / 2);
        !is_cut && !apart
    }

    fn first_grantor(&self) -> usize {
        Self::select(0..self.plan.instances)
    }

    fn select(candidates: impl Iterator<Item = usize>) -> usize {
        let key = rendezvous::hash_key(LIMITED.as_bytes());
        let weight = |n: &usize| rendezvous::weight(key, &name(*n));
        candidates.max_by_key(weight).expect("an instance")
    }

    /// Returns the grantor as an instance selects it: faults are noticed some time after they began.
    fn grantor(&self, instance: usize) -> usize {
        let since = self.now.saturating_sub(self.named());
        if since < FAULT.0 + NOTICED {
            let present = |n: &usize| self.plan.started_late != Some(*n);
            return Self::select((0..self.plan.instances).filter(present));
        }
        Self::select(
            (0..self.plan.instances)
                .filter(|n| *n == instance || (self.runs(*n) && self.linked(instance, *n))),
        )
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        let is_lost = from != to && self.rng.random_bool(self.plan.lost);
        if is_lost || !self.linked(from, to) {
            return;
        }
        let longest = self.plan.late.as_millis() as u64;
        let delay = if from == to {
            0
        } else {
            self.rng.random_range(1..=longest.max(1))
        };
        self.sequence += 1;
        self.messages
            .insert((self.now + millis(delay), self.sequence), (to, event));
    }

    fn tick(&mut self, tick: Duration) {
        let until = self.now + tick;
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), (to, event)) = entry.remove_entry();
            self.now = self.now.max(at);
            // A frozen instance reads what arrived when it runs again.
            if !self.runs(to) && self.plan.frozen == Some(to) {
                self.sequence += 1;
                self.messages
                    .insert((until + tick, self.sequence), (to, event));
            } else {
                self.step(to, event);
            }
        }
        self.now = until;
        let beat = self.now.as_millis() % HEARTBEAT.as_millis() < tick.as_millis();
        for n in 0..self.plan.instances {
            if !self.runs(n) {
                continue;
            }
            if beat {
                self.beat(n);
            }
            self.step(n, Event::Timer);
            if n < self.plan.busy {
                self.arrive(n, tick);
            }
        }
    }

    /// An instance tells the others what it knows; in a large site, their leads report who is heard.
    fn beat(&mut self, from: usize) {
        let limits = limit_reports(self.instances[from].tables(), self.now);
        let update = PeerUpdate {
            name: name(from),
            incarnation: Uuid::from_u64_pair(1, from as u64),
            limits,
            ..PeerUpdate::default()
        };
        if self.plan.instances < SINGLE_GROUP_LIMIT {
            for to in (0..self.plan.instances).filter(|to| *to != from) {
                self.send(from, to, Event::Peer(update.clone()));
            }
            return;
        }
        let live = (0..self.plan.instances).filter(|n| self.runs(*n)).count();
        self.step(from, Event::Reach(live));
        if from != 0 {
            self.send(from, 0, Event::Peer(update));
            return;
        }
        for to in 1..self.plan.instances {
            self.send(0, to, Event::Peer(update.clone()));
        }
    }

    fn arrive(&mut self, instance: usize, tick: Duration) {
        let is_known = self.now >= self.named() + KNOWN;
        let load = if is_known {
            self.plan.load
        } else {
            self.plan.load_before
        };
        let rate = load / self.plan.busy as f64;
        let mut expected = rate * tick.as_secs_f64();
        while expected > 0.0 && self.rng.random_bool(expected.min(1.0)) {
            self.last_id += 1;
            let new = request(self.last_id, "safe", "free");
            self.step(instance, Event::Arrived(new));
            expected -= 1.0;
        }
    }

    fn step(&mut self, instance: usize, event: Event) {
        let mut out = Vec::new();
        self.instances[instance].step(self.now, event, &mut out);
        for action in out {
            self.carry_out(instance, action);
        }
    }

    fn carry_out(&mut self, instance: usize, action: Action) {
        match action {
            Action::RequestPermits(requests) => {
                let holder = firdock_policy::permit::PermitHolder {
                    instance: name(instance),
                    coordinates: false,
                };
                let grantor = self.grantor(instance);
                let event = Event::PermitsRequested(holder, requests);
                self.send(instance, grantor, event);
            }
            Action::GrantPermits { holder, grants } => {
                let to = (0..self.plan.instances).find(|n| name(*n) == holder.instance);
                let event = Event::PermitsGranted(grants);
                self.send(instance, to.expect("an instance"), event);
            }
            Action::Dispatch(d) => {
                if d.endpoint == LIMITED {
                    self.answer_with_notice(instance, d.limited);
                }
                let update = DispatchUpdate::Ended {
                    prompt: 0,
                    cached: 0,
                    output: 0,
                };
                let event = EndpointEvent {
                    id: d.id,
                    dispatch: d.dispatch,
                    update,
                };
                self.step(instance, Event::Endpoint(event));
            }
            _ => {}
        }
    }

    /// The limited endpoint answers a request.
    fn answer_with_notice(&mut self, instance: usize, limited: bool) {
        self.arrivals.push((self.now, instance));
        let is_named = self.now >= self.named();
        let limit = match RequestRate::from_per_second(self.plan.limit) {
            Some(rate) if is_named => LimitNotice::Limited(rate),
            _ if limited => LimitNotice::Unlimited,
            _ => return,
        };
        if is_named {
            self.told[instance].get_or_insert(self.now);
        }
        let report = NoticeReport {
            endpoint: LIMITED.to_owned(),
            member: String::new(),
            notice: Notice {
                limit,
                ..Notice::default()
            },
            read: self.now,
        };
        self.step(instance, Event::NoticeReported(report));
    }

    /// Checks that no window has more requests than allowed from instances that were told the limit
    /// half a second before. An instance that was cut, frozen or started is excused.
    pub fn check_limit(&self) {
        let allowed = 1.5 * self.plan.limit * WINDOW.as_secs_f64() + SLACK;
        let excused = [self.plan.cut, self.plan.frozen, self.plan.started_late];
        let counted: Vec<(Time, usize)> = self
            .arrivals
            .iter()
            .copied()
            .filter(|(_, n)| !excused.contains(&Some(*n)))
            .collect();
        for (end, _) in counted.iter().filter(|(at, _)| *at >= self.named() + GRACE) {
            let told = |n: usize| self.told[n].is_some_and(|at| at + millis(500) <= *end);
            let within = |(at, n): &&(Time, usize)| *at <= *end && *at + WINDOW > *end && told(*n);
            let n = counted.iter().filter(within).count() as f64;
            assert!(
                n <= allowed,
                "{n} requests in 4 s to {:?} after the limit was named, {allowed} allowed: {:?}",
                end.saturating_sub(self.named()),
                self.plan
            );
        }
    }

    /// Checks that most of the limit is used from the time on at which it has to be kept.
    pub fn check_use(&self) {
        let from = self.named() + GRACE;
        let used = self.arrivals.iter().filter(|(at, _)| *at >= from).count() as f64;
        let least = MIN_USE * self.plan.limit * PLAYED.as_secs_f64();
        println!(
            "{} instances, {} busy, limit {}: {:.2} used",
            self.plan.instances,
            self.plan.busy,
            self.plan.limit,
            used / (self.plan.limit * PLAYED.as_secs_f64())
        );
        assert!(
            used >= least,
            "{used} requests, {least} expected: {:?}",
            self.plan
        );
    }
}
