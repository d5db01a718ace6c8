//! Policy of edge instances: pools, time limits, retry budgets, age of the configuration, early refusals and
//! integer slot budgets.

use std::sync::Arc;
use std::time::Duration;

use crate::fixtures::{dispatched, id, millis, settings};
use firdock_core::resource::{
    Account, Catalog, Endpoint, EndpointKind, LimitUnit, PoolWeight, RateLimit, Resource, Service,
    Tier,
};
use firdock_core::{Outcome, Reason};
use firdock_policy::event::{DispatchUpdate, EndpointEvent, PeerUpdate};
use firdock_policy::notice::{Notice, NoticeReport};
use firdock_policy::{
    Action, Event, Mechanisms, NewRequest, Policy as _, PolicySettings, Scheduler, Time,
};

/// A scheduler of an edge instance.
pub struct EdgeScheduler {
    pub scheduler: Scheduler,
    pub now: Time,
}

pub fn edge_settings(name: &str) -> PolicySettings {
    let mut s = settings(name).with_mechanisms(Mechanisms::EDGE);
    s.max_held = 1_000;
    s.retry_slack = Some(30.0);
    s.max_config_age = Some(millis(4_000));
    s.with_eject_after(3).with_await_peers()
}

fn pool(name: &str) -> PoolWeight {
    PoolWeight {
        pool: name.to_owned(),
        weight: 1,
    }
}

fn engine(name: &str, pool: &str, slots: u32) -> Resource {
    Resource::Endpoint(Endpoint {
        name: name.to_owned(),
        pool: pool.to_owned(),
        slots,
        ..Endpoint::default()
    })
}

/// A repeatable service `safe` and one `once` over the pool `pool` of two engines.
pub fn resources() -> Vec<Resource> {
    let service = |name: &str, repeatable: bool| {
        Resource::Service(Service {
            name: name.to_owned(),
            tier: "tier".to_owned(),
            matches: format!("/{name}"),
            repeatable,
            split: vec![pool("pool")],
            attempts: 2,
            timeout_millis: 5_000,
            ..Service::default()
        })
    };
    let account = |name: &str, limit: Option<RateLimit>| {
        Resource::Account(Account {
            name: name.to_owned(),
            limit,
            ..Account::default()
        })
    };
    let limit = RateLimit {
        per_second: 100.0,
        burst: 100.0,
        unit: LimitUnit::Tokens,
        plain_tokens: 10,
    };
    vec![
        Resource::Tier(Tier {
            name: "tier".to_owned(),
            target_millis: 500,
            ..Tier::default()
        }),
        account("free", None),
        account("limited", Some(limit)),
        service("safe", true),
        service("once", false),
        engine("e1", "pool", 2),
        engine("e2", "pool", 2),
    ]
}

pub fn request(n: u64, service: &str, account: &str) -> NewRequest {
    NewRequest {
        id: id(n),
        service: service.to_owned(),
        account: account.to_owned(),
        prompt_tokens: 90,
        output_tokens: 10,
        ..NewRequest::default()
    }
}

impl EdgeScheduler {
    /// Starts a single instance that knows that there are no others.
    pub fn new(settings: PolicySettings, resources: Vec<Resource>) -> Self {
        let mut edge = Self::unaware(settings, resources);
        edge.step(Event::PeersKnown(0));
        edge
    }

    /// Starts an instance that doesn't know yet how many others there are.
    pub fn unaware(settings: PolicySettings, resources: Vec<Resource>) -> Self {
        Self::started_at(millis(100_000), settings, resources)
    }

    /// Starts such an instance at a time.
    pub fn started_at(now: Time, settings: PolicySettings, resources: Vec<Resource>) -> Self {
        let mut edge = Self {
            scheduler: Scheduler::new(settings),
            now,
        };
        let catalog = Catalog::new(1).with_resources(resources);
        edge.step(Event::Config(Arc::new(catalog)));
        edge.step(Event::ConfigConfirmed(edge.now));
        edge
    }

    pub fn step(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.scheduler.step(self.now, event, &mut out);
        self.scheduler.check_invariants(self.now);
        out
    }

    pub fn arrive(&mut self, new: NewRequest) -> Vec<Action> {
        self.step(Event::Arrived(new))
    }

