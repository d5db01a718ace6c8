//! Fixtures of the policy tests: a catalog, settings, requests and a scheduler driven event by event.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::resource::{
    Account, Catalog, Endpoint, EndpointKind, Resource, Service, ServiceKind, Tier,
};
use firdock_core::settings::Settings;
use firdock_policy::event::{DispatchUpdate, EndpointEvent, LogReading, Member, MemberView};
use firdock_policy::{
    Action, Event, KeyClaim, NewRequest, Origin, Policy as _, PolicySettings, Scheduler, Time,
};
use uuid::Uuid;

/// Log time at the start of every test.
pub const LOG_START: Duration = Duration::from_secs(1_000_000);

pub fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn id(n: u64) -> Uuid {
    Uuid::from_u64_pair(0, n)
}

pub fn settings(name: &str) -> PolicySettings {
    let mut s = PolicySettings::new(&Settings::default(), Uuid::from_u64_pair(1, 0));
    name.clone_into(&mut s.member.name);
    s.max_held = 6;
    s.key_grace = Duration::from_secs(2);
    s.key_retention = Duration::from_mins(1);
    s
}

fn tier(name: &str, rank: u8) -> Resource {
    let wait_millis = 3_000;
    Resource::Tier(Tier {
        name: name.to_owned(),
        rank,
        wait_millis,
        ..Tier::default()
    })
}

fn account(name: &str) -> Resource {
    Resource::Account(Account {
        name: name.to_owned(),
        max_held: 100,
        ..Account::default()
    })
}

fn service(name: &str, tier: &str, protocol: ServiceKind, repeatable: bool) -> Resource {
    Resource::Service(Service {
        name: name.to_owned(),
        protocol,
        matches: format!("/{name}"),
        tier: tier.to_owned(),
        repeatable,
        ..Service::default()
    })
}

pub fn endpoint(name: &str, backend: EndpointKind, services: &[&str], slots: u32) -> Resource {
    Resource::Endpoint(Endpoint {
        name: name.to_owned(),
        backend,
        services: services.iter().map(|s| (*s).to_owned()).collect(),
        slots,
        ..Endpoint::default()
    })
}

/// Tiers `instant`, `guide`, `draft`; two engines, two plain servers.
pub fn resources() -> Vec<Resource> {
    let models = ["guide", "draft"];
    let plain = ["tiles", "orders"];
    vec![
        tier("instant", 0),
        tier("guide", 1),
        tier("draft", 2),
        account("shop"),
        account("hall"),
        service("tiles", "instant", ServiceKind::Plain, true),
        service("orders", "instant", ServiceKind::Plain, false),
        service("guide", "guide", ServiceKind::Model, true),
        service("draft", "draft", ServiceKind::Model, true),
        endpoint("engine-0", EndpointKind::Engine, &models, 2),
        endpoint("engine-1", EndpointKind::Engine, &models, 1),
        endpoint("plain-0", EndpointKind::Plain, &plain, 2),
        endpoint("plain-1", EndpointKind::Plain, &plain, 2),
    ]
}

pub fn catalog(version: u64, resources: Vec<Resource>) -> Event {
    Event::Config(Arc::new(Catalog::new(version).with_resources(resources)))
}

pub fn request(n: u64, service: &str, account: &str) -> NewRequest {
    let model = matches!(service, "guide" | "draft");
    NewRequest {
        id: id(n),
        service: service.to_owned(),
        account: account.to_owned(),
        prompt_tokens: if model { 400 } else { 0 },
        output_tokens: if model { 20 } else { 0 },
        blocks: Vec::new(),
        bytes: 1_000,
        key: None,
        origin: Origin::Caller,
        ..NewRequest::default()
    }
}

pub fn with_key(mut new: NewRequest, hash: u64, minted: Option<Duration>) -> NewRequest {
    new.key = Some(KeyClaim {
        hash,
        fingerprint: 7,
        minted,
    });
    new
}

/// A scheduler to which a test passes events one by one; invariants are checked after each.
pub struct TestScheduler {
    pub scheduler: Scheduler,
    pub now: Time,
}

impl TestScheduler {
    /// Creates a scheduler with the catalog of [`resources`].
    pub fn new(settings: PolicySettings) -> Self {
        let mut driven = Self {
            scheduler: Scheduler::new(settings),
            now: millis(10_000),
        };
        driven.step(catalog(1, resources()));
        driven
    }

    /// Makes this instance the only member and owner of all keys, with the log just read.
    pub fn own_all_keys(&mut self) {
        let member = self.scheduler.tables().settings.member.clone();
        self.view(1, true, vec![member]);
        self.read_log(LOG_START);
    }

    pub fn view(&mut self, number: u64, first: bool, members: Vec<Member>) {
        let since = LOG_START + millis(number);
        self.step(Event::View(MemberView {
            since,
            number,
            first,
            members,
        }));
    }

    pub fn read_log(&mut self, log_time: Duration) {
        self.step(Event::LogRead(LogReading {
            log_time,
            sent: self.now,
        }));
    }

    pub fn step(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.scheduler.step(self.now, event, &mut out);
        self.scheduler.check_invariants(self.now);
        out
    }

    pub fn advance(&mut self, pause: Duration) -> Vec<Action> {
        self.now += pause;
        self.step(Event::Timer)
    }

    pub fn arrive(&mut self, new: NewRequest) -> Vec<Action> {
        self.step(Event::Arrived(new))
    }

    pub fn update_dispatch(
        &mut self,
        n: u64,
        dispatch: u32,
        update: DispatchUpdate,
    ) -> Vec<Action> {
        self.step(Event::Endpoint(EndpointEvent {
            id: id(n),
            dispatch,
            update,
        }))
    }
}

/// Requests that the actions dispatch, each with its endpoint.
pub fn dispatched(actions: &[Action]) -> Vec<(Uuid, String)> {
    let dispatch = |a: &Action| match a {
        Action::Dispatch(d) => Some((d.id, d.endpoint.clone())),
        _ => None,
    };
    actions.iter().filter_map(dispatch).collect()
}
