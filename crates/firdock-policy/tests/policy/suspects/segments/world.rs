//! Instances, their callers and endpoints that exit, in virtual time.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::resource::{Catalog, Endpoint, Resource};
use firdock_policy::event::{DispatchUpdate, Liveness, PeerUpdate};
use firdock_policy::{Action, Event, Time};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

use super::super::{ENDED, break_connection, endpoints, final_verdict, liveness_checked};
use super::{FIRST_TOKEN, with_segments};
use crate::edge::{EdgeScheduler, edge_settings};
use crate::fixtures::millis;

/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(10);
/// Time for which requests arrive.
const TRAFFIC_TIME: Duration = Duration::from_secs(20);
/// Time after which an endpoint that exited is back under another name.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Interval between two heartbeats of an instance.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Number of exits after which the target counts, and the time that it allows for the news: `contact_ms`.
const COUNTED_FROM: usize = 5;
const CONTACT: Duration = Duration::from_secs(3);
/// Requests that arrive in a second for each slot.
const REQUESTS_PER_SLOT: f64 = 0.8;

/// What happens in a run.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub endpoints: usize,
    pub slots: u32,
    pub instances: usize,
    /// Time after which the first requests with the deadly segment arrive.
    pub deadly_from: Duration,
    /// Requests in a hundred that have it.
    pub deadly_percent: u64,
    /// Whether the deadly segment is the first one of their prompts.
    pub deadly_first: bool,
    /// Whether endpoints also exit for other reasons, about one in two seconds.
    pub other_crashes: bool,
    /// Whether a quarter of the endpoints exits at once, twice.
    pub rack_falls: bool,
    /// Heartbeats in a hundred that are lost.
    pub lost_percent: u64,
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct RunResult {
    /// Exits because of the deadly segment.
    pub exits: usize,
    /// Deadly requests that were sent later than the target allows.
    pub sent_late: usize,
    /// Sound requests that were refused as deadly ones.
    pub sound_refused: usize,
    pub sound_sent: usize,
    pub sound_served: usize,
}

struct Run {
    instance: usize,
    n: u64,
    dispatch: u32,
    endpoint: String,
    begins: Time,
    ends: Time,
    begun: bool,
}

struct Server {
    name: String,
    /// When it is back; `None` while it is up.
    back: Option<Time>,
}

pub struct World {
    load: Load,
    random: StdRng,
    instances: Vec<EdgeScheduler>,
    reported: Vec<u64>,
    servers: Vec<Server>,
    running: Vec<Run>,
    actions: Vec<(usize, Action)>,
    began: Time,
    now: Time,
    version: u64,
    fifth_exit: Option<Time>,
    /// Number of the first request that may be deadly.
    first_deadly: u64,
    result: RunResult,
}

impl World {
    pub fn new(load: Load) -> Self {
        let names = ["a", "b", "c", "d"];
        let instances: Vec<EdgeScheduler> = names[..load.instances]
            .iter()
            .map(|name| EdgeScheduler::new(edge_settings(name), endpoints(0)))
            .collect();
        let servers = (0..load.endpoints).map(|n| Server {
            name: format!("s{n}"),
            back: None,
        });
        let began = instances[0].now;
        let mut world = Self {
            random: StdRng::seed_from_u64(load.seed),
            reported: vec![0; load.instances],
            servers: servers.collect(),
            running: Vec::new(),
            actions: Vec::new(),
            began,
            now: began,
            version: 1,
            fifth_exit: None,
            first_deadly: u64::MAX,
            result: RunResult::default(),
            instances,
            load,
        };
        world.list();
        world
    }

    /// Runs to the end.
    pub fn run(mut self) -> RunResult {
        let mut n = 0;
        let per_step = f64::from(self.load.slots)
            * self.load.endpoints as f64
            * REQUESTS_PER_SLOT
            * STEP.as_secs_f64();
        let mut owed = 0.0;
        while self.now < self.began + TRAFFIC_TIME {
            self.now += STEP;
            self.tick();
            owed += per_step;
            while owed >= 1.0 {
                owed -= 1.0;
                n += 1;
                if self.began + self.load.deadly_from <= self.now {
                    self.first_deadly = self.first_deadly.min(n);
                }
                self.arrive(n);
            }
            self.crash_for_other_reasons();
            self.advance_runs();
            self.follow_actions();
        }
        self.result
    }

