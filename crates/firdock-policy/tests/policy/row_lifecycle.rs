//! Rows that leave the tables while something that refers to them goes on: endpoints that restart in series, entries, services and
//! accounts that go and come back, and peers that do, beside answers whose ends wait for a verdict.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use firdock_core::resource::{Account, Catalog, Endpoint, PoolWeight, Resource, Service, Tier};
use firdock_core::{Outcome, Reason, RequestId, StartId};
use firdock_policy::bodies::WantedRoom;
use firdock_policy::event::{
    BreakCause, ConnectFailure, DispatchUpdate, EndpointEvent, Grant, HandOverEvent,
    HandOverRefusal, LinkProbe, Liveness, LivenessResult, PeerUpdate, RenewedEntry, WatchChange,
    WatchUpdate,
};
use firdock_policy::notice::{Notice, NoticeReport};
use firdock_policy::request::Phase;
use firdock_policy::{AccountShares, Action, Event, Policy as _, Scheduler, Time, Verdict};
use proptest::collection::vec;
use proptest::prelude::*;

use crate::edge::{edge_settings, request};
use crate::end_lifecycle::heartbeat;
use crate::fixtures::millis;
use crate::random::{play, seeds};

/// Number of seeds of a run in CI.
const SEEDS: u64 = 192;
/// Largest number of operations for each seed.
const OPS: usize = 160;
const ENDPOINTS: usize = 3;
const ACCOUNTS: usize = 3;
const PEERS: usize = 2;
const SERVICES: [&str; 2] = ["safe", "once"];
/// Unix time at which the instance's clock was zero.
const UNIX_ZERO: Time = Time::from_secs(1_000_000);
const TICK: u64 = 25;
const FOUND: [Liveness; 5] = [
    Liveness::Open,
    Liveness::Ended,
    Liveness::StoppedListening,
    Liveness::ClosesAtOnce,
    Liveness::Silent,
];

