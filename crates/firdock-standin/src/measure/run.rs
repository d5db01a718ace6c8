//! Discrete-event simulation of one run: instances, endpoints, arrivals, reports and faults.

mod fault;
mod measured_policy;
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

pub use measured_policy::MeasuredPolicy;

use super::fleet::{self, Fleet};
use super::scenario::Scenario;
use super::score::{Record, Score, sum};
use crate::workload::{Arrival, Deployment, Workload};

/// Number of entry instances.
pub const INSTANCES: usize = 7;
/// One-way latency between an instance and an endpoint or a peer.
const LATENCY: Duration = Duration::from_micros(500);
/// Intervals of an endpoint's reports, an instance's heartbeats and its timer.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
const TIMER_INTERVAL: Duration = Duration::from_millis(25);
/// Warm-up that fills the caches and is not scored.
const WARM_UP: Duration = Duration::from_secs(8);
/// Time after the last arrival in which answers may still end.
const COOL_DOWN: Duration = Duration::from_secs(45);
/// Time after which an engine cancels the requests of a killed instance.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of concurrent calls on a plain server beyond which calls take longer.
const PLAIN_SLOTS: u32 = 32;

/// Event of the simulation. Instances, engines and plain servers are given by index.
enum SimEvent {
    /// A request reaches an instance.
    RequestArrival(Box<Arrival>),
    /// An event reaches the policy of an instance.
    PolicyEvent(usize, Box<Event>),
    /// A dispatch of an instance reaches its endpoint.
    DispatchArrival(usize, Dispatch),
    /// An engine ends a step.
    EngineStep(usize),
    /// A plain server ends a call that an instance dispatched: instance, server, dispatch.
    PlainCallDone(usize, usize, Dispatch),
    /// An endpoint reports its load; plain servers follow the engines in the index.
    EndpointReport(usize),
    /// All instances send heartbeats.
    Heartbeats,
    /// The timers of all instances fire.
    Timers,
    /// Engines cancel the requests of a killed instance.
    CancelOrphans(usize),
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
    /// Whether the policy sees all requests as sent by one client account.
    pub one_account: bool,
}

struct Run<P> {
    settings: RunSettings,
    now: Time,
    queue: BTreeMap<(Time, u64), SimEvent>,
    /// Breaks ties in `queue` between events at the same time.
    sequence: u64,
    policies: Vec<P>,
    alive: [bool; INSTANCES],
    fleet: Fleet,
    records: HashMap<RequestId, Record>,
    arrivals: HashMap<RequestId, (NewRequest, Arrival)>,
    /// Instance that handed a request over, by receiving instance and request.
    handed_over_from: HashMap<(usize, RequestId), usize>,
    /// Wasted prefill in tokens: lost with an endpoint or instance, and recomputed.
    wasted: (u64, u64),
    decisions: u64,
    /// Real time that the policies took for their decisions.
    policy_time: Duration,
    reports: u64,
}

/// Runs a scenario with the policies that `make` creates, one per instance.
pub fn run<P: MeasuredPolicy>(settings: RunSettings, make: impl Fn(usize) -> P) -> Score {
    let mut run = Run {
        settings,
        now: Time::ZERO,
        queue: BTreeMap::new(),
        sequence: 0,
        policies: (0..INSTANCES).map(make).collect(),
        alive: [true; INSTANCES],
        fleet: Fleet::new(settings.deployment),
        records: HashMap::new(),
        arrivals: HashMap::new(),
        handed_over_from: HashMap::new(),
        wasted: (0, 0),
        decisions: 0,
        policy_time: Duration::ZERO,
        reports: 0,
    };
    run.prepare();
    run.run_to_end();
    run.score()
}

/// Returns the request whose answer an event completes.
fn ended_request(event: &Event) -> Option<RequestId> {
    match event {
        Event::HandOver(HandOverEvent::Ended(id)) => Some(*id),
        Event::Endpoint(e) if matches!(e.update, DispatchUpdate::Ended { .. }) => Some(e.id),
        _ => None,
    }
}

fn instance_name(i: usize) -> String {
    format!("node-{i}")
}