    pub fn advance(&mut self, pause: Duration) -> Vec<Action> {
        self.now += pause;
        self.step(Event::Timer)
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

    pub fn end(&mut self, n: u64) {
        let update = DispatchUpdate::Ended {
            prompt: 0,
            cached: 0,
            output: 0,
        };
        self.update_dispatch(n, 1, update);
    }
}

pub fn verdict(actions: &[Action]) -> Option<(Outcome, Reason)> {
    actions.iter().find_map(|a| match a {
        Action::Answer { verdict, .. } => Some((verdict.outcome, verdict.reason)),
        _ => None,
    })
}

const BROKE: DispatchUpdate = DispatchUpdate::Broke { delivered: 0 };
pub const REFUSED: DispatchUpdate = DispatchUpdate::Refused { unreachable: false };

#[test]
fn requests_of_a_split_service_go_to_the_drawn_pool() {
    let mut all = resources();
    all.push(engine("other", "second", 2));
    for resource in &mut all {
        if let Resource::Service(s) = resource {
            s.split = vec![pool("pool"), pool("second")];
        }
    }
    let mut edge = EdgeScheduler::new(edge_settings("a"), all);
    for (n, draw) in [(1, 0), (2, u32::MAX)] {
        let mut new = request(n, "safe", "free");
        new.draw = draw;
        let at = dispatched(&edge.arrive(new));
        assert_eq!(at[0].1 == "other", n == 2, "{at:?}");
    }
}

#[test]
fn a_request_past_its_deadline_ends_with_the_true_outcome() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    let mut new = request(1, "once", "free");
    new.deadline = Some(edge.now + millis(1_000));
    assert_eq!(dispatched(&edge.arrive(new)).len(), 1);
    let actions = edge.advance(millis(1_001));
    assert!(matches!(actions[0], Action::Cancel { .. }));
    assert_eq!(
        verdict(&actions),
        Some((Outcome::Unknown, Reason::TimedOut))
    );
}

#[test]
fn the_services_time_limit_applies_where_the_caller_sets_none() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    edge.arrive(request(1, "safe", "free"));
    assert_eq!(verdict(&edge.advance(millis(4_900))), None);
    edge.step(Event::ConfigConfirmed(edge.now));
    let actions = edge.advance(millis(101));
    assert_eq!(
        verdict(&actions),
        Some((Outcome::Unknown, Reason::TimedOut))
    );
}

#[test]
fn nothing_is_sent_under_a_configuration_that_may_be_outdated() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    edge.now += millis(3_900);
    let actions = edge.arrive(request(1, "safe", "free"));
    let by = actions.iter().find_map(|a| match a {
        Action::Dispatch(d) => d.confirm_by,
        _ => None,
    });
    assert_eq!(
        by,
        Some(millis(104_000)),
        "the age is checked again at the write"
    );
    edge.now += millis(100);
    let actions = edge.arrive(request(2, "safe", "free"));
    assert_eq!(
        verdict(&actions),
        Some((Outcome::NotRun, Reason::StateStale))
    );
}

#[test]
fn a_dispatch_that_expired_before_the_write_may_go_to_the_same_endpoint_again() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    let first = dispatched(&edge.arrive(request(1, "once", "free")));
    edge.now += millis(10_000);
    let stale = edge.update_dispatch(1, 1, DispatchUpdate::Lapsed);
    assert_eq!(verdict(&stale), Some((Outcome::NotRun, Reason::StateStale)));
    edge.step(Event::ConfigConfirmed(edge.now));
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    edge.arrive(request(1, "once", "free"));
    edge.step(Event::ConfigConfirmed(edge.now + millis(1)));
    let again = dispatched(&edge.update_dispatch(1, 1, DispatchUpdate::Lapsed));
    assert_eq!((first.len(), again.len()), (1, 1));
}

#[test]
fn a_broken_request_runs_at_as_many_endpoints_as_its_service_allows() {
    let mut all = resources();
    all.extend([engine("e3", "pool", 2), engine("e4", "pool", 2)]);
    let mut edge = EdgeScheduler::new(edge_settings("a"), all);
    edge.arrive(request(1, "safe", "free"));
    assert_eq!(dispatched(&edge.update_dispatch(1, 1, BROKE)).len(), 1);
    let actions = edge.update_dispatch(1, 2, BROKE);
    assert!(dispatched(&actions).is_empty());
    assert_eq!(
        verdict(&actions),
        Some((Outcome::Unknown, Reason::EndpointLost))
    );
}