#[derive(Debug, Clone, Copy)]
enum Op {
    Pass {
        millis: u16,
    },
    /// The instance does not run meanwhile.
    Stall {
        millis: u16,
    },
    Send {
        service: u8,
        account: u8,
    },
    /// An answer begins, by way of a peer if the own link refuses.
    Begin {
        request: u8,
        passed_on: bool,
    },
    /// The connection of an answer without framing closes.
    Close {
        request: u8,
    },
    Update {
        request: u8,
        update: u8,
    },
    /// Reports an end that was judged, or a dispatch that was given up.
    Conclude {
        end: u8,
    },
    Leave {
        request: u8,
    },
    Withdraw {
        request: u8,
    },
    /// Another process of an endpoint began some time ago. Its entry is read now, or with the next change.
    Restart {
        endpoint: u8,
        age: u16,
        read: bool,
    },
    /// The entry of an earlier start is read again.
    Return {
        endpoint: u8,
        start: u8,
    },
    /// An entry goes, or comes back.
    List {
        endpoint: u8,
    },
    Check {
        start: u8,
        found: u8,
        through: bool,
    },
    /// The check that was asked for last ends.
    Answer {
        found: u8,
    },
    Probe {
        start: u8,
        connected: bool,
    },
    Watch {
        endpoint: u8,
        change: u8,
    },
    Renew {
        start: u8,
    },
    Announce {
        start: u8,
    },
    Peer {
        peer: u8,
        state: u8,
    },
    HandOver {
        request: u8,
        event: u8,
    },
    /// A service or an account goes, or comes back.
    Toggle {
        resource: u8,
    },
    /// Requests are shed for a body, or an instance's requests are placed by another one.
    Shed {
        rank: u8,
    },
    Coordinate {
        answers: bool,
    },
    /// Another instance chose an endpoint for a request, or reports one that runs.
    Grant {
        request: u8,
        start: u8,
        adopted: bool,
    },
    /// A service's requests may run twice from now on, or may not any more.
    Repeat {
        service: u8,
    },
    Drain,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (1_u16..400).prop_map(|millis| Op::Pass { millis }),
        1 => (100_u16..6_000).prop_map(|millis| Op::Stall { millis }),
        6 => any::<(u8, u8)>().prop_map(|(service, account)| Op::Send { service, account }),
        6 => any::<(u8, bool)>().prop_map(|(request, passed_on)| Op::Begin { request, passed_on }),
        6 => any::<u8>().prop_map(|request| Op::Close { request }),
        3 => any::<(u8, u8)>().prop_map(|(request, update)| Op::Update { request, update }),
        4 => any::<u8>().prop_map(|end| Op::Conclude { end }),
        1 => any::<u8>().prop_map(|request| Op::Leave { request }),
        1 => any::<u8>().prop_map(|request| Op::Withdraw { request }),
        6 => (any::<u8>(), 0_u16..3_000, any::<bool>())
            .prop_map(|(endpoint, age, read)| Op::Restart { endpoint, age, read }),
        1 => any::<(u8, u8)>().prop_map(|(endpoint, start)| Op::Return { endpoint, start }),
        2 => any::<u8>().prop_map(|endpoint| Op::List { endpoint }),
        2 => any::<(u8, u8, bool)>()
            .prop_map(|(start, found, through)| Op::Check { start, found, through }),
        3 => any::<u8>().prop_map(|found| Op::Answer { found }),
        1 => any::<(u8, bool)>().prop_map(|(start, connected)| Op::Probe { start, connected }),
        1 => any::<(u8, u8)>().prop_map(|(endpoint, change)| Op::Watch { endpoint, change }),
        1 => any::<u8>().prop_map(|start| Op::Renew { start }),
        1 => any::<u8>().prop_map(|start| Op::Announce { start }),
        3 => any::<(u8, u8)>().prop_map(|(peer, state)| Op::Peer { peer, state }),
        2 => any::<(u8, u8)>().prop_map(|(request, event)| Op::HandOver { request, event }),
        2 => any::<u8>().prop_map(|resource| Op::Toggle { resource }),
        1 => any::<u8>().prop_map(|service| Op::Repeat { service }),
        1 => (0_u8..2).prop_map(|rank| Op::Shed { rank }),
        1 => any::<bool>().prop_map(|answers| Op::Coordinate { answers }),
        1 => any::<(u8, u8, bool)>()
            .prop_map(|(request, start, adopted)| Op::Grant { request, start, adopted }),
        // Seldom, since an instance that stops takes nothing more.
        1 => (0_u8..8).prop_map(|n| if n == 0 { Op::Drain } else { Op::Pass { millis: 25 } }),
    ]
}

/// Returns one of several by a number that was drawn.
fn pick<T: Clone>(all: &[T], drawn: u8) -> Option<T> {
    all.get(usize::from(drawn) % all.len().max(1)).cloned()
}

/// A check that was asked for.
#[derive(Debug, Clone)]
struct Check {
    start: StartId,
    through: bool,
}