impl<P: MeasuredPolicy> Run<P> {
    fn schedule(&mut self, at: Time, sim_event: SimEvent) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), sim_event);
    }

    fn prepare(&mut self) {
        let catalog = Arc::new(fleet::catalog(self.settings.deployment));
        for i in 0..INSTANCES {
            self.step_policy(i, Event::Config(Arc::clone(&catalog)));
        }
        for e in 0..self.fleet.engines.len() + self.fleet.servers.len() {
            // Staggers the reports, so that they do not all arrive at once.
            let at = REPORT_INTERVAL.mul_f64(e as f64 / 60.0);
            self.schedule(at, SimEvent::EndpointReport(e));
        }
        self.schedule(HEARTBEAT_INTERVAL, SimEvent::Heartbeats);
        self.schedule(TIMER_INTERVAL, SimEvent::Timers);
        self.schedule_faults();
        self.schedule_arrivals();
    }

    fn schedule_faults(&mut self) {
        match self.settings.scenario {
            Scenario::SlowEngines => {
                for e in self.fleet.engines.iter_mut().step_by(10) {
                    e.model.set_slowdown(4.0);
                }
            }
            Scenario::EnginesKilled => {
                for (i, secs) in [(3, 10), (17, 14), (31, 18)] {
                    self.schedule(Duration::from_secs(secs), SimEvent::KillEngine(i));
                }
            }
            Scenario::InstanceKilled => {
                self.schedule(Duration::from_secs(12), SimEvent::KillInstance(0));
            }
            _ => {}
        }
    }

    fn schedule_arrivals(&mut self) {
        let s = self.settings;
        let capacity = fleet::capacity(s.deployment);
        let peak_rate = 2.4 * capacity;
        let workload = Workload::new(s.deployment, s.seed, peak_rate, INSTANCES)
            .with_account_weights(s.scenario.account_weights());
        // Generates arrivals at the peak rate and thins them to the rate of the moment.
        let mut thinning_credit = 0.0;
        for arrival in workload.take_while(|a| a.at < s.time) {
            thinning_credit += s.scenario.load(arrival.at) * capacity / peak_rate;
            if thinning_credit >= 1.0 {
                thinning_credit -= 1.0;
                self.schedule(arrival.at, SimEvent::RequestArrival(Box::new(arrival)));
            }
        }
    }

    fn run_to_end(&mut self) {
        let end = self.settings.time + COOL_DOWN;
        while let Some(((at, _), sim_event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(sim_event);
        }
    }

    fn handle(&mut self, sim_event: SimEvent) {
        match sim_event {
            SimEvent::RequestArrival(arrival) => self.handle_arrival(*arrival),
            SimEvent::PolicyEvent(i, event) => self.step_policy(i, *event),
            SimEvent::DispatchArrival(i, dispatch) => self.receive_dispatch(i, dispatch),
            SimEvent::EngineStep(e) => self.step_engine(e),
            SimEvent::PlainCallDone(i, s, dispatch) => self.finish_plain_call(i, s, &dispatch),
            SimEvent::EndpointReport(e) => self.report_endpoint(e),
            SimEvent::Heartbeats => self.send_heartbeats(),
            SimEvent::Timers => {
                for i in 0..INSTANCES {
                    self.step_policy(i, Event::Timer);
                }
                self.schedule(self.now + TIMER_INTERVAL, SimEvent::Timers);
            }
            SimEvent::CancelOrphans(i) => self.cancel_orphans(i),
            SimEvent::KillEngine(e) => self.kill_engine(e),
            SimEvent::KillInstance(i) => self.kill_instance(i),
        }
    }

    fn handle_arrival(&mut self, arrival: Arrival) {
        // The load balancer skips instances that are gone.
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
        self.step_policy(i, Event::Arrived(new));
    }

    fn step_policy(&mut self, i: usize, event: Event) {
        if !self.alive[i] {
            return;
        }
        let ended = ended_request(&event);
        let mut out = Vec::new();
        let started = Instant::now();
        self.policies[i].step(self.now, event, &mut out);
        self.policy_time += started.elapsed();
        self.decisions += 1;
        if let Some(id) = ended {
            self.record_complete(i, id);
        }
        for action in out {
            self.execute(i, action);
        }
    }

    fn deliver(&mut self, i: usize, event: Event) {
        self.schedule(
            self.now + LATENCY,
            SimEvent::PolicyEvent(i, Box::new(event)),
        );
    }

    fn execute(&mut self, i: usize, action: Action) {
        match action {
            Action::Dispatch(dispatch) => {
                self.schedule(self.now + LATENCY, SimEvent::DispatchArrival(i, dispatch));
            }
            Action::HandOver { id, peer, .. } => self.hand_over(i, id, &peer),
            Action::RefuseHandOver { id, verdict, tried } => {
                if let Some(from) = self.handed_over_from.remove(&(i, id)) {
                    let verdict = Some(verdict);
                    let refusal = HandOverRefusal { id, verdict, tried };
                    self.deliver(from, Event::HandOver(HandOverEvent::Refused(refusal)));
                }
            }
            Action::Answer { id, verdict } => {
                if let Some(from) = self.handed_over_from.remove(&(i, id)) {
                    self.deliver(from, Event::HandOver(HandOverEvent::Unknown(id, verdict)));
                }
            }
            _ => {}
        }
    }

    fn hand_over(&mut self, from: usize, id: RequestId, peer: &str) {
        let to = (0..INSTANCES).find(|i| instance_name(*i) == peer);
        let Some((to, (new, _))) = to.zip(self.arrivals.get(&id)) else {
            return;
        };
        let mut new = new.clone();
        new.origin = Origin::Peer(instance_name(from));
        self.handed_over_from.insert((to, id), from);
        self.deliver(to, Event::Arrived(new));
    }

    /// Records a complete answer, for the caller or for the peer that handed the request over.
    fn record_complete(&mut self, i: usize, id: RequestId) {
        if let Some(from) = self.handed_over_from.remove(&(i, id)) {
            self.deliver(from, Event::HandOver(HandOverEvent::Ended(id)));
        } else if let Some(r) = self.records.get_mut(&id) {
            r.ended = r.ended.or(Some(self.now));
        }
    }

    fn send_update(&mut self, i: usize, dispatch: &Dispatch, update: DispatchUpdate) {
        let event = EndpointEvent {
            id: dispatch.id,
            dispatch: dispatch.dispatch,
            update,
        };
        self.deliver(i, Event::Endpoint(event));
    }

    fn score(self) -> Score {
        let scored = self.records.values().filter(|r| r.arrived > WARM_UP);
        let mut score = sum(scored);
        (score.wasted_lost, score.wasted_recomputed) = self.wasted;
        score.decisions_per_second =
            self.decisions as f64 / self.policy_time.as_secs_f64().max(1e-9);
        score
    }
}