#[test]
fn refusals_by_endpoints_are_no_attempts_but_count_as_retries() {
    let mut all = resources();
    all.extend((3..40).map(|n| engine(&format!("e{n}"), "pool", 2)));
    let mut edge = EdgeScheduler::new(edge_settings("a"), all);
    edge.step(Event::PeersKnown(0));
    edge.arrive(request(1, "once", "free"));
    let mut sent = 1;
    loop {
        let actions = edge.update_dispatch(1, sent, REFUSED);
        if dispatched(&actions).is_empty() {
            assert_eq!(
                verdict(&actions),
                Some((Outcome::NotRun, Reason::NoEndpoint))
            );
            break;
        }
        sent += 1;
    }
    // After the first attempt, a full budget of a third of the slack of 30.
    assert_eq!(sent, 11);
}

#[test]
fn instances_share_the_slack_of_retries() {
    let mut all = resources();
    all.extend((3..40).map(|n| engine(&format!("e{n}"), "pool", 2)));
    let mut edge = EdgeScheduler::new(edge_settings("a"), all);
    edge.step(Event::PeersKnown(4));
    edge.arrive(request(1, "once", "free"));
    assert_eq!(dispatched(&edge.update_dispatch(1, 1, REFUSED)).len(), 1);
    assert_eq!(dispatched(&edge.update_dispatch(1, 2, REFUSED)).len(), 1);
    assert!(dispatched(&edge.update_dispatch(1, 3, REFUSED)).is_empty());
}

#[test]
fn an_endpoint_is_ejected_after_three_broken_dispatches_in_a_row() {
    let mut all = resources();
    all.retain(|r| !matches!(r, Resource::Endpoint(e) if e.name == "e2"));
    let mut edge = EdgeScheduler::new(edge_settings("a"), all);
    for n in 1..=3 {
        assert_eq!(
            dispatched(&edge.arrive(request(n, "once", "free"))).len(),
            1
        );
        edge.update_dispatch(n, 1, BROKE);
    }
    assert!(dispatched(&edge.arrive(request(4, "once", "free"))).is_empty());
    let mut all = resources();
    all.retain(|r| !matches!(r, Resource::Endpoint(e) if e.name == "e2"));
    let mut edge = EdgeScheduler::new(edge_settings("a"), all);
    for n in 1..=9 {
        assert_eq!(
            dispatched(&edge.arrive(request(n, "once", "free"))).len(),
            1
        );
        if n % 3 == 0 {
            edge.end(n);
        } else {
            edge.update_dispatch(n, 1, BROKE);
        }
    }
}

#[test]
fn a_request_that_cannot_start_in_time_is_refused_at_once() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    // A rate of about two dispatches a second, with all slots in use.
    for n in 0..40 {
        edge.now += millis(500);
        edge.step(Event::ConfigConfirmed(edge.now));
        edge.arrive(request(n, "safe", "free"));
        edge.step(Event::Timer);
        edge.end(n);
    }
    for n in 100..110 {
        edge.arrive(request(n, "safe", "free"));
    }
    let actions = edge.advance(millis(25));
    assert_eq!(verdict(&actions), Some((Outcome::NotRun, Reason::Overload)));
    let refused = actions
        .iter()
        .filter(|a| matches!(a, Action::Answer { .. }));
    // Six are sent at once, which counts as the rate: two engines with two slots may run three requests
    // each at low load. Of the four that are held, the last has three before it and would wait for
    // 0.5 s, longer than 0.8 of the target of 0.5 s.
    assert_eq!(refused.count(), 1);
}

#[test]
fn budgets_of_all_instances_add_up_to_an_engines_slots() {
    let names: Vec<String> = (0..40).map(|n| format!("instance-{n}")).collect();
    let mut sums = [0_u32; 2];
    for me in &names {
        let mut edge = EdgeScheduler::new(edge_settings(me), resources());
        for other in names.iter().filter(|n| *n != me) {
            edge.step(Event::Peer(PeerUpdate {
                name: other.clone(),
                ..PeerUpdate::default()
            }));
        }
        edge.advance(millis(300));
        let endpoints = &edge.scheduler.tables().endpoints;
        for (sum, name) in sums.iter_mut().zip(["e1", "e2"]) {
            let at = endpoints.find(name).expect("the endpoint");
            *sum += endpoints.get(at).budget;
        }
    }
    // Two slots and a quarter more at low load, in integers.
    assert!(sums.iter().all(|s| (2..=3).contains(s)), "{sums:?}");
}