struct World {
    scheduler: Scheduler,
    now: Time,
    version: u64,
    sent: u64,
    /// Unix times at which the listed starts began; `None` for an endpoint that tells none.
    listed: [Option<Time>; ENDPOINTS],
    hidden: BTreeSet<String>,
    repeatable: BTreeSet<&'static str>,
    /// All starts that were ever listed, and those times by endpoint.
    starts: Vec<StartId>,
    began: Vec<(usize, Option<Time>)>,
    ends: Vec<(RequestId, u32, bool)>,
    checks: Vec<Check>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut settings = edge_settings("a").with_unix_zero(UNIX_ZERO);
        settings.account_shares = match seed % 5 {
            0 => AccountShares::ByTier,
            1 => AccountShares::OverTiers,
            _ => AccountShares::default(),
        };
        if !seed.is_multiple_of(4) {
            settings = settings.with_routes_by_peers();
        }
        if seed % 7 == 6 {
            settings = settings.with_coordination();
        }
        settings.max_held = 20;
        let mut world = Self {
            scheduler: Scheduler::new(settings),
            now: millis(100_000),
            version: 0,
            sent: 0,
            listed: [None; ENDPOINTS],
            hidden: BTreeSet::new(),
            repeatable: BTreeSet::from(["safe"]),
            starts: Vec::new(),
            began: Vec::new(),
            ends: Vec::new(),
            checks: Vec::new(),
        };
        for endpoint in 0..ENDPOINTS {
            world.record_start(endpoint);
        }
        world.read_entries();
        world.step(Event::PeersKnown(PEERS));
        world.step(Event::Peer(heartbeat(&peer_name(0))));
        world
    }

    fn step(&mut self, event: Event) {
        let mut out = Vec::new();
        let is_timed = matches!(event, Event::Timer);
        if is_timed {
            let confirmed = Event::ConfigConfirmed(self.now);
            self.scheduler.step(self.now, confirmed, &mut out);
        }
        self.scheduler.step(self.now, event, &mut out);
        self.scheduler.check_invariants(self.now);
        self.check_references();
        for action in out {
            self.record_action(action);
        }
    }

    fn record_action(&mut self, action: Action) {
        match action {
            Action::JudgeEnd {
                id,
                dispatch,
                verdict,
            } => self.ends.push((id, dispatch, verdict.accepted)),
            Action::GiveUpDispatch { id, dispatch } => self.ends.push((id, dispatch, false)),
            Action::CheckLiveness { start, .. } => self.checks.push(Check {
                start,
                through: false,
            }),
            Action::CheckLivenessThrough { start, .. } => self.checks.push(Check {
                start,
                through: true,
            }),
            _ => {}
        }
    }

    /// Checks that each number that is kept denotes the row that it was kept for.
    fn check_references(&self) {
        let t = self.scheduler.tables();
        let names: BTreeMap<usize, &str> = t
            .endpoints
            .iter()
            .map(|(at, e)| (at, e.declared.name.as_str()))
            .collect();
        for end in t.unproven_ends.iter() {
            let sent_to = names.get(&end.dispatched_row);
            assert!(sent_to.is_some(), "{end:?} is of an endpoint without a row");
            assert_eq!(
                names.get(&end.serving_row),
                sent_to,
                "{end:?} is judged at another endpoint's row"
            );
        }
        for row in t.requests.iter() {
            let has_row = match row.phase {
                Phase::Held => true,
                Phase::Dispatching(at) | Phase::Running(at) => names.contains_key(&at),
                Phase::HandedOver(at) => t.peers.iter().any(|(peer, _)| peer == at),
            };
            let has_service = t.services.iter().any(|(at, _)| at == row.service);
            let has_account = t.accounts.iter().any(|(at, _)| at == row.account);
            assert!(has_row && has_service && has_account, "{row:?}");
        }
        for (_, service) in t.services.iter() {
            let mut linked = service.endpoints.iter();
            assert!(linked.all(|at| names.contains_key(at)), "{service:?}");
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Pass { millis } => self.pass(u64::from(millis)),
            Op::Stall { millis } => self.now += Time::from_millis(u64::from(millis)),
            Op::Send { service, account } => self.send(service, account),
            Op::Begin { request, passed_on } => self.begin(request, passed_on),
            Op::Close { request } => {
                let last = DispatchUpdate::LastBytes(self.now);
                self.update(request, last);
                self.update(request, DispatchUpdate::Unproven);
            }
            Op::Update { request, update } => self.update_any(request, update),
            Op::Conclude { end } => self.conclude(end),
            Op::Leave { request } => {
                if let Some(id) = self.request(request) {
                    self.step(Event::CallerLeft(id));
                }
            }
            Op::Withdraw { request } => {
                if let Some(id) = self.request(request) {
                    self.step(Event::AccessChanged(id));
                }
            }
            Op::Restart {
                endpoint,
                age,
                read,
            } => self.restart(usize::from(endpoint) % ENDPOINTS, age, read),
            Op::Return { endpoint, start } => self.list_again(endpoint, start),
            Op::List { endpoint } => self.toggle(endpoint_name(endpoint)),
            Op::Check {
                start,
                found,
                through,
            } => {
                if let Some(start) = pick(&self.starts, start) {
                    self.end_check(&Check { start, through }, found);
                }
            }
            Op::Answer { found } => {
                if let Some(check) = self.checks.pop() {
                    self.end_check(&check, found);
                }
            }
            Op::Probe { start, connected } => {
                if let Some(start) = pick(&self.starts, start) {
                    self.step(Event::LinkProbed(LinkProbe { start, connected }));
                }
            }
            Op::Watch { endpoint, change } => self.watch(endpoint, change),
            Op::Renew { start } => {
                if let Some(start) = pick(&self.starts, start) {
                    let after = self.now.saturating_sub(millis(100));
                    self.step(Event::EntriesRenewed(vec![RenewedEntry { start, after }]));
                }
            }
            Op::Announce { start } => self.announce(start),
            Op::Peer { peer, state } => self.update_peer(usize::from(peer) % PEERS, state),
            Op::HandOver { request, event } => self.update_hand_over(request, event),
            Op::Toggle { resource } => {
                let account = format!("a{}", usize::from(resource / 4) % ACCOUNTS);
                let service = pick(&SERVICES, resource / 4).unwrap_or_default();
                self.toggle(if resource.is_multiple_of(4) {
                    service.to_owned()
                } else {
                    account
                });
            }
            Op::Shed { rank } => {
                let room = WantedRoom { rank, bytes: 1 };
                self.step(Event::RoomWanted(room));
            }
            Op::Coordinate { answers } => self.step(Event::Coordinated(answers)),
            Op::Grant {
                request,
                start,
                adopted,
            } => self.grant(request, start, adopted),
            Op::Repeat { service } => {
                let service = pick(&SERVICES, service).unwrap_or_default();
                if !self.repeatable.remove(service) {
                    self.repeatable.insert(service);
                }
                self.read_entries();
            }
            Op::Drain => self.step(Event::Drain),
        }
    }

    fn pass(&mut self, time: u64) {
        let end = self.now + millis(time);
        while self.now < end {
            self.now += millis(TICK);
            self.step(Event::Timer);
        }
    }

    fn send(&mut self, service: u8, account: u8) {
        self.sent += 1;
        let service = pick(&SERVICES, service).unwrap_or_default();
        let account = format!("a{}", usize::from(account) % ACCOUNTS);
        self.step(Event::Arrived(request(self.sent, service, &account)));
    }

    fn request(&self, drawn: u8) -> Option<RequestId> {
        let requests = self.scheduler.tables().requests.iter();
        let ids: Vec<RequestId> = requests.map(|row| row.new.id).collect();
        pick(&ids, drawn)
    }

    fn update(&mut self, request: u8, update: DispatchUpdate) {
        let Some(id) = self.request(request) else {
            return;
        };
        let row = self.scheduler.tables().requests.get(id);
        let dispatch = row.map_or(0, |row| row.dispatch);
        self.step(Event::Endpoint(EndpointEvent {
            id,
            dispatch,
            update,
        }));
    }

    fn begin(&mut self, request: u8, passed_on: bool) {
        let row = self
            .request(request)
            .and_then(|id| self.scheduler.tables().requests.get(id));
        let has_peer = row.is_some_and(|row| row.route.peer().is_some());
        if passed_on && has_peer {
            let refused = DispatchUpdate::ConnectFailed(ConnectFailure::Refused);
            self.update(request, refused);
            self.update(request, DispatchUpdate::PassedOn);
        }
        self.update(request, DispatchUpdate::Started { head_sent: true });
        let (delivered, cached) = (2, 0);
        self.update(request, DispatchUpdate::Tokens { delivered, cached });
    }

    fn update_any(&mut self, request: u8, update: u8) {
        let ended = DispatchUpdate::Ended {
            prompt: 90,
            cached: 0,
            output: 5,
        };
        let updates = [
            DispatchUpdate::ConnectFailed(ConnectFailure::TimedOut),
            DispatchUpdate::NotPassedOn,
            DispatchUpdate::Refused { unreachable: true },
            DispatchUpdate::Refused { unreachable: false },
            DispatchUpdate::Lapsed,
            DispatchUpdate::Withheld,
            DispatchUpdate::Unresumable,
            DispatchUpdate::Breaking(BreakCause::Closed),
            DispatchUpdate::Broke { delivered: 2 },
            ended,
        ];
        if let Some(update) = pick(&updates, update) {
            self.update(request, update);
        }
    }

    fn conclude(&mut self, end: u8) {
        if self.ends.is_empty() {
            return;
        }
        let end = usize::from(end) % self.ends.len();
        let (id, dispatch, accepted) = self.ends.swap_remove(end);
        let ended = DispatchUpdate::Ended {
            prompt: 0,
            cached: 0,
            output: 0,
        };
        let broke = [
            DispatchUpdate::Breaking(BreakCause::Closed),
            DispatchUpdate::Broke { delivered: 2 },
        ];
        let updates = if accepted {
            vec![ended]
        } else {
            broke.to_vec()
        };
        for update in updates {
            self.step(Event::Endpoint(EndpointEvent {
                id,
                dispatch,
                update,
            }));
        }
    }

    fn endpoint(&self, endpoint: usize) -> Endpoint {
        Endpoint {
            name: format!("e{endpoint}"),
            pool: "pool".to_owned(),
            slots: 3,
            started: self.listed[endpoint],
            ..Endpoint::default()
        }
    }

    fn record_start(&mut self, endpoint: usize) {
        self.starts.push(self.endpoint(endpoint).start_id());
        self.began.push((endpoint, self.listed[endpoint]));
    }

    fn restart(&mut self, endpoint: usize, age: u16, read: bool) {
        let began = self.now.saturating_sub(millis(u64::from(age)));
        self.listed[endpoint] = Some(UNIX_ZERO + began);
        self.record_start(endpoint);
        if read {
            self.read_entries();
        }
    }

    fn list_again(&mut self, endpoint: u8, start: u8) {
        let endpoint = usize::from(endpoint) % ENDPOINTS;
        let began = self.began.iter().filter(|(at, _)| *at == endpoint);
        let began: Vec<Option<Time>> = began.map(|(_, began)| *began).collect();
        if let Some(began) = pick(&began, start) {
            self.listed[endpoint] = began;
            self.read_entries();
        }
    }

    fn toggle(&mut self, name: String) {
        if !self.hidden.remove(&name) {
            self.hidden.insert(name);
        }
        self.read_entries();
    }

    fn read_entries(&mut self) {
        self.version += 1;
        let listed = |name: &str| !self.hidden.contains(name);
        let endpoints = (0..ENDPOINTS).map(|at| self.endpoint(at));
        let endpoints = endpoints.filter(|e| listed(&e.name));
        let services = SERVICES.iter().filter(|name| listed(name));
        let accounts = (0..ACCOUNTS).map(|n| format!("a{n}"));
        let accounts = accounts.filter(|name| listed(name));
        let tier = |rank: usize| {
            Resource::Tier(Tier {
                name: format!("tier{rank}"),
                rank: rank as u8,
                target_millis: 500,
                ..Tier::default()
            })
        };
        let account = |name: String| {
            Resource::Account(Account {
                name,
                ..Account::default()
            })
        };
        let mut all: Vec<Resource> = (0..SERVICES.len()).map(tier).collect();
        all.extend(accounts.map(account));
        all.extend(services.map(|name| service(name, self.repeatable.contains(name))));
        all.extend(endpoints.map(Resource::Endpoint));
        let catalog = Catalog::new(self.version).with_resources(all);
        self.step(Event::Config(Arc::new(catalog)));
    }

    fn end_check(&mut self, check: &Check, found: u8) {
        let Some(found) = pick(&FOUND, found) else {
            return;
        };
        let start = check.start.clone();
        let result = LivenessResult { start, found };
        self.step(if check.through {
            Event::LivenessCheckedThrough(result)
        } else {
            Event::LivenessChecked(result)
        });
    }

    fn watch(&mut self, endpoint: u8, change: u8) {
        let opened = WatchChange::Opened(self.now);
        let changes = [opened, WatchChange::Ended, WatchChange::Closed];
        if let Some(change) = pick(&changes, change) {
            let endpoint = endpoint_name(endpoint);
            self.step(Event::Watched(WatchUpdate { endpoint, change }));
        }
    }

    fn announce(&mut self, start: u8) {
        let notice = Notice {
            leaving: true,
            ..Notice::default()
        };
        if let Some(endpoint) = pick(&self.starts, start) {
            self.step(Event::NoticeReported(NoticeReport {
                endpoint,
                member: String::new(),
                notice,
                read: self.now,
            }));
        }
    }

    fn grant(&mut self, drawn: u8, start: u8, adopted: bool) {
        let Some(endpoint) = pick(&self.starts, start) else {
            return;
        };
        if adopted && self.scheduler.tables().settings.coordinates {
            self.sent += 1;
            let new = request(self.sent, SERVICES[0], "a0");
            self.step(Event::Adopted(new, endpoint));
        } else if let Some(id) = self.request(drawn) {
            self.step(Event::Granted(Grant {
                id,
                endpoint,
                predicted: Time::ZERO,
                permitted: adopted,
            }));
        }
    }

    /// A peer tells of itself, stops, is lost, or is silent until its row goes.
    fn update_peer(&mut self, peer: usize, state: u8) {
        match state % 8 {
            0 => self.step(Event::PeerLost(peer_name(peer))),
            1 => self.step(Event::Peer(PeerUpdate {
                draining: true,
                ..heartbeat(&peer_name(peer))
            })),
            2 => {
                self.now += millis(61_000);
                self.step(Event::Timer);
            }
            _ => self.step(Event::Peer(heartbeat(&peer_name(peer)))),
        }
    }

    fn update_hand_over(&mut self, request: u8, event: u8) {
        let Some(id) = self.request(request) else {
            return;
        };
        let verdict = |outcome| Verdict {
            outcome,
            reason: Reason::Overload,
            retry_after: None,
        };
        let refusal = HandOverRefusal {
            id,
            verdict: event.is_multiple_of(2).then_some(verdict(Outcome::NotRun)),
            tried: pick(&self.starts, event).into_iter().collect(),
        };
        self.step(Event::HandOver(match event % 5 {
            0 => HandOverEvent::Refused(refusal),
            1 => HandOverEvent::Started(id),
            2 => HandOverEvent::Ended(id),
            3 => HandOverEvent::Unknown(id, verdict(Outcome::Unknown)),
            _ => HandOverEvent::Broke(id),
        }));
    }
}