    fn is_deadly(&self, n: u64) -> bool {
        n >= self.first_deadly && n * 37 % 100 < self.load.deadly_percent
    }

    /// Lets the time pass at all instances, which exchange heartbeats.
    fn tick(&mut self) {
        if self
            .servers
            .iter()
            .any(|s| s.back.is_some_and(|at| at <= self.now))
        {
            for server in &mut self.servers {
                if server.back.take_if(|at| *at <= self.now).is_some() {
                    server.name.push('x');
                }
            }
            self.list();
        }
        let elapsed = self.now.saturating_sub(self.began).as_millis();
        let due = elapsed.is_multiple_of(HEARTBEAT_INTERVAL.as_millis());
        for i in 0..self.instances.len() {
            let now = self.now;
            let edge = &mut self.instances[i];
            edge.now = now;
            edge.step(Event::ConfigConfirmed(now));
            let actions = edge.step(Event::Timer);
            self.actions.extend(actions.into_iter().map(|a| (i, a)));
            self.send_heartbeat(i, due);
        }
    }

    /// Sends a heartbeat if one is due, or if this instance saw something to report at once.
    fn send_heartbeat(&mut self, i: usize, due: bool) {
        let t = self.instances[i].scheduler.tables();
        let revision = t.suspects.revision().own;
        let urgent = std::mem::replace(&mut self.reported[i], revision) != revision;
        if !due && !urgent {
            return;
        }
        let round = (self.now.as_millis() / HEARTBEAT_INTERVAL.as_millis()) as usize;
        let suspects = t.suspects.reports(self.now, round);
        for other in (0..self.instances.len()).filter(|other| *other != i) {
            if self.random.random_range(0..100) < self.load.lost_percent {
                continue;
            }
            let update = PeerUpdate {
                name: format!("peer {i}"),
                suspects: suspects.clone(),
                ..PeerUpdate::default()
            };
            self.instances[other].now = self.now;
            let actions = self.instances[other].step(Event::Peer(update));
            self.actions.extend(actions.into_iter().map(|a| (other, a)));
        }
    }

    /// Lists the endpoints that are up.
    fn list(&mut self) {
        self.version += 1;
        let up = self.servers.iter().filter(|s| s.back.is_none());
        let mut all = endpoints(0);
        all.extend(up.map(|server| {
            Resource::Endpoint(Endpoint {
                name: server.name.clone(),
                pool: "pool".to_owned(),
                slots: self.load.slots,
                ..Endpoint::default()
            })
        }));
        let catalog = Arc::new(Catalog::new(self.version).with_resources(all));
        for (i, edge) in self.instances.iter_mut().enumerate() {
            let actions = edge.step(Event::Config(Arc::clone(&catalog)));
            self.actions.extend(actions.into_iter().map(|a| (i, a)));
        }
    }

    fn arrive(&mut self, n: u64) {
        let popular = format!("popular {}", n % 3);
        let rare = format!("rare {}", n % 97);
        let other = if n.is_multiple_of(2) { &popular } else { &rare };
        let segments: [&str; 3] = match (self.is_deadly(n), self.load.deadly_first) {
            (true, true) => ["deadly", "shared", other],
            (true, false) => ["shared", other, "deadly"],
            (false, _) => ["shared", other, "sound"],
        };
        let mut new = with_segments(n, &segments);
        new.deadline = Some(self.now + Duration::from_secs(2));
        let i = self.random.random_range(0..self.instances.len());
        self.result.sound_sent += usize::from(!self.is_deadly(n));
        let actions = self.instances[i].arrive(new);
        self.actions.extend(actions.into_iter().map(|a| (i, a)));
    }

