//! Placement by a coordinator: how an instance uses the placements that it gets, and how a coordinator
//! assigns them.

use firdock_core::resource::{Endpoint, Resource, Service, Tier};
use firdock_core::{Outcome, Reason};
use firdock_policy::event::{DispatchUpdate, Grant, GroupDemand, PeerUpdate, PoolDemand};
use firdock_policy::{Action, Event, NewRequest, PolicySettings, Verdict};

use crate::edge::{EdgeScheduler, edge_settings, request, resources, verdict};
use crate::fixtures::{dispatched, id, millis};

const BROKE: DispatchUpdate = DispatchUpdate::Broke { delivered: 0 };

/// An edge instance whose coordinator answers.
fn member() -> EdgeScheduler {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    edge.step(Event::Coordinated(true));
    edge
}

/// A coordinator's tables.
fn coordinator(resources: Vec<Resource>) -> EdgeScheduler {
    EdgeScheduler::new(coordinator_settings(), resources)
}

fn coordinator_settings() -> PolicySettings {
    edge_settings("a").with_coordination()
}

fn grant(n: u64, endpoint: &str) -> Grant {
    Grant {
        id: id(n),
        endpoint: endpoint.to_owned(),
        predicted: millis(0),
        permitted: false,
    }
}

fn count_asks(actions: &[Action]) -> usize {
    let asks = actions.iter().filter(|a| matches!(a, Action::Ask { .. }));
    asks.count()
}

fn declined(actions: &[Action]) -> Vec<Grant> {
    let declined = actions.iter().filter_map(|a| match a {
        Action::Decline(grant) => Some(grant.clone()),
        _ => None,
    });
    declined.collect()
}

fn refusal() -> Verdict {
    Verdict {
        outcome: Outcome::NotRun,
        reason: Reason::Overload,
        retry_after: Some(millis(1_000)),
    }
}

#[test]
fn a_request_for_engines_waits_for_its_placement_and_asks_once() {
    let mut edge = member();
    let actions = edge.arrive(request(1, "once", "free"));
    assert!(dispatched(&actions).is_empty());
    assert_eq!(count_asks(&actions), 1);
    assert_eq!(count_asks(&edge.advance(millis(50))), 0);
    let actions = edge.step(Event::Granted(grant(1, "e2")));
    assert_eq!(dispatched(&actions), vec![(id(1), "e2".to_owned())]);
}

#[test]
fn a_placement_that_arrives_twice_is_used_once() {
    let mut edge = member();
    edge.arrive(request(1, "once", "free"));
    edge.step(Event::Granted(grant(1, "e2")));
    assert!(edge.step(Event::Granted(grant(1, "e2"))).is_empty());
    let other = edge.step(Event::Granted(grant(1, "e1")));
    assert!(dispatched(&other).is_empty());
    assert_eq!(declined(&other), vec![grant(1, "e1")]);
    // A placement for a request that is no longer here is declined as well.
    assert_eq!(
        declined(&edge.step(Event::Granted(grant(9, "e1")))),
        vec![grant(9, "e1")]
    );
}

#[test]
fn requests_are_placed_locally_once_the_coordinator_stops_answering() {
    let mut edge = member();
    edge.arrive(request(1, "once", "free"));
    let actions = edge.step(Event::Coordinated(false));
    assert_eq!(dispatched(&actions).len(), 1);
    assert_eq!(
        dispatched(&edge.arrive(request(2, "once", "free"))).len(),
        1
    );
}

#[test]
fn a_placement_on_a_leaving_engine_is_declined_and_another_requested() {
    let mut edge = member();
    edge.step(Event::Peer(PeerUpdate {
        name: "b".to_owned(),
        leaving: vec!["e1".to_owned()],
        ..PeerUpdate::default()
    }));
    edge.arrive(request(1, "once", "free"));
    let actions = edge.step(Event::Granted(grant(1, "e1")));
    assert!(dispatched(&actions).is_empty());
    assert_eq!(declined(&actions), vec![grant(1, "e1")]);
    assert_eq!(count_asks(&actions), 1);
    let row = edge.scheduler.tables().requests.get(id(1));
    assert_eq!(row.expect("it is held").declined, vec!["e1".to_owned()]);
}

#[test]
fn a_placement_is_not_used_when_the_configuration_may_be_outdated() {
    let mut edge = member();
    edge.arrive(request(1, "once", "free"));
    edge.now += millis(4_100);
    let actions = edge.step(Event::Granted(grant(1, "e1")));
    assert!(dispatched(&actions).is_empty());
    assert_eq!(
        verdict(&actions),
        Some((Outcome::NotRun, Reason::StateStale))
    );
    assert_eq!(declined(&actions).len(), 1);
}

