//! Routes to endpoints through peers.
//!
//! Guards against an instance that lost its links to endpoints and takes that for the endpoints' failure. In
//! one incident two of six instances went through the list of endpoints with each request until its time was
//! up, while the others used the same endpoints.
//!
//! The load: an instance is cut from all of a pool, from some of it, or all instances are.

use std::collections::BTreeMap;

use firdock_policy::action::{Dispatch, Route};
use firdock_policy::event::{ConnectFailure, DispatchUpdate, LinkProbe, PeerUpdate, PoolLinks};
use firdock_policy::{Action, Event};

use crate::edge::{EdgeScheduler, edge_settings, request, resources};
use crate::fixtures::{id, millis};

const POOL: &str = "pool";
const REFUSED: DispatchUpdate = DispatchUpdate::ConnectFailed(ConnectFailure::Refused);

fn edge() -> EdgeScheduler {
    EdgeScheduler::new(edge_settings("a").with_routes_by_peers(), resources())
}

fn heartbeat(name: &str, reached: u32, failing: u32) -> PeerUpdate {
    PeerUpdate {
        name: name.to_owned(),
        passes_on: true,
        links: vec![PoolLinks {
            pool: POOL.to_owned(),
            reached,
            failing,
        }],
        ..PeerUpdate::default()
    }
}

fn dispatch(actions: &[Action]) -> Dispatch {
    let sent = actions.iter().find_map(|a| match a {
        Action::Dispatch(d) => Some(d.clone()),
        _ => None,
    });
    sent.expect("a dispatch")
}

/// Sends a request and ends it; returns its dispatch.
fn send(edge: &mut EdgeScheduler, n: u64) -> Dispatch {
    let sent = dispatch(&edge.arrive(request(n, "safe", "free")));
    edge.update_dispatch(n, 1, DispatchUpdate::PassedOn);
    edge.end(n);
    sent
}

/// Makes the links to all endpoints fail.
fn cut(edge: &mut EdgeScheduler) {
    for endpoint in ["e1", "e2"] {
        let start = endpoint.to_owned();
        edge.step(Event::LinkProbed(LinkProbe {
            start,
            connected: false,
        }));
    }
}

#[test]
fn a_peer_takes_part_where_the_own_link_fails() {
    let mut edge = edge();
    assert_eq!(send(&mut edge, 1).route, Route::Direct);
    edge.step(Event::Peer(heartbeat("b", 2, 0)));
    let b = "b".to_owned();
    assert_eq!(send(&mut edge, 2).route, Route::DirectOr(b.clone()));
    // One link fails: its endpoint is reached through the peer, the other one as before.
    let sent = dispatch(&edge.arrive(request(3, "safe", "free")));
    edge.update_dispatch(3, 1, REFUSED);
    edge.update_dispatch(3, 1, DispatchUpdate::PassedOn);
    edge.end(3);
    let mut routes = BTreeMap::new();
    for n in 4..8 {
        let next = dispatch(&edge.arrive(request(n, "safe", "free")));
        routes.insert(next.endpoint, next.route);
    }
    assert_eq!(
        routes.remove(&sent.endpoint),
        Some(Route::Through(b.clone()))
    );
    assert!(
        routes
            .into_values()
            .all(|r| r == Route::DirectOr(b.clone()))
    );
}

/// Where a pool is down for everyone, going through peers helps nobody and doubles the load.
#[test]
fn peers_that_do_not_reach_the_pool_either_are_not_asked() {
    let mut edge = edge();
    edge.step(Event::Peer(heartbeat("b", 0, 2)));
    edge.step(Event::Peer(heartbeat("c", 1, 1)));
    cut(&mut edge);
    let c = Route::Through("c".to_owned());
    assert_eq!(send(&mut edge, 1).route, c);
    edge.step(Event::Peer(heartbeat("c", 0, 1)));
    assert_eq!(send(&mut edge, 2).route, Route::Direct);
}

