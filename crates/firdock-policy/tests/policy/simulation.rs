//! Simulation in virtual time of instances, endpoints, the log and callers, with faults.
//!
//! It records by itself which requests ran and which results callers got, and compares both at the end.

mod check;
mod message;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use firdock_core::resource::Resource;
use firdock_core::{Content, RequestId};
use firdock_policy::action::Dispatch;
use firdock_policy::event::{
    DispatchUpdate, EndpointEvent, HandOverEvent, ListedInstance, LogReading, Member, MemberView,
    PeerUpdate,
};
use firdock_policy::{Event, NewRequest, Policy as _, Scheduler};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use uuid::Uuid;

use crate::fixtures::{LOG_START, catalog, id, millis, request, resources, settings, with_key};

/// Number of simulated instances.
pub const INSTANCES: usize = 3;
const ENDPOINTS: [&str; 4] = ["engine-0", "engine-1", "plain-0", "plain-1"];
const SERVICES: [&str; 4] = ["tiles", "orders", "guide", "draft"];
/// Resources that operators remove and apply again.
const TOGGLED: [&str; 5] = ["hall", "engine-1", "plain-1", "draft", "orders"];
/// Number of distinct contents that callers send for each service and account.
const CONTENTS: u64 = 3;
const START: Duration = Duration::from_secs(1_000);

/// One operation of the simulation; indices are taken modulo the number of existing items.
#[derive(Debug, Clone, Copy)]
pub enum Op {
    /// A caller sends a request.
    Send {
        instance: u8,
        service: u8,
        account: u8,
    },
    /// A caller sends an order under a new key; `timed` keys carry their minting time.
    Order { instance: u8, timed: bool },
    /// A caller sends an earlier order again.
    Resend { instance: u8, order: u8 },
    /// A caller disconnects.
    Leave { request: u8 },
    /// Time passes.
    Wait { millis: u16 },
    /// An endpoint has a fault from now on: 0 none, 1 unreachable, 2 refuses, 3 breaks, 4 silent,
    /// 5 refuses and asks for a backoff, 6 announces that it leaves.
    Endpoint { endpoint: u8, fault: u8 },
    /// The list of instances shows an endpoint as leaving, or no longer.
    Leaving { endpoint: u8, leaving: bool },
    /// An instance is killed and starts again with empty tables.
    Kill { instance: u8 },
    /// An instance is paused or resumed.
    Pause { instance: u8, paused: bool },
    /// An instance is disconnected from the log, or reconnected.
    LogCut { instance: u8, cut: bool },
    /// The log gets a record that removes a member.
    Remove { instance: u8 },
    /// An instance is asked to stop.
    Drain { instance: u8 },
    /// Operators remove a resource, or apply it again.
    Toggle { resource: u8 },
    /// An instance's coordinator answers from now on, or stops answering.
    Coordinate { instance: u8, answers: bool },
    /// An endpoint restarts under its name.
    Restart { endpoint: u8 },
}

#[derive(Debug, Clone)]
#[expect(
    clippy::large_enum_variant,
    reason = "most messages are events, and there are few at a time"
)]
enum Message {
    /// An event for an instance's scheduler.
    Event(usize, Uuid, Event),
    /// An instance is about to write a dispatch.
    Write(usize, Uuid, Dispatch),
    /// A request arrives at an endpoint.
    AtEndpoint(usize, Uuid, Dispatch),
    /// An endpoint finishes a request.
    EndpointDone(usize, Uuid, Dispatch),
}

struct Instance {
    scheduler: Scheduler,
    member: Member,
    paused: bool,
    log_cut: bool,
    seen_views: usize,
    seen_version: u64,
}

