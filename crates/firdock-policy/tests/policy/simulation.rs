//! A small world in virtual time: instances, endpoints, a log and callers, with faults.
//!
//! It keeps its own count of what ran where and who was told what, and compares both at the end.

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

/// Instances of the world.
pub const NODES: usize = 3;
const ENDPOINTS: [&str; 4] = ["engine-0", "engine-1", "plain-0", "plain-1"];
const SERVICES: [&str; 4] = ["tiles", "orders", "guide", "draft"];
/// Resources that operators take out of force and put back.
const TOGGLED: [&str; 5] = ["hall", "engine-1", "plain-1", "draft", "orders"];
/// Contents that callers ask for, of each service and account.
const CONTENTS: u64 = 3;
const START: Duration = Duration::from_secs(1_000);

/// One thing that happens in the world; small numbers are taken modulo what there is.
#[derive(Debug, Clone, Copy)]
pub enum Op {
    /// A caller sends a request.
    Send { node: u8, service: u8, account: u8 },
    /// A caller sends an order under a new key; `timed` keys carry their minting time.
    Order { node: u8, timed: bool },
    /// A caller sends an earlier order again.
    Resend { node: u8, order: u8 },
    /// A caller goes away.
    Leave { request: u8 },
    /// Time passes.
    Wait { millis: u16 },
    /// An endpoint takes a fault: 0 none, 1 unreachable, 2 refuses, 3 breaks, 4 silent,
    /// 5 refuses and asks for a while without requests, 6 says that it leaves, from then on.
    Endpoint { endpoint: u8, fault: u8 },
    /// The instance list shows an endpoint as leaving, or not.
    Leaving { endpoint: u8, leaving: bool },
    /// An instance is killed and starts again with empty tables.
    Kill { node: u8 },
    /// An instance is paused or goes on.
    Pause { node: u8, paused: bool },
    /// An instance is out of reach of the log, or back.
    LogCut { node: u8, cut: bool },
    /// The log gets a record that removes a member.
    Remove { node: u8 },
    /// An instance is to stop.
    Drain { node: u8 },
    /// Operators take a resource out of force, or put it back.
    Toggle { resource: u8 },
    /// An instance's coordinator answers from now on, or falls silent.
    Coordinate { node: u8, answers: bool },
    /// An endpoint starts again under its name.
    Restart { endpoint: u8 },
}

#[derive(Debug, Clone)]
#[expect(clippy::large_enum_variant, reason = "few messages live at a time")]
enum Message {
    /// For an instance's scheduler.
    Event(usize, Uuid, Event),
    /// An instance is about to write a dispatch.
    Write(usize, Uuid, Dispatch),
    /// A request is at an endpoint.
    AtEndpoint(usize, Uuid, Dispatch),
    /// An endpoint goes on with a request.
    EndpointDone(usize, Uuid, Dispatch),
}

struct Node {
    scheduler: Scheduler,
    member: Member,
    paused: bool,
    log_cut: bool,
    seen_views: usize,
    seen_version: u64,
}

