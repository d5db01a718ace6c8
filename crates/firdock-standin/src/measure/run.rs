//! One run in virtual time: instances, endpoints, arrivals, reports, faults.

mod contestant;
mod fault;
mod report;
mod serve;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use firdock_core::RequestId;
use firdock_policy::action::Dispatch;
use firdock_policy::event::{DispatchUpdate, EndpointEvent, HandOverEvent, HandOverRefusal};
use firdock_policy::{Action, Event, NewRequest, Origin, Time};
use uuid::Uuid;

pub use contestant::Contestant;

use super::fleet::{self, Fleet};
use super::scenario::Scenario;
use super::score::{Record, Score, sum};
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

enum Happening {
    Arrive(Box<Arrival>),
    Node(usize, Box<Event>),
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
        Event::Endpoint(e) if matches!(e.update, DispatchUpdate::Ended { .. }) => Some(e.id),
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
            .with_account_weights(s.scenario.account_weights());
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
            Happening::Node(i, event) => self.step(i, *event),
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
            ..NewRequest::default()
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
        self.plan(self.now + LATENCY, Happening::Node(i, Box::new(event)));
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

    fn tell(&mut self, i: usize, dispatch: &Dispatch, news: DispatchUpdate) {
        let event = EndpointEvent {
            id: dispatch.id,
            dispatch: dispatch.dispatch,
            update: news,
        };
        self.later(i, Event::Endpoint(event));
    }

    fn score(self) -> Score {
        let scored = self.records.values().filter(|r| r.arrived > WARM_UP);
        let mut score = sum(scored);
        (score.wasted_lost, score.wasted_recomputed) = self.wasted;
        score.decisions_per_second = self.decisions as f64 / self.spent.as_secs_f64().max(1e-9);
        score
    }
}