/// Finding 10: a request that arrived while the configuration was outdated waited for its placement, and was
/// dispatched under the next configuration, in which its key no longer existed.
#[test]
fn a_request_does_not_wait_when_the_configuration_may_be_outdated() {
    let mut edge = member();
    edge.now += millis(4_100);
    let actions = edge.arrive(request(1, "once", "free"));
    assert_eq!(
        verdict(&actions),
        Some((Outcome::NotRun, Reason::StateStale))
    );
    edge.step(Event::ConfigConfirmed(edge.now));
    edge.arrive(request(2, "once", "free"));
    edge.now += millis(4_100);
    assert!(verdict(&edge.step(Event::Timer)).is_some());
}

#[test]
fn a_broken_request_asks_for_a_second_placement() {
    let mut edge = member();
    edge.arrive(request(1, "safe", "free"));
    edge.step(Event::Granted(grant(1, "e1")));
    assert_eq!(count_asks(&edge.update_dispatch(1, 1, BROKE)), 1);
    // It can't run on the same engine again.
    let again = edge.step(Event::Granted(grant(1, "e1")));
    assert!(dispatched(&again).is_empty() && declined(&again).len() == 1);
    let other = edge.step(Event::Granted(grant(1, "e2")));
    assert_eq!(dispatched(&other).len(), 1);
}

#[test]
fn a_request_that_is_not_placed_is_refused_only_after_lower_tiers() {
    let mut all = resources();
    all.push(Resource::Tier(Tier {
        name: "low".to_owned(),
        rank: 5,
        ..Tier::default()
    }));
    let mut low = all
        .iter()
        .find_map(|r| match r {
            Resource::Service(s) if s.name == "once" => Some(s.clone()),
            _ => None,
        })
        .expect("the service");
    low = Service {
        name: "low".to_owned(),
        tier: "low".to_owned(),
        matches: "/low".to_owned(),
        ..low
    };
    all.push(Resource::Service(low));
    let mut edge = EdgeScheduler::new(edge_settings("a"), all);
    edge.step(Event::Coordinated(true));
    edge.arrive(request(1, "once", "free"));
    edge.arrive(request(2, "low", "free"));
    assert!(edge.step(Event::NotGranted(id(1), refusal())).is_empty());
    let answered = |actions: &[Action]| verdict(actions).map(|v| v.0);
    let low = edge.step(Event::NotGranted(id(2), refusal()));
    assert_eq!(answered(&low), Some(Outcome::NotRun));
    let high = edge.step(Event::NotGranted(id(1), refusal()));
    assert_eq!(answered(&high), Some(Outcome::NotRun));
}

#[test]
fn a_coordinator_assigns_each_slot_once_and_the_next_to_the_first_that_waits() {
    let mut edge = coordinator(resources());
    let mut placed = Vec::new();
    for n in 1..=6 {
        placed.extend(dispatched(&edge.arrive(request(n, "once", "limited"))));
    }
    assert_eq!(
        placed.len(),
        4,
        "two engines with two slots; limits do not apply here"
    );
    let ended = DispatchUpdate::Ended {
        prompt: 90,
        cached: 0,
        output: 10,
    };
    let next = dispatched(&edge.update_dispatch(1, 1, ended));
    assert_eq!(next.len(), 1);
    assert_eq!(next[0].0, id(5), "the first of those that wait");
}

#[test]
fn a_coordinator_leaves_retries_to_the_member() {
    let mut edge = coordinator(resources());
    edge.arrive(request(1, "safe", "free"));
    let actions = edge.update_dispatch(1, 1, BROKE);
    assert!(actions.is_empty(), "{actions:?}");
    assert!(edge.scheduler.tables().requests.get(id(1)).is_none());
}

/// Members once reported a running request with its own engine among those to avoid, which failed the check
/// of the tables and terminated every new coordinator.
#[test]
fn a_request_that_already_runs_occupies_its_slot() {
    let mut edge = coordinator(resources());
    for n in 1..=2 {
        let new = NewRequest {
            tried: vec!["e1".to_owned()],
            ..request(n, "once", "free")
        };
        edge.step(Event::Adopted(new, "e1".to_owned()));
    }
    let mut placed = Vec::new();
    for n in 3..=6 {
        placed.extend(dispatched(&edge.arrive(request(n, "once", "free"))));
    }
    let on_second = placed.iter().all(|(_, endpoint)| endpoint == "e2");
    assert!(placed.len() == 2 && on_second, "{placed:?}");
    // A second report, or one on an unknown engine, changes nothing.
    edge.step(Event::Adopted(request(1, "once", "free"), "e2".to_owned()));
    edge.step(Event::Adopted(request(8, "once", "free"), "e9".to_owned()));
    let running = |name: &str| {
        let endpoints = &edge.scheduler.tables().endpoints;
        endpoints
            .get(endpoints.find(name).expect("the engine"))
            .running
    };
    assert_eq!((running("e1"), running("e2")), (2, 2));
}