/// What is known of a request.
struct Told {
    node: usize,
    key: Option<u64>,
    repeatable: bool,
    ends: Vec<(Duration, &'static str)>,
    gone: bool,
}

pub struct World {
    rng: StdRng,
    now: Duration,
    nodes: Vec<Node>,
    queue: BTreeMap<(Duration, u64), Message>,
    sequence: u64,
    views: Vec<MemberView>,
    faults: [u8; ENDPOINTS.len()],
    leaving: [bool; ENDPOINTS.len()],
    absent: [bool; TOGGLED.len()],
    version: u64,
    told: BTreeMap<RequestId, Told>,
    requests: BTreeMap<RequestId, NewRequest>,
    /// Instance that a handed-over request is with, and the one that handed it over.
    handed: BTreeMap<(usize, RequestId), usize>,
    /// When an owner refused a request that was handed to it, before its caller was told.
    refused: BTreeMap<RequestId, Duration>,
    dispatched: BTreeSet<(RequestId, String)>,
    /// How often each endpoint has started again; its start is told once it has.
    starts: [u64; ENDPOINTS.len()],
    /// Dispatches that an instance gave up since their endpoint has started again.
    given_up: BTreeSet<(Uuid, RequestId, u32)>,
    /// Dispatches whose tasks an instance ended, since their callers left or their time was up.
    cancelled: BTreeSet<(Uuid, RequestId, u32)>,
    /// Dispatches that an instance gave back since their endpoint wants nothing new.
    withheld: BTreeSet<(Uuid, RequestId, u32)>,
    runs: Vec<(Duration, RequestId, Option<u64>)>,
    /// How often a request came into quarantine at an instance.
    pub quarantined: u64,
    orders: Vec<(u64, Option<Duration>)>,
    minted: u64,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now: START,
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            views: Vec::new(),
            faults: [0; ENDPOINTS.len()],
            leaving: [false; ENDPOINTS.len()],
            absent: [false; TOGGLED.len()],
            version: 1,
            told: BTreeMap::new(),
            requests: BTreeMap::new(),
            handed: BTreeMap::new(),
            refused: BTreeMap::new(),
            dispatched: BTreeSet::new(),
            starts: [0; ENDPOINTS.len()],
            cancelled: BTreeSet::new(),
            withheld: BTreeSet::new(),
            given_up: BTreeSet::new(),
            runs: Vec::new(),
            quarantined: 0,
            orders: Vec::new(),
            minted: 0,
        };
        for i in 0..NODES {
            let node = world.make_node(i);
            world.nodes.push(node);
        }
        let members = world.nodes.iter().map(|n| n.member.clone()).collect();
        world.append_view(members);
        world.tick();
        world
    }

    fn mint(&mut self) -> Uuid {
        self.minted += 1;
        id(self.minted)
    }

    fn make_node(&mut self, i: usize) -> Node {
        let mut s = settings(&format!("node-{i}"));
        s.member.incarnation = self.mint();
        let member = s.member.clone();
        let mut scheduler = Scheduler::new(s);
        scheduler.step(self.now, self.catalog(), &mut Vec::new());
        Node {
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

    fn lag(&mut self) -> Duration {
        millis(self.rng.random_range(1..30))
    }

    pub fn apply(&mut self, op: Op) {
        match op {
            Op::Send {
                node,
                service,
                account,
            } => self.send_request(node, service, account),
            Op::Order { node, timed } => {
                let minted = timed.then(|| self.log_now());
                self.minted += 1;
                self.orders.push((self.minted, minted));
                self.send_order(node, self.orders.len() - 1);
            }
            Op::Resend { node, order } if !self.orders.is_empty() => {
                self.send_order(node, usize::from(order) % self.orders.len());
            }
            Op::Leave { request } => self.leave(request),
            Op::Wait { millis: n } => self.run_until(self.now + millis(u64::from(n))),
            Op::Endpoint { endpoint, fault } => {
                self.faults[usize::from(endpoint) % ENDPOINTS.len()] = fault % 7;
            }
            Op::Leaving { endpoint, leaving } => {
                self.leaving[usize::from(endpoint) % ENDPOINTS.len()] = leaving;
            }
            Op::Kill { node } => self.kill(usize::from(node) % NODES),
            Op::Pause { node, paused } => self.nodes[usize::from(node) % NODES].paused = paused,
            Op::LogCut { node, cut } => self.nodes[usize::from(node) % NODES].log_cut = cut,
            Op::Remove { node } => {
                let name = &self.nodes[usize::from(node) % NODES].member.name;
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
            Op::Coordinate { node, answers } => {
                self.step(usize::from(node) % NODES, Event::Coordinated(answers));
            }
            Op::Restart { endpoint } => {
                self.starts[usize::from(endpoint) % ENDPOINTS.len()] += 1;
                self.version += 1;
            }
            Op::Drain { node } => self.step(usize::from(node) % NODES, Event::Drain),
            Op::Resend { .. } => {}
        }
    }

    fn send_request(&mut self, node: u8, service: u8, account: u8) {
        let service = SERVICES[usize::from(service) % SERVICES.len()];
        let account = if account.is_multiple_of(2) {
            "shop"
        } else {
            "hall"
        };
        let mut new = request(0, service, account);
        new.id = self.mint();
        new.content = Some(content(service, account, self.minted % CONTENTS));
        self.arrive(usize::from(node) % NODES, new, service != "orders");
    }

    fn send_order(&mut self, node: u8, order: usize) {
        let (key, minted) = self.orders[order];
        let mut new = with_key(request(0, "orders", "shop"), key, minted);
        new.id = self.mint();
        new.content = Some(content("orders", "shop", key));
        self.arrive(usize::from(node) % NODES, new, false);
    }

    fn arrive(&mut self, node: usize, new: NewRequest, repeatable: bool) {
        let key = new.key.map(|k| k.hash);
        let told = Told {
            node,
            key,
            repeatable,
            ends: Vec::new(),
            gone: false,
        };
        self.told.insert(new.id, told);
        self.requests.insert(new.id, new.clone());
        let incarnation = self.nodes[node].member.incarnation;
        let delay = self.lag();
        self.send(
            delay,
            Message::Event(node, incarnation, Event::Arrived(new)),
        );
    }

    fn leave(&mut self, request: u8) {
        let open: Vec<RequestId> = self
            .told
            .iter()
            .filter(|(_, t)| t.ends.is_empty())
            .map(|(id, _)| *id)
            .collect();
        let Some(id) = open.get(usize::from(request) % open.len().max(1)).copied() else {
            return;
        };
        let Some(told) = self.told.get_mut(&id) else {
            return;
        };
        told.gone = true;
        let node = told.node;
        let incarnation = self.nodes[node].member.incarnation;
        let delay = self.lag();
        self.send(
            delay,
            Message::Event(node, incarnation, Event::CallerLeft(id)),
        );
    }

    /// Kills an instance: its callers and peers see their connections break.
    fn kill(&mut self, i: usize) {
        for told in self.told.values_mut().filter(|t| t.node == i) {
            told.gone = true;
        }
        let broken: Vec<(RequestId, usize)> = self
            .handed
            .iter()
            .filter(|((with, _), _)| *with == i)
            .map(|((_, id), from)| (*id, *from))
            .collect();
        for (id, from) in broken {
            self.handed.remove(&(i, id));
            let incarnation = self.nodes[from].member.incarnation;
            let event = Event::HandOver(HandOverEvent::Broke(id));
            let delay = self.lag();
            self.send(delay, Message::Event(from, incarnation, event));
        }
        let node = self.make_node(i);
        let member = node.member.clone();
        self.nodes[i] = node;
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
                self.take(message);
            }
            self.now = next_tick;
            self.tick();
        }
    }

    /// Lets every instance that is not paused read the log and hear its peers.
    fn tick(&mut self) {
        for i in 0..NODES {
            if self.nodes[i].paused {
                continue;
            }
            if !self.nodes[i].log_cut {
                let views = self.views[self.nodes[i].seen_views..].to_vec();
                self.nodes[i].seen_views = self.views.len();
                for view in views {
                    self.step(i, Event::View(view));
                }
                if self.nodes[i].seen_version < self.version {
                    self.nodes[i].seen_version = self.version;
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
            self.beat(i);
            self.step(i, Event::Timer);
        }
    }

    fn beat(&mut self, from: usize) {
        let t = self.nodes[from].scheduler.tables();
        let news = PeerUpdate {
            name: self.nodes[from].member.name.clone(),
            zone: "zone".to_owned(),
            held: t.requests.held_by_rank().to_vec(),
            demand: Vec::new(),
            draining: t.draining,
            suspects: t.suspects.reports(self.now, 0),
            ..PeerUpdate::default()
        };
        for to in (0..NODES).filter(|to| *to != from) {
            if !self.nodes[to].paused {
                self.step(to, Event::Peer(news.clone()));
            }
        }
    }
}

/// What a request asks for, of which there are few, so that some come again.
fn content(service: &str, account: &str, body: u64) -> Arc<Content> {
    let body = body.to_be_bytes();
    Arc::new(Content::new(account, "POST", service, &body))
}

fn endpoint_event(dispatch: &Dispatch, news: DispatchUpdate) -> Event {
    Event::Endpoint(EndpointEvent {
        id: dispatch.id,
        dispatch: dispatch.dispatch,
        update: news,
    })
}

fn endpoint_index(name: &str) -> usize {
    ENDPOINTS
        .iter()
        .position(|e| *e == name)
        .expect("an endpoint of the world")
}

fn node_index(name: &str) -> usize {
    name.trim_start_matches("node-")
        .parse()
        .expect("an instance of the world")
}
