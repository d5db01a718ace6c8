//! One run in virtual time: instances, endpoints, arrivals, reports, faults.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use firdock_core::RequestId;
use firdock_policy::action::Dispatch;
use firdock_policy::event::{
    DispatchNews, EndpointEvent, HandOverEvent, HandOverRefusal, LoadReport, PeerNews,
};
use firdock_policy::{Action, Event, NewRequest, Origin, Policy, Time};
use uuid::Uuid;

use super::fleet::{self, Fleet, Job, PLAIN_TIME, Place};
use super::scenario::Scenario;
use super::score::{Record, Score, sum};
use crate::engine::model;
use crate::workload::{Arrival, Deployment, Workload};

/// Entry instances.
pub const INSTANCES: usize = 7;
/// One way between an instance and an endpoint, a peer or the platform.
const LATENCY: Duration = Duration::from_micros(500);
/// Pause between two reports, two heartbeats and two timers.
const REPORT_PAUSE: Duration = Duration::from_millis(500);
const BEAT_PAUSE: Duration = Duration::from_millis(250);
const TIMER_PAUSE: Duration = Duration::from_millis(25);
/// Time at the start that fills caches and is not scored.
const WARM_UP: Duration = Duration::from_secs(8);
/// Time after the last arrival for answers to end.
const COOL_DOWN: Duration = Duration::from_secs(45);
/// Time for which an engine goes on for an instance that is gone.
const UNREAD_TIME: Duration = Duration::from_secs(2);
/// Slots of a plain server, beyond which calls take longer.
const PLAIN_SLOTS: u32 = 32;

/// What a policy tells of itself to its peers.
pub trait Contestant: Policy {
    /// Gives the news for peers, if the policy has any.
    fn news(&self, name: &str) -> Option<PeerNews>;
}

impl Contestant for firdock_policy::Scheduler {
    fn news(&self, name: &str) -> Option<PeerNews> {
        let t = self.tables();
        let demand =
            |s: &firdock_policy::table::service::ServiceRow| firdock_policy::event::ServiceDemand {
                service: s.declared.name.clone(),
                rate: s.demand(),
            };
        Some(PeerNews {
            name: name.to_owned(),
            zone: "zone".to_owned(),
            held: t.requests.held_by_rank().to_vec(),
            demand: t.services.iter().map(|(_, s)| demand(s)).collect(),
            draining: false,
            leaving: Vec::new(),
        })
    }
}

impl Contestant for super::baseline::Baseline {
    fn news(&self, _name: &str) -> Option<PeerNews> {
        None
    }
}

enum Happening {
    Arrive(Box<Arrival>),
    Node(usize, Event),
    AtEndpoint(usize, Dispatch),
    Step(usize),
    PlainDone(usize, usize, Dispatch),
    Report(usize),
    Beats,
    Timers,
    Orphans(usize),
    KillEngine(usize),
    KillInstance(usize),
}

/// Settings of a run.
#[derive(Debug, Clone, Copy)]
pub struct RunSettings {
    /// Deployment.
    pub deployment: Deployment,
    /// Scenario.
    pub scenario: Scenario,
    /// Seed.
    pub seed: u64,
    /// Time for which requests arrive.
    pub time: Duration,
    /// Whether the policy sees all requests as those of one account.
    pub one_account: bool,
}

struct Run<P> {
    settings: RunSettings,
    now: Time,
    queue: BTreeMap<(Time, u64), Happening>,
    sequence: u64,
    nodes: Vec<P>,
    alive: [bool; INSTANCES],
    fleet: Fleet,
    records: HashMap<RequestId, Record>,
    arrivals: HashMap<RequestId, (NewRequest, Arrival)>,
    handed: HashMap<(usize, RequestId), usize>,
    wasted: (u64, u64),
    decisions: u64,
    spent: Duration,
    reports: u64,
}

/// Runs a policy in a scenario.
pub fn run<P: Contestant>(settings: RunSettings, make: impl Fn(usize) -> P) -> Score {
    let mut run = Run {
        settings,
        now: Time::ZERO,
        queue: BTreeMap::new(),
        sequence: 0,
        nodes: (0..INSTANCES).map(make).collect(),
        alive: [true; INSTANCES],
        fleet: Fleet::new(settings.deployment),
        records: HashMap::new(),
        arrivals: HashMap::new(),
        handed: HashMap::new(),
        wasted: (0, 0),
        decisions: 0,
        spent: Duration::ZERO,
        reports: 0,
    };
    run.prepare();
    run.go();
    run.score()
}