fn endpoint_name(drawn: u8) -> String {
    format!("e{}", usize::from(drawn) % ENDPOINTS)
}

fn peer_name(peer: usize) -> String {
    format!("b{peer}")
}

fn service(name: &str, repeatable: bool) -> Resource {
    Resource::Service(Service {
        name: name.to_owned(),
        tier: format!("tier{}", usize::from(name == "once")),
        matches: format!("/{name}"),
        repeatable,
        streamed: true,
        resumable: repeatable,
        split: vec![PoolWeight {
            pool: "pool".to_owned(),
            weight: 1,
        }],
        timeout_millis: 5_000,
        ..Service::default()
    })
}

/// Plays operations.
fn run(seed: u64, ops: Vec<Op>) {
    let mut world = World::new(seed);
    for op in ops {
        world.apply(op);
    }
}

/// Guards against an instance that aborts, or takes one endpoint for another, since it kept the number of a row that nothing else
/// referred to.
#[test]
fn no_number_of_a_row_outlives_it() {
    for seed in seeds(SEEDS) {
        play("row_lifecycle", seed, vec(op(), 1..=OPS), |ops| {
            run(seed, ops);
        });
    }
}

/// Guards against aborts that random runs found, by the shortest lists of operations: an end whose later start was replaced as well, an
/// answer that was reported as begun twice, and a second attempt whose service may run a request once only.
#[test]
fn lists_of_operations_that_aborted_an_instance_hold() {
    let (request, endpoint, service) = (0, 0, 0);
    let send = Op::Send {
        service,
        account: 0,
    };
    let begin = |passed_on| Op::Begin { request, passed_on };
    let restart = |age| Op::Restart {
        endpoint,
        age,
        read: true,
    };
    let broke = Op::Update { request, update: 8 };
    let not_passed_on = Op::Update { request, update: 1 };
    let lists = [
        vec![
            send,
            begin(true),
            restart(0),
            Op::Close { request },
            restart(1),
            send,
            restart(1),
        ],
        vec![send, begin(false), begin(false)],
        vec![send, broke, Op::Repeat { service }, not_passed_on],
    ];
    let confirmed = Op::Pass { millis: 25 };
    for ops in lists {
        run(1, [vec![confirmed], ops].concat());
    }
}