#[test]
fn plain_servers_are_available_to_every_instance() {
    let mut all = resources();
    for resource in &mut all {
        if let Resource::Endpoint(e) = resource {
            e.backend = EndpointKind::Plain;
        }
    }
    let mut edge = EdgeScheduler::new(edge_settings("a"), all);
    for n in 0..40 {
        edge.step(Event::Peer(PeerUpdate {
            name: format!("instance-{n}"),
            ..PeerUpdate::default()
        }));
    }
    edge.advance(millis(300));
    assert_eq!(
        dispatched(&edge.arrive(request(1, "once", "free"))).len(),
        1
    );
}

/// Among many instances, each draws its slots independently: with hundreds of endpoints there is no time to
/// compute the slots of all others.
#[test]
fn budgets_of_many_instances_add_up_to_the_engines_slots_on_average() {
    const INSTANCES: usize = 40;
    let mut all = resources();
    all.retain(|r| !matches!(r, Resource::Endpoint(_)));
    for n in 0..60 {
        let Resource::Endpoint(mut e) = engine(&format!("e{n}"), "pool", 8) else {
            continue;
        };
        e.zone = format!("zone-{}", n % 4);
        all.push(Resource::Endpoint(e));
    }
    let zone = |n: usize| format!("zone-{}", n % 4);
    let (mut budgets, mut in_own_zone) = (0, 0);
    for n in 0..INSTANCES {
        let mut settings = edge_settings(&format!("i{n}"));
        settings.zone = zone(n);
        let mut edge = EdgeScheduler::new(settings, all.clone());
        edge.step(Event::PeersKnown(INSTANCES - 1));
        for other in (0..INSTANCES).filter(|other| *other != n) {
            edge.step(Event::Peer(PeerUpdate {
                name: format!("i{other}"),
                zone: zone(other),
                ..PeerUpdate::default()
            }));
        }
        edge.advance(millis(300));
        for (_, e) in edge.scheduler.tables().endpoints.iter() {
            budgets += e.budget;
            in_own_zone += if e.declared.zone == zone(n) {
                e.budget
            } else {
                0
            };
        }
    }
    // Eight slots and a quarter more at low load on each of sixty engines.
    assert!((550..=650).contains(&budgets), "{budgets}");
    assert!(
        2 * in_own_zone > budgets * 9 / 10,
        "{in_own_zone} of {budgets} in the own zone, which has a quarter of the engines"
    );
}

#[test]
fn a_request_that_arrives_past_its_deadline_is_not_sent() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    let mut new = request(1, "once", "free");
    new.deadline = Some(edge.now);
    let actions = edge.arrive(new);
    assert!(dispatched(&actions).is_empty());
    assert_eq!(verdict(&actions), Some((Outcome::NotRun, Reason::TimedOut)));
}

/// Guards against an instance that aborts, or runs a request twice, since its service may run once only by a configuration that is
/// read while the request waits for its second attempt, or after it was sent.
#[test]
fn a_request_that_ran_is_not_sent_once_its_service_may_run_once_only() {
    for is_sent in [false, true] {
        let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
        let sent = dispatched(&edge.arrive(request(1, "safe", "free")));
        let other = if sent[0].1 == "e1" { "e2" } else { "e1" };
        if !is_sent {
            edge.step(Event::NoticeReported(NoticeReport {
                endpoint: other.to_owned(),
                member: String::new(),
                notice: Notice {
                    backoff: Some(millis(300)),
                    ..Notice::default()
                },
                read: edge.now,
            }));
        }
        let broke = edge.update_dispatch(1, 1, BROKE);
        assert_eq!(dispatched(&broke).len(), usize::from(is_sent));
        assert_eq!(verdict(&broke), None);
        let mut all = resources();
        for resource in &mut all {
            if let Resource::Service(s) = resource {
                s.repeatable = false;
            }
        }
        let catalog = Catalog::new(2).with_resources(all);
        let mut actions = edge.step(Event::Config(Arc::new(catalog)));
        if is_sent {
            let withheld = |a: &Action| matches!(a, Action::Withhold { dispatch: 2, .. });
            assert!(actions.iter().any(withheld), "{actions:?}");
            actions.extend(edge.update_dispatch(1, 2, DispatchUpdate::Withheld));
        }
        actions.extend(edge.advance(millis(400)));
        assert!(dispatched(&actions).is_empty(), "{actions:?}");
        let changed = Some((Outcome::Unknown, Reason::AccessChanged));
        assert_eq!(verdict(&actions), changed, "sent: {is_sent}");
    }
}