    fn crash_for_other_reasons(&mut self) {
        let elapsed = self.now.saturating_sub(self.began).as_millis();
        if self.load.rack_falls && [4_000, 12_000].contains(&elapsed) {
            for at in 0..self.servers.len() / 4 {
                self.crash(at);
            }
        }
        if self.load.other_crashes && self.random.random_range(0..200) == 0 {
            let at = self.random.random_range(0..self.servers.len());
            self.crash(at);
        }
    }

    /// Ends an endpoint with all that it runs.
    fn crash(&mut self, at: usize) {
        if self.servers[at].back.is_some() {
            return;
        }
        self.servers[at].back = Some(self.now + RESTART_TIME);
        let name = self.servers[at].name.clone();
        let on_board: Vec<Run> = self
            .running
            .extract_if(.., |run| run.endpoint == name)
            .collect();
        let mut seen: Vec<usize> = on_board.iter().map(|run| run.instance).collect();
        for run in on_board {
            let actions = break_connection(&mut self.instances[run.instance], run.n, run.dispatch);
            self.actions
                .extend(actions.into_iter().map(|a| (run.instance, a)));
        }
        seen.sort_unstable();
        seen.dedup();
        for i in seen {
            let actions = liveness_checked(&mut self.instances[i], &name, Liveness::Ended);
            self.actions.extend(actions.into_iter().map(|a| (i, a)));
        }
    }

    /// Begins and ends answers whose time has come.
    fn advance_runs(&mut self) {
        let now = self.now;
        let deadly = self
            .running
            .iter()
            .filter(|run| run.begins <= now && self.is_deadly(run.n));
        let mut exits: Vec<String> = deadly.map(|run| run.endpoint.clone()).collect();
        exits.sort_unstable();
        exits.dedup();
        for name in exits {
            self.result.exits += 1;
            if self.result.exits == COUNTED_FROM {
                self.fifth_exit = Some(now);
            }
            let at = self.servers.iter().position(|s| s.name == name);
            self.crash(at.expect("a known endpoint"));
        }
        let mut updates: Vec<(usize, u64, u32, DispatchUpdate)> = Vec::new();
        for run in self.running.iter_mut().filter(|run| run.begins <= now) {
            if !std::mem::replace(&mut run.begun, true) {
                updates.push((run.instance, run.n, run.dispatch, FIRST_TOKEN));
            }
        }
        for run in self.running.extract_if(.., |run| run.ends <= now) {
            self.result.sound_served += 1;
            updates.push((run.instance, run.n, run.dispatch, ENDED));
        }
        for (i, n, dispatch, update) in updates {
            let actions = self.instances[i].update_dispatch(n, dispatch, update);
            self.actions.extend(actions.into_iter().map(|a| (i, a)));
        }
    }

    fn follow_actions(&mut self) {
        while let Some((i, action)) = self.actions.pop() {
            match action {
                Action::Dispatch(d) => {
                    self.dispatch(i, d.id.as_u64_pair().1, d.dispatch, d.endpoint);
                }
                Action::Answer { id, .. } => {
                    let n = id.as_u64_pair().1;
                    let verdict = final_verdict(&[action], n);
                    let deadly = verdict.is_some_and(|v| v.reason.as_str() == "ends-endpoints");
                    self.result.sound_refused += usize::from(deadly && !self.is_deadly(n));
                }
                _ => {}
            }
        }
    }

    fn dispatch(&mut self, instance: usize, n: u64, dispatch: u32, endpoint: String) {
        let up = self
            .servers
            .iter()
            .any(|s| s.name == endpoint && s.back.is_none());
        if !up {
            let refused = DispatchUpdate::Refused { unreachable: true };
            let actions = self.instances[instance].update_dispatch(n, dispatch, refused);
            self.actions
                .extend(actions.into_iter().map(|a| (instance, a)));
            return;
        }
        let late = self.fifth_exit.is_some_and(|at| at + CONTACT < self.now);
        self.result.sent_late += usize::from(late && self.is_deadly(n));
        let begins = self.now + millis(self.random.random_range(20..200));
        let ends = begins + millis(self.random.random_range(100..600));
        self.running.push(Run {
            instance,
            n,
            dispatch,
            endpoint,
            begins,
            ends,
            begun: false,
        });
    }
}