/// What the caller of a request sent and got.
struct CallerRecord {
    instance: usize,
    key: Option<u64>,
    repeatable: bool,
    results: Vec<(Duration, &'static str)>,
    disconnected: bool,
}

pub struct Simulation {
    rng: StdRng,
    now: Duration,
    instances: Vec<Instance>,
    queue: BTreeMap<(Duration, u64), Message>,
    sequence: u64,
    views: Vec<MemberView>,
    faults: [u8; ENDPOINTS.len()],
    leaving: [bool; ENDPOINTS.len()],
    absent: [bool; TOGGLED.len()],
    version: u64,
    callers: BTreeMap<RequestId, CallerRecord>,
    requests: BTreeMap<RequestId, NewRequest>,
    /// For each handed-over request and the instance that has it, the instance that handed it over.
    handed_over: BTreeMap<(usize, RequestId), usize>,
    /// When an owner refused a request that was handed over to it; its caller learns of that later.
    refused: BTreeMap<RequestId, Duration>,
    dispatched: BTreeSet<(RequestId, String)>,
    /// How often each endpoint has restarted; its start is listed from the first restart on.
    starts: [u64; ENDPOINTS.len()],
    /// Dispatches that an instance gave up because their endpoint restarted.
    given_up: BTreeSet<(Uuid, RequestId, u32)>,
    /// Dispatches that an instance cancelled because their callers left or their time limits expired.
    cancelled: BTreeSet<(Uuid, RequestId, u32)>,
    /// Dispatches that an instance withheld because their endpoint accepts no new requests.
    withheld: BTreeSet<(Uuid, RequestId, u32)>,
    executions: Vec<(Duration, RequestId, Option<u64>)>,
    /// How often an instance put a request in quarantine.
    pub quarantined: u64,
    orders: Vec<(u64, Option<Duration>)>,
    last_id: u64,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now: START,
            instances: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            views: Vec::new(),
            faults: [0; ENDPOINTS.len()],
            leaving: [false; ENDPOINTS.len()],
            absent: [false; TOGGLED.len()],
            version: 1,
            callers: BTreeMap::new(),
            requests: BTreeMap::new(),
            handed_over: BTreeMap::new(),
            refused: BTreeMap::new(),
            dispatched: BTreeSet::new(),
            starts: [0; ENDPOINTS.len()],
            cancelled: BTreeSet::new(),
            withheld: BTreeSet::new(),
            given_up: BTreeSet::new(),
            executions: Vec::new(),
            quarantined: 0,
            orders: Vec::new(),
            last_id: 0,
        };
        for i in 0..INSTANCES {
            let instance = world.start_instance(i);
            world.instances.push(instance);
        }
        let members = world.instances.iter().map(|n| n.member.clone()).collect();
        world.append_view(members);
        world.tick();
        world
    }

    fn next_id(&mut self) -> Uuid {
        self.last_id += 1;
        id(self.last_id)
    }

    fn start_instance(&mut self, i: usize) -> Instance {
        let mut s = settings(&format!("node-{i}"));
        s.member.incarnation = self.next_id();
        let member = s.member.clone();
        let mut scheduler = Scheduler::new(s);
        scheduler.step(self.now, self.catalog(), &mut Vec::new());
        Instance {
            scheduler,
            member,
            paused: false,
            log_cut: false,
            seen_views: 0,
            seen_version: self.version,
        }
    }

    fn catalog(&self) -> Event {
        let gone = |name: &str| {
            TOGGLED
                .iter()
                .zip(self.absent)
                .any(|(t, a)| a && *t == name)
        };
        let kept = resources().into_iter().filter(|r| !gone(&r.key().name));
        let started = kept.map(|r| self.with_start(r));
        catalog(self.version, started.collect())
    }

    fn with_start(&self, mut resource: Resource) -> Resource {
        if let Resource::Endpoint(e) = &mut resource {
            let starts = self.starts[endpoint_index(&e.name)];
            e.started = (starts > 0).then(|| millis(starts));
        }
        resource
    }

    fn log_now(&self) -> Duration {
        LOG_START + self.now
    }

    fn append_view(&mut self, members: Vec<Member>) {
        let number = self.views.len() as u64 + 1;
        let first = self.views.is_empty();
        self.views.push(MemberView {
            since: self.log_now(),
            number,
            first,
            members,
        });
    }

    fn send(&mut self, delay: Duration, message: Message) {
        self.sequence += 1;
        self.queue
            .insert((self.now + delay, self.sequence), message);
    }

    fn random_delay(&mut self) -> Duration {
        millis(self.rng.random_range(1..30))
    }

    pub fn apply(&mut self, op: Op) {
        match op {
            Op::Send {
                instance,
                service,
                account,
            } => self.send_request(instance, service, account),
            Op::Order { instance, timed } => {
                let minted = timed.then(|| self.log_now());
                self.last_id += 1;
                self.orders.push((self.last_id, minted));
                self.send_order(instance, self.orders.len() - 1);
            }
            Op::Resend { instance, order } if !self.orders.is_empty() => {
                self.send_order(instance, usize::from(order) % self.orders.len());
            }
            Op::Leave { request } => self.leave(request),
            Op::Wait { millis: n } => self.run_until(self.now + millis(u64::from(n))),
            Op::Endpoint { endpoint, fault } => {
                self.faults[usize::from(endpoint) % ENDPOINTS.len()] = fault % 7;
            }
            Op::Leaving { endpoint, leaving } => {
                self.leaving[usize::from(endpoint) % ENDPOINTS.len()] = leaving;
            }
            Op::Kill { instance } => self.kill(usize::from(instance) % INSTANCES),
            Op::Pause { instance, paused } => {
                self.instances[usize::from(instance) % INSTANCES].paused = paused;
            }
            Op::LogCut { instance, cut } => {
                self.instances[usize::from(instance) % INSTANCES].log_cut = cut;
            }
            Op::Remove { instance } => {
                let name = &self.instances[usize::from(instance) % INSTANCES]
                    .member
                    .name;
                let last = self.views.last().expect("there is always a view");
                let members = last
                    .members
                    .iter()
                    .filter(|m| m.name != *name)
                    .cloned()
                    .collect();
                self.append_view(members);
            }
            Op::Toggle { resource } => {
                let absent = &mut self.absent[usize::from(resource) % TOGGLED.len()];
                *absent = !*absent;
                self.version += 1;
            }
            Op::Coordinate { instance, answers } => {
                self.step(
                    usize::from(instance) % INSTANCES,
                    Event::Coordinated(answers),
                );
            }
            Op::Restart { endpoint } => {
                self.starts[usize::from(endpoint) % ENDPOINTS.len()] += 1;
                self.version += 1;
            }
            Op::Drain { instance } => self.step(usize::from(instance) % INSTANCES, Event::Drain),
            Op::Resend { .. } => {}
        }
    }

    fn send_request(&mut self, instance: u8, service: u8, account: u8) {
        let service = SERVICES[usize::from(service) % SERVICES.len()];
        let account = if account.is_multiple_of(2) {
            "shop"
        } else {
            "hall"
        };
        let mut new = request(0, service, account);
        new.id = self.next_id();
        new.content = Some(content(service, account, self.last_id % CONTENTS));
        self.arrive(usize::from(instance) % INSTANCES, new, service != "orders");
    }

    fn send_order(&mut self, instance: u8, order: usize) {
        let (key, minted) = self.orders[order];
        let mut new = with_key(request(0, "orders", "shop"), key, minted);
        new.id = self.next_id();
        new.content = Some(content("orders", "shop", key));
        self.arrive(usize::from(instance) % INSTANCES, new, false);
    }

    fn arrive(&mut self, instance: usize, new: NewRequest, repeatable: bool) {
        let key = new.key.map(|k| k.hash);
        let caller = CallerRecord {
            instance,
            key,
            repeatable,
            results: Vec::new(),
            disconnected: false,
        };
        self.callers.insert(new.id, caller);
        self.requests.insert(new.id, new.clone());
        let incarnation = self.instances[instance].member.incarnation;
        let delay = self.random_delay();
        self.send(
            delay,
            Message::Event(instance, incarnation, Event::Arrived(new)),
        );
    }

    fn leave(&mut self, request: u8) {
        let open: Vec<RequestId> = self
            .callers
            .iter()
            .filter(|(_, t)| t.results.is_empty())
            .map(|(id, _)| *id)
            .collect();
        let Some(id) = open.get(usize::from(request) % open.len().max(1)).copied() else {
            return;
        };
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        caller.disconnected = true;
        let instance = caller.instance;
        let incarnation = self.instances[instance].member.incarnation;
        let delay = self.random_delay();
        self.send(
            delay,
            Message::Event(instance, incarnation, Event::CallerLeft(id)),
        );
    }

    /// Kills an instance: the connections of its callers and peers break.
    fn kill(&mut self, i: usize) {
        for caller in self.callers.values_mut().filter(|t| t.instance == i) {
            caller.disconnected = true;
        }
        let broken: Vec<(RequestId, usize)> = self
            .handed_over
            .iter()
            .filter(|((with, _), _)| *with == i)
            .map(|((_, id), from)| (*id, *from))
            .collect();
        for (id, from) in broken {
            self.handed_over.remove(&(i, id));
            let incarnation = self.instances[from].member.incarnation;
            let event = Event::HandOver(HandOverEvent::Broke(id));
            let delay = self.random_delay();
            self.send(delay, Message::Event(from, incarnation, event));
        }
        let instance = self.start_instance(i);
        let member = instance.member.clone();
        self.instances[i] = instance;
        let mut members = self
            .views
            .last()
            .map(|v| v.members.clone())
            .unwrap_or_default();
        members.retain(|m| m.name != member.name);
        members.push(member);
        members.sort_by(|a, b| a.name.cmp(&b.name));
        self.append_view(members);
    }

    pub fn run_until(&mut self, end: Duration) {
        const TICK: Duration = Duration::from_millis(50);
        while self.now < end {
            let next_tick = (self.now + TICK).min(end);
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > next_tick {
                    break;
                }
                let ((at, _), message) = entry.remove_entry();
                self.now = self.now.max(at);
                self.handle_message(message);
            }
            self.now = next_tick;
            self.tick();
        }
    }

    /// Lets every instance that is not paused read the log and exchange heartbeats with its peers.
    fn tick(&mut self) {
        for i in 0..INSTANCES {
            if self.instances[i].paused {
                continue;
            }
            if !self.instances[i].log_cut {
                let views = self.views[self.instances[i].seen_views..].to_vec();
                self.instances[i].seen_views = self.views.len();
                for view in views {
                    self.step(i, Event::View(view));
                }
                if self.instances[i].seen_version < self.version {
                    self.instances[i].seen_version = self.version;
                    self.step(i, self.catalog());
                }
                let reading = LogReading {
                    log_time: self.log_now(),
                    sent: self.now,
                };
                self.step(i, Event::LogRead(reading));
            }
            let rows = ENDPOINTS.iter().zip(self.leaving);
            let rows = rows.map(|(name, leaving)| ListedInstance {
                name: (*name).to_owned(),
                leaving,
            });
            self.step(i, Event::Listed(rows.collect()));
            self.send_heartbeats(i);
            self.step(i, Event::Timer);
        }
    }

    fn send_heartbeats(&mut self, from: usize) {
        let t = self.instances[from].scheduler.tables();
        let update = PeerUpdate {
            name: self.instances[from].member.name.clone(),
            zone: "zone".to_owned(),
            held: t.requests.held_by_rank().to_vec(),
            demand: Vec::new(),
            draining: t.draining,
            suspects: t.suspects.reports(self.now, 0),
            ..PeerUpdate::default()
        };
        for to in (0..INSTANCES).filter(|to| *to != from) {
            if !self.instances[to].paused {
                self.step(to, Event::Peer(update.clone()));
            }
        }
    }
}

/// Content of a request. There are few distinct ones, so that contents repeat.
fn content(service: &str, account: &str, body: u64) -> Arc<Content> {
    let body = body.to_be_bytes();
    Arc::new(Content::new(account, "POST", service, &body))
}

fn endpoint_event(dispatch: &Dispatch, update: DispatchUpdate) -> Event {
    Event::Endpoint(EndpointEvent {
        id: dispatch.id,
        dispatch: dispatch.dispatch,
        update,
    })
}

fn endpoint_index(name: &str) -> usize {
    ENDPOINTS
        .iter()
        .position(|e| *e == name)
        .expect("a simulated endpoint")
}

fn instance_index(name: &str) -> usize {
    name.trim_start_matches("node-")
        .parse()
        .expect("a simulated instance")
}