/// Gives the request whose whole answer an event tells of.
fn ended_request(event: &Event) -> Option<RequestId> {
    match event {
        Event::HandOver(HandOverEvent::Ended(id)) => Some(*id),
        Event::Endpoint(e) if matches!(e.news, DispatchNews::Ended { .. }) => Some(e.id),
        _ => None,
    }
}

fn node_name(i: usize) -> String {
    format!("node-{i}")
}

impl<P: Contestant> Run<P> {
    fn plan(&mut self, at: Time, happening: Happening) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), happening);
    }

    fn prepare(&mut self) {
        let catalog = Arc::new(fleet::catalog(self.settings.deployment));
        for i in 0..INSTANCES {
            self.step(i, Event::Config(Arc::clone(&catalog)));
        }
        for e in 0..self.fleet.engines.len() + self.fleet.servers.len() {
            // Reports do not all come at the same moment.
            let at = REPORT_PAUSE.mul_f64(e as f64 / 60.0);
            self.plan(at, Happening::Report(e));
        }
        self.plan(BEAT_PAUSE, Happening::Beats);
        self.plan(TIMER_PAUSE, Happening::Timers);
        self.plan_faults();
        self.plan_arrivals();
    }

    fn plan_faults(&mut self) {
        match self.settings.scenario {
            Scenario::SlowEngines => {
                for e in self.fleet.engines.iter_mut().step_by(10) {
                    e.model.set_slowdown(4.0);
                }
            }
            Scenario::EnginesKilled => {
                for (i, secs) in [(3, 10), (17, 14), (31, 18)] {
                    self.plan(Duration::from_secs(secs), Happening::KillEngine(i));
                }
            }
            Scenario::InstanceKilled => {
                self.plan(Duration::from_secs(12), Happening::KillInstance(0));
            }
            _ => {}
        }
    }

    fn plan_arrivals(&mut self) {
        let s = self.settings;
        let capacity = fleet::capacity(s.deployment);
        let most = 2.4 * capacity;
        let work = Workload::new(s.deployment, s.seed, most, INSTANCES)
            .with_account_parts(s.scenario.account_parts());
        // Arrivals at the highest rate are thinned out to the rate of the moment.
        let mut thinner = 0.0;
        for arrival in work.take_while(|a| a.at < s.time) {
            thinner += s.scenario.load(arrival.at) * capacity / most;
            if thinner >= 1.0 {
                thinner -= 1.0;
                self.plan(arrival.at, Happening::Arrive(Box::new(arrival)));
            }
        }
    }

    fn go(&mut self) {
        let end = self.settings.time + COOL_DOWN;
        while let Some(((at, _), happening)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.take(happening);
        }
    }

    fn take(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive(arrival) => self.arrive(*arrival),
            Happening::Node(i, event) => self.step(i, event),
            Happening::AtEndpoint(i, dispatch) => self.at_endpoint(i, dispatch),
            Happening::Step(e) => self.engine_step(e),
            Happening::PlainDone(i, s, dispatch) => self.plain_done(i, s, &dispatch),
            Happening::Report(e) => self.report(e),
            Happening::Beats => self.beats(),
            Happening::Timers => {
                for i in 0..INSTANCES {
                    self.step(i, Event::Timer);
                }
                self.plan(self.now + TIMER_PAUSE, Happening::Timers);
            }
            Happening::Orphans(i) => self.drop_orphans(i),
            Happening::KillEngine(e) => self.kill_engine(e),
            Happening::KillInstance(i) => self.kill_instance(i),
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        // The balancer knows instances that are gone.
        let mut i = arrival.instance;
        while !self.alive[i] {
            i = (i + 1) % INSTANCES;
        }
        let id = Uuid::from_u64_pair(1, self.records.len() as u64);
        let account = if self.settings.one_account {
            0
        } else {
            arrival.account
        };
        let new = NewRequest {
            id,
            service: arrival.kind.service.to_owned(),
            account: fleet::ACCOUNTS[account].to_owned(),
            prompt_tokens: arrival.prompt.tokens(),
            output_tokens: arrival.kind.output.1,
            blocks: if arrival.kind.plain {
                Vec::new()
            } else {
                arrival.prompt.blocks()
            },
            bytes: 1_024,
            key: None,
            origin: Origin::Caller,
            tried: Vec::new(),
        };
        let record = Record {
            tier: arrival.kind.tier,
            target: fleet::target(arrival.kind.tier),
            account: arrival.account,
            arrived: self.now,
            first: None,
            ended: None,
            tokens: arrival.output,
        };
        self.records.insert(id, record);
        self.arrivals.insert(id, (new.clone(), arrival));
        self.step(i, Event::Arrived(new));
    }

    fn step(&mut self, i: usize, event: Event) {
        if !self.alive[i] {
            return;
        }
        let ended = ended_request(&event);
        let mut out = Vec::new();
        let started = Instant::now();
        self.nodes[i].step(self.now, event, &mut out);
        self.spent += started.elapsed();
        self.decisions += 1;
        if let Some(id) = ended {
            self.end(i, id);
        }
        for action in out {
            self.carry_out(i, action);
        }
    }

    fn later(&mut self, i: usize, event: Event) {
        self.plan(self.now + LATENCY, Happening::Node(i, event));
    }

    fn carry_out(&mut self, i: usize, action: Action) {
        match action {
            Action::Dispatch(dispatch) => {
                self.plan(self.now + LATENCY, Happening::AtEndpoint(i, dispatch));
            }
            Action::HandOver { id, peer, .. } => self.hand_over(i, id, &peer),
            Action::RefuseHandOver { id, verdict, tried } => {
                if let Some(from) = self.handed.remove(&(i, id)) {
                    let verdict = Some(verdict);
                    let refusal = HandOverRefusal { id, verdict, tried };
                    self.later(from, Event::HandOver(HandOverEvent::Refused(refusal)));
                }
            }
            Action::Answer { id, verdict } => {
                if let Some(from) = self.handed.remove(&(i, id)) {
                    self.later(from, Event::HandOver(HandOverEvent::Unknown(id, verdict)));
                }
            }
            _ => {}
        }
    }

    fn hand_over(&mut self, from: usize, id: RequestId, peer: &str) {
        let to = (0..INSTANCES).find(|i| node_name(*i) == peer);
        let Some((to, (new, _))) = to.zip(self.arrivals.get(&id)) else {
            return;
        };
        let mut new = new.clone();
        new.origin = Origin::Peer(node_name(from));
        self.handed.insert((to, id), from);
        self.later(to, Event::Arrived(new));
    }

    /// Notes that the whole answer came, for the caller or the peer it came through.
    fn end(&mut self, i: usize, id: RequestId) {
        if let Some(from) = self.handed.remove(&(i, id)) {
            self.later(from, Event::HandOver(HandOverEvent::Ended(id)));
        } else if let Some(r) = self.records.get_mut(&id) {
            r.ended = r.ended.or(Some(self.now));
        }
    }

    fn tell(&mut self, i: usize, dispatch: &Dispatch, news: DispatchNews) {
        let event = EndpointEvent {
            id: dispatch.id,
            dispatch: dispatch.dispatch,
            news,
        };
        self.later(i, Event::Endpoint(event));
    }

    fn at_endpoint(&mut self, i: usize, dispatch: Dispatch) {
        match self.fleet.place(&dispatch.endpoint) {
            Some(Place::Engine(e)) if self.fleet.engines[e].alive => self.submit(i, e, dispatch),
            Some(Place::Server(s)) => {
                let server = &mut self.fleet.servers[s];
                server.running += 1;
                let crowd = f64::from(server.running.div_ceil(PLAIN_SLOTS));
                let done = self.now + PLAIN_TIME.mul_f64(crowd);
                self.plan(done, Happening::PlainDone(i, s, dispatch));
            }
            _ => self.tell(i, &dispatch, DispatchNews::Refused { unreachable: true }),
        }
    }

    fn plain_done(&mut self, i: usize, s: usize, dispatch: &Dispatch) {
        self.fleet.servers[s].running -= 1;
        if let Some(r) = self.records.get_mut(&dispatch.id) {
            r.first = r.first.or(Some(self.now + LATENCY));
        }
        self.tell(
            i,
            dispatch,
            DispatchNews::Ended {
                prompt: 0,
                cached: 0,
                output: 0,
            },
        );
    }

    fn submit(&mut self, i: usize, e: usize, dispatch: Dispatch) {
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
        let computed = prompt_tokens.saturating_sub(own as u32 * block);
        let made = dispatch.resume_from;
        let job = Job {
            node: i,
            dispatch,
            made,
            computed,
            begun: false,
        };
        engine.jobs.insert(job.dispatch.id, job);
        self.plan_step(e);
    }

    fn plan_step(&mut self, e: usize) {
        let engine = &mut self.fleet.engines[e];
        let next = engine.model.next_step();
        if next != engine.planned
            && let Some(at) = next
        {
            engine.planned = next;
            self.plan(at, Happening::Step(e));
        }
    }

    fn engine_step(&mut self, e: usize) {
        let engine = &mut self.fleet.engines[e];
        if engine.model.next_step() != Some(self.now) {
            return;
        }
        for produced in engine.model.step(self.now) {
            self.produced(e, produced);
        }
        self.plan_step(e);
    }

    fn produced(&mut self, e: usize, produced: model::Produced) {
        let Some(job) = self.fleet.engines[e].jobs.get_mut(&produced.id) else {
            return;
        };
        job.made += 1;
        let first = !std::mem::replace(&mut job.begun, true);
        let job = job.clone();
        if first {
            if let Some(r) = self.records.get_mut(&produced.id) {
                r.first = r.first.or(Some(self.now + LATENCY));
            }
            self.tell(
                job.node,
                &job.dispatch,
                DispatchNews::Started { head_sent: true },
            );
            let news = DispatchNews::Tokens {
                delivered: job.made,
                cached: produced.cached,
            };
            self.tell(job.node, &job.dispatch, news);
        }
        if produced.last {
            self.fleet.engines[e].jobs.remove(&produced.id);
            let prompt = self
                .arrivals
                .get(&produced.id)
                .map_or(0, |(new, _)| new.prompt_tokens);
            let news = DispatchNews::Ended {
                prompt,
                cached: produced.cached,
                output: job.made,
            };
            self.tell(job.node, &job.dispatch, news);
        }
    }

    /// Has an endpoint report to every instance, as late as the scenario says.
    fn report(&mut self, e: usize) {
        self.plan(self.now + REPORT_PAUSE, Happening::Report(e));
        self.reports += 1;
        let scenario = self.settings.scenario;
        let age = scenario.report_age();
        let lost = scenario == Scenario::LostCacheEvents && self.reports.is_multiple_of(2);
        let Some(report) = self.make_report(e, age, lost) else {
            return;
        };
        for i in 0..INSTANCES {
            self.plan(
                self.now + age,
                Happening::Node(i, Event::Report(report.clone())),
            );
        }
    }

    fn make_report(&mut self, e: usize, age: Duration, lost: bool) -> Option<LoadReport> {
        let Some(engine) = self.fleet.engines.get_mut(e) else {
            let server = &self.fleet.servers[e - self.fleet.engines.len()];
            return Some(LoadReport {
                endpoint: server.name.clone(),
                age,
                running: server.running,
                waiting: 0,
                backlog: 0,
                leaving: false,
                gap: false,
                added: Vec::new(),
                removed: Vec::new(),
            });
        };
        if !engine.alive {
            return None;
        }
        let (changes, gap) = engine.model.changes_after(engine.reported);
        engine.reported = engine.model.sequence();
        let blocks = |added: bool| {
            let wanted = changes.iter().filter(|c| c.added == added && !lost);
            wanted.map(|c| c.block).collect()
        };
        Some(LoadReport {
            endpoint: engine.name.clone(),
            age,
            running: engine.model.running(),
            waiting: engine.model.waiting(),
            backlog: engine.model.backlog(),
            leaving: false,
            gap: gap || lost,
            added: blocks(true),
            removed: blocks(false),
        })
    }

    fn beats(&mut self) {
        let alive = self.alive;
        for from in (0..INSTANCES).filter(|i| alive[*i]) {
            let Some(news) = self.nodes[from].news(&node_name(from)) else {
                continue;
            };
            for to in (0..INSTANCES).filter(|to| *to != from) {
                self.plan(
                    self.now + LATENCY,
                    Happening::Node(to, Event::Peer(news.clone())),
                );
            }
        }
        self.plan(self.now + BEAT_PAUSE, Happening::Beats);
    }

    fn kill_engine(&mut self, e: usize) {
        let engine = &mut self.fleet.engines[e];
        engine.alive = false;
        engine.model.clear();
        engine.planned = None;
        let jobs: Vec<Job> = std::mem::take(&mut engine.jobs).into_values().collect();
        for job in jobs {
            self.waste_job(&job);
            let news = DispatchNews::Broke {
                delivered: job.made,
            };
            self.tell(job.node, &job.dispatch, news);
        }
    }

    fn waste_job(&mut self, job: &Job) {
        if job.begun {
            self.wasted.0 += u64::from(job.computed);
        }
    }

    fn kill_instance(&mut self, i: usize) {
        self.alive[i] = false;
        self.plan(self.now + UNREAD_TIME, Happening::Orphans(i));
    }

    /// Drops what engines work on for an instance that is gone.
    fn drop_orphans(&mut self, i: usize) {
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

    fn score(self) -> Score {
        let scored = self.records.values().filter(|r| r.arrived > WARM_UP);
        let mut score = sum(scored);
        (score.wasted_lost, score.wasted_recomputed) = self.wasted;
        score.decisions_per_second = self.decisions as f64 / self.spent.as_secs_f64().max(1e-9);
        score
    }
}