#[test]
fn only_live_peers_that_pass_connections_on_are_asked() {
    let cases: [fn(&mut PeerUpdate); 2] = [|p| p.passes_on = false, |p| p.draining = true];
    for case in cases {
        let mut edge = edge();
        let mut peer = heartbeat("b", 2, 0);
        case(&mut peer);
        edge.step(Event::Peer(peer));
        cut(&mut edge);
        assert_eq!(send(&mut edge, 1).route, Route::Direct);
    }
    let mut edge = edge();
    edge.step(Event::Peer(heartbeat("b", 2, 0)));
    cut(&mut edge);
    edge.now += edge.scheduler.tables().settings.peer_stale_after + millis(1);
    edge.step(Event::ConfigConfirmed(edge.now));
    assert_eq!(send(&mut edge, 1).route, Route::Direct, "silent");
}

/// A request that a peer did not pass on was not sent: another peer gets it, for the same endpoint.
#[test]
fn a_peer_that_passes_nothing_on_is_left_out_for_a_while() {
    let mut edge = edge();
    for name in ["b", "c"] {
        edge.step(Event::Peer(heartbeat(name, 2, 0)));
    }
    cut(&mut edge);
    let first = dispatch(&edge.arrive(request(1, "once", "free")));
    let again = dispatch(&edge.update_dispatch(1, 1, DispatchUpdate::NotPassedOn));
    assert_ne!(first.route.peer(), again.route.peer());
    assert_eq!(first.endpoint, again.endpoint);
    let last = dispatch(&edge.update_dispatch(1, 2, DispatchUpdate::NotPassedOn));
    assert_eq!(last.route, Route::Direct);
    edge.end(1);
    edge.advance(millis(2_100));
    for name in ["b", "c"] {
        edge.step(Event::Peer(heartbeat(name, 2, 0)));
    }
    edge.step(Event::ConfigConfirmed(edge.now));
    assert!(send(&mut edge, 2).route.peer().is_some());
}

/// Most of a zone may be cut: no single peer gets all of its requests.
#[test]
fn requests_are_spread_over_all_peers() {
    let mut edge = edge();
    let peers = ["b", "c", "d", "e", "f"];
    for name in peers {
        edge.step(Event::Peer(heartbeat(name, 2, 0)));
    }
    cut(&mut edge);
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for n in 1..=500 {
        if let Route::Through(peer) = send(&mut edge, n).route {
            *counts.entry(peer).or_default() += 1;
        }
    }
    assert_eq!(counts.values().sum::<usize>(), 500);
    assert!(
        counts.values().all(|n| (60..=140).contains(n)),
        "{counts:?}"
    );
}

/// Only an answer over the own link, or a probe, shows that it works again.
#[test]
fn links_are_probed_until_they_work_again() {
    let mut edge = edge();
    edge.step(Event::Peer(heartbeat("b", 2, 0)));
    cut(&mut edge);
    let mut probes = Vec::new();
    let probe = |edge: &mut EdgeScheduler, probes: &mut Vec<String>| {
        edge.step(Event::Peer(heartbeat("b", 2, 0)));
        for action in edge.advance(millis(25)) {
            if let Action::ProbeLink { start, .. } = action {
                probes.push(start.clone());
                let connected = probes.len() > 8;
                edge.step(Event::LinkProbed(LinkProbe { start, connected }));
            }
        }
    };
    for _ in 0..80 {
        probe(&mut edge, &mut probes);
    }
    assert_eq!(probes.len(), 8, "one in 250 ms");
    assert!(probes.contains(&"e1".to_owned()) && probes.contains(&"e2".to_owned()));
    edge.step(Event::ConfigConfirmed(edge.now));
    assert!(matches!(send(&mut edge, 1).route, Route::Through(_)));
    // The first one succeeds, and the other follows soon.
    for _ in 0..14 {
        probe(&mut edge, &mut probes);
    }
    assert_eq!(probes.len(), 10, "{probes:?}");
    assert!(matches!(send(&mut edge, 2).route, Route::DirectOr(_)));
    assert!(edge.scheduler.tables().requests.get(id(2)).is_none());
}