#[test]
fn time_that_a_member_held_a_request_counts() {
    let mut edge = coordinator(resources());
    let new = NewRequest {
        age: millis(4_000),
        ..request(1, "once", "free")
    };
    edge.arrive(new);
    let row = edge.scheduler.tables().requests.get(id(1));
    let arrived = row.expect("it runs").arrived;
    assert_eq!(arrived + millis(4_000), edge.now);
}

/// Two availability zones of ten engines with three slots each.
fn zoned() -> Vec<Resource> {
    let mut all: Vec<Resource> = resources()
        .into_iter()
        .filter(|r| !matches!(r, Resource::Endpoint(_)))
        .collect();
    for zone in ["east", "west"] {
        for n in 0..10 {
            all.push(Resource::Endpoint(Endpoint {
                name: format!("{zone}-{n}"),
                pool: "pool".to_owned(),
                zone: zone.to_owned(),
                slots: 3,
                ..Endpoint::default()
            }));
        }
    }
    all
}

/// Slots that the coordinator of `zone` may use in each availability zone, at the given demands of both.
fn slots_by_zone(zone: &str, east: f64, west: f64) -> (u32, u32) {
    let mut settings = coordinator_settings();
    zone.clone_into(&mut settings.zone);
    let mut edge = EdgeScheduler::new(settings, zoned());
    edge.step(Event::PeersKnown(40));
    for (zone, rate) in [("east", east), ("west", west)] {
        edge.step(Event::Peer(PeerUpdate {
            name: format!("{zone}-1"),
            zone: zone.to_owned(),
            demand: vec![PoolDemand {
                pool: "pool".to_owned(),
                rate,
            }],
            ..PeerUpdate::default()
        }));
    }
    edge.advance(millis(300));
    let count = |zone: &str| {
        let endpoints = edge.scheduler.tables().endpoints.iter();
        let here = endpoints.filter(|(_, e)| e.declared.zone == zone);
        here.map(|(_, e)| e.budget).sum()
    };
    (count("east"), count("west"))
}

#[test]
fn groups_use_the_engines_of_their_own_zone_first() {
    assert_eq!(slots_by_zone("east", 10.0, 10.0), (30, 0));
    assert_eq!(slots_by_zone("west", 10.0, 10.0), (0, 30));
}

#[test]
fn a_group_with_more_demand_uses_what_another_leaves_and_slots_are_assigned_once() {
    let (east_in_east, east_in_west) = slots_by_zone("east", 30.0, 10.0);
    let (west_in_east, west_in_west) = slots_by_zone("west", 30.0, 10.0);
    assert_eq!(east_in_east, 30);
    assert_eq!(west_in_east, 0);
    assert_eq!(
        east_in_west + west_in_west,
        30,
        "each slot is assigned once"
    );
    assert!(
        (13..=17).contains(&east_in_west),
        "half of the slots in the west: {east_in_west}"
    );
}

#[test]
fn availability_zones_that_disappear_leave_capacity_for_new_ones() {
    let mut edge = coordinator(zoned());
    for n in 0..200 {
        let zone = format!("zone-{n}");
        edge.step(Event::GroupDemand(GroupDemand {
            zone: zone.clone(),
            demand: Vec::new(),
        }));
        let groups = &edge.scheduler.tables().groups;
        let known = groups
            .fresh(edge.now, millis(1_000))
            .any(|(z, _)| *z == zone);
        assert!(known, "{zone} is recorded");
    }
}

#[test]
fn all_engines_of_a_small_site_belong_to_one_group() {
    let mut edge = coordinator(zoned());
    edge.advance(millis(300));
    let endpoints = edge.scheduler.tables().endpoints.iter();
    assert!(endpoints.into_iter().all(|(_, e)| e.budget == 3));
}

/// Guards against a request that is refused by the configuration of a coordinator which does not know a change yet.
#[test]
fn a_coordinator_that_knows_no_endpoint_refuses_for_no_member_that_does() {
    let mut edge = member();
    edge.arrive(request(1, "once", "free"));
    let behind = Verdict {
        reason: Reason::NoEndpoint,
        ..refusal()
    };
    let actions = edge.step(Event::NotGranted(id(1), behind));
    assert!(verdict(&actions).is_none(), "{actions:?}");
    assert_eq!(dispatched(&actions).len(), 1, "the member places it");
}
