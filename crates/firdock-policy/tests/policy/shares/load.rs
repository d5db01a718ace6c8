//! Load generator: callers of several accounts that send requests to a coordinator at given rates.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Duration;

use firdock_core::Reason;
use firdock_core::RequestId;
use firdock_core::resource::{Account, Endpoint, Resource, Service, Tier};
use firdock_policy::event::{AccountWork, DispatchUpdate, EndpointEvent, GroupWork};
use firdock_policy::{AccountShares, Action, Event, NewRequest, Time, work_report};

use crate::edge::{EdgeScheduler, edge_settings, request, resources};
use crate::fixtures::millis;

/// Time between two steps, as in the daemon.
const STEP: Duration = millis_of(25);
/// Time that an engine takes for a request.
const SERVICE_TIME: Duration = millis_of(200);
const ENGINES: usize = 4;
const SLOTS: u32 = 4;

const fn millis_of(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// The demand of one account's callers.
#[derive(Debug, Clone)]
pub struct AccountDemand {
    pub account: String,
    /// Requests a second.
    pub rate: f64,
    pub weight: f64,
    pub rank: u8,
    pub prompt_tokens: u32,
    /// Service: `safe`, or `low` of a lower tier.
    pub service: &'static str,
    /// When it begins.
    pub from: Duration,
    /// Part of the rate by which it oscillates, with a period of three seconds.
    pub swing: f64,
    /// Start of a burst of two seconds, and the factor on the rate during it.
    pub burst: Option<(Duration, f64)>,
}

impl AccountDemand {
    pub fn new(account: &str, rate: f64) -> Self {
        Self {
            account: account.to_owned(),
            rate,
            weight: 1.0,
            rank: 0,
            prompt_tokens: 90,
            service: "safe",
            from: Duration::ZERO,
            swing: 0.0,
            burst: None,
        }
    }

    fn rate_at(&self, age: Duration) -> f64 {
        if age < self.from {
            return 0.0;
        }
        let wave = 1.0 + self.swing * (age.as_secs_f64() * std::f64::consts::TAU / 3.0).sin();
        let in_burst = |(at, times): (Duration, f64)| {
            let within = at <= age && age < at + secs(2);
            if within { times } else { 1.0 }
        };
        self.rate * wave * self.burst.map_or(1.0, in_burst)
    }
}

/// A coordinator under load.
pub struct LoadGenerator {
    edge: EdgeScheduler,
    started_at: Time,
    demands: Vec<AccountDemand>,
    /// Requests due, with fractions, for each demand.
    due: Vec<f64>,
    next: u64,
    accounts: BTreeMap<RequestId, String>,
    services: BTreeMap<RequestId, &'static str>,
    running: VecDeque<(Time, RequestId, u32)>,
    sent: Vec<(Time, String)>,
    served: Vec<(Time, String)>,
    /// Of these, the requests of the service `safe`.
    served_safe: Vec<(Time, String)>,
    refused: Vec<(String, Reason)>,
}

fn catalog(demands: &[AccountDemand]) -> Vec<Resource> {
    let mut all = resources();
    all.retain(|r| !matches!(r, Resource::Endpoint(_)));
    for n in 0..ENGINES {
        all.push(Resource::Endpoint(Endpoint {
            name: format!("e{n}"),
            pool: "pool".to_owned(),
            slots: SLOTS,
            ..Endpoint::default()
        }));
    }
    all.push(Resource::Tier(Tier {
        name: "low".to_owned(),
        rank: 2,
        target_millis: 500,
        ..Tier::default()
    }));
    let safe = all.iter().find_map(|r| match r {
        Resource::Service(s) if s.name == "safe" => Some(s.clone()),
        _ => None,
    });
    all.push(Resource::Service(Service {
        name: "low".to_owned(),
        tier: "low".to_owned(),
        matches: "/low".to_owned(),
        ..safe.expect("the service")
    }));
    let account = |demand: &AccountDemand| {
        Resource::Account(Account {
            name: demand.account.clone(),
            weight: Some(demand.weight),
            rank: demand.rank,
            max_held: 10_000,
            ..Account::default()
        })
    };
    let mut names = HashSet::new();
    let first = demands.iter().filter(|w| names.insert(w.account.clone()));
    all.extend(first.map(account));
    all
}

/// An instance of the group whose coordinator answers.
pub fn member(demands: &[AccountDemand]) -> EdgeScheduler {
    let mut settings = edge_settings("a");
    settings.account_shares = AccountShares::OverTiers;
    let mut edge = EdgeScheduler::new(settings, catalog(demands));
    edge.step(Event::Coordinated(true));
    edge
}

impl LoadGenerator {
    pub fn new(demands: &[AccountDemand]) -> Self {
        Self::with_shares(demands, AccountShares::OverTiers)
    }

    pub fn without_shares(demands: &[AccountDemand]) -> Self {
        Self::with_shares(demands, AccountShares::Off)
    }

    /// Shares each tier by itself.
    pub fn by_tier(demands: &[AccountDemand]) -> Self {
        Self::with_shares(demands, AccountShares::ByTier)
    }

    fn with_shares(demands: &[AccountDemand], shares: AccountShares) -> Self {
        let mut settings = edge_settings("a").with_coordination();
        settings.account_shares = shares;
        let edge = EdgeScheduler::new(settings, catalog(demands));
        Self {
            started_at: edge.now,
            edge,
            demands: demands.to_vec(),
            due: vec![0.0; demands.len()],
            next: 1,
            accounts: BTreeMap::new(),
            services: BTreeMap::new(),
            served_safe: Vec::new(),
            running: VecDeque::new(),
            sent: Vec::new(),
            served: Vec::new(),
            refused: Vec::new(),
        }
    }

    pub fn age(&self) -> Duration {
        self.edge.now.saturating_sub(self.started_at)
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.edge.now + time;
        while self.edge.now < until {
            self.finish_requests();
            self.send();
            let actions = self.edge.advance(STEP);
            self.record_actions(&actions);
            self.assert_work_conserving();
        }
    }

    /// Sends the requests that are due, one of each account in turn.
    fn send(&mut self) {
        let age = self.age();
        for (due, demand) in self.due.iter_mut().zip(&self.demands) {
            *due += demand.rate_at(age) * STEP.as_secs_f64();
        }
        while self.due.iter().any(|d| *d >= 1.0) {
            for n in 0..self.demands.len() {
                if self.due[n] >= 1.0 {
                    self.due[n] -= 1.0;
                    self.send_one(n);
                }
            }
        }
    }

    fn send_one(&mut self, n: usize) {
        let demand = &self.demands[n];
        let new = NewRequest {
            prompt_tokens: demand.prompt_tokens,
            deadline: Some(self.edge.now + secs(5)),
            ..request(self.next, demand.service, &demand.account)
        };
        self.next += 1;
        self.accounts.insert(new.id, demand.account.clone());
        self.services.insert(new.id, demand.service);
        self.sent.push((self.edge.now, demand.account.clone()));
        let actions = self.edge.arrive(new);
        self.record_actions(&actions);
    }

    fn finish_requests(&mut self) {
        while let Some((_, id, dispatch)) = self.running.pop_front_if(|r| r.0 <= self.edge.now) {
            let update = DispatchUpdate::Ended {
                prompt: 90,
                cached: 0,
                output: 10,
            };
            let actions = self.edge.step(Event::Endpoint(EndpointEvent {
                id,
                dispatch,
                update,
            }));
            self.record_actions(&actions);
        }
    }

    fn record_actions(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Dispatch(d) => {
                    self.running
                        .push_back((self.edge.now + SERVICE_TIME, d.id, d.dispatch));
                    let account = self.accounts[&d.id].clone();
                    if self.services[&d.id] == "safe" {
                        self.served_safe.push((self.edge.now, account.clone()));
                    }
                    self.served.push((self.edge.now, account));
                }
                Action::Answer { id, verdict } => {
                    let account = self.accounts[id].clone();
                    self.refused.push((account, verdict.reason));
                }
                _ => {}
            }
        }
    }

    /// Checks that the scheduler is work conserving: no request is held while a slot that it may use is free.
    fn assert_work_conserving(&self) {
        let t = self.edge.scheduler.tables();
        if t.requests.held() == 0 {
            return;
        }
        for (_, e) in t.endpoints.iter() {
            let reads = e.waiting_tokens(self.edge.now) > e.declared.prefill_rate;
            assert!(
                e.running >= e.budget || reads,
                "{} has a free slot while requests are held",
                e.declared.name
            );
        }
    }

    fn count(&self, of: &[(Time, String)], account: &str, last: Duration) -> f64 {
        let from = self.edge.now.saturating_sub(last);
        let counted = of.iter().filter(|(at, a)| *at >= from && a == account);
        counted.count() as f64
    }

    /// Requests of an account that were placed within the time `last`.
    pub fn served(&self, account: &str, last: Duration) -> f64 {
        self.count(&self.served, account, last)
    }

    /// The same of the service `safe` alone.
    pub fn served_high(&self, account: &str, last: Duration) -> f64 {
        self.count(&self.served_safe, account, last)
    }

    pub fn sent(&self, account: &str, last: Duration) -> f64 {
        self.count(&self.sent, account, last)
    }

    pub fn served_all(&self, last: Duration) -> f64 {
        let from = self.edge.now.saturating_sub(last);
        self.served.iter().filter(|(at, _)| *at >= from).count() as f64
    }

    pub fn refused(&self, account: &str) -> usize {
        self.refused.iter().filter(|(a, _)| a == account).count()
    }

    pub fn over_share(&self, account: &str) -> usize {
        let over = |r: &&(String, Reason)| r.0 == account && r.1 == Reason::OverShare;
        self.refused.iter().filter(over).count()
    }

    /// Whether a request that was held past its target before it arrived here is refused at once.
    pub fn is_refused_past_target(&mut self, account: &str) -> bool {
        let new = NewRequest {
            age: millis(600),
            ..request(self.next, "safe", account)
        };
        self.next += 1;
        let id = new.id;
        self.accounts.insert(id, account.to_owned());
        self.services.insert(id, "safe");
        let mut actions = self.edge.arrive(new);
        actions.extend(self.edge.advance(STEP));
        self.record_actions(&actions);
        let refused = |a: &Action| matches!(a, Action::Answer { id: of, .. } if *of == id);
        actions.iter().any(refused)
    }

    /// The group's report of the work that it placed.
    pub fn work_report(&self) -> Vec<AccountWork> {
        work_report(self.edge.scheduler.tables(), self.edge.now)
    }

    /// Receives the report of another group's lead.
    pub fn receive_report(&mut self, zone: &str, work: Vec<AccountWork>) {
        let zone = zone.to_owned();
        let actions = self.edge.step(Event::GroupWork(GroupWork { zone, work }));
        self.record_actions(&actions);
    }

    pub fn heartbeat_interval() -> Duration {
        millis(200)
    }
}
